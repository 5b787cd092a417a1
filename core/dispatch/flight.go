package dispatch

import (
	"time"

	"github.com/hawthornpoint/hawthornpoint/codes"
	"github.com/hawthornpoint/hawthornpoint/core/directory"
	"github.com/hawthornpoint/hawthornpoint/core/routing"
	"github.com/hawthornpoint/hawthornpoint/core/slots"
)

// Flight is one request on the client side of a hop, over all its attempts.
type Flight struct {
	// Route and Service say where the request goes.
	Route   *routing.Route
	Service string
	// Arrived, Objective and Deadline are the times of the request itself; the deadline
	// includes the route's timeout.
	Arrived, Objective, Deadline time.Time

	tried  map[string]bool // asked, refused for load
	ran    map[string]bool // may have begun to run it
	target string
	asked  int
	sent   int
	lost   bool // an attempt may have run without a known end
	// refusals counts upstreams that had no room; mayQueue lets the next one keep the
	// request waiting.
	refusals int
	mayQueue bool
	minWait  time.Duration
}

// Sent returns the number of upstreams that the request was sent to.
func (f *Flight) Sent() int { return f.sent }

// Asked returns the number of upstreams that were asked for a slot.
func (f *Flight) Asked() int { return f.asked }

// Step says what to do next with a flight.
type Step struct {
	// Upstream is where to ask and send, if Code is 0.
	Upstream directory.Upstream
	// MayQueue lets the upstream keep the request waiting.
	MayQueue bool
	// Code ends the flight when it is not 0.
	Code codes.Code
	// RetryAfter is when there is likely to be room, for a refusal that is due to load.
	RetryAfter time.Duration
	// Deliver passes on the answer that was reported.
	Deliver bool
	// Reason names the deciding input, for the log.
	Reason string
	// LoadAge is the age of what the choice of Upstream knew of its load; -1 s if it
	// knew nothing.
	LoadAge time.Duration
	// Suspect is how long the upstream of the attempt before is avoided, 0 if it is not.
	Suspect time.Duration
}

// Result is the outcome of one attempt.
type Result uint8

// Results of attempts.
const (
	// Refused: the upstream's daemon refused the request for load; it has not run.
	Refused Result = iota + 1
	// Leaving: the upstream or its daemon is leaving; the request has not run.
	Leaving
	// Silent: no reply came before the request was sent; it has not run.
	Silent
	// Misplaced: another upstream is at that address; the request has not run.
	Misplaced
	// Rejected: the backend server itself refused the request without running it.
	Rejected
	// Failed: the backend server answered with an error of its own.
	Failed
	// Lost: the request was sent and no complete answer came.
	Lost
	// Answered: the backend server answered.
	Answered
	// Expired: the time of the request ran out after it was sent.
	Expired
	// Unsent: the time of the request ran out before it was sent.
	Unsent
)

// Report is the outcome of one attempt with what came with it.
type Report struct {
	Result Result
	// Load is the state of the upstream, valid if HasLoad.
	Load    slots.Load
	HasLoad bool
	// Wait is the time until there may be room, for Refused.
	Wait time.Duration
	// Elapsed is the time from the send to the answer.
	Elapsed time.Duration
	// Repeatable says that the request can be sent again: its body is still there, and
	// nothing of an answer was passed on.
	Repeatable bool
}

// Sent reports whether the request reached the backend server.
func (r Result) Sent() bool {
	switch r {
	case Rejected, Failed, Lost, Answered, Expired:
		return true
	default:
		return false
	}
}

// String returns the name of the result for logs and counters.
func (r Result) String() string {
	names := [...]string{"none", "refused", "leaving", "silent", "misplaced", "rejected", "failed", "lost", "answered", "expired", "unsent"}
	if int(r) >= len(names) {
		return "invalid"
	}
	return names[r]
}
