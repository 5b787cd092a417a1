package dispatch

import (
	"time"

	"github.com/hawthornpoint/hawthornpoint/core/directory"
	"github.com/hawthornpoint/hawthornpoint/core/routing"
	"github.com/hawthornpoint/hawthornpoint/core/slots"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// OutgoingRequest is one outgoing request over all its attempts.
type OutgoingRequest struct {
	// Route and Service say where the request goes.
	Route   *routing.Route
	Service string
	// Arrived is when the request was opened, Objective when its answer should be available.
	// Deadline is when it ends: after the time left at Open, or after the route's timeout if
	// that is shorter, or when the daemon stops, see StopBy.
	Arrived, Objective, Deadline time.Time
	// Suspect is a key of the request if equal ones ran at a crash of an upstream, otherwise empty.
	// It may change between two steps. All daemons ask the upstreams for a suspect in the same order,
	// which the key determines, so that its copies run one after the other.
	Suspect string

	tried      map[string]bool // upstreams that were asked and did not grant a slot
	mayHaveRun map[string]bool // upstreams that may have begun to run it
	// target and incarnation identify the upstream of the latest attempt.
	target      string
	incarnation int64
	asking      time.Time // when the upstream of the latest attempt was chosen
	asked       int
	sent        int
	lost        bool // an attempt may have run without a known outcome
	reserved    bool // the budget has been charged for the next repeat
	stopping    bool // Deadline is when the daemon stops
	// refusals counts upstreams that refused for load. mayQueue allows the next one to queue
	// the request.
	refusals int
	mayQueue bool
	minWait  time.Duration // shortest wait that came with a refusal
}

// Sent returns the number of upstreams that the request was sent to.
func (r *OutgoingRequest) Sent() int { return r.sent }

// Asked returns how often an upstream was asked for a slot.
func (r *OutgoingRequest) Asked() int { return r.asked }

// Step says what to do next with a request.
type Step struct {
	// Upstream is the upstream to ask for a slot and to send to, if Code is 0 and Deliver is
	// not set.
	Upstream directory.Upstream
	// MayQueue allows the upstream to queue the request.
	MayQueue bool
	// LeastLeft is the least time until the deadline with which the request may be sent, 0 for any.
	LeastLeft time.Duration
	// Code ends the request if it is not 0.
	Code resultcode.Code
	// RetryAfter is the time after which a refused caller may retry. It is not set if an
	// attempt may have run.
	RetryAfter time.Duration
	// Deliver ends the request with the answer of the reported attempt.
	Deliver bool
	// Reason names the deciding input, for the log.
	Reason string
	// LoadAge is the age of the load report on which the choice of Upstream was based, -1 s if
	// there was none.
	LoadAge time.Duration
	// Rate is the limit on starts per second that Upstream last reported, 0 for none.
	Rate float64
	// Placement says why Upstream was chosen, and RelativeRun how long it is expected to take for a run,
	// as a multiple of the average of its service.
	Placement   Placement
	RelativeRun float64
	// AvoidFor is how long the upstream of the previous attempt is avoided, 0 if it is not.
	AvoidFor time.Duration
}

// Placement says why an upstream was chosen, for the log and the counters.
type Placement string

// Reasons of choices.
const (
	// Explored: at random, so that its state is known.
	Explored Placement = "explored"
	// OwnZoneFree: it is the cheapest of the own zone and has a free slot.
	OwnZoneFree Placement = "own_zone_free"
	// OwnZoneCheaper: no upstream of the own zone has a free slot or meets the objective, and those of
	// other zones cost more.
	OwnZoneCheaper Placement = "own_zone_cheaper"
	// OtherZoneCheaper: an upstream of another zone costs less, with the price of the zone.
	OtherZoneCheaper Placement = "other_zone_cheaper"
	// OwnZoneEmpty: there is no usable upstream in the own zone.
	OwnZoneEmpty Placement = "own_zone_empty"
	// OrderOfSuspects: the request is a suspect, for which all daemons ask in one order.
	OrderOfSuspects Placement = "order_of_suspects"
)

// Result is the outcome of one attempt.
type Result uint8

// Results of attempts.
const (
	// Refused: the upstream's daemon refused the request for load; it has not run.
	Refused Result = iota + 1
	// Leaving: the upstream or its daemon is leaving; the request has not run.
	Leaving
	// NoReply: the request was not sent, for example because no reply came, the grant of the
	// slot had expired, or the backend server accepts no connections; it has not run.
	NoReply
	// WrongUpstream: another upstream is at that address; the request has not run.
	WrongUpstream
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
	// Quarantined: earlier runs of equal requests crashed upstreams; the request has not run.
	Quarantined
)

// Report is the outcome of one attempt and the data that came with it.
type Report struct {
	Result Result
	// Load is the load of the upstream, valid if HasLoad is set.
	Load    slots.Load
	HasLoad bool
	// BlockedBelow says that calls of the upstream are blocked, so that a run that has failed would fail at others too.
	BlockedBelow bool
	// Wait is the expected time until a slot is free, for Refused and Rejected, or until the
	// quarantine ends, for Quarantined.
	Wait time.Duration
	// Elapsed is the time from sending the request to the answer.
	Elapsed time.Duration
	// Retryable says that the request can be sent again: its body is still available, and no
	// part of an answer was passed on.
	Retryable bool
	// Quarantined says that equal requests are now known to crash upstreams.
	Quarantined bool
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
	names := [...]string{"none", "refused", "leaving", "silent", "misplaced", "rejected", "failed", "lost", "answered", "expired", "unsent", "quarantined"}
	if int(r) >= len(names) {
		return "invalid"
	}
	return names[r]
}
