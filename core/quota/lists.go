package quota

import (
	"slices"
	"time"

	"github.com/hawthornpoint/hawthornpoint/core/replica"
)

const (
	// catchUpTime is how long an owner that has heard of a later list than its own grants tokens. Changes reach
	// all daemons in less than that in calm, and a new owner waits longer. A daemon has no such time in the
	// first window after its start, because an earlier process may have used it.
	catchUpTime = 500 * time.Millisecond
	// announced is how many of the daemons that a change removes from the list are told of it. They hear of it
	// from each other, and from those that they ask, but may reach few that have received the change.
	announced = 3
	// maxNewer bounds the later lists that are remembered.
	maxNewer = 16
)

// Version orders lists of daemons.
type Version struct {
	// Settled is the position of the store up to which removals are known to be settled, and At that of the
	// latest entry. A daemon without the store may have received a removal that it has not put in force.
	Settled, At replica.Position
}

// Before reports whether v is of an earlier list than w.
func (v Version) Before(w Version) bool {
	if c := v.Settled.Compare(w.Settled); c != 0 {
		return c < 0
	}
	return v.At.Before(w.At)
}

// List identifies a list of daemons. It is exported for net/rpc.
type List struct {
	Version Version
	// Hash depends on the names in the list, and not on their order.
	Hash uint32
}

// newerList is a list of which this daemon has heard and that it has not received.
type newerList struct {
	List
	heard time.Duration
}

// SetVersion records that the list of daemons in force is still that of a version.
func (n *Node) SetVersion(now time.Duration, v Version) {
	if n.version.Before(v) {
		n.version = v
		n.dropReceived(now)
	}
}

// announce chooses the daemons that are asked next so that they hear of the list of this one.
func (n *Node) announce(removed []string) {
	for len(removed) > announced {
		i := min(int(n.random()*float64(len(removed))), len(removed)-1)
		removed = slices.Delete(removed, i, i+1)
	}
	n.announces = removed
}

// Latest returns the latest list that the daemon has heard of. It goes with each question.
func (n *Node) Latest() List {
	if k := len(n.newer); k > 0 {
		return n.newer[k-1].List
	}
	return List{n.version, n.list}
}

// hear takes in the latest list that another daemon has heard of.
func (n *Node) hear(now time.Duration, l List) {
	switch {
	case len(n.daemons) == 0 || !n.Latest().Version.Before(l.Version):
	case l.Hash == n.list:
		n.SetVersion(now, l.Version) // the changes until then have cancelled out
	case len(n.newer) < maxNewer:
		n.newer = append(n.newer, newerList{l, now})
	default:
		n.newer[maxNewer-1].List = l // the times at which the earlier ones were heard count
	}
}

// dropReceived drops the later lists that have been received. A daemon that granted nothing until then is like
// one that has become owner.
func (n *Node) dropReceived(now time.Duration) {
	wasBehind, received := n.behind(now), 0
	for received < len(n.newer) && !n.version.Before(n.newer[received].Version) {
		received++
	}
	n.newer = n.newer[received:]
	if wasBehind && !n.behind(now) {
		n.beginAgain(now)
	}
}

// behind reports whether the daemon lacks a list that others have had for so long that it may have been
// replaced as owner.
func (n *Node) behind(now time.Duration) bool {
	if len(n.newer) == 0 {
		return false
	}
	heard := n.newer[0].heard
	return now-heard > catchUpTime || heard-n.started < n.bounds.Window
}
