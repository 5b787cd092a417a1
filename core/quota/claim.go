package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// An owner whose list of daemons is out of date grants until its proof is ListAge old. A new owner therefore
// begins when the owner by each earlier list has answered with the new one, has ended, or can have no proof left.

// clockErrorDivisor is the reciprocal of the largest error of the rate of a clock, as in package freshness.
const clockErrorDivisor = 1000

// earlierList gives the owners by a list that other daemons may still have, until a time.
type earlierList struct {
	ring  *rendezvous.Rendezvous
	until time.Duration
}

// SetProven records that no change of the list of daemons had been acknowledged at a time that the list in force
// lacks.
func (n *Node) SetProven(now, at time.Duration) {
	if at > now || n.proved && at <= n.proven {
		return
	}
	if n.proved && !n.listProven(now) {
		clear(n.buckets) // others may have granted tokens meanwhile
		n.from = max(n.from, now+startTime)
		n.unsettle(now, nil)
	}
	n.proved, n.proven = true, at
}

// listProven reports whether the list of daemons is provably recent.
func (n *Node) listProven(now time.Duration) bool {
	return n.bounds.ListAge <= 0 || n.proved && now-n.proven <= n.bounds.ListAge-n.bounds.ListAge/clockErrorDivisor
}

// noteProof notices that the list is not provably recent any more, or again.
func (n *Node) noteProof(now time.Duration) {
	lost := n.proved && !n.listProven(now)
	if lost == n.proofLost {
		return
	}
	n.proofLost = lost
	kind := ProofRegained
	if lost {
		kind = ProofLost
	}
	n.event(Event{Kind: kind})
}

// unsettle makes the daemon wait for the owners by an earlier list, nil for the present one without the daemon.
func (n *Node) unsettle(now time.Duration, earlier *rendezvous.Rendezvous) {
	if n.bounds.ListAge <= 0 {
		return
	}
	if earlier == nil {
		others := slices.DeleteFunc(slices.Clone(n.daemons), func(name string) bool { return name == n.self })
		earlier = rendezvous.New(others, xxhash.Sum64String)
	}
	n.changedAt = now
	n.earlier = slices.DeleteFunc(n.earlier, func(l earlierList) bool { return l.until <= now })
	n.earlier = append(n.earlier, earlierList{earlier, now + n.bounds.ListAge})
	clear(n.unconfirmed)
}

// begin returns the time from which no other daemon has granted tokens of an owned tenant, and false if one still may,
// which is to be asked then.
func (n *Node) begin(now time.Duration, tenant string) (time.Duration, bool) {
	at, may := n.from, true
	for _, l := range n.earlier {
		owner := l.ring.Lookup(tenant)
		if owner == "" || owner == n.self {
			continue
		}
		stopped := l.until
		if n.hasStopped(owner) {
			stopped = min(stopped, n.links[owner].stoppedAt)
		}
		if stopped > now {
			n.unconfirmed[owner], may = true, false
		}
		at = max(at, stopped)
	}
	return at, may
}

// recordStopped records that a daemon has answered with the present list, or ended.
func (n *Node) recordStopped(now time.Duration, daemon string) {
	if !n.hasStopped(daemon) {
		n.link(daemon).stoppedAt = now
	}
}

// hasStopped reports whether a daemon has answered with the present list, or ended, since the list changed.
func (n *Node) hasStopped(daemon string) bool {
	l := n.links[daemon]
	return l != nil && l.stoppedAt > n.changedAt
}

// beginsIn returns the time until an owned tenant may receive tokens, if earlier owners that have answered the latest
// question confirm that they have stopped.
func (n *Node) beginsIn(now time.Duration, tenant string, l Limit) time.Duration {
	if b := n.buckets[tenant]; b != nil {
		return max(b.at-now, 0)
	}
	at := max(n.from, now)
	for _, e := range n.earlier {
		owner := e.ring.Lookup(tenant)
		if link := n.links[owner]; owner != n.self && now < e.until && link != nil && link.doubtful && !n.hasStopped(owner) {
			at = max(at, e.until)
		}
	}
	return at - now + burstTime(n.bounds, l)
}

// toConfirm returns an earlier owner that is to be asked, empty if there is none.
func (n *Node) toConfirm(now time.Duration) string {
	next := ""
	for daemon := range n.unconfirmed {
		switch {
		case n.hasStopped(daemon) || now > n.changedAt+n.bounds.ListAge:
			delete(n.unconfirmed, daemon)
		case now >= n.link(daemon).unreachableUntil && (next == "" || daemon < next):
			next = daemon
		}
	}
	return next
}
