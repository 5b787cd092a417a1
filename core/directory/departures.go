package directory

import "time"

// maxDepartures is the maximum number of upstreams that left and are remembered. It exceeds the
// number that leave within the age of a copy from which a store is restored.
const maxDepartures = 4096

// departure identifies the last known entry of an upstream that left.
type departure struct {
	id                    string
	incarnation, sequence int64
	leaving               bool // the upstream had stated that it is shutting down
}

// relisting is an entry from before its upstream left, which the store lists again.
type relisting struct {
	Upstream
	since time.Time // zero until the first check
}

// departures holds the last known entries of the upstreams that left most recently.
type departures struct {
	latest   map[string]departure
	order    []departure // in the order in which they were added
	relisted map[string]*relisting
}

func (d *departures) add(u Upstream, leaving bool) {
	if d.latest == nil {
		d.latest = make(map[string]departure)
	}
	left := departure{id: u.ID, incarnation: u.Incarnation, sequence: u.Sequence, leaving: leaving}
	d.latest[u.ID] = left
	d.order = append(d.order, left)
	if len(d.order) > maxDepartures {
		if oldest := d.order[0]; d.latest[oldest.id] == oldest {
			d.forget(oldest.id)
		}
		d.order = d.order[1:]
	}
}

func (d *departures) forget(id string) {
	delete(d.latest, id)
	delete(d.relisted, id)
}

// relist records that the store lists an entry that include reports.
func (d *departures) relist(u Upstream) {
	if d.relisted == nil {
		d.relisted = make(map[string]*relisting)
	}
	if known := d.relisted[u.ID]; known != nil {
		known.Upstream = u
		return
	}
	d.relisted[u.ID] = &relisting{Upstream: u}
}

// restartRelisting begins the wait for all relisted entries anew.
func (d *departures) restartRelisting() {
	for _, r := range d.relisted {
		r.since = time.Time{}
	}
}

// renewed returns the entries that have been relisted for longer than lifetime.
func (d *departures) renewed(now time.Time, lifetime time.Duration) []Upstream {
	var renewed []Upstream
	for _, r := range d.relisted {
		if r.since.IsZero() {
			r.since = now
		}
		if now.Sub(r.since) > lifetime {
			renewed = append(renewed, r.Upstream)
		}
	}
	return renewed
}

// include reports whether an entry is known to be one from before its upstream left.
func (d *departures) include(u Upstream) bool {
	left, known := d.latest[u.ID]
	if !known || left.incarnation == 0 || u.Incarnation == 0 {
		return false
	}
	if u.Incarnation != left.incarnation {
		return u.Incarnation < left.incarnation
	}
	return u.Sequence > 0 && u.Sequence <= left.sequence
}
