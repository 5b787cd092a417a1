package quarantine

import (
	"container/list"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/internal/indexheap"
)

const (
	// DefaultThreshold is the default of Config.Threshold.
	DefaultThreshold = 3
	// DefaultTTL is the default of Config.TTL.
	DefaultTTL = 10 * time.Minute
	// DefaultMaxEntries is the default of Config.MaxEntries.
	DefaultMaxEntries = 4096

	// maxAbandoned bounds the calls that are kept after nobody waits for them any more.
	maxAbandoned = 512

	// maxClockAhead bounds how far the time of a report may be ahead of the local
	// clock. Clocks differ by about a second; a clearance from the far future would
	// void all reports until then.
	maxClockAhead = time.Minute
)

// Config configures a Tracker. Zero values take the defaults.
type Config struct {
	// Threshold is the number of crashes from which a request can be refused.
	Threshold int
	// TTL is how long an entry is kept after its newest report, refusal or
	// clearance, and a crash after it happened.
	TTL time.Duration
	// MaxEntries bounds the fingerprints that are kept. The crashes that are kept
	// are bounded by a quarter of it, or by Threshold if that is more.
	MaxEntries int
}

// Verdict is the result of Tracker.Check.
type Verdict uint8

const (
	// Allow means that there is no valid report of the request.
	Allow Verdict = iota + 1
	// Isolate means that the request may run while no other isolated request runs.
	Isolate
	// Refuse means that the request must not run.
	Refuse
)

// Report states that a request with a fingerprint was running when a backend
// server died. With Cleared set it is a clearance: a run was answered. With Refused
// set it is a refusal: a daemon has decided that the fingerprint is refused.
type Report struct {
	Fingerprint uint64
	// Incarnation is the backend server that died; zero in clearances and refusals.
	Incarnation uuid.UUID
	// At is the time of the crash; in a refusal, that of the newest crash behind
	// it; in a clearance, the time up to which reports and refusals are void.
	At time.Time
	// Suspects is the number of distinct fingerprints that ran at the crash.
	Suspects int
	// Repeated says that the request was a suspect of an earlier crash when its run started.
	Repeated bool
	// Cleared is set in a clearance.
	Cleared bool
	// Refused is set in a refusal.
	Refused bool
}

// call is a call that runs on the local backend server.
type call struct {
	fingerprint uint64
	// suspect says that there was a report of the fingerprint when the call started.
	suspect bool
	// until is when the backend server has stopped working on a call that nobody waits for; zero
	// while somebody waits.
	until time.Time
}

func (c call) hasEnded(now time.Time) bool { return !c.until.IsZero() && !c.until.After(now) }

// Tracker keeps the calls that run on the local backend server and the reports that
// one daemon knows. It is not safe for concurrent use.
type Tracker struct {
	cfg             Config
	now             time.Time
	running         map[uuid.UUID]call
	abandoned       *list.List // IDs of the running calls that nobody waits for, oldest first
	entries         map[uint64]*entry
	levels          []*list.List // entries by amount of evidence, least recently changed first
	expiry          *indexheap.Heap[*entry]
	crashes         crashes
	evidenceVersion int        // counts the changes on which the decision to refuse depends
	outbox          *list.List // entries in the order in which Reports returns them
}

// New returns an empty tracker.
func New(cfg Config) *Tracker {
	if cfg.Threshold == 0 {
		cfg.Threshold = DefaultThreshold
	}
	if cfg.TTL == 0 {
		cfg.TTL = DefaultTTL
	}
	if cfg.MaxEntries == 0 {
		cfg.MaxEntries = DefaultMaxEntries
	}
	t := &Tracker{
		expiry:    newExpiry(),
		cfg:       cfg,
		running:   make(map[uuid.UUID]call),
		abandoned: list.New(),
		entries:   make(map[uint64]*entry),
		crashes:   newCrashes(max(cfg.MaxEntries/4, cfg.Threshold)),
		outbox:    list.New(),
	}
	for range cfg.Threshold + 1 {
		t.levels = append(t.levels, list.New())
	}
	return t
}

// Check decides whether a request with this fingerprint may run.
func (t *Tracker) Check(now time.Time, fp uint64) Verdict {
	t.advance(now)
	e := t.entries[fp]
	switch {
	case e == nil || e.level == 0 || t.expired(e):
		return Allow
	case t.decideRefusal(e):
		return Refuse
	default:
		return Isolate
	}
}

// RefusedFor returns how long a request with this fingerprint will be refused, 0 if it is not.
func (t *Tracker) RefusedFor(now time.Time, fp uint64) time.Duration {
	if t.Check(now, fp) != Refuse {
		return 0
	}
	return max(t.entries[fp].expires.Sub(t.now), 0)
}

// decideRefusal reports whether the entry is refused, and decides it first if the
// evidence has changed since the last decision. A refusal stays in force when the
// crashes behind it are evicted or expire.
func (t *Tracker) decideRefusal(e *entry) bool {
	if e.refused.IsZero() && e.successiveCrashes() >= t.cfg.Threshold && e.decidedVersion != t.evidenceVersion {
		e.decidedVersion = t.evidenceVersion
		if t.isCause(e) {
			e.refused = e.newestTime()
			t.reindex(e)
		}
	}
	return !e.refused.IsZero()
}

// CallStarted records that a call is about to run on the local backend server.
func (t *Tracker) CallStarted(fp uint64, id uuid.UUID) {
	e := t.entries[fp]
	t.running[id] = call{fingerprint: fp, suspect: e != nil && e.level > 0}
}

// CallEnded records that a call has ended. A call that was answered clears its
// fingerprint. If that voids reports or a refusal, CallEnded returns the clearance,
// which is to be sent to other daemons. The time of the clearance is the latest that
// the tracker knows.
func (t *Tracker) CallEnded(id uuid.UUID, answered bool) []Report {
	c, ok := t.running[id]
	delete(t.running, id)
	e := t.entries[c.fingerprint]
	if !ok || !answered || e == nil || e.level == 0 {
		return nil
	}
	at := e.newestTime()
	if t.now.After(at) {
		at = t.now
	}
	t.clear(e, at)
	t.evidenceVersion++
	return e.allReports()
}

// CallAbandoned records that nobody waits for a call any more. The backend server may continue it
// until the given time, and it stays a suspect until then.
func (t *Tracker) CallAbandoned(now time.Time, id uuid.UUID, until time.Time) {
	t.advance(now)
	c, ok := t.running[id]
	if !ok {
		return
	}
	if t.abandoned.Len() >= maxAbandoned {
		t.endAbandoned(t.abandoned.Front())
	}
	c.until = until
	t.running[id] = c
	t.abandoned.PushBack(id)
}

// AbandonedUntil returns the latest time until which an abandoned call may go on, zero if none may.
func (t *Tracker) AbandonedUntil() (latest time.Time) {
	for el := t.abandoned.Front(); el != nil; el = el.Next() {
		if c := t.running[el.Value.(uuid.UUID)]; c.until.After(latest) {
			latest = c.until
		}
	}
	return latest
}

func (t *Tracker) endAbandoned(el *list.Element) {
	delete(t.running, el.Value.(uuid.UUID))
	t.abandoned.Remove(el)
}

// expireAbandoned ends abandoned calls whose time is over, at most expirePerCall. It stops at the
// first one that was abandoned and may be running.
func (t *Tracker) expireAbandoned() {
	for range expirePerCall {
		first := t.abandoned.Front()
		if first == nil {
			return
		}
		if c, running := t.running[first.Value.(uuid.UUID)]; running && !c.hasEnded(t.now) {
			return
		}
		t.endAbandoned(first)
	}
}

// BackendCrashed records that the local backend server died. All running calls end,
// and each of their fingerprints gets a report. It returns the reports and the
// refusals that they lead to, which are to be sent to other daemons.
func (t *Tracker) BackendCrashed(now time.Time, incarnation uuid.UUID) []Report {
	t.advance(now)
	suspects := make(map[uint64]bool, len(t.running)) // whether they were suspects before
	for _, c := range t.running {
		if !c.hasEnded(now) {
			suspects[c.fingerprint] = suspects[c.fingerprint] || c.suspect
		}
	}
	clear(t.running)
	t.abandoned.Init()
	reports := make([]Report, 0, len(suspects))
	for fp, repeated := range suspects {
		reports = append(reports, Report{Fingerprint: fp, Incarnation: incarnation, At: now, Suspects: len(suspects), Repeated: repeated})
	}
	sortReports(reports)
	for _, r := range t.Merge(now, reports) {
		if r.Refused {
			reports = append(reports, r)
		}
	}
	return reports
}

// Merge adds reports of other daemons. Reports that are known, expired, void or
// too far ahead of now change nothing. It returns the reports that were new and the
// refusals that they lead to, which are to be sent to other daemons.
func (t *Tracker) Merge(now time.Time, reports []Report) []Report {
	t.advance(now)
	// All suspects of a crash must be known before a refusal of any of them is
	// considered.
	for _, r := range reports {
		if t.valid(r) && r.Incarnation != uuid.Nil {
			t.crashes.add(r)
		}
	}
	var added []Report
	for _, r := range reports {
		if t.valid(r) && t.merge(r) {
			added = append(added, r)
		}
	}
	t.evidenceVersion += len(added)
	return append(added, t.newRefusals(added)...)
}

// newRefusals decides whether to refuse the fingerprints of new reports and returns
// the new refusals.
func (t *Tracker) newRefusals(added []Report) (refusals []Report) {
	for _, r := range added {
		e := t.entries[r.Fingerprint]
		if e != nil && e.refused.IsZero() && t.decideRefusal(e) {
			refusals = append(refusals, e.refusal())
		}
	}
	return refusals
}

func (t *Tracker) valid(r Report) bool {
	if r.At.After(t.now.Add(maxClockAhead)) || t.tooOld(r.At) {
		return false
	}
	if r.Cleared || r.Refused {
		return r.Incarnation == uuid.Nil && r.Cleared != r.Refused
	}
	return r.Suspects > 0 && r.Incarnation != uuid.Nil
}

func (t *Tracker) merge(r Report) bool {
	switch {
	case r.Cleared:
		return t.mergeClearance(r)
	case r.Refused:
		return t.mergeRefusal(r)
	}
	e := t.entries[r.Fingerprint]
	if e != nil && (!r.At.After(e.cleared) || e.hasReport(r.Incarnation) || !t.makeReportRoom(e, r)) {
		return false
	}
	if e == nil {
		if e = t.insert(r.Fingerprint, 1); e == nil {
			return false
		}
	}
	e.reports = append(e.reports, r)
	t.reindex(e)
	return true
}

func (t *Tracker) mergeClearance(r Report) bool {
	e := t.entries[r.Fingerprint]
	if e == nil {
		e = t.insert(r.Fingerprint, 0)
	}
	if e == nil || !r.At.After(e.cleared) {
		return false
	}
	t.clear(e, r.At)
	return true
}

func (t *Tracker) mergeRefusal(r Report) bool {
	e := t.entries[r.Fingerprint]
	if e == nil {
		e = t.insert(r.Fingerprint, t.cfg.Threshold-1)
	}
	if e == nil || !r.At.After(e.cleared) || !r.At.After(e.refused) {
		return false
	}
	e.refused = r.At
	t.reindex(e)
	return true
}

// Reports returns up to limit reports, clearances and refusals for a peer. The most
// recently changed entries come first; repeated calls cycle through all entries. An
// entry is not split over two calls; if it alone exceeds the limit, its last
// reports are left out.
func (t *Tracker) Reports(now time.Time, limit int) []Report {
	t.advance(now)
	var reports []Report
	for range t.outbox.Len() {
		el := t.outbox.Front()
		entryReports := el.Value.(*entry).allReports()
		if len(reports)+len(entryReports) > limit && len(reports) > 0 {
			break
		}
		reports = append(reports, entryReports...)
		t.outbox.MoveToBack(el)
	}
	return reports[:min(len(reports), max(limit, 0))]
}

// ReportsOf returns what is known of one fingerprint, nil if nothing is. Sent along with a request,
// it reaches the daemon beside the next backend server before the request runs there.
func (t *Tracker) ReportsOf(fp uint64) []Report {
	if e := t.entries[fp]; e != nil {
		return e.allReports()
	}
	return nil
}

// Len returns the number of fingerprints with a report, a refusal or a clearance.
func (t *Tracker) Len() int { return len(t.entries) }
