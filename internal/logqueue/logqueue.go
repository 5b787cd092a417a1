// Package logqueue is a zap core that never blocks those who log, and that bounds how much
// is written.
//
// Lines wait in a bounded queue for a writer that may be slow or stuck, and a budget of
// lines per second bounds the volume. When either runs short, the least telling lines are
// dropped first: ordinary lines may use half of the queue and of the budget, telling ones
// all of it. What is dropped is counted by event; the counts are reported, and written as
// a line of their own when there is room again.
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
	// flushWait bounds the time for which Close waits for the writer.
	flushWait = 500 * time.Millisecond
	// reportInterval is the time between two lines that say what was dropped.
	reportInterval = time.Second
	// ordinaryShare is the share of the queue and of the budget that ordinary lines may use.
	ordinaryShare = 0.5
)

// Options of a Queue.
type Options struct {
	// Lines bounds the lines that wait for the writer.
	Lines int
	// PerSecond bounds the lines written in a second, over some seconds; as many may come
	// at once.
	PerSecond int
	// Telling says which entries are dropped last; nil means all.
	HighPriority func(zapcore.Entry) bool
	// Dropped is told of each dropped line; nil ignores it. It must not block or log.
	Dropped func(event string)
}

// Queue writes log lines in the background. It is safe for concurrent use.
type Queue struct {
	opts   Options
	lines  chan []byte
	budget *rate.Limiter
	done   chan struct{}

	mu      sync.Mutex // guards dropped
	dropped map[string]int
}

// New returns a queue in front of w.
func New(w io.Writer, opts Options) *Queue {
	q := &Queue{
		opts: opts, lines: make(chan []byte, opts.Lines), done: make(chan struct{}),
		budget: rate.NewLimiter(rate.Limit(opts.PerSecond), opts.PerSecond), dropped: make(map[string]int),
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
		case line, open := <-q.lines:
			if !open {
				q.report(w)
				return
			}
			// There is nowhere to report an error of the log itself.
			_, _ = w.Write(line)
		case <-report.C:
			q.report(w)
		}
	}
}

// report writes what was dropped since the last report.
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

// admit takes a line from the budget; it reports false when the line is to be dropped.
func (q *Queue) admit(event string, telling bool) bool {
	now := time.Now()
	room := telling || float64(len(q.lines)) < ordinaryShare*float64(cap(q.lines)) &&
		q.budget.TokensAt(now) >= (1-ordinaryShare)*float64(q.budget.Burst())
	if room && q.budget.AllowN(now, 1) {
		return true
	}
	q.drop(event)
	return false
}

func (q *Queue) put(line []byte, event string) {
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
	if q.opts.Dropped != nil {
		q.opts.Dropped(event)
	}
}

// Close writes what is queued, for a bounded time. Nothing may be logged afterwards.
func (q *Queue) Close() {
	close(q.lines)
	select {
	case <-q.done:
	case <-time.After(flushWait):
	}
}

// NewEncoder returns the encoder of all logs: one line of key=value pairs for each event.
func NewEncoder() zapcore.Encoder {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.TimeKey = "time"
	return zaplogfmt.NewEncoder(cfg)
}

// Core returns a core whose lines go through the queue.
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
	for _, f := range fields {
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

// Write implements zapcore.Core. A line that is dropped is no error.
func (c *core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	if !c.queue.admit(e.Message, c.queue.opts.HighPriority == nil || c.queue.opts.HighPriority(e)) {
		return nil
	}
	buffer, err := c.enc.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	line := append([]byte(nil), buffer.Bytes()...)
	buffer.Free()
	c.queue.put(line, e.Message)
	return nil
}

// Sync implements zapcore.Core. It does not wait for the writer.
func (c *core) Sync() error { return nil }
