package idempotency

import (
	"container/list"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/internal/indexheap"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

const (
	// DefaultSkew is the default of Config.Skew.
	DefaultSkew = time.Second
	// DefaultTTL is the default of Config.TTL.
	DefaultTTL = 10 * time.Minute
	// DefaultMaxRecords is the default of Config.MaxRecords.
	DefaultMaxRecords = 100_000
	// DefaultMaxAnswerBytes is the default of Config.MaxAnswerBytes.
	DefaultMaxAnswerBytes = 8 << 20

	// expirePerCall bounds the expired records that one call removes. One call adds
	// at most 1 record, so any bound above 1 lets expiry keep up with any load.
	expirePerCall = 4
	// answerOverhead is added to the size of each stored answer, in bytes, for its
	// header map and its list element. It bounds the number of empty answers too.
	answerOverhead = 512
)

// Config configures a Table. Zero durations and bounds take the defaults.
type Config struct {
	// Service and Upstream name the service and the upstream of the process. Tokens
	// for others are refused.
	Service, Upstream string
	// Incarnation is the process that owns the table.
	Incarnation uuid.UUID
	// Started is the local time at the start of the process.
	Started time.Time
	// Skew bounds the difference between the clocks of two VMs.
	Skew time.Duration
	// TTL is how long a record is kept after the time in its key or token.
	TTL time.Duration
	// MaxRecords bounds the records, MaxAnswerBytes the size of the stored answers
	// in bytes. With a negative MaxAnswerBytes no answers are stored.
	MaxRecords, MaxAnswerBytes int
	// OnViolation is called when a method call breaks the contract of the package,
	// and when the table has prevented a step, its own or a requested one, that
	// could let a request run twice. It may be nil.
	OnViolation func(msg string)
}

// Identity identifies a request and one attempt to send it.
type Identity struct {
	// Service and Kind are the service that the request is for and its kind.
	Service, Kind string
	// Key is the caller's idempotency key, Token a token for this service and
	// upstream. Exactly one of them is set.
	Key, Token string
	// Fingerprint is the hash of the content of the request.
	Fingerprint uint64
	// Call identifies the attempt. MarkSent, MarkNotRun, MarkRefused and Finish
	// have an effect only for the attempt that got Run.
	Call uuid.UUID
}

// Answer is a complete answer of the backend server. The table stores it without
// copying it; it must not be changed afterwards.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// NotKept is set if the request ran, but the body of its answer was too large
	// to be captured. Such an answer is not stored.
	NotKept bool
}

// Verdict says what to do with an attempt.
type Verdict uint8

const (
	// Run means that this attempt owns the record and may run the request.
	Run Verdict = iota + 1
	// Join means that another attempt owns the record; this one awaits its outcome.
	Join
	// Replay means that the request ran and Decision.Answer is its answer.
	Replay
	// Refuse means that this attempt ends with Decision.Code.
	Refuse
)

// Decision is the result of Begin.
type Decision struct {
	Verdict Verdict
	// Code is set for Refuse.
	Code resultcode.Code
	// Answer is set for Replay.
	Answer *Answer
	// Owner is the Call of the attempt that owns the record, for Run and Join.
	Owner uuid.UUID
}

// Stats holds the current sizes of a table.
type Stats struct {
	Records, AnswerBytes int
}

// Table holds the at-most-once records of one process. It is not safe for
// concurrent use.
type Table struct {
	cfg              Config
	now              time.Time
	fenceBase        time.Time
	replaced         bool
	newKeysSuspended bool
	records          map[recordID]*record
	expiry           *indexheap.Heap[*record]
	answers          *list.List
	answerBytes      int
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	setDefault(&cfg.Skew, DefaultSkew)
	setDefault(&cfg.TTL, DefaultTTL)
	setDefault(&cfg.MaxRecords, DefaultMaxRecords)
	setDefault(&cfg.MaxAnswerBytes, DefaultMaxAnswerBytes)
	return &Table{
		expiry:    newExpiry(),
		cfg:       cfg,
		now:       cfg.Started,
		fenceBase: cfg.Started,
		records:   make(map[recordID]*record),
		answers:   list.New(),
	}
}

func setDefault[T ~int | ~int64](value *T, defaultValue T) {
	if *value == 0 {
		*value = defaultValue
	}
}

// Begin decides about one attempt. If the request has a record, the record decides;
// otherwise the request gets a record and Run, or a refusal.
func (t *Table) Begin(now time.Time, id Identity) Decision {
	t.advance(now)
	rid, code := t.identify(id)
	if code != 0 {
		return refuse(code)
	}
	if r := t.records[rid]; r != nil {
		return t.decideKnown(r, rid, id)
	}
	if code := t.checkNewRequest(rid); code != 0 {
		return refuse(code)
	}
	t.add(rid, id)
	return Decision{Verdict: Run, Owner: id.Call}
}

func refuse(code resultcode.Code) Decision { return Decision{Verdict: Refuse, Code: code} }

// decideKnown decides about an attempt of a request that has a record.
func (t *Table) decideKnown(r *record, rid recordID, id Identity) Decision {
	if r.binding != bindingOf(id) {
		return refuse(rid.mismatchCode())
	}
	switch {
	case r.state == stateOutcomeUnknown:
		return refuse(resultcode.RunLost)
	case r.state != stateAnswered:
		return Decision{Verdict: Join, Owner: r.owner}
	case r.answer == nil:
		return refuse(resultcode.AnswerNotKept)
	default:
		return Decision{Verdict: Replay, Answer: r.answer}
	}
}

// MarkSent records that the request is about to be written to the backend server.
// It returns true only to the owner of the record, and only once; if it returns
// false, nothing may be written.
func (t *Table) MarkSent(id Identity) bool {
	r := t.ownedRecord(id)
	if r == nil {
		return false
	}
	if r.state != stateUnsent {
		t.violation("MarkSent was called twice for a record")
		return false
	}
	r.state = stateSent
	return true
}

// MarkNotRun removes a record that was never sent, so that another attempt can run
// the request. A record that was sent stays, with an unknown outcome, because
// MarkNotRun proves nothing about the backend server; see MarkRefused.
func (t *Table) MarkNotRun(id Identity) {
	r := t.ownedRecord(id)
	if r == nil || r.state == stateAnswered || r.state == stateOutcomeUnknown {
		return
	}
	if r.state == stateSent {
		t.violation("MarkNotRun was called for a record that was sent")
		r.state = stateOutcomeUnknown
		return
	}
	t.remove(r)
}

// MarkRefused removes the record of a request that provably did not run on the
// backend server: the server refused it, or nothing was written to the connection.
func (t *Table) MarkRefused(id Identity) {
	if r := t.ownedRecord(id); r != nil && (r.state == stateUnsent || r.state == stateSent) {
		t.remove(r)
	}
}

// Finish ends a run with its complete answer, or with nil if its outcome is
// unknown.
func (t *Table) Finish(now time.Time, id Identity, a *Answer) {
	t.advance(now)
	r := t.ownedRecord(id)
	if r == nil || r.state == stateAnswered || r.state == stateOutcomeUnknown {
		return
	}
	if r.state == stateUnsent {
		t.violation("Finish was called for a record that was not sent")
	}
	if a == nil {
		r.state = stateOutcomeUnknown
		return
	}
	r.state = stateAnswered
	t.storeAnswer(r, a)
}

// LaterIncarnation records that a later incarnation of the same service and upstream
// name exists. From then on a key without a record is refused as not_home. Tokens
// are not affected: they name this incarnation.
func (t *Table) LaterIncarnation() { t.replaced = true }

// SuspendNewKeys refuses keys without a record as home_unavailable until
// ResumeNewKeys. It is for a process that can't know whether it was replaced: after
// a pause, a call that waited in a socket buffer may have run at the replacement
// in the meantime.
func (t *Table) SuspendNewKeys() { t.newKeysSuspended = true }

// ResumeNewKeys ends SuspendNewKeys. Before it is called, the process must have
// learned after the pause, from its peers or the list of VMs, that no later incarnation
// of the same service and upstream name exists.
func (t *Table) ResumeNewKeys() { t.newKeysSuspended = false }

// Stats returns the current sizes.
func (t *Table) Stats() Stats {
	return Stats{Records: len(t.records), AnswerBytes: t.answerBytes}
}

// ownedRecord returns the record of the request if this attempt owns it, or nil.
func (t *Table) ownedRecord(id Identity) *record {
	rid, code := t.identify(id)
	if code != 0 {
		return nil
	}
	if r := t.records[rid]; r != nil && r.owner == id.Call {
		return r
	}
	return nil
}

func (t *Table) violation(msg string) {
	if t.cfg.OnViolation != nil {
		t.cfg.OnViolation(msg)
	}
}
