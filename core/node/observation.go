package node

import (
	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/core/retry"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// ObservationType is the type of an Observation.
type ObservationType string

// Types of observations.
const (
	ObservedRefused  ObservationType = "refused"
	ObservedRetry    ObservationType = "retry"
	ObservedNoRetry  ObservationType = "no_retry"
	ObservedPause    ObservationType = "pause"
	ObservedCrash    ObservationType = "backend_crash"
	ObservedConfig   ObservationType = "config"
	ObservedEvicted  ObservationType = "evicted"
	ObservedJoined   ObservationType = "joined"
	ObservedReplaced ObservationType = "replaced"
	ObservedReplayed ObservationType = "replayed"
)

// Observation is one decision or event to be counted.
type Observation struct {
	Type ObservationType
	// Code is the code of the refusal, or of the attempt that is or is not retried.
	Code resultcode.Code
	// Retry is the reason why a call is or is not retried.
	Retry retry.Reason
	// Reason is the verdict on a configuration.
	Reason string
	// Service and Kind name the call's destination.
	Service, Kind string
}

// Invariant is the name of a guarantee that is checked at run time.
type Invariant string

// Invariants in the order of the design page.
const (
	InvariantRetryBound     Invariant = "retry_bound"
	InvariantShedOrder      Invariant = "shed_order"
	InvariantOwnAnswer      Invariant = "own_answer"
	InvariantNotRun         Invariant = "not_run"
	InvariantAtMostOnce     Invariant = "at_most_once"
	InvariantLeaving        Invariant = "leaving"
	InvariantGracefulStop   Invariant = "graceful_stop"
	InvariantConfigForwards Invariant = "config_forwards"
)

// Violation describes a violated invariant.
type Violation struct {
	Invariant Invariant
	// RequestID identifies the request concerned. It is the daemon's incarnation if the
	// whole daemon is concerned, or zero.
	RequestID uuid.UUID
	Message   string
}

func (n *Node) reportViolation(inv Invariant, id uuid.UUID, msg string) {
	n.cfg.OnViolation(Violation{Invariant: inv, RequestID: id, Message: msg})
}

func (n *Node) violationHook(inv Invariant) func(string) {
	return func(msg string) { n.reportViolation(inv, uuid.Nil, msg) }
}
