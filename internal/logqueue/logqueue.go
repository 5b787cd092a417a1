// Package logqueue writes log lines without ever blocking those who log.
//
// Lines wait in a bounded queue for a writer that may be slow or stuck. A line that finds
// the queue full is dropped and counted; the count is written as a line of its own when
// there is room again.
package logqueue

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// flushWait bounds the time for which Close waits for the writer.
const flushWait = 500 * time.Millisecond

// Queue is an io.Writer whose Write never blocks. It is safe for concurrent use.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a queue of the given number of lines in front of w.
func New(w io.Writer, lines int) *Queue {
	q := &Queue{lines: make(chan []byte, lines), done: make(chan struct{})}
	go q.run(w)
	return q
}

func (q *Queue) run(w io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		if n := q.dropped.Swap(0); n > 0 {
			// There is nowhere to report an error of the log itself.
			_, _ = fmt.Fprintf(w, "level=warn msg=\"log lines dropped\" lines=%d\n", n)
		}
		_, _ = w.Write(line)
	}
}

// Write implements io.Writer. It always succeeds.
func (q *Queue) Write(p []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), p...):
	default:
		q.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer. It does not wait for the writer.
func (q *Queue) Sync() error { return nil }

// Close writes what is queued, for a bounded time. Nothing may be written afterwards.
func (q *Queue) Close() {
	close(q.lines)
	select {
	case <-q.done:
	case <-time.After(flushWait):
	}
}
