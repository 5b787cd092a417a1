package retry

import (
	"time"

	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// Reason is the reason why an attempt is retried, or why it is not.
type Reason uint8

// Reasons to retry.
const (
	RetryConnectFailed Reason = iota + 1
	RetryOverloaded
	RetryBackendDown
	RetryLeaving
	RetryNotReady
	RetryMisrouted
	RetryLost
	RetryTimeout
	RetryCrashed

	firstNoRetry // equals the first reason not to retry
)

// Reasons not to retry.
const (
	NoRetryAnswered Reason = iota + firstNoRetry
	NoRetryRetriedBelow
	NoRetryPointless
	NoRetryCanceled
	NoRetryOutcomeUnknown
	NoRetryNotIdempotent
	NoRetryTimeLeft
	NoRetryRetriesLeft
	NoRetryBudget

	reasonCount
)

var reasonNames = [reasonCount]string{
	RetryConnectFailed:    "retry_connect_failed",
	RetryOverloaded:       "retry_overloaded",
	RetryBackendDown:      "retry_backend_down",
	RetryLeaving:          "retry_leaving",
	RetryNotReady:         "retry_not_ready",
	RetryMisrouted:        "retry_misrouted",
	RetryLost:             "retry_lost",
	RetryTimeout:          "retry_timeout",
	RetryCrashed:          "retry_crashed",
	NoRetryAnswered:       "no_retry_answered",
	NoRetryRetriedBelow:   "no_retry_retried_below",
	NoRetryPointless:      "no_retry_pointless",
	NoRetryCanceled:       "no_retry_canceled",
	NoRetryOutcomeUnknown: "no_retry_outcome_unknown",
	NoRetryNotIdempotent:  "no_retry_not_idempotent",
	NoRetryTimeLeft:       "no_retry_time_left",
	NoRetryRetriesLeft:    "no_retry_retries_left",
	NoRetryBudget:         "no_retry_budget",
}

// Reasons returns all reasons, for example to create a counter for each.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount)
	for r := Reason(1); r < reasonCount; r++ {
		all = append(all, r)
	}
	return all
}

// Retry reports whether r is a reason to retry.
func (r Reason) Retry() bool { return r > 0 && r < firstNoRetry }

// String returns the snake_case name used in counters and logs, or "invalid" for an
// undefined reason.
func (r Reason) String() string {
	if r < reasonCount && reasonNames[r] != "" {
		return reasonNames[r]
	}
	return "invalid"
}

// Attempt describes an attempt that has ended.
type Attempt struct {
	// Code is the result of the attempt.
	Code resultcode.Code
	// RetriedBelow is set when a hop further down the call tree has already retried
	// the failure.
	RetriedBelow bool
	// Idempotent is set when the request may safely run more than once.
	Idempotent bool
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// TimeNeeded is the backoff plus the typical run time of the request's kind.
	TimeNeeded time.Duration
	// RetriesLeft is the number of retries that remain in the ledger.
	RetriesLeft int
}

// reasonByCode holds, for each code, the reason to retry or not to retry that the code
// alone gives. A retry after a code that is missing is pointless: the same request
// gets the same result, or the failure was concluded after all upstreams had been
// considered.
var reasonByCode = map[resultcode.Code]Reason{
	resultcode.OK:       NoRetryAnswered,
	resultcode.Replayed: NoRetryAnswered,

	resultcode.Shed:           RetryOverloaded,
	resultcode.QueueFull:      RetryOverloaded,
	resultcode.QueueTimeout:   RetryOverloaded,
	resultcode.BackendRefused: RetryOverloaded,
	resultcode.RecordsFull:    RetryOverloaded,
	resultcode.TooManyCalls:   RetryOverloaded,

	resultcode.ConnectFailed:         RetryConnectFailed,
	resultcode.BackendDown:           RetryBackendDown,
	resultcode.Leaving:               RetryLeaving,
	resultcode.NotConfigured:         RetryNotReady,
	resultcode.NotHome:               RetryMisrouted,
	resultcode.ConfigurationMismatch: RetryMisrouted,

	resultcode.DeadlineTooShort:     NoRetryTimeLeft,
	resultcode.CanceledBeforeStart:  NoRetryCanceled,
	resultcode.CanceledWhileRunning: NoRetryCanceled,

	resultcode.AttemptLost:      RetryLost,
	resultcode.AnswerTruncated:  RetryLost,
	resultcode.DeadlineExceeded: RetryTimeout,
	resultcode.BackendCrashed:   RetryCrashed,

	resultcode.KeyBeforeIncarnation: NoRetryOutcomeUnknown,
	resultcode.KeyExpired:           NoRetryOutcomeUnknown,
	resultcode.TokenIncarnationGone: NoRetryOutcomeUnknown,
	resultcode.TokenExpired:         NoRetryOutcomeUnknown,
	resultcode.AnswerNotKept:        NoRetryOutcomeUnknown,
	resultcode.RunLost:              NoRetryOutcomeUnknown,
}

// Decide returns whether this hop may retry the attempt, and why, without regard to
// the destination's budget. It depends on its argument only.
func Decide(attempt Attempt) Reason {
	reason, ok := reasonByCode[attempt.Code]
	switch {
	case !ok:
		return NoRetryPointless
	case !reason.Retry():
		return reason
	case attempt.RetriedBelow:
		return NoRetryRetriedBelow
	case !attempt.Idempotent && attempt.Code.Kind() != resultcode.NotRun:
		return NoRetryNotIdempotent
	case attempt.TimeLeft <= 0 || attempt.TimeLeft < attempt.TimeNeeded:
		return NoRetryTimeLeft
	case attempt.RetriesLeft <= 0:
		return NoRetryRetriesLeft
	}
	return reason
}

// Admit decides like Decide and, if the attempt may be retried, takes the retry from
// the destination's budget and from the request's ledger. It sets RetriesLeft from
// the ledger. The budget is checked last, so that a retry that another rule refuses
// does not consume it. A retry after a connect failure takes nothing from the budget:
// the failed attempt put no load on the destination, and the ledger still bounds it.
func Admit(now time.Time, attempt Attempt, ledger *Ledger, budget *Budget) Reason {
	attempt.RetriesLeft = ledger.Remaining()
	reason := Decide(attempt)
	if !reason.Retry() {
		return reason
	}
	if reason != RetryConnectFailed && !budget.Allow(now) {
		return NoRetryBudget
	}
	ledger.Use()
	return reason
}

// Overloaded reports whether the code means that the destination refused the call
// because of overload. Such attempts must be passed to Budget.RecordOverload.
func Overloaded(code resultcode.Code) bool { return reasonByCode[code] == RetryOverloaded }
