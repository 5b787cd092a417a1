// Package directory holds the known upstreams of all services: their addresses, whether they
// take new work, and which of them the store does not list although they may be running.
//
// Entries come from a store in which each upstream renews its own. An entry that disappears
// normally means that the upstream left. During an outage of the store, entries also lapse
// because upstreams could not renew them, and a store that is restored from an older copy
// lacks the entries that were written since. Such entries stay in use until the store has been
// available again for RecoveryGrace. A Directory is not safe for concurrent use.
package directory

import (
	"math/rand/v2"
	"sort"
	"time"
)

// RecoveryGrace is how long after the recovery of the store a lapsed entry stays in use.
// Running upstreams renew their entries within about 2 s, most of them sooner. An upstream
// that did leave must receive nothing later than 2 s after its removal, so that the grace
// has to end before that.
const RecoveryGrace = 1500 * time.Millisecond

// Upstream is one registered backend server.
type Upstream struct {
	// ID identifies the upstream. Incarnation increases with each start, and is 0 if unknown.
	ID          string
	Incarnation int64
	// Sequence increases with each entry that the incarnation writes, and is 0 if unknown.
	Sequence int64
	Service  string
	// Address is the host and port of the backend server itself.
	Address string
	Zone    string
	Version string
	// Slots is the number of requests that the backend server runs at once.
	Slots int
	// Draining says that it takes no new work.
	Draining bool
	// WarmAt is when it reaches its full speed, zero if it has.
	WarmAt time.Time
}

// before reports whether u is an earlier entry of the same upstream than v.
func (u Upstream) before(v Upstream) bool {
	if u.Incarnation != v.Incarnation {
		return u.Incarnation < v.Incarnation
	}
	return u.Incarnation > 0 && u.Sequence > 0 && u.Sequence < v.Sequence
}

// entry is an upstream, with its state while the store does not list it.
type entry struct {
	Upstream
	// leaving says that the upstream has stated that it is shutting down, which its entry in the
	// store may not say yet.
	leaving bool
	// lapsed says that the store has stopped listing the upstream, at lapsedAt. settled says that daemons
	// for which the store is available have removed it.
	lapsed, settled bool
	lapsedAt        time.Time
}

// Directory holds the upstreams of all services. It is not safe for concurrent use.
type Directory struct {
	entries map[string]*entry
	// services are those that the configuration names, nil while none is in force.
	services map[string]bool
	// storeUnavailable is set during an outage of the store. recoveredAt is when the latest
	// one ended; ExtendGrace can move it on.
	storeUnavailable bool
	recoveredAt      time.Time
	departures       departures
	// index is nil if it is out of date.
	index *index
}

// index holds the upstreams in the orders in which they are looked up.
type index struct {
	all       []Upstream
	serving   map[string][]Upstream // those that take new work, by service, ordered by ID
	byAddress map[string]Upstream
	members   []string
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{entries: make(map[string]*entry)}
}

// Put adds an upstream or replaces its earlier entry. Of several upstreams at one address, one is in
// use (see supersedes); the others are kept, and come into use when it is removed. Put does nothing and
// returns false if a later entry of the upstream is known, or if the upstream left after it wrote the
// entry. It also returns false if a later incarnation of another upstream is at the address, whose
// service the configuration names, and that has not lapsed.
func (d *Directory) Put(u Upstream) bool {
	if known := d.entries[u.ID]; known != nil && u.before(known.Upstream) {
		return false
	}
	if d.departures.include(u) {
		d.departures.relist(u)
		return false
	}
	return d.put(u)
}

// put is Put for an entry that is not outdated.
func (d *Directory) put(u Upstream) bool {
	e := &entry{Upstream: u, leaving: d.hasStatedLeaving(u)}
	e.Draining = e.Draining || e.leaving
	d.departures.forget(u.ID)
	d.entries[u.ID] = e
	d.index = nil
	return !d.addressTaken(u, d.serviceNamed)
}

// serviceNamed reports whether the configuration names the service of an upstream. It does not while
// there is none.
func (d *Directory) serviceNamed(e *entry) bool { return d.services[e.Service] }

// SetServices sets the services that the configuration names.
func (d *Directory) SetServices(services map[string]bool) {
	d.services, d.index = services, nil
}

// hasStatedLeaving reports whether this incarnation of an upstream has stated that it is shutting
// down, also if the store has not listed it since.
func (d *Directory) hasStatedLeaving(u Upstream) bool {
	if e := d.entries[u.ID]; e != nil {
		return e.leaving && e.Incarnation == u.Incarnation
	}
	left := d.departures.latest[u.ID]
	return left.leaving && left.incarnation == u.Incarnation
}

// addressTaken reports whether a later incarnation of another upstream is at the address of u and has
// not lapsed. Only the entries that count are considered.
func (d *Directory) addressTaken(u Upstream, counts func(*entry) bool) bool {
	for id, e := range d.entries {
		if id != u.ID && e.Address == u.Address && e.Incarnation > u.Incarnation && !e.lapsed && counts(e) {
			return true
		}
	}
	return false
}

// MarkLeaving records that an incarnation of an upstream has stated that it is shutting down. It
// takes no new work from then on, whatever the store lists. It reports whether that was new.
func (d *Directory) MarkLeaving(id string, incarnation int64) bool {
	e := d.entries[id]
	if e == nil || e.Incarnation != incarnation || e.leaving {
		return false
	}
	e.leaving, e.Draining = true, true
	d.index = nil
	return true
}

// StatedLeaving reports whether an upstream has stated that it is shutting down.
func (d *Directory) StatedLeaving(id string) bool {
	e := d.entries[id]
	return e != nil && e.leaving
}

// Remove records that the store does not list an upstream any more. The upstream is removed
// at once if it is draining, or if now is outside the grace; otherwise its entry lapses.
func (d *Directory) Remove(now time.Time, id string) {
	delete(d.departures.relisted, id)
	e := d.entries[id]
	if e == nil {
		return
	}
	if !e.Draining && d.inGrace(now) {
		if !e.lapsed {
			e.lapsed, e.lapsedAt = true, now
		}
		return
	}
	d.drop(e)
}

// drop removes an upstream that left.
func (d *Directory) drop(e *entry) {
	d.departures.add(e.Upstream, e.leaving)
	delete(d.entries, e.ID)
	d.index = nil
}

// inGrace reports whether an entry that the store does not list may belong to a running
// upstream: the store is unavailable, or recovered less than RecoveryGrace ago.
func (d *Directory) inGrace(now time.Time) bool {
	return d.storeUnavailable || !d.recoveredAt.IsZero() && now.Sub(d.recoveredAt) < RecoveryGrace
}

// MarkStoreUnavailable records that the store does not answer.
func (d *Directory) MarkStoreUnavailable() {
	d.storeUnavailable = true
	d.departures.restartRelisting()
}

// MarkStoreAvailable records that the store answers. After an outage, the grace begins.
func (d *Directory) MarkStoreAvailable(now time.Time) {
	if d.storeUnavailable {
		d.storeUnavailable, d.recoveredAt = false, now
	}
}

// MarkStoreRestored records that the store continues from an older copy, which lacks the
// upstreams that registered since. As after an outage, the grace begins.
func (d *Directory) MarkStoreRestored(now time.Time) { d.recoveredAt = now }

// ExtendGrace makes the grace last for at least the time left from now on, because the store
// has recently recovered for the daemon from which this one receives changes.
func (d *Directory) ExtendGrace(now time.Time, left time.Duration) {
	if recovered := now.Add(left - RecoveryGrace); left > 0 && recovered.After(d.recoveredAt) {
		d.recoveredAt = recovered
	}
}

// Doubtful returns how long entries that the store does not list may still belong to running
// upstreams. While the store is unavailable this is RecoveryGrace.
func (d *Directory) Doubtful(now time.Time) time.Duration {
	if d.storeUnavailable {
		return RecoveryGrace
	}
	if d.recoveredAt.IsZero() {
		return 0
	}
	return max(RecoveryGrace-now.Sub(d.recoveredAt), 0)
}

// Expire removes lapsed upstreams whose grace has ended and returns their IDs. While the
// store is available, no upstream stays lapsed for longer than RecoveryGrace, however often
// the grace is extended.
func (d *Directory) Expire(now time.Time) []string {
	if d.storeUnavailable {
		return nil
	}
	inGrace := d.inGrace(now)
	var expired []string
	for id, e := range d.entries {
		if e.lapsed && (!inGrace || now.Sub(e.lapsedAt) >= RecoveryGrace) {
			d.drop(e)
			expired = append(expired, id)
		}
	}
	return expired
}

// Relist puts back the upstreams that left according to an earlier state of the store, that a
// restored store lists, and whose entries it has kept for longer than lifetime and
// RecoveryGrace. lifetime is the time after which the store removes an entry that is not renewed.
// It returns those of which nothing later is known.
func (d *Directory) Relist(now time.Time, lifetime time.Duration) []Upstream {
	if d.storeUnavailable {
		return nil
	}
	var relisted []Upstream
	for _, u := range d.departures.renewed(now, lifetime+RecoveryGrace) {
		counts := d.serviceNamed
		if d.services == nil {
			counts = func(*entry) bool { return true }
		}
		if d.addressTaken(u, counts) {
			d.departures.forget(u.ID)
			continue
		}
		if d.put(u) {
			relisted = append(relisted, u)
		}
	}
	return relisted
}

// Serving returns the upstreams of a service that take new work, ordered by ID. The caller
// must not change the slice.
func (d *Directory) Serving(service string) []Upstream {
	return d.indexed().serving[service]
}

// indexed returns the index, and builds it first if it is out of date.
func (d *Directory) indexed() *index {
	if d.index != nil {
		return d.index
	}
	x := &index{serving: make(map[string][]Upstream), byAddress: make(map[string]Upstream)}
	present := make(map[string]*entry, len(d.entries)) // by address
	member := make(map[string]bool, len(d.entries))    // by address
	for _, e := range d.entries {
		if !e.settled && !member[e.Address] {
			member[e.Address] = true
			x.members = append(x.members, e.Address)
		}
		if other := present[e.Address]; other == nil || d.supersedes(e, other) {
			present[e.Address] = e
		}
	}
	for _, e := range present {
		x.all = append(x.all, e.Upstream)
		x.byAddress[e.Address] = e.Upstream
		if !e.Draining {
			x.serving[e.Service] = append(x.serving[e.Service], e.Upstream)
		}
	}
	for _, list := range x.serving {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	d.index = x
	return x
}

// supersedes reports whether e rather than other is the upstream at their address: one whose service
// the configuration names, then one that has not lapsed, then the one that started last.
func (d *Directory) supersedes(e, other *entry) bool {
	if named := d.serviceNamed(e); named != d.serviceNamed(other) {
		return named
	}
	if e.lapsed != other.lapsed {
		return other.lapsed
	}
	if e.Incarnation != other.Incarnation {
		return e.Incarnation > other.Incarnation
	}
	return e.ID > other.ID
}

// At returns the upstream at an address, including a draining one, and whether there is one.
func (d *Directory) At(address string) (Upstream, bool) {
	u, ok := d.indexed().byAddress[address]
	return u, ok
}

// All returns all upstreams, one for each address, including draining and lapsed ones, in no particular
// order. The caller must not change the slice.
func (d *Directory) All() []Upstream { return d.indexed().all }

// Members returns the addresses of the upstreams that all daemons are to know: those of All without the
// ones that this daemon alone keeps in use, see SettleRemovals. The caller must not change the slice.
func (d *Directory) Members() []string { return d.indexed().members }

// SettleRemovals records that the upstreams that have lapsed so far were removed by daemons for which the
// store is available, outside of a grace. They stay in use, since the store is unavailable here, but are no
// longer members. It reports whether there were any.
func (d *Directory) SettleRemovals() bool {
	changed := false
	for _, e := range d.entries {
		if e.lapsed && !e.settled {
			e.settled, changed = true, true
		}
	}
	if changed {
		d.index = nil
	}
	return changed
}

// Sample returns up to n upstreams, chosen at random from those at other addresses.
func (d *Directory) Sample(random *rand.Rand, n int, excluded string) []Upstream {
	all := d.All()
	if _, ok := d.At(excluded); ok {
		n = min(n, len(all)-1)
	}
	var sample []Upstream
	chosen := make(map[int]bool)
	for len(sample) < min(n, len(all)) {
		i := random.IntN(len(all))
		if !chosen[i] && all[i].Address != excluded {
			chosen[i] = true
			sample = append(sample, all[i])
		}
	}
	return sample
}

// Len returns the number of upstreams, including draining and lapsed ones.
func (d *Directory) Len() int { return len(d.All()) }
