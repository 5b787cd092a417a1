package node

import (
	"time"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/admission"
	"github.com/hawthornpoint/hawthornpoint/core/balancer"
	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/core/quarantine"
)

const (
	// maxDigestRecords and maxDigestReports bound one message of the control exchange.
	maxDigestRecords = membership.PushRecords
	maxDigestReports = 16
)

// Digest is one side of a control exchange between two daemons. It is bounded
// and safe to encode with gob.
type Digest struct {
	// Sender is the record of the sending daemon.
	Sender membership.Record
	// Clock is the sender's wall clock.
	Clock time.Time
	// ConfigVersion is the version that the sender has in force; 0 for none.
	ConfigVersion uint64
	// Records are membership records that changed lately.
	Records []membership.Record
	// Reports are crash reports of quarantined and suspected requests.
	Reports []quarantine.Report
}

// Digest returns this daemon's side of an exchange.
func (n *Node) Digest(now time.Time) Digest { return n.digest(now, membership.DigestRecords) }

func (n *Node) digest(now time.Time, records int) Digest {
	return Digest{
		Sender:        n.view.Announce(),
		Clock:         now,
		ConfigVersion: n.ConfigVersion(),
		Records:       n.view.Recent(now, records),
		Reports:       n.crashes.Reports(now, maxDigestReports),
	}
}

// DigestFor returns the answer to a peer's digest. If the peer's place has a
// later incarnation, the answer says so first.
func (n *Node) DigestFor(now time.Time, peer membership.Record) Digest {
	d := n.Digest(now)
	if later, ok := n.view.Replacement(peer); ok {
		d.Records = append([]membership.Record{later}, truncate(d.Records, maxDigestRecords-1)...)
	}
	return d
}

// ConfigVersion returns the version in force; 0 for none.
func (n *Node) ConfigVersion() uint64 {
	if n.conf == nil {
		return 0
	}
	return n.conf.Version
}

// Receive merges a peer's side of an exchange. What follows from it is returned by
// the next Outbox.
func (n *Node) Receive(now time.Time, d Digest) {
	n.noticePause(now)
	n.table.RaiseFence(now, d.Clock)
	n.learn(now, d.Sender)
	for _, r := range truncate(d.Records, maxDigestRecords) {
		n.learn(now, r)
	}
	for _, r := range n.crashes.Merge(now, truncate(d.Reports, maxDigestReports)) {
		n.rumors.Quarantine(now, r.Fingerprint)
	}
	n.rumors.Heard(now, d.ConfigVersion, d.Sender)
	n.afterMembership(now)
}

func (n *Node) learn(now time.Time, r membership.Record) {
	if r.Name == n.cfg.Self.Name && r.Incarnation == n.cfg.Self.Incarnation {
		return
	}
	n.view.FromPeer(now, r)
	if r.State == membership.Leaving {
		n.rumors.Leaving(now, r)
	}
}

func truncate[T any](list []T, limit int) []T { return list[:min(len(list), limit)] }

// SetList merges the platform's list of VMs.
func (n *Node) SetList(now time.Time, records []membership.Record) {
	n.view.FromList(now, records)
	n.afterMembership(now)
}

func (n *Node) afterMembership(now time.Time) {
	if _, replaced := n.view.LaterIncarnation(); replaced && !n.replaced {
		n.replaced = true
		n.table.LaterIncarnation()
		n.cfg.Observe(Observation{Type: ObservedReplaced})
	}
	n.refreshPickers(now)
}

// Offer puts a configuration in force if it is valid and newer.
func (n *Node) Offer(now time.Time, e config.Envelope) (config.Verdict, error) {
	before := n.ConfigVersion()
	verdict, err := n.store.Offer(e)
	n.cfg.Observe(Observation{Type: ObservedConfig, Reason: verdict.String()})
	if verdict == config.Accepted {
		conf, _ := n.store.Current()
		n.apply(now, conf)
	}
	if n.ConfigVersion() < before {
		n.violate(InvariantConfigForwards, n.cfg.Self.Incarnation, "configuration went back to an older version")
	}
	return verdict, err
}

// Envelope returns the sealed configuration in force.
func (n *Node) Envelope() config.Envelope {
	_, e := n.store.Current()
	return e
}

// Tick advances time. It drops queued calls that are too late, follows the
// sheet and notices a pause of the process.
func (n *Node) Tick(now time.Time) []Event {
	n.noticePause(now)
	if !now.Before(n.nextExpiry) {
		n.nextExpiry = now.Add(expiryInterval)
		n.view.Expire(now)
		n.refreshPickers(now)
	}
	n.replan(now)
	return n.translate(now, n.admission.Tick(now))
}

// Pauses returns how many pauses of the process were noticed.
func (n *Node) Pauses() int { return n.pauses }

// noticePause is called by every event, because a process that wakes up may handle
// what had queued up before its timers. After a pause the process may have been
// replaced: calls that waited in its sockets must not run under a
// key that the replacement may have run, so keys are held until Confirm.
func (n *Node) noticePause(now time.Time) {
	if n.clock.Observe(now) == 0 {
		return
	}
	n.pausedAt = now
	n.table.SuspendNewKeys()
	n.admission.ResumeAfterPause(now)
	n.forget(now)
}

// Confirm tells that a peer or the list of VMs, asked at the given time, has
// answered and that the answer was merged. An answer to a question from before
// the latest pause proves nothing.
func (n *Node) Confirm(asked time.Time) {
	if !asked.Before(n.pausedAt) {
		n.table.ResumeNewKeys()
	}
}

// forget marks all beliefs about others as old.
func (n *Node) forget(now time.Time) {
	n.pauses++
	n.nextExpiry = now
	n.sends.burst = true
	n.cfg.Observe(Observation{Type: ObservedPause})
	for _, p := range n.pickers {
		p.Forget(now)
	}
}

// NextTick returns when Tick is needed at the latest; zero means no queue timer.
func (n *Node) NextTick() time.Time { return n.admission.NextTick() }

// Leave starts the graceful shutdown.
func (n *Node) Leave(now time.Time) {
	if n.state.Fire("leave") {
		n.leftAt = now
		n.view.Leave()
		n.rumors.Leaving(now, n.view.Self())
		n.sends.tellCallers = true
	}
}

// FleetSize returns the number of daemons as far as it is known.
func (n *Node) FleetSize() int { return n.view.Daemons() }

// Warm returns how many connections the sheet asks for towards each upstream that
// this daemon calls. Upstreams for which one connection is enough are left out.
func (n *Node) Warm(now time.Time) map[string]int {
	warm := make(map[string]int)
	for _, service := range n.callees {
		plan := n.Plan(now, service)
		for _, e := range n.endpoints(service) {
			if want := plan.ForConnections(e.Connections).WarmConnections; want > 1 && !e.Leaving {
				warm[e.Address] = want
			}
		}
	}
	return warm
}

func (n *Node) leaving() bool { return n.state.State() == "leaving" }

// refusesNewWork reports whether the grace for late calls is over.
func (n *Node) refusesNewWork(now time.Time) bool {
	return n.state.Final() || n.leaving() && now.Sub(n.leftAt) >= n.cfg.LeaveGrace
}

// Idle reports whether no call is held on either side.
func (n *Node) Idle() bool { return len(n.runs) == 0 && n.outgoing == 0 }

// Drained marks the end of a graceful shutdown. It must only be called when the
// node is idle or the drain limit has passed.
func (n *Node) Drained() {
	if !n.Idle() {
		n.violate(InvariantGracefulStop, n.cfg.Self.Incarnation, "the daemon stops with calls in flight")
	}
	n.state.Fire("drained")
}

// UpstreamStates returns what this daemon believes of each upstream, by service.
func (n *Node) UpstreamStates() map[string][]balancer.State {
	states := make(map[string][]balancer.State, len(n.pickers))
	for service, p := range n.pickers {
		states[service] = p.States()
	}
	return states
}

// Load returns the state of the local admission.
func (n *Node) Load() admission.Stats { return n.admission.Stats() }
