package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Endpoints returns the live and leaving records of a service, sorted by name. They
// include the daemon's own if it belongs to the service and was not replaced.
func (v *View) Endpoints(service string) []Record {
	var out []Record
	for _, e := range v.entries {
		if e.record.Service == service && v.usable(e) {
			out = append(out, e.record)
		}
	}
	if _, replaced := v.LaterIncarnation(); v.self.Service == service && !replaced {
		out = append(out, v.self)
	}
	sortByName(out)
	return out
}

// usable reports whether the entry is neither removed nor past its grace period.
func (v *View) usable(e *entry) bool { return !e.removed && e.withinGrace(v.now) }

// RecordCaller records that the named daemon called this one. For CallerTTL its record
// is kept and it is preferred as a peer.
func (v *View) RecordCaller(now time.Time, name string) {
	v.advance(now)
	v.callers.add(now, name)
}

// isRelated reports whether the entry belongs to the daemon's own service, to a
// service that it calls, or to a daemon that called it within CallerTTL.
func (v *View) isRelated(e *entry) bool {
	return v.fullServices[e.record.Service] || v.callers.has(v.now, e.record.Name)
}

// Peers returns up to n distinct live peers in random order, without the daemon
// itself. Half of them (for odd n rounded up or down at random) are related, if there
// are enough; the others are drawn from all peers.
func (v *View) Peers(n int, r *rand.Rand) []Record {
	all, related := v.livePeers()
	shuffle(r, all)
	shuffle(r, related)
	fromRelated := n / 2
	if n%2 == 1 {
		fromRelated += r.IntN(2)
	}
	out := make([]Record, 0, n)
	out = appendDistinct(out, related, fromRelated)
	out = appendDistinct(out, all, n)
	shuffle(r, out)
	return out
}

// Callers returns up to max live daemons that called this one within CallerTTL,
// sorted by name. A leaving daemon notifies them directly.
func (v *View) Callers(max int) []Record {
	var out []Record
	for name := range v.callers.addedAt {
		e, ok := v.entries[name]
		if ok && v.usable(e) && e.record.State == Live && v.callers.has(v.now, name) {
			out = append(out, e.record)
		}
	}
	sortByName(out)
	return out[:min(max, len(out))]
}

// LivePeers returns the number of live peers, without the daemon itself.
func (v *View) LivePeers() int {
	count := 0
	for _, e := range v.entries {
		if v.isLivePeer(e) {
			count++
		}
	}
	return count
}

func (v *View) isLivePeer(e *entry) bool {
	return e.record.State == Live && e.record.Name != v.self.Name && v.usable(e)
}

func (v *View) livePeers() (all, related []*entry) {
	for _, e := range v.entries {
		if !v.isLivePeer(e) {
			continue
		}
		all = append(all, e)
		if v.isRelated(e) {
			related = append(related, e)
		}
	}
	// Map order would make runs with the same seed differ, so sort by name.
	byName := func(a, b *entry) int { return cmp.Compare(a.record.Name, b.record.Name) }
	slices.SortFunc(all, byName)
	slices.SortFunc(related, byName)
	return all, related
}

// Daemons returns the known number of daemons in the fleet: the number of upstreams in
// the last list, or the number of records held, with the daemon's own, if that is
// higher.
func (v *View) Daemons() int {
	held := 1
	for _, e := range v.entries {
		if v.usable(e) {
			held++
		}
	}
	return max(held, v.listSize)
}

// trim deletes unrelated records above MaxUnrelated: tombstones first, then those of
// the highest retention rank.
func (v *View) trim() {
	var live, removed []*entry
	for name, e := range v.entries {
		switch {
		case name == v.self.Name || v.isRelated(e):
		case v.usable(e):
			live = append(live, e)
		default:
			removed = append(removed, e)
		}
	}
	if len(live)+len(removed) <= MaxUnrelated {
		return
	}
	byRank := func(a, b *entry) int { return cmp.Compare(a.retentionRank, b.retentionRank) }
	slices.SortFunc(live, byRank)
	slices.SortFunc(removed, byRank)
	for _, e := range append(live, removed...)[MaxUnrelated:] {
		delete(v.entries, e.record.Name)
	}
}

// retentionRank orders the unrelated records by a hash of both names, so that the
// selection is stable for one daemon and differs between daemons.
func (v *View) retentionRank(name string) uint64 {
	return xxhash.Sum64String(v.self.Name + "\x00" + name)
}

func appendDistinct(out []Record, from []*entry, limit int) []Record {
	for _, e := range from {
		if len(out) >= limit {
			break
		}
		if !slices.ContainsFunc(out, func(o Record) bool { return o.Name == e.record.Name }) {
			out = append(out, e.record)
		}
	}
	return out
}

func shuffle[T any](r *rand.Rand, list []T) {
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

func sortByName(list []Record) {
	slices.SortFunc(list, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
}
