// Package startup decides for how long the steps of a process's start are repeated that can fail on
// a condition that passes, such as a file that is being written or an address that the kernel still
// keeps for the process before.
package startup

import "time"

const (
	// Limit is how long a failing step is repeated. It is longer than the kernel takes to remove a
	// process with its connections, and short enough for whoever waits for the error.
	Limit = 30 * time.Second
	// Interval is the time between two attempts: a small part of the time that a start takes on a
	// busy machine.
	Interval = 100 * time.Millisecond
)

// Step holds the failures of one step. The zero value is a step that has not failed. It is not safe
// for concurrent use.
type Step struct {
	failed    bool
	first     time.Time
	lastError string
}

// Failed records that an attempt failed at the given time. It reports whether the error differs from
// the one of the attempt before, and whether the step is to be given up.
func (s *Step) Failed(now time.Time, err error) (changed, over bool) {
	if !s.failed {
		s.failed, s.first = true, now
	}
	changed = err.Error() != s.lastError
	s.lastError = err.Error()
	return changed, now.Sub(s.first) >= Limit
}
