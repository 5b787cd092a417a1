package quarantine

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/internal/indexheap"
)

const (
	// expirePerCall bounds the expired entries, crashes and abandoned calls that one
	// method call removes.
	expirePerCall = 8
	// reportsPerThreshold bounds the reports of one entry as a multiple of the
	// threshold. More reports than the threshold are needed as long as other
	// suspects share all of them.
	reportsPerThreshold = 4
)

// entry holds the reports, the clearance and the refusal of one fingerprint.
type entry struct {
	fingerprint    uint64
	reports        []Report
	cleared        time.Time // reports up to this time are void; zero if never
	refused        time.Time // newest crash that led to a refusal; zero if none
	decidedVersion int       // Tracker.evidenceVersion at which a refusal was last considered
	level          int       // index in Tracker.levels of the list that holds the entry
	levelElement   *list.Element
	outboxElement  *list.Element
	expires        time.Time
	expiryIndex    int // position in the expiry heap
}

func (e *entry) hasReport(incarnation uuid.UUID) bool {
	return slices.ContainsFunc(e.reports, func(r Report) bool { return r.Incarnation == incarnation })
}

// successiveCrashes counts the reports of runs that started after an earlier crash was known, and
// all others as one: servers that are lost at once have popular requests in common.
func (e *entry) successiveCrashes() int {
	n, first := 0, 0
	for _, r := range e.reports {
		if r.Repeated {
			n++
		} else {
			first = 1
		}
	}
	return n + first
}

// allReports returns the clearance and the refusal, if any, and the reports.
func (e *entry) allReports() []Report {
	reports := make([]Report, 0, len(e.reports)+2)
	if !e.cleared.IsZero() {
		reports = append(reports, Report{Fingerprint: e.fingerprint, At: e.cleared, Cleared: true})
	}
	if !e.refused.IsZero() {
		reports = append(reports, e.refusal())
	}
	return append(reports, e.reports...)
}

func (e *entry) refusal() Report {
	return Report{Fingerprint: e.fingerprint, At: e.refused, Refused: true}
}

func (e *entry) newestTime() time.Time {
	at := e.cleared
	if e.refused.After(at) {
		at = e.refused
	}
	for _, r := range e.reports {
		if r.At.After(at) {
			at = r.At
		}
	}
	return at
}

// makeReportRoom reports whether e has room for r, and makes room if it can: a full
// entry drops its first report of a crash with unknown suspects if all suspects of
// the crash of r are known, because only crashes whose suspects are all known count as
// evidence. For a repeated run it drops one of several first crashes, which count as one.
func (t *Tracker) makeReportRoom(e *entry, r Report) bool {
	if len(e.reports) < reportsPerThreshold*t.cfg.Threshold {
		return true
	}
	if !t.crashes.complete(r.Incarnation) {
		return false
	}
	drop := slices.IndexFunc(e.reports, func(known Report) bool { return !t.crashes.complete(known.Incarnation) })
	if drop < 0 && r.Repeated {
		drop = e.surplusFirstCrash()
	}
	if drop < 0 {
		return false
	}
	e.reports = slices.Delete(e.reports, drop, drop+1)
	return true
}

// surplusFirstCrash returns the index of a report of a run that was not repeated, if e has another
// one, and -1 otherwise.
func (e *entry) surplusFirstCrash() int {
	found := false
	for i, r := range e.reports {
		if r.Repeated {
			continue
		}
		if found {
			return i
		}
		found = true
	}
	return -1
}

func (t *Tracker) tooOld(at time.Time) bool { return at.Add(t.cfg.TTL).Before(t.now) }

func (t *Tracker) expired(e *entry) bool { return e.expires.Before(t.now) }

// insert adds an entry for fp. If the table is full, it evicts an entry of at most
// the given level, or returns nil if there is none.
func (t *Tracker) insert(fp uint64, maxLevel int) *entry {
	if len(t.entries) >= t.cfg.MaxEntries && !t.evict(maxLevel) {
		return nil
	}
	e := &entry{fingerprint: fp}
	t.entries[fp] = e
	e.levelElement = t.levels[0].PushBack(e)
	e.outboxElement = t.outbox.PushFront(e)
	t.expiry.Push(e)
	return e
}

// evict removes the least recently changed entry of the lowest level in use, if
// that level is not higher than the given one, and reports whether it did.
func (t *Tracker) evict(maxLevel int) bool {
	for _, entries := range t.levels[:maxLevel+1] {
		if front := entries.Front(); front != nil {
			t.remove(front.Value.(*entry))
			return true
		}
	}
	return false
}

func (t *Tracker) remove(e *entry) {
	t.levels[e.level].Remove(e.levelElement)
	t.outbox.Remove(e.outboxElement)
	t.expiry.Remove(e)
	delete(t.entries, e.fingerprint)
}

// clear voids the reports and the refusal of e that are not newer than at.
func (t *Tracker) clear(e *entry, at time.Time) {
	e.cleared = at
	if !e.refused.After(at) {
		e.refused = time.Time{}
	}
	e.reports = slices.DeleteFunc(e.reports, func(r Report) bool { return !r.At.After(at) })
	t.reindex(e)
}

// reindex updates the level, the expiry and the outbox position of an entry after
// its reports, clearance or refusal have changed.
func (t *Tracker) reindex(e *entry) {
	t.levels[e.level].Remove(e.levelElement)
	e.level = min(len(e.reports), t.cfg.Threshold)
	if !e.refused.IsZero() {
		e.level = t.cfg.Threshold
	}
	e.levelElement = t.levels[e.level].PushBack(e)
	e.expires = e.newestTime().Add(t.cfg.TTL)
	t.expiry.Fix(e)
	t.outbox.MoveToFront(e.outboxElement)
}

// advance moves the tracker's time forward and removes expired entries, crashes and abandoned calls,
// at most expirePerCall of each. The time goes back only if it was wrong by more than maxClockAhead.
func (t *Tracker) advance(now time.Time) {
	if now.After(t.now) || t.now.Sub(now) > maxClockAhead {
		t.now = now
	}
	for range expirePerCall {
		first, ok := t.expiry.First()
		if !ok || !t.expired(first) {
			break
		}
		t.remove(first)
	}
	t.crashes.expire(t.now.Add(-t.cfg.TTL))
	t.expireAbandoned()
}

// newExpiry returns a heap that orders entries by their time of expiry.
func newExpiry() *indexheap.Heap[*entry] {
	return indexheap.New(
		func(a, b *entry) bool { return a.expires.Before(b.expires) },
		func(e *entry) *int { return &e.expiryIndex },
	)
}

func sortReports(reports []Report) {
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
}
