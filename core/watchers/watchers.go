// Package watchers decides which daemons watch the store themselves, and from which of them
// the others receive its changes.
//
// If every daemon watched the store, each change would cost as many reads as there are
// daemons. Instead, a few daemons of each availability zone watch it. Each of the others of
// the zone is a follower of one of these, its source, and waits for changes there. All daemons
// order the daemons of the zone by the same hash, and the first in the order watch. This needs
// no agreement protocol:
// while views of the fleet differ, there are only some additional reads or one refused
// request. A daemon whose sources have all failed watches the store itself.
//
// A Selector reads no clock and is not safe for concurrent use.
package watchers

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// watchersPerZone is how many daemons of each zone watch the store. With two, the loss of
	// one does not cut the zone off.
	watchersPerZone = 2
	// maxSkipped is how many failed sources are skipped before a daemon watches the store
	// itself. The daemons next in the order need some time to notice that they have to watch.
	maxSkipped = 2 * watchersPerZone
	// exclusionTime is how long a source that failed is skipped. A daemon restarts in about
	// this time.
	exclusionTime = 2 * time.Second
)

// Daemon is a daemon that may serve as a source.
type Daemon struct {
	// Address identifies the daemon. It is the address of the upstream on the same VM.
	Address string
	Zone    string
}

// Selector chooses the source of one daemon. It is not safe for concurrent use.
type Selector struct {
	self          Daemon
	excludedUntil map[string]time.Time // end of the exclusion by address
}

// New returns a selector that chooses sources for the daemon self.
func New(self Daemon) *Selector {
	return &Selector{self: self, excludedUntil: make(map[string]time.Time)}
}

// Exclude records that a source failed or does not watch the store. Source skips it for
// exclusionTime.
func (s *Selector) Exclude(now time.Time, address string) {
	for excluded, until := range s.excludedUntil {
		if !now.Before(until) {
			delete(s.excludedUntil, excluded)
		}
	}
	s.excludedUntil[address] = now.Add(exclusionTime)
}

// Source returns the address of the daemon to receive changes from. It is empty if this
// daemon has to watch the store itself. fleet holds all known daemons.
func (s *Selector) Source(now time.Time, fleet []Daemon) string {
	orderedZone := s.orderedZone(fleet)
	watching, skipped := make([]Daemon, 0, watchersPerZone), 0
	for _, d := range orderedZone {
		if d.Address == s.self.Address {
			return ""
		}
		if now.Before(s.excludedUntil[d.Address]) {
			if skipped++; skipped == maxSkipped {
				return ""
			}
			continue
		}
		if watching = append(watching, d); len(watching) == watchersPerZone {
			break
		}
	}
	if len(watching) == 0 {
		return ""
	}
	return watching[xxhash.Sum64String(s.self.Address)%uint64(len(watching))].Address
}

// orderedZone returns the daemons of the own zone, this one included, in the order that all
// daemons agree on.
func (s *Selector) orderedZone(fleet []Daemon) []Daemon {
	orderedZone := []Daemon{s.self}
	for _, d := range fleet {
		if d.Zone == s.self.Zone && d.Address != s.self.Address {
			orderedZone = append(orderedZone, d)
		}
	}
	sort.Slice(orderedZone, func(i, j int) bool {
		a, b := xxhash.Sum64String(orderedZone[i].Address), xxhash.Sum64String(orderedZone[j].Address)
		return a < b || a == b && orderedZone[i].Address < orderedZone[j].Address
	})
	return orderedZone
}

// Count returns how many daemons of a fleet watch the store.
func Count(fleet []Daemon) int {
	zones := make(map[string]int)
	for _, d := range fleet {
		zones[d.Zone]++
	}
	count := 0
	for _, n := range zones {
		count += min(n, watchersPerZone)
	}
	return count
}
