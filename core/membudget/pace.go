package membudget

import "time"

// Pace is the least that a sender shows while the budget is pressed. The limits of a deployment allow a
// header of some size and the time for it; whoever keeps them sends bodies at least as fast.
type Pace struct {
	// Bytes is the length that is sent within Time. Zero in either means no least pace.
	Bytes int64
	Time  time.Duration
}

// Missed reports whether a sender of n bytes, which began the given time ago and has sent nothing for
// silent, is slower than the pace. Time in which it was not read does not count. Nothing is missed before
// Time is over.
func (p Pace) Missed(elapsed, silent time.Duration, n int64) bool {
	if p.Bytes <= 0 || p.Time <= 0 || elapsed < p.Time {
		return false
	}
	return silent >= p.Time || float64(n) < float64(p.Bytes)*elapsed.Seconds()/p.Time.Seconds()
}
