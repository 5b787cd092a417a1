package membership

import (
	"time"

	"github.com/google/uuid"
)

const (
	// GracePeriod is how long a VM that is not listed is kept after its owner last
	// sent its record or the list dropped it. It is longer than the interval at
	// which a daemon of the largest fleet reads the list (36 s).
	GracePeriod = time.Minute
	// TombstoneTTL is how long a removed record is remembered. A partition of
	// some minutes must not restore it.
	TombstoneTTL = 10 * time.Minute
	// MaxUnrelated is the number of records kept of daemons that are neither of
	// the own service, nor of a called service, nor recent callers.
	MaxUnrelated = 64
	// CallerTTL is how long a daemon counts as a caller after its last call.
	CallerTTL = time.Minute

	// maxEntriesFromPeers is the number of entries at which records from peers stop
	// adding upstreams. It is several times the planned fleet. Without it a
	// faulty peer could exhaust the memory with invented upstreams of a service
	// whose records are all kept.
	maxEntriesFromPeers = 4096

	maxCallers      = 256
	maxLeavingMarks = 256
)

// View is the state of the fleet as one daemon sees it, merged from all its sources.
type View struct {
	self         Record
	now          time.Time
	entries      map[string]*entry // by upstream name
	fullServices map[string]bool   // services whose records are all kept
	callers      expiringSet[string]
	leavingMarks expiringSet[uuid.UUID] // leaving incarnations for which no record is held
	laterSelf    Record                 // latest later incarnation of self; zero if none
	listSize     int
	listedAlone  bool   // see ListedAlone
	sendCount    uint64 // records returned by RecordsForDigest
}

// entry is the latest known incarnation of one upstream.
type entry struct {
	record        Record
	retentionRank uint64 // see View.retentionRank
	listed        bool
	unlistedAt    time.Time // when the list dropped it; zero if it never did
	refreshedAt   time.Time // when the owner sent record.Seq; zero if no peer sent it
	changedAt     time.Time // last new incarnation, change to leaving or return after removal
	removed       bool
	removedAt     time.Time
	lastSend      uint64 // View.sendCount when RecordsForDigest last returned it
	sendCount     int    // how often RecordsForDigest returned it since changedAt
}

// New returns the view of the daemon that owns the record self.
func New(self Record) *View {
	return &View{
		self:         self,
		entries:      make(map[string]*entry),
		fullServices: map[string]bool{self.Service: true},
		callers:      newExpiringSet[string](maxCallers, CallerTTL),
		leavingMarks: newExpiringSet[uuid.UUID](maxLeavingMarks, TombstoneTTL),
	}
}

// Self returns the daemon's own record as it was last sent.
func (v *View) Self() Record { return v.self }

// NextAnnouncement raises the Seq of the daemon's own record and returns the record
// for sending.
func (v *View) NextAnnouncement() Record {
	v.self.Seq++
	return v.self
}

// Leave changes the state of the daemon's own record to Leaving. It cannot be undone.
func (v *View) Leave() { v.self.State = Leaving }

// SetCalledServices sets the services that this daemon calls, in place of the earlier
// ones. All their records are kept. Records of an added service arrive with the next
// list and from peers.
func (v *View) SetCalledServices(services []string) {
	v.fullServices = map[string]bool{v.self.Service: true}
	for _, s := range services {
		v.fullServices[s] = true
	}
	v.trim()
}

// MergeList merges a complete list of VMs from the platform.
func (v *View) MergeList(now time.Time, list []Record) {
	v.advance(now)
	v.listedAlone = v.namesOnlySelf(list)
	latest := latestByName(list)
	v.listSize = len(latest)
	latest = v.resolveIncarnations(latest)
	for name, e := range v.entries {
		r, ok := latest[name]
		listed := ok && r.Incarnation == e.record.Incarnation
		if e.listed && !listed {
			e.unlistedAt = now
		}
		e.listed = listed
		if ok && e.removed {
			e.removedAt = now
		}
	}
	for _, r := range latest {
		v.merge(now, r, true)
	}
	v.trim()
	v.Expire(now)
}

// ListedAlone reports whether the last list of VMs named the VM of this daemon as live
// and no other live VM for its upstream. A list that names another one, or none, does
// not show that the daemon was not replaced.
func (v *View) ListedAlone() bool { return v.listedAlone }

func (v *View) namesOnlySelf(list []Record) bool {
	listed := false
	for _, r := range list {
		if r.Name != v.self.Name || r.State != Live {
			continue
		}
		if r.PeerAddress != v.self.PeerAddress || r.Incarnation != uuid.Nil && r.Incarnation != v.self.Incarnation {
			return false
		}
		listed = true
	}
	return listed
}

// latestByName returns the latest incarnation of each upstream. A lagging list can
// hold a VM together with its replacement.
func latestByName(list []Record) map[string]Record {
	latest := make(map[string]Record, len(list))
	for _, r := range list {
		r.Seq, r.Age = 0, 0
		if have, ok := latest[r.Name]; r.validListed() && (!ok || replaces(r, have)) {
			latest[r.Name] = r
		}
	}
	return latest
}

// replaces reports whether r replaces have, where both are list records of one
// upstream. Without incarnations the live one replaces the leaving one.
func replaces(r, have Record) bool {
	if r.Incarnation == uuid.Nil && have.Incarnation == uuid.Nil {
		return r.State == Live && have.State == Leaving
	}
	return r.LaterThan(have)
}

// MergePeerRecord merges a record that a peer sent about itself or passed on. It
// ignores an invalid record. It reports whether the view keeps the upstream and the
// record brought a new incarnation, a change to leaving, or an update of a removed
// incarnation.
func (v *View) MergePeerRecord(now time.Time, r Record) bool {
	v.advance(now)
	if !r.valid() {
		return false
	}
	if !v.merge(now, r, false) {
		return false
	}
	v.trim()
	_, kept := v.entries[r.Name]
	return kept
}

// MarkLeaving records that the given incarnation reported in a response that it is
// leaving. The mark also applies to a record of it that arrives later.
func (v *View) MarkLeaving(now time.Time, name string, inc uuid.UUID) {
	v.advance(now)
	if e, ok := v.entries[name]; ok && e.record.Incarnation == inc {
		e.leave(now)
		return
	}
	v.leavingMarks.add(now, inc)
}

// merge applies one valid record and reports whether it changed what is known about
// the upstream.
func (v *View) merge(now time.Time, r Record, listed bool) bool {
	if r.Name == v.self.Name && !v.mergeSelf(r) {
		return false
	}
	e, ok := v.entries[r.Name]
	switch {
	case !ok || r.LaterThan(e.record):
		return v.insert(now, r, listed)
	case r.Incarnation == e.record.Incarnation:
		return e.update(now, r, listed)
	default:
		return false
	}
}

// mergeSelf handles a record of the daemon's own upstream and reports whether it
// belongs to a later incarnation.
func (v *View) mergeSelf(r Record) bool {
	if !r.LaterThan(v.self) {
		return false
	}
	if v.laterSelf.Incarnation == uuid.Nil || r.LaterThan(v.laterSelf) {
		v.laterSelf = r
	}
	return true
}

func (v *View) insert(now time.Time, r Record, listed bool) bool {
	_, held := v.entries[r.Name]
	if !listed && (r.Age > GracePeriod || (!held && len(v.entries) >= maxEntriesFromPeers)) {
		return false
	}
	e := &entry{record: r, listed: listed, retentionRank: v.retentionRank(r.Name)}
	if v.leavingMarks.has(now, r.Incarnation) {
		e.record.State = Leaving
	}
	if !listed {
		e.refreshedAt = now.Add(-r.Age)
	}
	// All daemons read the same list, so a live record from it is not a change to
	// spread.
	if !listed || e.record.State == Leaving {
		e.changedAt = now
	}
	v.entries[r.Name] = e
	return true
}

// update merges a record of the incarnation that the entry holds. It reports whether
// that is a change to spread.
func (e *entry) update(now time.Time, r Record, listed bool) bool {
	changed := false
	newerSeq := !listed && r.Seq > e.record.Seq
	if newerSeq {
		e.refresh(now, r)
	}
	if e.removed && (listed || (newerSeq && r.Age <= GracePeriod)) {
		e.removed = false
		changed = !listed
	}
	if r.State == Leaving && e.leave(now) {
		changed = true
	}
	if changed {
		e.changedAt, e.sendCount = now, 0
	}
	return changed
}

// refresh replaces the record that is held by one that its owner sent later.
func (e *entry) refresh(now time.Time, r Record) {
	state := e.record.State
	e.record = r
	e.record.State = state // only leave changes it, and sets changedAt
	e.refreshedAt = now.Add(-r.Age)
}

// leave changes the entry to leaving and reports whether it was live.
func (e *entry) leave(now time.Time) bool {
	if e.record.State == Leaving {
		return false
	}
	e.record.State = Leaving
	e.changedAt, e.sendCount = now, 0
	return true
}

// Expire removes records whose grace period has ended, and deletes expired
// tombstones, callers and leaving marks. It is called at regular intervals and after
// a pause.
func (v *View) Expire(now time.Time) {
	v.advance(now)
	for name, e := range v.entries {
		if !e.removed && !e.withinGrace(now) {
			e.removed, e.removedAt = true, now
		}
		if e.removed && now.Sub(e.removedAt) > TombstoneTTL {
			delete(v.entries, name)
		}
	}
	v.callers.expire(now)
	v.leavingMarks.expire(now)
}

func (e *entry) withinGrace(now time.Time) bool {
	last := e.refreshedAt
	if e.unlistedAt.After(last) {
		last = e.unlistedAt
	}
	return e.listed || now.Sub(last) <= GracePeriod
}

// LaterIncarnation returns the record of the latest incarnation of the daemon's own
// upstream that is later than the daemon itself, if there is one. The daemon has then
// been replaced and must not act as the home of idempotency keys.
func (v *View) LaterIncarnation() (Record, bool) {
	return v.laterSelf, v.laterSelf.Incarnation != uuid.Nil
}

func (v *View) advance(now time.Time) {
	if now.After(v.now) {
		v.now = now
	}
}
