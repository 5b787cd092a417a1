// Package logqueue provides a zap core that never blocks the goroutines that log, and that
// bounds the volume of the log.
//
// Lines wait in a bounded queue for a writer that may be slow or blocked, and a rate limit in
// lines per second bounds the volume. When either runs short, low-priority lines are dropped
// first: they may use half of the queue and of the rate limit, high-priority lines all of it.
// Dropped lines are counted by event; each is reported to a callback, and the counts are
// written as a line of their own once the writer accepts lines again. Long texts and errors are
// cut, so that the queued lines take a bounded number of bytes.
package logqueue

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// flushTimeout bounds the time for which Close waits for the writer: a process that stops has little left then.
	flushTimeout = 200 * time.Millisecond
	// reportInterval is the interval between lines that state the counts of dropped lines.
	reportInterval = time.Second
	// lowPriorityShare is the share of the queue and of the rate limit that low-priority lines
	// may use.
	lowPriorityShare = 0.5
	// maxFieldBytes bounds the text of a field. Texts may quote what somebody else has sent.
	maxFieldBytes = 256
	// eventWriteFailed is the event under which lines are counted that the writer refused.
	eventWriteFailed = "log write failed"
)

// Options configures a Queue.
type Options struct {
	// QueueLines bounds the lines that wait for the writer.
	QueueLines int
	// LinesPerSecond bounds the rate of lines, averaged over some seconds. It is also the
	// largest burst.
	LinesPerSecond int
	// HighPriority reports whether an entry is among the last to be dropped; nil means that
	// all are.
	HighPriority func(zapcore.Entry) bool
	// OnDrop is called for each dropped line unless it is nil. It must not block or log.
	OnDrop func(event string)
}

// Queue writes log lines in a goroutine of its own. It is safe for concurrent use.
type Queue struct {
	opts    Options
	lines   chan []byte
	limiter *rate.Limiter
	closed  chan struct{} // closed by Close
	done    chan struct{} // closed when the queued lines have been written after Close

	mu      sync.Mutex // guards dropped
	dropped map[string]int
}

// New returns a Queue that writes to w. Close must be called to stop its goroutine.
func New(w io.Writer, opts Options) *Queue {
	q := &Queue{
		opts: opts, lines: make(chan []byte, opts.QueueLines), closed: make(chan struct{}), done: make(chan struct{}),
		limiter: rate.NewLimiter(rate.Limit(opts.LinesPerSecond), opts.LinesPerSecond), dropped: make(map[string]int),
	}
	go q.run(w)
	return q
}

func (q *Queue) run(w io.Writer) {
	defer close(q.done)
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	for {
		select {
		case line := <-q.lines:
			q.write(w, line)
		case <-report.C:
			q.report(w)
		case <-q.closed:
			q.flush(w)
			return
		}
	}
}

func (q *Queue) write(w io.Writer, line []byte) {
	if _, err := w.Write(line); err != nil {
		q.drop(eventWriteFailed)
	}
}

// flush writes the queued lines.
func (q *Queue) flush(w io.Writer) {
	for {
		select {
		case line := <-q.lines:
			q.write(w, line)
		default:
			q.report(w)
			return
		}
	}
}

// report writes the counts of the lines dropped since the last report, if there are any.
func (q *Queue) report(w io.Writer) {
	q.mu.Lock()
	dropped := q.dropped
	q.dropped = make(map[string]int)
	q.mu.Unlock()
	if len(dropped) == 0 {
		return
	}
	var events []string
	for _, event := range slices.Sorted(maps.Keys(dropped)) {
		events = append(events, fmt.Sprintf("%s:%d", strings.ReplaceAll(event, " ", "_"), dropped[event]))
	}
	_, _ = fmt.Fprintf(w, "level=warn msg=\"log lines dropped\" time=%s events=%s\n",
		time.Now().UTC().Format(time.RFC3339Nano), strings.Join(events, ","))
}

// admit takes a token for a line from the rate limiter. If it returns false, it has counted
// the line as dropped.
func (q *Queue) admit(event string, highPriority bool) bool {
	now := time.Now()
	allowed := highPriority || float64(len(q.lines)) < lowPriorityShare*float64(cap(q.lines)) &&
		q.limiter.TokensAt(now) >= (1-lowPriorityShare)*float64(q.limiter.Burst())
	if allowed && q.limiter.AllowN(now, 1) {
		return true
	}
	q.drop(event)
	return false
}

func (q *Queue) enqueue(line []byte, event string) {
	select {
	case q.lines <- line:
	default:
		q.drop(event)
	}
}

func (q *Queue) drop(event string) {
	q.mu.Lock()
	q.dropped[event]++
	q.mu.Unlock()
	if q.opts.OnDrop != nil {
		q.opts.OnDrop(event)
	}
}

// Close waits at most flushTimeout until the queued lines are written. Lines that are logged
// after it are not written.
func (q *Queue) Close() {
	close(q.closed)
	select {
	case <-q.done:
	case <-time.After(flushTimeout):
	}
}

// NewEncoder returns the encoder of all logs. It writes one line of key=value pairs for each
// event.
func NewEncoder() zapcore.Encoder {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.TimeKey = "time"
	return zaplogfmt.NewEncoder(cfg)
}

// Core returns a core that writes its lines to the queue.
func (q *Queue) Core(enc zapcore.Encoder, level zapcore.LevelEnabler) zapcore.Core {
	return &core{LevelEnabler: level, enc: enc, queue: q}
}

type core struct {
	zapcore.LevelEnabler
	enc   zapcore.Encoder
	queue *Queue
}

// With implements zapcore.Core.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	enc := c.enc.Clone()
	for _, f := range boundFields(fields) {
		f.AddTo(enc)
	}
	return &core{LevelEnabler: c.LevelEnabler, enc: enc, queue: c.queue}
}

// Check implements zapcore.Core.
func (c *core) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core. It returns no error for a dropped line.
func (c *core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	if !c.queue.admit(e.Message, c.queue.opts.HighPriority == nil || c.queue.opts.HighPriority(e)) {
		return nil
	}
	buffer, err := c.enc.EncodeEntry(e, boundFields(fields))
	if err != nil {
		return err
	}
	line := append([]byte(nil), buffer.Bytes()...)
	buffer.Free()
	c.queue.enqueue(line, e.Message)
	return nil
}

// boundFields returns the fields with texts of at most maxFieldBytes. Longer ones are cut and end
// with the number of bytes that are missing.
func boundFields(fields []zapcore.Field) []zapcore.Field {
	bounded := fields
	for i, f := range fields {
		var text string
		switch f.Type {
		case zapcore.StringType:
			text = f.String
		case zapcore.ErrorType:
			text = f.Interface.(error).Error()
		}
		if len(text) <= maxFieldBytes {
			continue
		}
		if &bounded[0] == &fields[0] {
			bounded = slices.Clone(fields) // they belong to the caller
		}
		bounded[i] = zap.String(f.Key, fmt.Sprintf("%s... (%d bytes more)", text[:maxFieldBytes], len(text)-maxFieldBytes))
	}
	return bounded
}

// Sync implements zapcore.Core. It does not wait for the writer.
func (c *core) Sync() error { return nil }
