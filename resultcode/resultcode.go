package resultcode

import "net/http"

// Code is the numbered result of one call.
type Code uint16

// Kind is the class of a Code: whether the call was answered, was not run, or has an
// unknown outcome.
type Kind uint8

const (
	// Answered means that the caller received the complete answer.
	Answered Kind = iota + 1
	// NotRun means that no backend server ran the call.
	NotRun
	// OutcomeUnknown means that a backend server may or may not have run the call.
	OutcomeUnknown
)

// String returns the name of the kind as in docs/result-codes.md, or "invalid".
func (k Kind) String() string {
	switch k {
	case Answered:
		return "answered"
	case NotRun:
		return "not run"
	case OutcomeUnknown:
		return "outcome unknown"
	default:
		return "invalid"
	}
}

// Codes of kind Answered.
const (
	OK       Code = 100
	Replayed Code = 101
)

// Codes of kind NotRun.
const (
	Shed                  Code = 200
	ShedEarly             Code = 201
	QueueFull             Code = 202
	QueueTimeout          Code = 203
	DeadlineTooShort      Code = 204
	CanceledBeforeStart   Code = 205
	BackendRefused        Code = 206
	BackendDown           Code = 207
	Leaving               Code = 208
	NoUpstream            Code = 209
	ConnectFailed         Code = 210
	Quarantined           Code = 211
	NotHome               Code = 212
	HomeMoving            Code = 213
	HomeUnavailable       Code = 214
	KeyFromFuture         Code = 215
	BadKey                Code = 216
	BadToken              Code = 217
	RecordsFull           Code = 218
	UnknownService        Code = 219
	UnknownKind           Code = 220
	BadRequest            Code = 221
	BodyTooLarge          Code = 222
	TooDeep               Code = 223
	NotConfigured         Code = 224
	TooManyCalls          Code = 225
	ConfigurationMismatch Code = 226
	UnknownKey            Code = 227
	QuotaExceeded         Code = 228
	ConfigurationStale    Code = 229
)

// Codes of kind OutcomeUnknown.
const (
	AttemptLost          Code = 300
	DeadlineExceeded     Code = 301
	CanceledWhileRunning Code = 302
	KeyBeforeIncarnation Code = 303
	KeyExpired           Code = 304
	TokenIncarnationGone Code = 305
	TokenExpired         Code = 306
	BackendCrashed       Code = 307
	AnswerNotKept        Code = 308
	AnswerTruncated      Code = 309
	RunLost              Code = 310
	HomeNotAsked         Code = 311
)

// Info describes one code.
type Info struct {
	// Code is the described code.
	Code Code
	// Name is the stable snake_case name used in logs, counters and headers.
	Name string
	// Kind is the class of the code.
	Kind Kind
	// HTTPStatus is the status of the HTTP response that carries the code. It is 0
	// for codes with which the backend server's own status is passed on.
	HTTPStatus int
	// Meaning describes the code for operators in one sentence.
	Meaning string
}

var table = []Info{
	{OK, "ok", Answered, 0, "The backend server answered."},
	{Replayed, "replayed", Answered, 0, "The call ran earlier under the same key or token; this is the recorded answer."},

	{Shed, "shed", NotRun, http.StatusServiceUnavailable, "The priority is at or above the admission threshold of the upstream."},
	{ShedEarly, "shed_early", NotRun, http.StatusServiceUnavailable, "Upstreams further down the call graph are refusing this priority."},
	{QueueFull, "queue_full", NotRun, http.StatusServiceUnavailable, "The queue is full of requests that are at least as important, or a more important request took the place."},
	{QueueTimeout, "queue_timeout", NotRun, http.StatusGatewayTimeout, "The deadline passed while the call was queued."},
	{DeadlineTooShort, "deadline_too_short", NotRun, http.StatusGatewayTimeout, "The remaining time is shorter than this kind of request usually takes."},
	{CanceledBeforeStart, "canceled_before_start", NotRun, 499, "The caller went away before the call started."},
	{BackendRefused, "backend_refused", NotRun, http.StatusServiceUnavailable, "The backend server refused the call before running it."},
	{BackendDown, "backend_down", NotRun, http.StatusServiceUnavailable, "The local backend server does not accept connections."},
	{Leaving, "leaving", NotRun, http.StatusServiceUnavailable, "The upstream is shutting down and takes no new work."},
	{NoUpstream, "no_upstream", NotRun, http.StatusServiceUnavailable, "No upstream of the service is known or usable."},
	{ConnectFailed, "connect_failed", NotRun, http.StatusBadGateway, "No connection to the upstream could be opened and nothing was sent."},
	{Quarantined, "quarantined", NotRun, http.StatusUnprocessableEntity, "Earlier runs of this request crashed backend servers."},
	{NotHome, "not_home", NotRun, http.StatusConflict, "The upstream is not the home of the idempotency key under its configuration."},
	{HomeMoving, "home_moving", NotRun, http.StatusServiceUnavailable, "The home of the idempotency key differs between the current and a previous upstream list."},
	{HomeUnavailable, "home_unavailable", NotRun, http.StatusServiceUnavailable, "The home upstream of the idempotency key or token cannot be reached."},
	{KeyFromFuture, "key_from_future", NotRun, http.StatusBadRequest, "The time in the idempotency key is ahead of the upstream's clock."},
	{BadKey, "bad_key", NotRun, http.StatusBadRequest, "The idempotency key is not a version 7 UUID."},
	{BadToken, "bad_token", NotRun, http.StatusBadRequest, "The token is malformed or belongs to another service."},
	{RecordsFull, "records_full", NotRun, http.StatusServiceUnavailable, "The at-most-once table has no room for another record."},
	{UnknownService, "unknown_service", NotRun, http.StatusNotFound, "The configuration describes no such service."},
	{UnknownKind, "unknown_kind", NotRun, http.StatusNotFound, "The service describes no request kind for this method and path."},
	{BadRequest, "bad_request", NotRun, http.StatusBadRequest, "The request or its call metadata is malformed."},
	{BodyTooLarge, "body_too_large", NotRun, http.StatusRequestEntityTooLarge, "The request body exceeds the configured limit."},
	{TooDeep, "too_deep", NotRun, http.StatusLoopDetected, "The call chain is deeper than allowed."},
	{NotConfigured, "not_configured", NotRun, http.StatusServiceUnavailable, "The daemon has not accepted a configuration yet."},
	{TooManyCalls, "too_many_calls", NotRun, http.StatusServiceUnavailable, "The daemon already holds its maximum number of calls."},
	{ConfigurationMismatch, "configuration_mismatch", NotRun, http.StatusConflict, "The two daemons hold configurations that disagree about this call."},
	{UnknownKey, "unknown_key", NotRun, http.StatusUnauthorized, "The request carries no key of a tenant of the configuration."},
	{QuotaExceeded, "quota_exceeded", NotRun, http.StatusTooManyRequests, "The tenant has used its quota."},
	{ConfigurationStale, "configuration_stale", NotRun, http.StatusServiceUnavailable, "The daemon can't prove that its configuration is recent enough for a request with a key."},

	{AttemptLost, "attempt_lost", OutcomeUnknown, http.StatusBadGateway, "The connection broke after the call was sent."},
	{DeadlineExceeded, "deadline_exceeded", OutcomeUnknown, http.StatusGatewayTimeout, "The deadline passed after the call was sent."},
	{CanceledWhileRunning, "canceled_while_running", OutcomeUnknown, 499, "The caller went away after the call was sent."},
	{KeyBeforeIncarnation, "key_before_incarnation", OutcomeUnknown, http.StatusConflict, "The key may have run before the home upstream restarted."},
	{KeyExpired, "key_expired", OutcomeUnknown, http.StatusConflict, "The key is older than the life of a record."},
	{TokenIncarnationGone, "token_incarnation_gone", OutcomeUnknown, http.StatusConflict, "The upstream process named by the token no longer exists."},
	{TokenExpired, "token_expired", OutcomeUnknown, http.StatusConflict, "The token is older than the life of a record."},
	{BackendCrashed, "backend_crashed", OutcomeUnknown, http.StatusBadGateway, "The backend server died while it ran the call."},
	{AnswerNotKept, "answer_not_kept", OutcomeUnknown, http.StatusConflict, "The call ran, but its answer is no longer held."},
	{AnswerTruncated, "answer_truncated", OutcomeUnknown, http.StatusBadGateway, "The answer broke off before its end."},
	{RunLost, "run_lost", OutcomeUnknown, http.StatusConflict, "An earlier send of the same key or token was started and its outcome was lost."},
	{HomeNotAsked, "home_not_asked", OutcomeUnknown, http.StatusServiceUnavailable, "This send was refused before the home of its key or token was asked; an earlier send of the same key may have run."},
}

var byCode = indexTable()

func indexTable() map[Code]Info {
	m := make(map[Code]Info, len(table))
	for _, info := range table {
		m[info.Code] = info
	}
	return m
}

// All returns the descriptions of all codes, in ascending order of the codes.
func All() []Info {
	return append([]Info(nil), table...)
}

// Kind returns the kind of the code, or 0 when the number is not assigned.
func (c Code) Kind() Kind { return byCode[c].Kind }

// Valid reports whether the number is assigned.
func (c Code) Valid() bool { return byCode[c].Kind != 0 }

// String returns the snake_case name of the code, or "invalid".
func (c Code) String() string {
	if info, ok := byCode[c]; ok {
		return info.Name
	}
	return "invalid"
}

// HTTPStatus returns the status of the HTTP response that carries the code. It is 0
// when the backend server's own status is passed on or the number is not assigned.
func (c Code) HTTPStatus() int { return byCode[c].HTTPStatus }

// Meaning returns a description of the code in one sentence for operators, or an
// empty string when the number is not assigned.
func (c Code) Meaning() string { return byCode[c].Meaning }
