package quarantine

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"github.com/google/uuid"
)

// maxOtherCauses is the largest number of other requests that, together, are
// accepted as the explanation of a suspect's crashes. One is not enough, because
// two faults can occur at once; with more than two, a typical cause would be refused
// only after a fourth crash.
const maxOtherCauses = 2

// crash holds the suspects of the death of one backend server. suspectCount is their
// number, knownSuspects those whose reports have arrived.
type crash struct {
	incarnation   uuid.UUID
	at            time.Time
	suspectCount  int
	knownSuspects map[uint64]struct{}
}

// crashes keeps up to limit crashes, in the order in which their first reports
// arrived. The suspects of a crash stay known after their entries are removed.
type crashes struct {
	limit        int
	byID         map[uuid.UUID]*list.Element
	arrivalOrder *list.List
}

func newCrashes(limit int) crashes {
	return crashes{limit: limit, byID: make(map[uuid.UUID]*list.Element), arrivalOrder: list.New()}
}

func (c *crashes) add(r Report) {
	el := c.byID[r.Incarnation]
	if el == nil {
		for c.arrivalOrder.Len() >= c.limit {
			c.remove(c.arrivalOrder.Front())
		}
		el = c.arrivalOrder.PushBack(&crash{incarnation: r.Incarnation, at: r.At, suspectCount: r.Suspects, knownSuspects: make(map[uint64]struct{})})
		c.byID[r.Incarnation] = el
	}
	cr := el.Value.(*crash)
	if len(cr.knownSuspects) < cr.suspectCount {
		cr.knownSuspects[r.Fingerprint] = struct{}{}
	}
}

// complete reports whether reports of all suspects of the crash are known.
func (c *crashes) complete(incarnation uuid.UUID) bool {
	cr := c.get(incarnation)
	return cr != nil && len(cr.knownSuspects) >= cr.suspectCount
}

func (c *crashes) get(incarnation uuid.UUID) *crash {
	if el := c.byID[incarnation]; el != nil {
		return el.Value.(*crash)
	}
	return nil
}

// expire removes crashes that happened before the given time, at most
// expirePerCall per call. It stops at the first crash in order of arrival that
// is not older.
func (c *crashes) expire(before time.Time) {
	for range expirePerCall {
		front := c.arrivalOrder.Front()
		if front == nil || !front.Value.(*crash).at.Before(before) {
			return
		}
		c.remove(front)
	}
}

func (c *crashes) remove(el *list.Element) {
	delete(c.byID, el.Value.(*crash).incarnation)
	c.arrivalOrder.Remove(el)
}

// isCause reports whether other suspects fail to explain the crashes of e, so that
// e must be a cause: no maxOtherCauses of them together account for all crashes. Only
// crashes whose suspects are all known count.
func (t *Tracker) isCause(e *entry) bool {
	var known []*crash
	for _, r := range e.reports {
		if t.crashes.complete(r.Incarnation) {
			known = append(known, t.crashes.get(r.Incarnation))
		}
	}
	slices.SortFunc(known, func(a, b *crash) int { return cmp.Compare(a.suspectCount, b.suspectCount) })
	return !t.explained(e, known, maxOtherCauses)
}

// explained reports whether some suspects other than e, at most causes of them, together account for
// all the crashes. Suspects that have been answered since a crash don't account for it.
func (t *Tracker) explained(e *entry, unexplained []*crash, causes int) bool {
	if len(unexplained) == 0 {
		return true
	}
	if causes == 0 {
		return false
	}
	for fp := range unexplained[0].knownSuspects {
		if fp == e.fingerprint || t.clearedSince(fp, unexplained[0]) {
			continue
		}
		var rest []*crash
		for _, c := range unexplained[1:] {
			if _, suspected := c.knownSuspects[fp]; !suspected || t.clearedSince(fp, c) {
				rest = append(rest, c)
			}
		}
		if t.explained(e, rest, causes-1) {
			return true
		}
	}
	return false
}

// clearedSince reports whether a run of fp was answered after the crash.
func (t *Tracker) clearedSince(fp uint64, c *crash) bool {
	e := t.entries[fp]
	return e != nil && !c.at.After(e.cleared)
}
