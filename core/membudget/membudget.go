// Package membudget bounds what a process holds because of others: bytes of memory, or descriptors. Each
// holder reserves from one budget before it reads on, and releases what it no longer holds.
//
// Priorities decide who gets the last of it. Each may raise the sum of all reservations up to its own share
// of the budget, so that small requests still find room when large or pipelined ones find none. A holder
// that finds none waits in the order of arrival within its priority; meanwhile it does not read, so that the
// sender is slowed down by TCP.
//
// Load that it answers: callers outside the limits of the deployment, which send many bodies without their
// end, many requests on one connection, or nothing on many connections; and many daemons that send what
// they have accepted to one.
package membudget

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
)

// Holder is a kind of what is held.
type Holder int

// The holders.
const (
	Connections Holder = iota // of callers
	Requests                  // their heads, and what handling them takes
	Bodies                    // first parts of bodies that are longer than a small one
	Answers                   // parts of answers that callers have not taken
	Backend                   // connections to the local backend server
	Peers                     // requests that other daemons have accepted and send here
	holders
)

// Priority is the importance of a reservation.
type Priority int

// The priorities, the most important first.
const (
	First         Priority = iota // the only request of its connection, with a small head and body
	Accepted                      // a request that another daemon has accepted
	Large                         // the rest of a longer head or body
	Pipelined                     // a request behind others of its connection
	NewConnection                 // a connection that has not been accepted
	priorities
)

// shares holds the share of the budget up to which a reservation of each priority may raise the sum. Bodies
// and pipelined requests leave room for new connections, and these for a request on each that is accepted.
// Requests of other daemons leave room for small requests of this one's callers.
var shares = [priorities]float64{First: 1, Accepted: 0.9, Large: 0.6, Pipelined: 0.5, NewConnection: 0.8}

// Budget is a bound for the sum of all reservations. It is safe for concurrent use. A nil Budget grants
// everything and counts nothing.
type Budget struct {
	limit    int64
	ceilings [priorities]int64
	used     atomic.Int64
	held     [holders]atomic.Int64
	waiting  [priorities]atomic.Int64
	refused  atomic.Int64 // reservations that were not granted at once

	mu     sync.Mutex
	queues [priorities][]*Waiter // the first to be granted is the first
}

// New returns a budget of limit units; 0 or less grants everything.
func New(limit int64) *Budget {
	if limit <= 0 {
		limit = math.MaxInt64 / 2
	}
	b := &Budget{limit: limit}
	for p, share := range shares {
		b.ceilings[p] = int64(share * float64(limit))
	}
	return b
}

// Limit returns the bound in units.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.limit
}

// Used returns the sum of all reservations in units.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

// Held returns what a holder has reserved in units.
func (b *Budget) Held(h Holder) int64 {
	if b == nil {
		return 0
	}
	return b.held[h].Load()
}

// Refused returns how many reservations were not granted at once.
func (b *Budget) Refused() int64 {
	if b == nil {
		return 0
	}
	return b.refused.Load()
}

// Waiting returns the number of waiting reservations.
func (b *Budget) Waiting() int64 {
	if b == nil {
		return 0
	}
	n := int64(0)
	for p := range b.waiting {
		n += b.waiting[p].Load()
	}
	return n
}

// TryReserve reserves n units if there is room and no reservation of the priority waits.
func (b *Budget) TryReserve(h Holder, p Priority, n int64) bool {
	if b == nil {
		return true
	}
	if b.waiting[p].Load() == 0 && b.add(h, p, n) {
		return true
	}
	b.refused.Add(1)
	return false
}

// HasRoom reports whether n units could be reserved now.
func (b *Budget) HasRoom(p Priority, n int64) bool {
	if b == nil || b.used.Load()+n <= b.ceilings[p] {
		return true
	}
	b.refused.Add(1)
	return false
}

// Force reserves n units also if there is no room, for what is already held.
func (b *Budget) Force(h Holder, n int64) {
	if b == nil {
		return
	}
	b.used.Add(n)
	b.held[h].Add(n)
}

func (b *Budget) add(h Holder, p Priority, n int64) bool {
	for {
		used := b.used.Load()
		if used+n > b.ceilings[p] {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			b.held[h].Add(n)
			return true
		}
	}
}

// Release ends a reservation, or a part of one.
func (b *Budget) Release(h Holder, n int64) {
	if b == nil || n == 0 {
		return
	}
	b.held[h].Add(-n)
	b.used.Add(-n)
	if b.Waiting() > 0 {
		b.grant()
	}
}

// Waiter is a reservation that waits for room.
type Waiter struct {
	budget   *Budget
	holder   Holder
	priority Priority
	units    int64
	granted  chan struct{}
}

// Wait returns a reservation of n units that waits for room, behind those of its priority that wait already.
func (b *Budget) Wait(h Holder, p Priority, n int64) *Waiter {
	w := &Waiter{budget: b, holder: h, priority: p, units: n, granted: make(chan struct{})}
	if b == nil {
		close(w.granted)
		return w
	}
	b.waiting[p].Add(1)
	b.mu.Lock()
	b.queues[p] = append(b.queues[p], w)
	b.mu.Unlock()
	b.grant() // room may have been released before it was counted as waiting
	return w
}

// Granted is closed when the units are reserved.
func (w *Waiter) Granted() <-chan struct{} { return w.granted }

// Cancel ends the wait. It returns false if the units are reserved.
func (w *Waiter) Cancel() bool {
	b := w.budget
	if b == nil {
		return false
	}
	b.mu.Lock()
	i := slices.Index(b.queues[w.priority], w)
	if i >= 0 {
		b.queues[w.priority] = slices.Delete(b.queues[w.priority], i, i+1)
		b.waiting[w.priority].Add(-1)
	}
	b.mu.Unlock()
	if i == 0 {
		b.grant() // those behind it may need less
	}
	return i >= 0
}

// grant reserves for those that wait, in their order, as far as there is room.
func (b *Budget) grant() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for p := range b.queues {
		for len(b.queues[p]) > 0 {
			w := b.queues[p][0]
			if !b.add(w.holder, w.priority, w.units) {
				break
			}
			b.queues[p] = b.queues[p][1:]
			b.waiting[p].Add(-1)
			close(w.granted)
		}
	}
}
