// Package directory holds what is believed about the upstreams of all services: where
// they are, whether they take work, and which ones may only seem to be gone.
//
// Entries come from a store in which each upstream renews its own. An entry that vanishes
// normally means that the upstream left. While the store was out of reach, entries also
// lapse because upstreams could not renew them; such entries stay in use until the store
// has been back for the return grace. A Directory is not safe for concurrent use.
package directory

import (
	"sort"
	"time"
)

// ReturnGrace is the time after the return of the store for which a lapsed entry stays in use.
// Living upstreams renew theirs within about 2 s, most of them sooner; one that did leave
// must get nothing later than 2 s after its removal, so that the grace ends before.
const ReturnGrace = 1500 * time.Millisecond

// Upstream is one registered backend server.
type Upstream struct {
	// ID names the upstream; Incarnation orders its starts and is 0 if unknown.
	ID          string
	Incarnation int64
	Service     string
	// Address is the host and port of the backend server itself.
	Address string
	Zone    string
	Version string
	// Slots is the number of requests that it runs at once.
	Slots    int
	Draining bool
	// WarmAt is when it reaches its full speed; zero if it has.
	WarmAt time.Time
}

// entry is an upstream with the reason for which it is still listed.
type entry struct {
	Upstream
	// lapsed says that the store no longer lists the upstream, since lapsedAt.
	lapsed   bool
	lapsedAt time.Time
}

// Directory holds the upstreams of all services.
type Directory struct {
	entries map[string]*entry
	// storeAway is set while the store is out of reach; backAt is when it returned.
	storeAway bool
	backAt    time.Time
	byService map[string][]Upstream
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{entries: make(map[string]*entry)}
}

// Put adds or replaces an upstream. An upstream at the same address that started earlier
// has ended and is removed.
func (d *Directory) Put(u Upstream) {
	for id, e := range d.entries {
		if id == u.ID || e.Address != u.Address {
			continue
		}
		if e.Incarnation > u.Incarnation && !e.lapsed {
			return
		}
		delete(d.entries, id)
	}
	if have := d.entries[u.ID]; have != nil && have.Incarnation > u.Incarnation {
		return
	}
	d.entries[u.ID] = &entry{Upstream: u}
	d.byService = nil
}

// Remove takes an upstream out, at once if the store is trusted to know.
func (d *Directory) Remove(now time.Time, id string) {
	e := d.entries[id]
	if e == nil {
		return
	}
	if !e.Draining && d.unsure(now) {
		if !e.lapsed {
			e.lapsed, e.lapsedAt = true, now
		}
		return
	}
	delete(d.entries, id)
	d.byService = nil
}

// unsure reports whether a vanished entry may belong to a living upstream.
func (d *Directory) unsure(now time.Time) bool {
	return d.storeAway || !d.backAt.IsZero() && now.Sub(d.backAt) < ReturnGrace
}

// StoreAway tells that the store has stopped answering.
func (d *Directory) StoreAway() { d.storeAway = true }

// StoreBack tells that the store answers again.
func (d *Directory) StoreBack(now time.Time) {
	if d.storeAway {
		d.storeAway, d.backAt = false, now
	}
}

// Doubt tells that a vanished entry may belong to a living upstream for a time from now on,
// because the store has just come back for the one that tells of its changes.
func (d *Directory) Doubt(now time.Time, left time.Duration) {
	if back := now.Add(left - ReturnGrace); left > 0 && back.After(d.backAt) {
		d.backAt = back
	}
}

// Doubtful returns how long vanished entries may still belong to living upstreams, as far
// as is known now.
func (d *Directory) Doubtful(now time.Time) time.Duration {
	if d.storeAway {
		return ReturnGrace
	}
	if d.backAt.IsZero() {
		return 0
	}
	return max(ReturnGrace-now.Sub(d.backAt), 0)
}

// Expire removes lapsed upstreams whose grace has ended and returns their IDs. While the
// store answers, no upstream stays for longer than the grace, however often doubts arise.
func (d *Directory) Expire(now time.Time) []string {
	if d.storeAway {
		return nil
	}
	unsure := d.unsure(now)
	var gone []string
	for id, e := range d.entries {
		if e.lapsed && (!unsure || now.Sub(e.lapsedAt) >= ReturnGrace) {
			delete(d.entries, id)
			gone = append(gone, id)
			d.byService = nil
		}
	}
	return gone
}

// Serving returns the upstreams of a service that take new work, ordered by ID. The slice
// must not be changed.
func (d *Directory) Serving(service string) []Upstream {
	if d.byService == nil {
		d.index()
	}
	return d.byService[service]
}

func (d *Directory) index() {
	d.byService = make(map[string][]Upstream)
	for _, e := range d.entries {
		if !e.Draining {
			d.byService[e.Service] = append(d.byService[e.Service], e.Upstream)
		}
	}
	for _, list := range d.byService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
}

// At returns the upstream at an address, draining ones included.
func (d *Directory) At(address string) (Upstream, bool) {
	for _, e := range d.entries {
		if e.Address == address {
			return e.Upstream, true
		}
	}
	return Upstream{}, false
}

// All returns all upstreams in no particular order.
func (d *Directory) All() []Upstream {
	all := make([]Upstream, 0, len(d.entries))
	for _, e := range d.entries {
		all = append(all, e.Upstream)
	}
	return all
}

// Len returns the number of upstreams.
func (d *Directory) Len() int { return len(d.entries) }
