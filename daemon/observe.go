package daemon

import (
	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/node"
	"github.com/hawthornpoint/hawthornpoint/operator"
)

// eventsByObservation maps observations of the node to the counted events.
var eventsByObservation = map[node.ObservationType]operator.Event{
	node.ObservedPause:    operator.EventPaused,
	node.ObservedCrash:    operator.EventBackendCrashed,
	node.ObservedEvicted:  operator.EventEvicted,
	node.ObservedJoined:   operator.EventJoined,
	node.ObservedReplaced: operator.EventReplaced,
	node.ObservedReplayed: operator.EventReplayed,
}

// eventsByVerdict maps the verdicts on configurations to the counted events.
var eventsByVerdict = map[string]operator.Event{
	config.Accepted.String(): operator.EventConfigAccepted,
	config.Older.String():    operator.EventConfigOlder,
	config.Conflict.String(): operator.EventConfigConflict,
	config.Invalid.String():  operator.EventConfigInvalid,
}

// observe counts a decision of the node. d.mu must be held.
func (d *Daemon) observe(o node.Observation) {
	switch o.Type {
	case node.ObservedRefused:
		d.counters.Result(o.Code)
	case node.ObservedRetry, node.ObservedNoRetry:
		d.counters.Retry(o.Retry)
	case node.ObservedConfig:
		if e, ok := eventsByVerdict[o.Reason]; ok {
			d.counters.Event(e)
		}
	default:
		if e, ok := eventsByObservation[o.Type]; ok {
			d.counters.Event(e)
		}
	}
}

// invalidAnswer counts and logs an answer of a backend server or of a peer that is broken and not passed on as a complete one.
func (d *Daemon) invalidAnswer(address string, err error) {
	d.counters.Event(operator.EventAnswerInvalid)
	d.log.Warn("invalid answer", zap.String("address", address), zap.String("error", err.Error()))
}

// onViolation counts and logs a violated invariant, and panics if PanicOnViolation is
// set. d.mu must be held.
func (d *Daemon) onViolation(v node.Violation) {
	d.counters.Violation(string(v.Invariant))
	d.log.Error("invariant violated", zap.String("invariant", string(v.Invariant)),
		zap.Stringer("request", v.RequestID), zap.String("detail", v.Message))
	if d.opts.PanicOnViolation {
		panic("invariant violated: " + string(v.Invariant) + ": " + v.Message)
	}
}
