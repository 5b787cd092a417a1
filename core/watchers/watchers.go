// Package watchers decides which daemons read the store themselves, and from which of them
// the others take its changes.
//
// If every daemon watched the store, each change would cost as many reads as there are
// daemons. Instead, a few daemons of each zone watch, and the others of the zone wait for
// their changes at one of these. All daemons order the zone alike, by a hash, and the first
// of the order watch: they need no agreement, and views that differ for a moment cost only
// some reads more or one refused question. A daemon whose sources have all failed reads the
// store itself.
//
// A Selector has no clock and is not safe for concurrent use.
package watchers

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// perZone is how many daemons of each zone watch the store. With two, the loss of one
	// does not cut the zone off.
	perZone = 2
	// maxPassed is how many failed sources are passed over before a daemon reads the store
	// itself. Those next in the order need some time to see that they have to watch.
	maxPassed = 2 * perZone
	// awayFor is how long a source that failed is passed over. A daemon restarts in about
	// this time.
	awayFor = 2 * time.Second
)

// Daemon is one daemon as a possible source.
type Daemon struct {
	// Address identifies the daemon: that of the upstream beside it.
	Address string
	Zone    string
}

// Selector chooses the source of one daemon.
type Selector struct {
	self Daemon
	away map[string]time.Time // until when a source is passed over
}

// New returns a selector for a daemon.
func New(self Daemon) *Selector {
	return &Selector{self: self, away: make(map[string]time.Time)}
}

// Away records that a source failed or does not watch the store.
func (s *Selector) Away(now time.Time, address string) {
	for known, until := range s.away {
		if !now.Before(until) {
			delete(s.away, known)
		}
	}
	s.away[address] = now.Add(awayFor)
}

// Source returns the address of the daemon to take changes from; empty if this daemon
// reads the store itself. fleet holds all known daemons.
func (s *Selector) Source(now time.Time, fleet []Daemon) string {
	zone := s.zone(fleet)
	watching, passed := make([]Daemon, 0, perZone), 0
	for _, d := range zone {
		if d.Address == s.self.Address {
			return ""
		}
		if now.Before(s.away[d.Address]) {
			if passed++; passed == maxPassed {
				return ""
			}
			continue
		}
		if watching = append(watching, d); len(watching) == perZone {
			break
		}
	}
	if len(watching) == 0 {
		return ""
	}
	return watching[xxhash.Sum64String(s.self.Address)%uint64(len(watching))].Address
}

// zone returns the daemons of the own zone in the common order, this one included.
func (s *Selector) zone(fleet []Daemon) []Daemon {
	zone := []Daemon{s.self}
	for _, d := range fleet {
		if d.Zone == s.self.Zone && d.Address != s.self.Address {
			zone = append(zone, d)
		}
	}
	sort.Slice(zone, func(i, j int) bool {
		a, b := xxhash.Sum64String(zone[i].Address), xxhash.Sum64String(zone[j].Address)
		return a < b || a == b && zone[i].Address < zone[j].Address
	})
	return zone
}

// Count returns how many daemons of a fleet watch the store.
func Count(fleet []Daemon) int {
	zones := make(map[string]int)
	for _, d := range fleet {
		zones[d.Zone]++
	}
	count := 0
	for _, n := range zones {
		count += min(n, perZone)
	}
	return count
}
