package idempotency

import (
	"container/list"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/internal/indexheap"
)

// state is the state of a record.
type state uint8

const (
	stateUnsent         state = iota + 1 // owned by an attempt, not sent
	stateSent                            // may have been written to the backend server
	stateAnswered                        // ran; the answer may not be stored
	stateOutcomeUnknown                  // may have run; no answer is known
)

// binding holds what must be equal in all attempts of a request.
type binding struct {
	service, kind string
	fingerprint   uint64
}

func bindingOf(id Identity) binding {
	return binding{service: id.Service, kind: id.Kind, fingerprint: id.Fingerprint}
}

// record is the state of one request.
type record struct {
	recordID      recordID
	binding       binding
	owner         uuid.UUID
	state         state
	expires       time.Time
	expiryIndex   int // position in the expiry heap
	answer        *Answer
	size          int           // size of the answer when it was stored, in bytes
	answerElement *list.Element // position in Table.answers; valid while answer is set
}

// newExpiry returns a heap that orders records by their time of expiry.
func newExpiry() *indexheap.Heap[*record] {
	return indexheap.New(
		func(a, b *record) bool { return a.expires.Before(b.expires) },
		func(r *record) *int { return &r.expiryIndex },
	)
}

func (t *Table) add(rid recordID, id Identity) {
	r := &record{
		recordID: rid,
		binding:  bindingOf(id),
		owner:    id.Call,
		state:    stateUnsent,
		expires:  rid.time().Add(t.cfg.TTL),
	}
	t.records[rid] = r
	t.expiry.Push(r)
}

func (t *Table) remove(r *record) {
	t.dropAnswer(r)
	t.expiry.Remove(r)
	delete(t.records, r.recordID)
}

// advance moves the table's time forward, never back, and removes at most
// expirePerCall expired records.
func (t *Table) advance(now time.Time) {
	if now.After(t.now) {
		t.now = now
	}
	for range expirePerCall {
		first, ok := t.expiry.First()
		if !ok || !first.expires.Before(t.now) {
			return
		}
		t.expire(first)
	}
}

// expire removes a record if another attempt would be refused without it. Otherwise
// it keeps the record and reports a violation.
func (t *Table) expire(r *record) {
	if t.mayHaveRunCode(r.recordID) == 0 {
		t.violation("a record expired while its key was still accepted")
		return
	}
	t.remove(r)
}

// storeAnswer stores an answer and drops the oldest answers to stay within
// MaxAnswerBytes. It doesn't store one that alone exceeds the bound.
func (t *Table) storeAnswer(r *record, a *Answer) {
	size := answerSize(a)
	if a.NotKept || size > t.cfg.MaxAnswerBytes {
		return
	}
	for t.answerBytes+size > t.cfg.MaxAnswerBytes {
		t.dropAnswer(t.answers.Front().Value.(*record))
	}
	r.answer, r.size = a, size
	r.answerElement = t.answers.PushBack(r)
	t.answerBytes += size
}

// dropAnswer removes the stored answer of a record, if there is one.
func (t *Table) dropAnswer(r *record) {
	if r.answer == nil {
		return
	}
	t.answerBytes -= r.size
	t.answers.Remove(r.answerElement)
	r.answer, r.answerElement = nil, nil
}

// answerSize returns the size that counts towards MaxAnswerBytes.
func answerSize(a *Answer) int {
	size := answerOverhead + len(a.Body)
	for field, values := range a.Header {
		size += len(field)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}
