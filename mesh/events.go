package mesh

import "go.uber.org/zap/zapcore"

// Events that log lines are about, as their messages.
const (
	eventStarted   = "started"
	eventStopping  = "stopping"
	eventStopped   = "stopped"
	eventReload    = "settings changed"
	eventSummary   = "summary"
	eventListener  = "listener failed"
	eventStoreLost = "store lost"
	eventStoreBack = "store regained"
	eventCompacted = "store history compacted"
	eventSource    = "source failed"
	eventUpdated   = "replica updated"
	eventItem      = "item not readable"
	eventConfig    = "configuration in force"
	eventNoConfig  = "configuration refused"
	eventListed    = "upstream listed"
	eventRemoved   = "upstream removed"
	eventGone      = "upstream gone"
	eventSilent    = "peer connection silent"
	eventGate      = "gate"

	eventUnreadable = "request not parsed"
	eventNotLetIn   = "not let in"
	eventAttempt    = "attempt"
	eventAnswered   = "answered"
	eventRefused    = "refused"
	eventBroken     = "answer broke off"
	eventLeft       = "caller left"
	eventNoSlot     = "slot refused"
	eventWithdrawn  = "grant withdrawn"
	eventExchange   = "backend exchange failed"
)

// ordinary holds the events that are dropped first when there are too many lines: a later
// line about the same request, or the summary, tells the most of them.
var ordinary = map[string]bool{
	eventAttempt: true, eventAnswered: true, eventNoSlot: true, eventWithdrawn: true,
	eventUpdated: true, eventGate: true,
}

// Telling reports whether a log line is among the last to be dropped. It suits
// logqueue.Options.
func Telling(e zapcore.Entry) bool { return !ordinary[e.Message] }
