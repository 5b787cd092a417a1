package slots

import (
	"math"
	"time"
)

const (
	// minOfferedTime and maxOfferedTime bound the time constant with which offered work decays.
	// offeredRequests is the number of requests that the slots can run in it, so that a single one
	// is a small part of it.
	minOfferedTime  = 300 * time.Millisecond
	maxOfferedTime  = 1500 * time.Millisecond
	offeredRequests = 60
	// smallKindShare is the part of an equal share of the slots up to which the demand of a kind
	// is small.
	smallKindShare = 0.5
	// maxSmallKinds is the part of the slots that small kinds may ask for together.
	maxSmallKinds = 0.25
	// minKindShare is the part of the slots from which a kind counts among those that share them.
	minKindShare = 0.01
)

// offeredWork is run time that was asked for, as a decaying sum.
type offeredWork struct {
	sum time.Duration
	at  time.Time
}

func (w *offeredWork) over(now time.Time, constant time.Duration) time.Duration {
	return time.Duration(float64(w.sum) * math.Exp(-float64(now.Sub(w.at))/float64(constant)))
}

func (w *offeredWork) add(now time.Time, run, constant time.Duration) {
	w.sum, w.at = w.over(now, constant)+run, now
}

// offeredTime returns the time constant with which offered work decays.
func (l *Limiter) offeredTime() time.Duration {
	constant := time.Duration(offeredRequests * float64(l.averageRun()) / l.concurrency())
	return min(max(constant, minOfferedTime), maxOfferedTime)
}

// offeredCapacity returns the time constant, and the run time that the slots can do in it.
func (l *Limiter) offeredCapacity() (constant time.Duration, capacity float64) {
	constant = l.offeredTime()
	return constant, l.concurrency() * float64(constant)
}

// offer records a request that starts, waits or is refused for good. Those that are sent on to another
// server don't count here.
func (l *Limiter) offer(now time.Time, kind string, run time.Duration) {
	constant := l.offeredTime()
	l.offered.add(now, run, constant)
	w := l.offeredByKind[kind]
	if w == nil {
		if len(l.offeredByKind) >= maxKinds {
			clear(l.offeredByKind)
		}
		w = new(offeredWork)
		l.offeredByKind[kind] = w
	}
	w.add(now, run, constant)
}

// DemandFor returns the run time that is offered to the slots and the one that waits, as a multiple of what they
// can do. What waits counts twice, as it holds slots further up the call graph meanwhile. While nothing waits, the
// demand is at most what runs. It is 0 for a kind that asks for little of its equal share: refusing it would give
// hardly any room to others.
func (l *Limiter) DemandFor(now time.Time, kind string) float64 {
	if l.isSmallKind(now, kind) {
		return 0
	}
	constant, capacity := l.offeredCapacity()
	demand := float64(l.offered.over(now, constant)) / capacity
	if len(l.queue) == 0 {
		return min(demand, float64(len(l.running))/float64(l.limit))
	}
	return demand + float64(len(l.queue))*float64(l.averageRun())/capacity
}

// isSmallKind reports whether a kind asks for less than smallKindShare of an equal share among several kinds.
func (l *Limiter) isSmallKind(now time.Time, kind string) bool {
	w := l.offeredByKind[kind]
	if w == nil || l.sharingKinds < 2 || !l.smallKindsFit {
		return false
	}
	constant, capacity := l.offeredCapacity()
	return float64(w.over(now, constant)) < smallKindShare*capacity/float64(l.sharingKinds)
}

// countKinds counts the kinds that share the slots, and drops those that have not been offered for long.
func (l *Limiter) countKinds(now time.Time) {
	constant, capacity := l.offeredCapacity()
	sharing := 0
	for kind, w := range l.offeredByKind {
		switch offered := w.over(now, constant); {
		case float64(offered) >= minKindShare*capacity:
			sharing++
		case offered < minDemand:
			delete(l.offeredByKind, kind)
		}
	}
	small := 0.0
	for _, w := range l.offeredByKind {
		if offered := float64(w.over(now, constant)); offered < smallKindShare*capacity/float64(max(sharing, 1)) {
			small += offered
		}
	}
	l.sharingKinds, l.smallKindsFit = sharing, small <= maxSmallKinds*capacity
}
