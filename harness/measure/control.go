package measure

import (
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/core/node"
)

const (
	tickInterval = 10 * time.Millisecond
	// listInterval is the time between reads of the list of VMs.
	listInterval = time.Second
)

// started builds the node of a new incarnation and begins its timers.
func (p *full) started(d *Daemon) {
	d.node = node.New(node.Config{
		Self:        d.record,
		Started:     d.record.Started,
		Rand:        d.rand,
		NewID:       func() uuid.UUID { return randomID(d.rand) },
		OnViolation: d.violation,
	})
	if v, err := d.node.Offer(p.now(), p.fleet.envelope); v != config.Accepted {
		panic("the configuration was not accepted: " + err.Error())
	}
	d.node.SetVMs(p.now(), p.list())
	d.node.Ready()
	p.every(d, tickInterval, func() { p.tick(d) })
	p.every(d, listInterval, func() { p.readList(d) })
}

// every repeats fn in the present incarnation, beginning at a random phase.
func (p *full) every(d *Daemon, interval time.Duration, fn func()) {
	var next func()
	next = func() {
		fn()
		d.at(p.now().Add(interval), next)
	}
	d.at(p.now().Add(time.Duration(d.rand.Int64N(int64(interval)))), next)
}

// readList merges the platform's list. The answer comes at once.
func (p *full) readList(d *Daemon) {
	d.node.SetVMs(p.now(), p.list())
	d.node.ConfirmIncarnation(p.now())
}

// list is the platform's list, which names VMs but not incarnations, and keeps
// showing a VM that died.
func (p *full) list() []membership.Record {
	records := make([]membership.Record, len(p.fleet.daemons))
	for i, d := range p.fleet.daemons {
		records[i] = d.record
		records[i].Incarnation, records[i].Started = uuid.Nil, time.Time{}
	}
	return records
}

func (p *full) tick(d *Daemon) {
	p.events(d, d.node.Tick(p.now()))
	p.exchange(d)
}

// exchange swaps digests with the peers that the node asks for. All daemons hold
// the same configuration, so that nothing is fetched.
func (p *full) exchange(d *Daemon) {
	out, sent := d.node.Outbox(p.now()), p.now()
	for _, e := range out.Exchanges {
		peer := p.fleet.byName[e.Peer.Name]
		p.message(d, peer, func() {
			peer.node.Receive(p.now(), out.Digest)
			back := peer.node.DigestFor(p.now(), out.Digest.Sender)
			p.message(peer, d, func() { d.node.Answered(p.now(), sent, e.ID, back) })
		})
	}
}

func (p *full) message(from, to *Daemon, handle func()) {
	p.fleet.net.Send(from.zone, to.zone, func() { to.receive(handle, func() {}) })
}
