package admission

import (
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// Defaults for Config.
const (
	// DefaultQueueDelayTarget is the queuing delay that the threshold aims at. The queue
	// then covers the variation of one threshold interval without adding a delay
	// that callers notice.
	DefaultQueueDelayTarget = 10 * time.Millisecond
	// DefaultQueuePerSlot is the queue limit per slot. A queue that takes two mean
	// run times to empty keeps the server busy over one threshold interval.
	DefaultQueuePerSlot = 2
	// minQueueLimit keeps the queue useful for backend servers with few slots.
	minQueueLimit = 8
)

// Config describes one backend server. Zero fields take their defaults.
type Config struct {
	// Slots is the published number of requests that the server runs at once.
	Slots int
	// QueueLimit is the highest number of queued requests.
	QueueLimit int
	// QueueDelayTarget is the queuing delay that the threshold aims at.
	QueueDelayTarget time.Duration
	// OnViolation is called with a description of each violated invariant.
	OnViolation func(msg string)
}

// Request is one arriving call.
type Request struct {
	// ID identifies the request until its final answer.
	ID uuid.UUID
	// Priority is below callmeta.MaxPriority; lower values are more important.
	Priority int
	// Deadline is the time after which no caller waits for the answer; zero means none.
	Deadline time.Time
	// Kind is the request kind. Typical run times are kept per kind.
	Kind string
	// Isolated marks requests of which at most one runs at a time.
	Isolated bool
}

// Verdict is the immediate answer to an arrival.
type Verdict uint8

const (
	// Start means that the request runs now.
	Start Verdict = iota + 1
	// Queue means that an Event will follow.
	Queue
	// Refuse means that the request does not run; Decision.Code says why.
	Refuse
)

// Decision is the answer to Arrive.
type Decision struct {
	Verdict Verdict
	// Code is set for Refuse.
	Code resultcode.Code
	// Evicted lists queued requests that were refused to make room for this one.
	Evicted []Refusal
}

// Refusal is the final answer to a request that does not run.
type Refusal struct {
	ID   uuid.UUID
	Code resultcode.Code
}

// Event reports that a queued request starts or, if Start is false, that it is
// dropped with Code.
type Event struct {
	ID    uuid.UUID
	Start bool
	Code  resultcode.Code
}

// Outcome describes how a run ended.
type Outcome struct {
	// Latency is the time from start to end.
	Latency time.Duration
	// Downstream is the part of Latency in which downstream calls were open.
	Downstream time.Duration
	// Dropped reports that the backend server refused the request without running it.
	Dropped bool
	// Failed reports that the run ended without an answer; its latency is not recorded.
	Failed bool
}

// Stats is a snapshot of the state and of the counters since New.
type Stats struct {
	Running, Queued, Limit, Threshold int
	// Started counts runs; the other counters count final answers by reason.
	Started, Shed, QueueFull, Evicted, QueueTimeout, DeadlineTooShort, Canceled uint64
	// Violations counts violated invariants.
	Violations uint64
}
