package node

import (
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/balancer"
	"github.com/hawthornpoint/hawthornpoint/core/quarantine"
	"github.com/hawthornpoint/hawthornpoint/core/retry"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// minRetriesPerSecond is the number of retries per second that are always allowed
// towards a service, also with little traffic. At 110 calls/s it is 3% of the calls.
const minRetriesPerSecond = 3

// OpenRequest describes a call that a caller or the local backend server makes.
type OpenRequest struct {
	// Parent is the call id of the run on the local backend server that makes the
	// call; zero for a caller's request.
	Parent uuid.UUID
	// Service, Method and Path select the request kind.
	Service, Method, Path string
	// Key and Token identify a non-idempotent request when it is sent again.
	Key, Token string
	// Fingerprint identifies equal requests.
	Fingerprint uint64
	// Timeout shortens the timeout of the request kind (patience_ms); zero leaves it.
	Timeout time.Duration
}

// Action is what the daemon has to do next for an outgoing call.
type Action uint8

// Actions of a Step.
const (
	// Send: forward the call to Step.Address with Step.Meta and call Report with the
	// result.
	Send Action = iota + 1
	// Wait: call Resume at Step.Until.
	Wait
	// Finish: answer the caller with Step.Reply.
	Finish
)

// Step is the next action for an outgoing call. Upstream, Address and Meta are set
// for Send, Until for Wait and Reply for Finish.
type Step struct {
	Action            Action
	Upstream, Address string
	Meta              callmeta.Meta
	Until             time.Time
	Reply             callmeta.Reply
}

// OutgoingCall is one call on the client side of a hop, with all its attempts.
type OutgoingCall struct {
	meta             callmeta.Meta
	kind             *config.Kind
	parent           *run
	leasedFromParent int
	ledger           *retry.Ledger
	// home is the only upstream that may run the call; empty if any may.
	home string
	// exclude holds the upstreams that earlier attempts failed at.
	exclude      map[string]bool
	attempt      attempt
	attemptCount int
	// unknownCode is the code of the first attempt that may have run; 0 if none.
	unknownCode resultcode.Code
	// homeCheckedRecords is set once an upstream has replied after checking its
	// at-most-once records.
	homeCheckedRecords bool
	done               bool
}

// attempt is the attempt in progress.
type attempt struct {
	upstream string
	// hasLease is false when the kind has no downstream calls, so that the attempt
	// needs no lease of retries.
	hasLease      bool
	leasedRetries int
}

// AttemptResult is the result of one attempt.
type AttemptResult struct {
	// Code is the upstream's result code. Without a reply it is the code that this
	// daemon determined: ConnectFailed, AttemptLost, DeadlineExceeded,
	// CanceledWhileRunning or AnswerTruncated.
	Code resultcode.Code
	// Reply is the upstream's reply, or nil if none was received.
	Reply *callmeta.Reply
	// Latency is the time from the send to the start of the answer.
	Latency time.Duration
}

// Meta returns the metadata of the call without an attempt's call id.
func (o *OutgoingCall) Meta() callmeta.Meta { return o.meta }

// Open starts a call. When the returned step is Finish, the OutgoingCall is nil or
// finished and must not be used again.
func (n *Node) Open(now time.Time, req OpenRequest) (*OutgoingCall, Step) {
	n.detectPause(now)
	kind, code := n.matchKind(now, req)
	if code != 0 {
		return nil, n.refuseOpen(code, req, "")
	}
	o := &OutgoingCall{kind: kind, exclude: make(map[string]bool)}
	if code := n.fillMeta(now, o, req); code != 0 {
		return nil, n.refuseOpen(code, req, kind.Name)
	}
	n.leaseRetries(o)
	if o.parent != nil {
		o.parent.childOpened(now)
	}
	n.outgoing++
	if n.crashes.Check(now, o.meta.Fingerprint) == quarantine.Refuse {
		return o, n.finish(now, o, resultcode.Quarantined)
	}
	if code := n.findHome(o); code != 0 {
		return o, n.finish(now, o, code)
	}
	return o, n.send(now, o)
}

// matchKind returns the kind of a new call, or the code with which it is refused.
func (n *Node) matchKind(now time.Time, req OpenRequest) (*config.Kind, resultcode.Code) {
	if req.Parent == uuid.Nil && n.refusesNewWork(now) {
		return nil, resultcode.Leaving
	}
	if n.conf == nil {
		return nil, resultcode.NotConfigured
	}
	if n.outgoing >= n.cfg.MaxCalls {
		return nil, resultcode.TooManyCalls
	}
	service := n.conf.Service(req.Service)
	if service == nil {
		return nil, resultcode.UnknownService
	}
	kind := service.Match(req.Method, req.Path)
	if kind == nil {
		return nil, resultcode.UnknownKind
	}
	return kind, 0
}

func (n *Node) refuseOpen(code resultcode.Code, req OpenRequest, kind string) Step {
	cause := resultcode.Code(0)
	if req.Key != "" || req.Token != "" {
		code, cause = resultcode.HomeNotAsked, code
	}
	n.observeRefusal(code, req.Service, kind)
	return Step{Action: Finish, Reply: callmeta.Reply{
		Code:        code,
		Cause:       cause,
		Threshold:   callmeta.MaxPriority,
		Incarnation: n.cfg.Self.Incarnation,
	}}
}

// fillMeta sets the metadata that the call inherits from its parent run, or from the
// description of its kind when it is a caller's request.
func (n *Node) fillMeta(now time.Time, o *OutgoingCall, req OpenRequest) resultcode.Code {
	timeout := time.Duration(o.kind.PatienceMS) * time.Millisecond
	if req.Timeout > 0 {
		timeout = min(timeout, req.Timeout)
	}
	o.meta = callmeta.Meta{
		RequestID:   n.cfg.NewID(),
		Service:     req.Service,
		Kind:        o.kind.Name,
		Rank:        o.kind.Rank,
		Deadline:    now.Add(timeout),
		Idempotent:  o.kind.Idempotent,
		Fingerprint: req.Fingerprint,
	}
	if !o.kind.Idempotent {
		o.meta.Key, o.meta.Token = req.Key, req.Token
	}
	if req.Parent == uuid.Nil {
		return 0
	}
	parent, ok := n.runs[req.Parent]
	if !ok {
		return resultcode.CanceledBeforeStart
	}
	if parent.meta.Depth+1 > callmeta.MaxDepth {
		return resultcode.TooDeep
	}
	o.parent = parent
	o.meta.RequestID = parent.meta.RequestID
	o.meta.Rank = parent.meta.Rank
	o.meta.Depth = parent.meta.Depth + 1
	if parent.meta.Deadline.Before(o.meta.Deadline) {
		o.meta.Deadline = parent.meta.Deadline
	}
	return 0
}

// leaseRetries creates the call's ledger: with the retries of its kind for a
// caller's request, else with a lease of the retries of its parent run.
func (n *Node) leaseRetries(o *OutgoingCall) {
	if o.parent == nil {
		o.ledger = retry.NewLedger(o.kind.Retries)
		return
	}
	o.leasedFromParent = leaseFromRun(o.parent)
	o.ledger = retry.NewLedger(o.leasedFromParent)
}

// leaseFromRun leases retries of a run to a downstream call: all of them when the
// description has only one downstream call, else half.
func leaseFromRun(parent *run) int {
	if len(parent.kind.Calls) <= 1 {
		return parent.ledger.LeaseAll()
	}
	return parent.ledger.Lease()
}

// leaseForAttempt leases the retries that the downstream calls of an attempt may
// use. A non-idempotent call whose reply is lost is not sent again, so no retries are
// reserved for that case; a reply returns the unused ones.
func (o *OutgoingCall) leaseForAttempt() int {
	if o.meta.Idempotent {
		return o.ledger.Lease()
	}
	return o.ledger.LeaseAll()
}

// Resume continues a call after Wait.
func (n *Node) Resume(now time.Time, o *OutgoingCall) Step {
	n.detectPause(now)
	return n.send(now, o)
}

// send picks an upstream, unless the call has a home, and starts an attempt.
func (n *Node) send(now time.Time, o *OutgoingCall) Step {
	if !now.Before(o.meta.Deadline) {
		return n.finish(now, o, resultcode.DeadlineTooShort)
	}
	picker := n.picker(now, o.meta.Service)
	name, code := o.home, resultcode.OK
	switch {
	case name != "":
	case n.crashes.Check(now, o.meta.Fingerprint) == quarantine.Isolate:
		key := strconv.FormatUint(o.meta.Fingerprint, 16)
		name, code = picker.PickSuspect(now, key, o.meta.Kind, o.exclude, o.meta.Priority())
	default:
		name, code = picker.PickFor(now, o.meta.Kind, o.exclude, o.meta.Priority())
	}
	if code != resultcode.OK {
		return n.finish(now, o, code)
	}
	endpoint, known := n.endpoint[o.meta.Service][name]
	if !known {
		return n.awaitHome(now, o)
	}
	o.attempt = attempt{upstream: name}
	if len(o.kind.Calls) > 0 {
		o.attempt.hasLease = true
		o.attempt.leasedRetries = o.leaseForAttempt()
	}
	o.attemptCount++
	picker.Started(now, name)
	m := o.meta
	m.CallID = n.cfg.NewID()
	m.Retries = o.attempt.leasedRetries
	m.From = n.cfg.Self.Name
	return Step{Action: Send, Upstream: name, Address: endpoint.Address, Meta: m}
}

// Report records the result of the attempt in progress and returns the next step.
func (n *Node) Report(now time.Time, o *OutgoingCall, r AttemptResult) Step {
	n.detectPause(now)
	r = n.checkOwnAnswer(o, r)
	n.settleAttempt(now, o, r)
	if r.Code.Kind() == resultcode.Answered {
		n.budget(now, o.meta.Service).RecordSuccess(now)
		return n.finish(now, o, r.Code)
	}
	if r.Code.Kind() == resultcode.OutcomeUnknown && o.unknownCode == 0 {
		o.unknownCode = r.Code
	}
	if !n.mayRetry(now, o, r) {
		return n.finish(now, o, r.Code)
	}
	if o.home == "" {
		o.exclude[o.attempt.upstream] = true
	}
	return Step{Action: Wait, Until: now.Add(retry.Backoff(o.attemptCount, n.cfg.Rand))}
}

// checkOwnAnswer replaces the answer to another request by AttemptLost, so that it
// does not reach the caller of this one.
func (n *Node) checkOwnAnswer(o *OutgoingCall, r AttemptResult) AttemptResult {
	if r.Reply == nil || r.Code.Kind() != resultcode.Answered || r.Reply.RequestID == o.meta.RequestID {
		return r
	}
	n.reportViolation(InvariantOwnAnswer, o.meta.RequestID, "the upstream answered request "+r.Reply.RequestID.String())
	return AttemptResult{Code: resultcode.AttemptLost, Latency: r.Latency}
}

// mayRetry decides whether the call is retried. It charges a retry to the call's
// ledger and the budget of the service, and passes the reason to Config.Observe.
func (n *Node) mayRetry(now time.Time, o *OutgoingCall, r AttemptResult) bool {
	budget := n.budget(now, o.meta.Service)
	if retry.Overloaded(r.Code) {
		budget.RecordOverload(now)
	}
	reason := retry.Admit(now, retry.Attempt{
		Code:         r.Code,
		RetriedBelow: r.Reply != nil && r.Reply.RetriedBelow,
		Idempotent:   o.meta.Idempotent,
		TimeLeft:     o.meta.Deadline.Sub(now),
		TimeNeeded:   retry.BackoffLimit(o.attemptCount),
		RetriesLeft:  o.ledger.Remaining(),
	}, o.ledger, budget)
	observed := Observation{Type: ObservedNoRetry, Code: r.Code, Retry: reason, Service: o.meta.Service, Kind: o.meta.Kind}
	if reason.Retry() {
		observed.Type = ObservedRetry
	}
	n.cfg.Observe(observed)
	return reason.Retry()
}

// settleAttempt returns the attempt's lease and reports the result to the picker.
func (n *Node) settleAttempt(now time.Time, o *OutgoingCall, r AttemptResult) {
	result := balancer.Result{Kind: o.meta.Kind, Latency: r.Latency, Code: r.Code, Threshold: callmeta.MaxPriority}
	used := o.attempt.leasedRetries
	if r.Reply != nil {
		used = min(r.Reply.RetriesUsed, o.attempt.leasedRetries)
		result.Threshold = r.Reply.Threshold
		result.Leaving = r.Reply.Leaving
		result.Incarnation = r.Reply.Incarnation
		n.recordReply(now, o, r)
	} else if r.Code == resultcode.ConnectFailed {
		used = 0
	}
	if o.attempt.hasLease {
		n.endLease(o.ledger, o.attempt.leasedRetries, used, o.meta.RequestID)
	}
	if now.Add(-r.Latency).Before(n.resumedAt) {
		// The latency includes a pause of the process, and the reply may be outdated by
		// as much.
		result = balancer.Result{Kind: o.meta.Kind, Code: resultcode.CanceledWhileRunning}
	}
	n.picker(now, o.meta.Service).Done(now, o.attempt.upstream, result)
}

func (n *Node) recordReply(now time.Time, o *OutgoingCall, r AttemptResult) {
	if r.Reply.RetriesUsed > o.attempt.leasedRetries {
		n.reportViolation(InvariantRetryBound, o.meta.RequestID, "upstream used more retries than it was leased")
	}
	if r.Reply.Leaving {
		n.view.MarkLeaving(now, o.attempt.upstream, r.Reply.Incarnation)
	}
	if checkedRecords(r.Reply.Code) {
		o.homeCheckedRecords = true
	}
}

// checkedRecords reports whether a home that answers with this code has checked its
// at-most-once records first.
func checkedRecords(c resultcode.Code) bool {
	switch c {
	case resultcode.NotHome, resultcode.HomeMoving, resultcode.HomeUnavailable, resultcode.BadRequest, resultcode.NotConfigured, resultcode.ConfigurationMismatch, resultcode.HomeNotAsked:
		return false
	default:
		return true
	}
}

// finish closes the call and returns the step with the reply to its caller.
func (n *Node) finish(now time.Time, o *OutgoingCall, code resultcode.Code) Step {
	code, cause := n.finalCode(o, code)
	if code.Kind() != resultcode.Answered {
		n.observeRefusal(code, o.meta.Service, o.meta.Kind)
	}
	if !o.done {
		o.done = true
		n.outgoing--
		n.returnLease(now, o, code)
	}
	return Step{Action: Finish, Reply: callmeta.Reply{
		RequestID:   o.meta.RequestID,
		Code:        code,
		Cause:       cause,
		RetriesUsed: o.ledger.Used(),
		Threshold:   n.picker(now, o.meta.Service).ThresholdOf(now, o.meta.Kind),
		Incarnation: n.cfg.Self.Incarnation,
	}}
}

// finalCode returns the code for the caller. A refusal is replaced by the code of an
// earlier attempt that may have run, or by HomeNotAsked if the request has a valid key
// or token whose home has not checked its records, since an earlier send may have
// run. The cause is then the code of the refusal.
func (n *Node) finalCode(o *OutgoingCall, code resultcode.Code) (final, cause resultcode.Code) {
	if code.Kind() != resultcode.NotRun {
		return code, 0
	}
	if o.unknownCode != 0 {
		return o.unknownCode, code
	}
	identified := o.meta.Key != "" || o.meta.Token != ""
	if identified && !o.homeCheckedRecords && code != resultcode.BadToken && code != resultcode.BadKey {
		return resultcode.HomeNotAsked, code
	}
	return code, 0
}

// returnLease checks the retry bound of a caller's request. For a downstream call, it
// returns the unused retries to the parent run.
func (n *Node) returnLease(now time.Time, o *OutgoingCall, code resultcode.Code) {
	if o.ledger.Used() > o.kind.Retries && o.parent == nil {
		n.reportViolation(InvariantRetryBound, o.meta.RequestID, "request used more retries than its kind allows")
	}
	if o.parent == nil {
		return
	}
	o.parent.childEnded(now)
	n.endLease(o.parent.ledger, o.leasedFromParent, o.ledger.Used(), o.meta.RequestID)
	if code.Kind() != resultcode.Answered {
		o.parent.downstreamFailed = true
	}
}

// endLease returns the unused retries of a lease. An error means that the accounting
// is wrong, and is reported as a violation.
func (n *Node) endLease(l *retry.Ledger, leased, used int, request uuid.UUID) {
	if err := l.Return(leased, used); err != nil {
		n.reportViolation(InvariantRetryBound, request, err.Error())
	}
}

// Abandon closes a call whose caller disconnected. An attempt in progress must be
// cancelled and reported with Report first.
func (n *Node) Abandon(now time.Time, o *OutgoingCall) Step {
	if o.done {
		return Step{Action: Finish}
	}
	code := resultcode.CanceledBeforeStart
	if o.attemptCount > 0 {
		code = resultcode.CanceledWhileRunning
	}
	return n.finish(now, o, code)
}
