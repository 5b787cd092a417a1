package mesh

import (
	"time"

	"github.com/hawthornpoint/hawthornpoint/core/replica"
)

// Removals are settled up to a position if some daemon that read the store at that position, outside of a
// grace, has put them in force: an upstream that is removed there is gone, and not one that could not renew
// its entry during an outage. A daemon for which the store is unavailable keeps such upstreams in use, but no
// longer counts them as members (see directory.Members), so that it agrees with the others on who owns
// what. During an outage for all daemons nothing is settled.

// settleOwn records that a read of the store at a position is in force.
func (d *Daemon) settleOwn(at replica.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dir.Doubtful(time.Now()) == 0 && d.settledAt.Before(at) {
		d.settledAt = at
	}
}

// settleAsPeer takes in the position up to which removals are settled according to a peer.
func (d *Daemon) settleAsPeer(settled replica.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.settledAt.Before(settled) {
		d.settledAt = settled
	}
	if !d.storeUnavailable || d.applied != d.replica.At() || d.settledAt.Before(d.applied) {
		return // removals after settledAt, or under way, may be in force here
	}
	if d.dir.SettleRemovals() {
		d.listedChanged = true
	}
}
