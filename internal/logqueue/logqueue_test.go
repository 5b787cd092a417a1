package logqueue

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// gatedWriter blocks until it is opened.
type gatedWriter struct {
	entered chan struct{}
	gate    chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (w *gatedWriter) Write(p []byte) (int, error) {
	select {
	case w.entered <- struct{}{}:
	default:
	}
	<-w.gate
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

// Guards against a process that stands still because nobody reads its log, and against
// dropped lines that leave no trace.
func TestStuckWriter(t *testing.T) {
	Convey("Given a writer that is stuck", t, func() {
		w := &gatedWriter{entered: make(chan struct{}, 1), gate: make(chan struct{})}
		q := New(w, 10)
		_, _ = fmt.Fprintln(q, "first")
		<-w.entered
		begun := time.Now()
		for i := range 1000 {
			_, err := fmt.Fprintf(q, "line %d\n", i)
			So(err, ShouldBeNil)
		}
		So(time.Since(begun), ShouldBeLessThan, time.Second)
		close(w.gate)
		q.Close()
		text := w.buf.String()
		So(text, ShouldStartWith, "first\n")
		So(text, ShouldContainSubstring, "log lines dropped")
		So(strings.Count(text, "line "), ShouldBeLessThanOrEqualTo, 12)
	})
}
