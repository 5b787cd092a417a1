package measure

import (
	"container/heap"
	"time"
)

// Loop is an event loop in virtual time. It is not safe for concurrent use.
type Loop struct {
	now    time.Time
	seq    uint64
	events eventHeap
}

// Event is a scheduled function.
type Event struct {
	at  time.Time
	seq uint64 // order of events at the same time
	fn  func()
}

// NewLoop returns a loop that starts at the given time.
func NewLoop(start time.Time) *Loop { return &Loop{now: start} }

// Now returns the virtual time.
func (l *Loop) Now() time.Time { return l.now }

// At schedules fn for the time t, or for the current time if t has passed.
func (l *Loop) At(t time.Time, fn func()) *Event {
	if t.Before(l.now) {
		t = l.now
	}
	l.seq++
	e := &Event{at: t, seq: l.seq, fn: fn}
	heap.Push(&l.events, e)
	return e
}

// After schedules fn for the time d from now.
func (l *Loop) After(d time.Duration, fn func()) *Event { return l.At(l.now.Add(d), fn) }

// Cancel prevents an event that has not run from running. A nil event is ignored.
func (e *Event) Cancel() {
	if e != nil {
		e.fn = nil
	}
}

// Run runs all events up to and including the given time, to which it then sets
// the virtual time.
func (l *Loop) Run(until time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(until) {
		e := heap.Pop(&l.events).(*Event)
		l.now = e.at
		if fn := e.fn; fn != nil {
			e.fn = nil
			fn()
		}
	}
	l.now = until
}

type eventHeap []*Event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(*Event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = nil
	*h = old[:last]
	return e
}
