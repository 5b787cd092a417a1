package e2e

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/platform/platformtest"
)

const (
	// maxEndlessMemoryMB is the peak that a daemon of a pair may reach under any load.
	maxEndlessMemoryMB = pairMemoryMB * 8 / 10
	// endlessCallers is the number of callers whose answers have no end.
	endlessCallers = 1000
	// endlessRate bounds what all endless answers send together, in bytes per second.
	endlessRate = 160 << 20
)

// endlessAnswers returns the forms of an answer without end: its begin, with the ID of the request for %s,
// and the part that follows again and again.
func endlessAnswers() [][2]string {
	const head = "HTTP/1.1 200 OK\r\nX-Hawthornpoint-Request-Id: %s\r\nX-Hawthornpoint-Response-Seal: s\r\n"
	filler := strings.Repeat("\x80", 16<<10)
	return [][2]string{
		{"", filler},
		{head + "X-Field: ", filler},
		{head, "X-Field: x\r\n"},
		{"", "HTTP/1.1 103 Early Hints\r\nX-Field: x\r\n\r\n"},
		{head + "Content-Length: 1000000000000\r\n\r\n", filler},
		{head + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + filler + "\r\n"},
		{head + "\r\n", filler},
		{strings.Replace(head, "%s", "another-%s", 1) + "\r\n", filler},
	}
}

// answerWithoutEnd returns an answer function for requests to /.../endless, in all forms in turn.
func answerWithoutEnd(sent *atomic.Int64) func(w io.Writer, r platformtest.Request) bool {
	forms := endlessAnswers()
	var next atomic.Int64
	begun := time.Now()
	return func(w io.Writer, r platformtest.Request) bool {
		if !strings.HasSuffix(r.Target, "endless") {
			return platformtest.Respond(w, r, 200, "answer to "+r.ID)
		}
		form := forms[int(next.Add(1))%len(forms)]
		text := strings.ReplaceAll(form[0], "%s", r.ID)
		for {
			n, err := io.WriteString(w, text)
			if err != nil {
				return false
			}
			if ahead := time.Duration(float64(sent.Add(int64(n)))/endlessRate*float64(time.Second)) - time.Since(begun); ahead > 0 {
				time.Sleep(ahead)
			}
			text = form[1]
		}
	}
}

// receiveEndless sends requests with endless answers until end. It reads the answers, doesn't read them, or
// leaves before their end.
func receiveEndless(address, name string, habit int, end time.Time) {
	for k := 0; time.Now().Before(end); k++ {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		limit := time.Until(end)
		if habit == 2 {
			limit = min(limit, 300*time.Millisecond)
		}
		_ = c.SetDeadline(time.Now().Add(limit))
		path := fmt.Sprintf("/s%d/endless", k%2)
		_, _ = io.WriteString(c, platformtest.RequestText("POST", path, fmt.Sprintf("%s-%d", name, k), "b"))
		if habit == 1 {
			time.Sleep(limit)
		}
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}
}

// Guards against answers without end of many requests that take the memory of the daemons which pass them
// on, and with it the requests of other callers.
func TestAnswersWithoutEnd(t *testing.T) {
	p := newPair(t)
	var sent atomic.Int64
	for _, u := range p.upstreams {
		u.SetAnswer(0, answerWithoutEnd(&sent))
	}
	end := time.Now().Add(12 * time.Second)
	var wg sync.WaitGroup
	for i := range endlessCallers {
		wg.Go(func() { receiveEndless(p.callers[0], fmt.Sprint("endless-", i), i%3, end) })
	}
	var sound, unanswered atomic.Int64
	for i := range 12 {
		wg.Go(func() {
			c := &caller{address: p.callers[0]}
			for k := 0; time.Now().Before(end); k++ {
				switch c.send(fmt.Sprintf("/s%d/sound", k%2), fmt.Sprintf("sound-%d-%d", i, k)) {
				case http.StatusOK:
					sound.Add(1)
				case 0:
					unanswered.Add(1)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	Convey("The daemons keep their memory, and other requests are answered", t, func() {
		for i, process := range p.processes {
			m := process.memory(t)
			t.Logf("daemon %d: %v; %d MB sent, %d sound requests answered", i, m, sent.Load()>>20, sound.Load())
			So(m.peak>>10, ShouldBeLessThan, maxEndlessMemoryMB)
		}
		So(unanswered.Load(), ShouldEqual, 0)
		So(sound.Load(), ShouldBeGreaterThan, 0)
	})
}
