package mesh

import "go.uber.org/zap/zapcore"

// Events, which are the messages of log lines.
const (
	eventStarted            = "started"
	eventStopping           = "stopping"
	eventStopped            = "stopped"
	eventCloseIncomplete    = "close incomplete"
	eventReload             = "settings changed"
	eventSummary            = "summary"
	eventListenerFailed     = "listener failed"
	eventStoreLost          = "store lost"
	eventStoreRecovered     = "store regained"
	eventListNeeded         = "complete listing needed"
	eventStoreRestored      = "store restored from an older copy"
	eventListingIgnored     = "listing older than the replica"
	eventSourceFailed       = "source failed"
	eventUpdated            = "replica updated"
	eventUnreadableItem     = "item not readable"
	eventFutureReached      = "entry no longer starts in the future"
	eventConfig             = "configuration in force"
	eventConfigRefused      = "configuration refused"
	eventStale              = "configuration not provably recent"
	eventFresh              = "configuration provably recent"
	eventClockFailed        = "clock not readable"
	eventTenantInvalid      = "tenant not in force"
	eventListed             = "upstream listed"
	eventRelisted           = "upstream relisted"
	eventOutdated           = "upstream entry outdated"
	eventRemoved            = "upstream removed"
	eventExpired            = "upstream gone"
	eventQuotaDaemons       = "quota daemons changed"
	eventPeerLinkEnded      = "peer connection ended"
	eventTimeoutKept        = "peer connection keeps its time limit"
	eventPeerSilent         = "peer connection silent"
	eventPeerReplyUnwritten = "reply to peer not delivered"
	eventPeerMessageLong    = "peer message too long"
	eventGate               = "gate"
	eventRateStated         = "backend server stated a limit"
	eventRateEnded          = "backend server stated no limit"
	eventRateInvalid        = "backend server stated a limit that is not readable"
	eventRateAdopted        = "limit of the backend server adopted"
	eventUpstreamLeaving    = "upstream is leaving"
	eventReplaced           = "upstream replaced"
	eventBackendCrashed     = "backend server crashed"
	eventQuarantined        = "request quarantined"
	eventCleared            = "crash suspect cleared"
	eventPanic              = "panic"
	eventBudgetShort        = "budget short"
	eventBudgetEnough       = "budget no longer short"

	eventNotParsed      = "request not parsed"
	eventUnread         = "connection ended with unread requests"
	eventNotAdmitted    = "not let in"
	eventAttempt        = "attempt"
	eventAnswered       = "answered"
	eventRefused        = "refused"
	eventTruncated      = "answer broke off"
	eventCallerLeft     = "caller left"
	eventCut            = "request cut"
	eventSlotRefused    = "slot refused"
	eventWithdrawn      = "grant withdrawn"
	eventExchangeFailed = "backend exchange failed"
)

// lowPriority holds the events that are dropped first when there are too many lines. Most of
// their content is also in a later line about the same request, or in the summary.
var lowPriority = map[string]bool{
	eventAttempt: true, eventAnswered: true, eventSlotRefused: true, eventWithdrawn: true,
	eventUpdated: true, eventGate: true,
}

// HighPriority reports whether a log line is among the last to be dropped. It can be used as
// logqueue.Options.HighPriority.
func HighPriority(e zapcore.Entry) bool { return !lowPriority[e.Message] }
