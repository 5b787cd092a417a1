package node

import (
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/admission"
	"github.com/hawthornpoint/hawthornpoint/core/chart"
	"github.com/hawthornpoint/hawthornpoint/core/idempotency"
	"github.com/hawthornpoint/hawthornpoint/core/quarantine"
	"github.com/hawthornpoint/hawthornpoint/core/retry"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

var requestChart = chart.MustLoad("request")

// Verdict is the decision about a call that arrives for the local backend server.
type Verdict uint8

// Verdicts of an ArrivalDecision.
const (
	// Run: send the call to the backend server now.
	Run Verdict = iota + 1
	// Queue: wait for an Event with the call's id.
	Queue
	// Join: wait until the call ArrivalDecision.JoinedCall has ended, then call Arrive
	// again.
	Join
	// Replay: answer with ArrivalDecision.Answer.
	Replay
	// Refuse: answer with ArrivalDecision.Reply.
	Refuse
)

// ArrivalDecision is the decision about an arriving call.
type ArrivalDecision struct {
	Verdict Verdict
	// Reply is set for Refuse and Replay.
	Reply callmeta.Reply
	// Answer is set for Replay.
	Answer *idempotency.Answer
	// JoinedCall is the id of the call to wait for, set for Join.
	JoinedCall uuid.UUID
	// Events are the refusals of other calls, which were evicted from the queue.
	Events []Event
}

// Event reports that a queued call starts, or that it is refused.
type Event struct {
	CallID uuid.UUID
	// Start is true when the call is to be sent to the backend server now.
	Start bool
	// Reply is the refusal when Start is false.
	Reply callmeta.Reply
}

// Outcome describes how a call on the server side ended.
type Outcome struct {
	// Code is OK when the backend server answered completely, or BackendRefused,
	// BackendDown, BackendCrashed, DeadlineExceeded, CanceledWhileRunning or
	// AnswerTruncated.
	Code resultcode.Code
	// Latency is the time from the send to the end of the answer.
	Latency time.Duration
	// Answer is recorded to be replayed when a call with a key or token is sent again;
	// nil if it was not captured.
	Answer *idempotency.Answer
}

// run is one call on the server side, from arrival to its end.
type run struct {
	meta             callmeta.Meta
	kind             *config.Kind
	state            *chart.Machine
	ledger           *retry.Ledger
	identity         idempotency.Identity
	identified       bool
	downstreamFailed bool
	// children is the number of open downstream calls. waited is the time in which at
	// least one was open, without the period that began at waitStart.
	children  int
	waitStart time.Time
	waited    time.Duration
}

// childOpened and childEnded measure the time in which downstream calls are open.
func (r *run) childOpened(now time.Time) {
	if r.children == 0 {
		r.waitStart = now
	}
	r.children++
}

func (r *run) childEnded(now time.Time) {
	r.children--
	if r.children == 0 {
		r.waited += now.Sub(r.waitStart)
	}
}

// downstream returns the time in which at least one downstream call was open.
func (r *run) downstream(now time.Time) time.Duration {
	if r.children > 0 {
		return r.waited + now.Sub(r.waitStart)
	}
	return r.waited
}

// Arrive decides about a call that a peer forwarded to the local backend server.
func (n *Node) Arrive(now time.Time, m callmeta.Meta) ArrivalDecision {
	n.detectPause(now)
	kind, code := n.matchLocalKind(m)
	if code != 0 {
		return n.refuseArrival(m, code)
	}
	if m.From != "" {
		n.view.RecordCaller(now, m.From)
	}
	// The decoded names are substrings of the header text. A record of the at-most-once
	// table with these names would keep the entire text in memory for its lifetime of
	// 10 minutes.
	m.Service, m.Kind = n.cfg.Self.Service, kind.Name
	r := &run{meta: m, kind: kind, state: requestChart.NewMachine(), ledger: retry.NewLedger(m.Retries)}
	if arrival, settled := n.openRecord(now, r); settled {
		return arrival
	}
	if code := n.precheck(now, r); code != 0 {
		n.markNotRun(r)
		return n.refuseArrival(m, code)
	}
	if n.refusedDownstream(now, r) {
		n.markNotRun(r)
		n.observeRefusal(resultcode.ShedEarly, m.Service, m.Kind)
		return ArrivalDecision{Verdict: Refuse, Reply: n.reply(now, r, resultcode.ShedEarly)}
	}
	return n.admit(now, r)
}

// matchLocalKind returns the kind of an arriving call, or the code with which it is
// refused.
func (n *Node) matchLocalKind(m callmeta.Meta) (*config.Kind, resultcode.Code) {
	own := n.ownService()
	if own == nil {
		return nil, resultcode.NotConfigured
	}
	if m.Service != own.Name {
		return nil, resultcode.ConfigurationMismatch
	}
	kind := own.Kind(m.Kind)
	if kind == nil || kind.Idempotent != m.Idempotent {
		return nil, resultcode.ConfigurationMismatch
	}
	if _, known := n.runs[m.CallID]; known {
		return nil, resultcode.BadRequest
	}
	return kind, 0
}

// openRecord opens or looks up the at-most-once record of a call with a key or token.
// It returns true if that decides about the call. It is called before the checks of
// state and load, so that a request which these refuse was not run by an earlier send
// either.
func (n *Node) openRecord(now time.Time, r *run) (ArrivalDecision, bool) {
	m := r.meta
	if m.Idempotent || (m.Key == "" && m.Token == "") {
		return ArrivalDecision{}, false
	}
	if code := n.checkHome(m); code != 0 {
		return n.refuseArrival(m, code), true
	}
	r.identity = idempotency.Identity{
		Service: m.Service, Kind: m.Kind, Key: m.Key, Token: m.Token, Fingerprint: m.Fingerprint, Call: m.CallID,
	}
	r.identified = true
	d := n.table.Begin(now, r.identity)
	switch d.Verdict {
	case idempotency.Run:
		return ArrivalDecision{}, false
	case idempotency.Join:
		n.cfg.Observe(Observation{Type: ObservedJoined, Service: m.Service, Kind: m.Kind})
		return ArrivalDecision{Verdict: Join, JoinedCall: d.Owner}, true
	case idempotency.Replay:
		n.cfg.Observe(Observation{Type: ObservedReplayed, Service: m.Service, Kind: m.Kind})
		return ArrivalDecision{Verdict: Replay, Answer: d.Answer, Reply: n.reply(now, r, resultcode.Replayed)}, true
	default:
		return n.refuseArrival(m, d.Code), true
	}
}

// checkHome returns the code with which a call is refused whose home is not this
// daemon, or 0.
func (n *Node) checkHome(m callmeta.Meta) resultcode.Code {
	if m.Token != "" {
		token, err := idempotency.ParseToken(m.Token)
		if err != nil || token.Service != m.Service {
			return resultcode.BadToken
		}
		if token.Upstream != n.cfg.Self.Name {
			return resultcode.NotHome
		}
		return 0
	}
	own := n.ownService()
	names := upstreamNames(own)
	if idempotency.HomeMoving(m.Key, names, own.PreviousHomes) {
		return resultcode.HomeMoving
	}
	if idempotency.Home(m.Key, names) != n.cfg.Self.Name {
		return resultcode.NotHome
	}
	return 0
}

// precheck returns the code with which a call is refused for a reason other than the
// load of the backend server, or 0.
func (n *Node) precheck(now time.Time, r *run) resultcode.Code {
	switch {
	case n.refusesNewWork(now):
		return resultcode.Leaving
	case len(n.runs) >= n.cfg.MaxCalls:
		return resultcode.TooManyCalls
	case !now.Before(r.meta.Deadline):
		return resultcode.DeadlineTooShort
	case n.crashes.Check(now, r.meta.Fingerprint) == quarantine.Refuse:
		return resultcode.Quarantined
	case n.backendDown:
		return resultcode.BackendDown
	default:
		return 0
	}
}

// downstreamProbeOneIn sets the share of calls, one in 50, that run although a
// downstream service refuses their priority, so that an outdated threshold is
// corrected.
const downstreamProbeOneIn = 50

// refusedDownstream reports whether a downstream service refuses the call's priority,
// so that a run here would be wasted. Calls with a key or token get this far although
// the sender knows the threshold, because only their home may refuse them.
func (n *Node) refusedDownstream(now time.Time, r *run) bool {
	for _, t := range r.kind.Calls {
		p, ok := n.pickers[t.Service]
		if ok && r.meta.Priority() >= p.ThresholdOf(now, t.Kind) {
			return n.cfg.Rand.IntN(downstreamProbeOneIn) != 0
		}
	}
	return false
}

func (n *Node) admit(now time.Time, r *run) ArrivalDecision {
	d := n.admission.Arrive(now, admission.Request{
		ID:       r.meta.CallID,
		Priority: r.meta.Priority(),
		Deadline: r.meta.Deadline,
		Kind:     r.meta.Kind,
		Isolated: n.crashes.Check(now, r.meta.Fingerprint) == quarantine.Isolate,
	})
	arrival := ArrivalDecision{Events: n.refuseEvicted(d.Evicted)}
	switch d.Verdict {
	case admission.Start:
		n.register(now, r)
		n.start(r)
		arrival.Verdict = Run
	case admission.Queue:
		n.register(now, r)
		r.state.Fire("queue")
		arrival.Verdict = Queue
	default:
		n.markNotRun(r)
		refusal := n.refuseArrival(r.meta, d.Code)
		arrival.Verdict, arrival.Reply = refusal.Verdict, refusal.Reply
	}
	return arrival
}

func (n *Node) register(now time.Time, r *run) {
	if n.refusesNewWork(now) {
		n.reportViolation(InvariantLeaving, r.meta.RequestID, "a call was accepted after the grace period of a leaving daemon")
	}
	n.runs[r.meta.CallID] = r
}

// start marks a call as sent to the backend server.
func (n *Node) start(r *run) {
	r.state.Fire("start")
	r.state.Fire("send")
	if r.identified && !n.table.MarkSent(r.identity) {
		n.reportViolation(InvariantAtMostOnce, r.meta.RequestID, "a call was started that does not own its at-most-once record")
	}
	n.crashes.CallStarted(r.meta.Fingerprint, r.meta.CallID)
}

// markNotRun removes the at-most-once record of a call that was not sent to the
// backend server.
func (n *Node) markNotRun(r *run) {
	if r.identified {
		n.table.MarkNotRun(r.identity)
	}
}

func (n *Node) refuseArrival(m callmeta.Meta, code resultcode.Code) ArrivalDecision {
	n.observeRefusal(code, m.Service, m.Kind)
	return ArrivalDecision{Verdict: Refuse, Reply: n.refusal(code)}
}

// Refusal returns the reply to a call that is refused with the given code.
func (n *Node) Refusal(code resultcode.Code) callmeta.Reply { return n.refusal(code) }

// Failure returns the reply to a running call that ends without an answer.
func (n *Node) Failure(now time.Time, callID uuid.UUID, code resultcode.Code) callmeta.Reply {
	reply := n.Reply(now, callID)
	reply.Code = code
	return reply
}

func (n *Node) refusal(code resultcode.Code) callmeta.Reply {
	return callmeta.Reply{
		Code:        code,
		Threshold:   n.admission.Threshold(),
		Leaving:     n.leaving(),
		Incarnation: n.cfg.Self.Incarnation,
	}
}

func (n *Node) refuseEvicted(refusals []admission.Refusal) []Event {
	events := make([]Event, 0, len(refusals))
	for _, e := range refusals {
		n.cfg.Observe(Observation{Type: ObservedEvicted, Code: e.Code, Service: n.cfg.Self.Service})
		events = n.appendRefused(events, e.ID, e.Code)
	}
	return events
}

// translate converts admission events to node events. A call whose fingerprint was
// quarantined while it was queued is refused, and its slot goes to another call.
func (n *Node) translate(now time.Time, in []admission.Event) []Event {
	events := make([]Event, 0, len(in))
	for len(in) > 0 {
		e := in[0]
		in = in[1:]
		r, ok := n.runs[e.ID]
		switch {
		case !ok:
		case !e.Start:
			events = n.appendRefused(events, e.ID, e.Code)
		case n.crashes.Check(now, r.meta.Fingerprint) == quarantine.Refuse:
			events = n.appendRefused(events, e.ID, resultcode.Quarantined)
			in = append(in, n.admission.Done(now, e.ID, admission.Outcome{Failed: true})...)
		default:
			n.start(r)
			events = append(events, Event{CallID: e.ID, Start: true})
		}
	}
	return events
}

func (n *Node) appendRefused(events []Event, id uuid.UUID, code resultcode.Code) []Event {
	r, ok := n.runs[id]
	if !ok {
		return events
	}
	n.markNotRun(r)
	n.remove(r, "refuse")
	n.observeRefusal(code, r.meta.Service, r.meta.Kind)
	return append(events, Event{CallID: id, Reply: n.refusal(code)})
}

// Reply returns the reply that goes with the answer of a running call. Retries leased
// to downstream calls that are still open count as used.
func (n *Node) Reply(now time.Time, callID uuid.UUID) callmeta.Reply {
	r, ok := n.runs[callID]
	if !ok {
		return n.refusal(resultcode.RunLost)
	}
	return n.reply(now, r, resultcode.OK)
}

func (n *Node) reply(now time.Time, r *run, code resultcode.Code) callmeta.Reply {
	reply := n.refusal(code)
	reply.RequestID = r.meta.RequestID
	reply.RetriesUsed = r.meta.Retries - r.ledger.Remaining()
	reply.RetriedBelow = r.downstreamFailed
	for _, t := range r.kind.Calls {
		if p, ok := n.pickers[t.Service]; ok {
			reply.Threshold = min(reply.Threshold, p.ThresholdOf(now, t.Kind))
		}
	}
	return reply
}

// Done ends a call that was sent to the backend server.
func (n *Node) Done(now time.Time, callID uuid.UUID, o Outcome) []Event {
	n.detectPause(now)
	r, ok := n.runs[callID]
	if !ok {
		return nil
	}
	n.closeRecord(now, r, o)
	n.pushReports(now, n.crashes.CallEnded(callID, o.Code == resultcode.OK))
	n.remove(r, finalEvent(o.Code))
	return n.translate(now, n.admission.Done(now, callID, admission.Outcome{
		Latency:    o.Latency,
		Downstream: r.downstream(now),
		Dropped:    o.Code == resultcode.BackendRefused,
		Failed:     o.Code != resultcode.OK,
	}))
}

func finalEvent(c resultcode.Code) chart.Event {
	switch c.Kind() {
	case resultcode.Answered:
		return "finish"
	case resultcode.NotRun:
		return "refuse"
	default:
		return "lose"
	}
}

func (n *Node) closeRecord(now time.Time, r *run, o Outcome) {
	if !r.identified {
		return
	}
	switch o.Code.Kind() {
	case resultcode.NotRun:
		n.table.MarkRefused(r.identity)
	case resultcode.Answered:
		n.table.Finish(now, r.identity, o.Answer)
	default:
		n.table.Finish(now, r.identity, nil)
	}
}

func (n *Node) remove(r *run, e chart.Event) {
	r.state.Fire(e)
	if !r.state.Final() {
		n.reportViolation(InvariantNotRun, r.meta.RequestID, "a call ended in state "+string(r.state.State()))
	}
	delete(n.runs, r.meta.CallID)
}

// Cancel ends a queued call whose caller disconnected. It does nothing to a call that
// was sent to the backend server.
func (n *Node) Cancel(now time.Time, callID uuid.UUID) []Event {
	n.detectPause(now)
	r, ok := n.runs[callID]
	if !ok || r.state.State() != "queued" {
		return nil
	}
	n.markNotRun(r)
	n.remove(r, "refuse")
	n.observeRefusal(resultcode.CanceledBeforeStart, r.meta.Service, r.meta.Kind)
	return n.translate(now, n.admission.Cancel(now, callID))
}

// BackendDown records that the backend server crashed or does not accept connections.
// The calls running there become suspects of the crash; each still ends with Done.
func (n *Node) BackendDown(now time.Time) {
	if n.backendDown {
		return
	}
	n.backendDown = true
	n.pushReports(now, n.crashes.BackendCrashed(now, n.backendIncarnation))
	n.cfg.Observe(Observation{Type: ObservedCrash, Service: n.cfg.Self.Service})
}

// BackendUp records that the backend server accepts connections again. If it was
// down, it counts as a new incarnation.
func (n *Node) BackendUp() {
	if n.backendDown {
		n.backendDown = false
		n.backendIncarnation = n.cfg.NewID()
	}
}

// BackendIsDown reports whether BackendDown was called since the last BackendUp.
func (n *Node) BackendIsDown() bool { return n.backendDown }
