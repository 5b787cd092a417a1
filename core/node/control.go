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

// Digest is one side of a control exchange between two daemons. It is bounded, and
// can be encoded as JSON, which package exchange does, or with gob.
type Digest struct {
	// Sender is the record of the sending daemon.
	Sender membership.Record
	// Clock is the sender's wall clock.
	Clock time.Time
	// ConfigVersion is the version that the sender has in force; 0 for none.
	ConfigVersion uint64
	// Records are membership records in the order of View.RecordsForDigest: recent
	// changes first.
	Records []membership.Record
	// Reports are crash reports of quarantined and suspected requests.
	Reports []quarantine.Report
}

// Digest returns this daemon's side of an exchange.
func (n *Node) Digest(now time.Time) Digest { return n.digest(now, membership.DigestRecords) }

func (n *Node) digest(now time.Time, records int) Digest {
	return Digest{
		Sender:        n.view.NextAnnouncement(),
		Clock:         now,
		ConfigVersion: n.ConfigVersion(),
		Records:       n.view.RecordsForDigest(now, records),
		Reports:       n.crashes.Reports(now, maxDigestReports),
	}
}

// DigestFor returns the answer to a peer's digest. If a later incarnation has
// replaced the peer, its record comes first.
func (n *Node) DigestFor(now time.Time, peer membership.Record) Digest {
	d := n.Digest(now)
	if later, ok := n.view.Replacement(peer); ok {
		d.Records = append([]membership.Record{later}, truncate(d.Records, maxDigestRecords-1)...)
	}
	return d
}

// ConfigVersion returns the version of the configuration in force, 0 if there is none.
func (n *Node) ConfigVersion() uint64 {
	if n.conf == nil {
		return 0
	}
	return n.conf.Version
}

// Receive merges a peer's side of an exchange. The messages to send as a result are
// returned by the next call of Outbox.
func (n *Node) Receive(now time.Time, d Digest) {
	n.detectPause(now)
	n.table.RaiseFence(now, d.Clock)
	n.mergeRecord(now, d.Sender)
	for _, r := range truncate(d.Records, maxDigestRecords) {
		n.mergeRecord(now, r)
	}
	n.pushReports(now, n.crashes.Merge(now, truncate(d.Reports, maxDigestReports)))
	n.disseminator.ObserveVersion(now, d.ConfigVersion, d.Sender)
	n.applyMembership(now)
}

// mergeRecord merges a record from a peer. It ignores the record of this daemon.
func (n *Node) mergeRecord(now time.Time, r membership.Record) {
	if r.Name == n.cfg.Self.Name && r.Incarnation == n.cfg.Self.Incarnation {
		return
	}
	n.view.MergePeerRecord(now, r)
	if r.State == membership.Leaving {
		n.disseminator.Leaving(now, r)
	}
}

// pushReports adds reports that are new to the next push.
func (n *Node) pushReports(now time.Time, reports []quarantine.Report) {
	for _, r := range reports {
		n.disseminator.Quarantine(now, membership.ReportID{
			Fingerprint: r.Fingerprint,
			Incarnation: r.Incarnation,
			AtUnixNano:  r.At.UnixNano(),
		})
	}
}

func truncate[T any](list []T, limit int) []T { return list[:min(len(list), limit)] }

// SetVMs merges the platform's list of VMs.
func (n *Node) SetVMs(now time.Time, records []membership.Record) {
	n.listRead = n.listRead || len(records) > 0
	n.view.MergeList(now, records)
	n.applyMembership(now)
}

// applyMembership acts on a changed view: it checks whether this daemon was replaced
// and updates the pickers.
func (n *Node) applyMembership(now time.Time) {
	if _, replaced := n.view.LaterIncarnation(); replaced && !n.replaced {
		n.replaced = true
		n.table.LaterIncarnation()
		n.cfg.Observe(Observation{Type: ObservedReplaced})
	}
	n.refreshPickers(now)
}

// Offer puts a configuration in force if it is valid and newer than the one in force.
func (n *Node) Offer(now time.Time, e config.Envelope) (config.Verdict, error) {
	before := n.ConfigVersion()
	verdict, err := n.store.Offer(e)
	n.cfg.Observe(Observation{Type: ObservedConfig, Reason: verdict.String()})
	if verdict == config.Accepted {
		conf, _ := n.store.Current()
		n.apply(now, conf)
	}
	if n.ConfigVersion() < before {
		n.reportViolation(InvariantConfigForwards, n.cfg.Self.Incarnation, "configuration went back to an older version")
	}
	return verdict, err
}

// Envelope returns the sealed configuration in force.
func (n *Node) Envelope() config.Envelope {
	_, e := n.store.Current()
	return e
}

// Tick does the periodic work: it drops queued calls that are too late, removes
// expired membership records, applies the sheet and detects a pause of the process.
func (n *Node) Tick(now time.Time) []Event {
	n.detectPause(now)
	if !now.Before(n.nextExpiry) {
		n.nextExpiry = now.Add(expiryInterval)
		n.view.Expire(now)
		n.refreshPickers(now)
	}
	n.replan(now)
	return n.translate(now, n.admission.Tick(now))
}

// Pauses returns how many pauses of the process were detected.
func (n *Node) Pauses() int { return n.pauses }

// detectPause is called on every event, not only by Tick, because a process that
// resumes may handle events that queued up before its timers fire. The process may
// have been replaced during the pause: calls that waited in its sockets must not run
// under a key that the replacement may have run, so new keys are refused until
// ConfirmIncarnation.
func (n *Node) detectPause(now time.Time) {
	if n.pauseDetector.Observe(now) == 0 {
		return
	}
	n.resumedAt = now
	n.confirmation.Restart(now)
	n.table.SuspendNewKeys()
	n.admission.ResumeAfterPause(now)
	n.resumeAfterPause(now)
}

// ConfirmIncarnation resumes new keys after a pause if no live peer is known and the list
// of VMs that was merged last, and was asked for at the given time, names this VM and no
// other for the upstream of this daemon. Peers know a replacement before a list that
// lags. A list that was asked for before the end of the latest pause is ignored: it does
// not show whether this daemon was replaced meanwhile.
func (n *Node) ConfirmIncarnation(asked time.Time) {
	if !asked.Before(n.resumedAt) && n.view.ListedAlone() && n.view.LivePeers() == 0 {
		n.table.ResumeNewKeys()
	}
}

// confirmByPeer resumes new keys after a pause once enough peers have answered a digest
// that was sent after it.
func (n *Node) confirmByPeer(sent time.Time, peer membership.Record) {
	if peer.Name == n.cfg.Self.Name {
		return
	}
	n.confirmation.Answered(sent, peer.Name)
	if n.confirmation.Enough(n.view.LivePeers()) {
		n.table.ResumeNewKeys()
	}
}

// resumeAfterPause discards outdated measurements of upstreams, and schedules a check
// of the membership records and a burst of exchanges.
func (n *Node) resumeAfterPause(now time.Time) {
	n.pauses++
	n.nextExpiry = now
	n.outboxState.burst = true
	n.cfg.Observe(Observation{Type: ObservedPause})
	for _, p := range n.pickers {
		p.ResumeAfterPause(now)
	}
}

// NextTick returns the time by which admission needs a Tick; zero means none.
func (n *Node) NextTick() time.Time { return n.admission.NextTick() }

// Leave starts the graceful shutdown.
func (n *Node) Leave(now time.Time) {
	if n.state.Fire("leave") {
		n.leavingSince = now
		n.view.Leave()
		n.disseminator.Leaving(now, n.view.Self())
		n.outboxState.notifyCallers = true
	}
}

// FleetSize returns the number of known daemons.
func (n *Node) FleetSize() int { return n.view.Daemons() }

// ConnectionsToWarm returns, by address, how many connections to keep warm to each
// upstream that this daemon calls, according to the sheet. Upstreams for which one
// connection is enough, and those that are leaving, are left out.
func (n *Node) ConnectionsToWarm(now time.Time) map[string]int {
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

// refusesNewWork reports whether the daemon is drained, or is leaving and its grace
// period for late calls is over.
func (n *Node) refusesNewWork(now time.Time) bool {
	return n.state.Final() || n.leaving() && now.Sub(n.leavingSince) >= n.cfg.LeaveGrace
}

// Idle reports whether no call is open on either side.
func (n *Node) Idle() bool { return len(n.runs) == 0 && n.outgoing == 0 }

// Drained marks the end of a graceful shutdown. It must only be called when the
// node is idle or the drain limit has passed.
func (n *Node) Drained() {
	if !n.Idle() {
		n.reportViolation(InvariantGracefulStop, n.cfg.Self.Incarnation, "the daemon stops with calls in flight")
	}
	n.state.Fire("drained")
}

// UpstreamStates returns the balancer's state of each upstream, by service.
func (n *Node) UpstreamStates() map[string][]balancer.State {
	states := make(map[string][]balancer.State, len(n.pickers))
	for service, p := range n.pickers {
		states[service] = p.States()
	}
	return states
}

// Load returns the state and the counters of the local admission controller.
func (n *Node) Load() admission.Stats { return n.admission.Stats() }
