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
	// listInterval is the time between reads of the platform's list of VMs.
	listInterval = time.Second
)

// daemonStarted creates the node of a new incarnation and starts its timers.
func (p *fullPolicy) daemonStarted(d *Daemon) {
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
	d.node.SetVMs(p.now(), p.platformList())
	d.node.Ready()
	p.repeat(d, tickInterval, func() { p.tick(d) })
	p.repeat(d, listInterval, func() { p.readList(d) })
}

// repeat calls fn at an interval during the current incarnation, starting at a random
// phase.
func (p *fullPolicy) repeat(d *Daemon, interval time.Duration, fn func()) {
	var next func()
	next = func() {
		fn()
		d.at(p.now().Add(interval), next)
	}
	d.at(p.now().Add(time.Duration(d.rand.Int64N(int64(interval)))), next)
}

// readList merges the platform's list, which is answered without latency.
func (p *fullPolicy) readList(d *Daemon) {
	d.node.SetVMs(p.now(), p.platformList())
	d.node.ConfirmIncarnation(p.now())
}

// platformList returns the platform's list, which names VMs but not incarnations, and
// still lists a VM that has died.
func (p *fullPolicy) platformList() []membership.Record {
	records := make([]membership.Record, len(p.fleet.daemons))
	for i, d := range p.fleet.daemons {
		records[i] = d.record
		records[i].Incarnation, records[i].Started = uuid.Nil, time.Time{}
	}
	return records
}

func (p *fullPolicy) tick(d *Daemon) {
	p.events(d, d.node.Tick(p.now()))
	p.exchange(d)
}

// exchange performs the control exchanges that the node asks for. All daemons have
// the same configuration, so that nothing is fetched.
func (p *fullPolicy) exchange(d *Daemon) {
	out, sent := d.node.Outbox(p.now()), p.now()
	for _, e := range out.Exchanges {
		peer := p.fleet.byName[e.Peer.Name]
		p.sendMessage(d, peer, func() {
			peer.node.Receive(p.now(), out.Digest)
			reply := peer.node.DigestFor(p.now(), out.Digest.Sender)
			p.sendMessage(peer, d, func() { d.node.Answered(p.now(), sent, e.ID, reply) })
		})
	}
}

func (p *fullPolicy) sendMessage(from, to *Daemon, handle func()) {
	p.fleet.net.Send(from.zone, to.zone, func() { to.receive(handle, func() {}) })
}
