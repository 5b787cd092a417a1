package mesh

import (
	"time"

	"github.com/hawthornpoint/hawthornpoint/core/replica"
)

// Removals are settled up to a position if some daemon that read the store at that position, outside of a
// grace, puts them in force: an upstream that is removed there is gone, and not one that could not renew
// its entry during an outage. A daemon for which the store is unavailable keeps such upstreams in use, but no
// longer counts them as members (see directory.Members), so that it agrees with the others on who owns
// what. During an outage for all daemons nothing is settled.

// settleOwn records that the store was read at a position, before the changes are put in force. The first state
// after a restore of the store begins a grace.
func (d *Daemon) settleOwn(at replica.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.replica.At()
	restored := at.Era != known.Era && !known.IsZero()
	if !restored && d.dir.Doubtful(time.Now()) == 0 && d.settledAt.Before(at) {
		d.settledAt = at
	}
}

// settleAsPeer takes in the position up to which removals are settled according to a peer. It is of no use
// while later removals may be in force here.
func (d *Daemon) settleAsPeer(settled replica.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.applied != d.replica.At() || settled.Before(d.applied) {
		return
	}
	if d.settledAt.Before(settled) {
		d.settledAt = settled
	}
	if d.dir.SettleRemovals() {
		d.listedChanged = true
	}
}
