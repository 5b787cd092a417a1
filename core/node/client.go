package node

import (
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/call"
	"github.com/hawthornpoint/hawthornpoint/codes"
	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/balancer"
	"github.com/hawthornpoint/hawthornpoint/core/idempotency"
	"github.com/hawthornpoint/hawthornpoint/core/quarantine"
	"github.com/hawthornpoint/hawthornpoint/core/retry"
)

// budgetFloor is the number of retries per second that a destination with
// little traffic may always use. At 110 calls/s it is 3% of the calls.
const budgetFloor = 3

// Opening describes a call that a caller or the local backend server makes.
type Opening struct {
	// Parent is the call id of the local run that makes the call; zero for a
	// caller's request.
	Parent uuid.UUID
	// Service, Method and Path select the request kind.
	Service, Method, Path string
	// Key and Token identify a non-idempotent request across re-sends.
	Key, Token string
	// Fingerprint identifies equal requests.
	Fingerprint uint64
	// Patience shortens the described patience; zero leaves it.
	Patience time.Duration
}

// Action says what the daemon has to do next for an outgoing call.
type Action uint8

// Actions of a Step.
const (
	// Send forwards the call to Step.Address and reports the result.
	Send Action = iota + 1
	// Wait calls Resume at Step.Until.
	Wait
	// Finish answers the caller with Step.Reply.
	Finish
)

// Step is the next thing to do for an outgoing call.
type Step struct {
	Action            Action
	Upstream, Address string
	Meta              call.Meta
	Until             time.Time
	Reply             call.Reply
}

// Outgoing is one call on the client side of a hop, over all its attempts.
type Outgoing struct {
	meta    call.Meta
	kind    *config.Kind
	parent  *run
	leased  int
	ledger  *retry.Ledger
	home    string
	exclude map[string]bool
	attempt attempt
	sends   int
	unknown codes.Code
	asked   bool
	done    bool
}

// attempt is the send that is under way.
type attempt struct {
	upstream string
	// leases is false when the kind has no downstream calls and needs no lease.
	leases bool
	lease  int
}

// AttemptResult is the result of one send.
type AttemptResult struct {
	// Code is the upstream's result code, or the daemon's own finding when no
	// reply came: ConnectFailed, AttemptLost, DeadlineExceeded,
	// CanceledWhileRunning or AnswerTruncated.
	Code codes.Code
	// Reply is the upstream's reply, or nil if none came.
	Reply *call.Reply
	// Latency is the time from the send to the start of the answer.
	Latency time.Duration
}

// Meta returns the metadata of the call without an attempt's call id.
func (o *Outgoing) Meta() call.Meta { return o.meta }

// Open starts a call. When the returned step is Finish, the Outgoing is nil or
// finished and must not be used again.
func (n *Node) Open(now time.Time, op Opening) (*Outgoing, Step) {
	n.noticePause(now)
	kind, code := n.describe(now, op)
	if code != 0 {
		return nil, n.refuseOpening(code, op, "")
	}
	o := &Outgoing{kind: kind, exclude: make(map[string]bool)}
	if code := n.fillMeta(now, o, op); code != 0 {
		return nil, n.refuseOpening(code, op, kind.Name)
	}
	n.lease(o)
	if o.parent != nil {
		o.parent.childOpened(now)
	}
	n.outgoing++
	if n.crashes.Check(now, o.meta.Fingerprint) == quarantine.Refuse {
		return o, n.finish(now, o, codes.Quarantined)
	}
	if code := n.findHome(o); code != 0 {
		return o, n.finish(now, o, code)
	}
	return o, n.send(now, o)
}

func (n *Node) describe(now time.Time, op Opening) (*config.Kind, codes.Code) {
	if op.Parent == uuid.Nil && n.refusesNewWork(now) {
		return nil, codes.Leaving
	}
	if n.conf == nil {
		return nil, codes.NotConfigured
	}
	if n.outgoing >= n.cfg.MaxCalls {
		return nil, codes.TooManyCalls
	}
	service := n.conf.Service(op.Service)
	if service == nil {
		return nil, codes.UnknownService
	}
	kind := service.Match(op.Method, op.Path)
	if kind == nil {
		return nil, codes.UnknownKind
	}
	return kind, 0
}

func (n *Node) refuseOpening(code codes.Code, op Opening, kind string) Step {
	cause := codes.Code(0)
	if op.Key != "" || op.Token != "" {
		code, cause = codes.HomeNotAsked, code
	}
	n.refused(code, op.Service, kind)
	return Step{Action: Finish, Reply: call.Reply{
		Code:        code,
		Cause:       cause,
		Threshold:   call.MaxPriority,
		Incarnation: n.cfg.Self.Incarnation,
	}}
}

// fillMeta sets what the call inherits from its parent run, or from the
// description of its kind when it enters here.
func (n *Node) fillMeta(now time.Time, o *Outgoing, op Opening) codes.Code {
	patience := time.Duration(o.kind.PatienceMS) * time.Millisecond
	if op.Patience > 0 {
		patience = min(patience, op.Patience)
	}
	o.meta = call.Meta{
		RequestID:   n.cfg.NewID(),
		Service:     op.Service,
		Kind:        o.kind.Name,
		Rank:        o.kind.Rank,
		Deadline:    now.Add(patience),
		Idempotent:  o.kind.Idempotent,
		Fingerprint: op.Fingerprint,
	}
	if !o.kind.Idempotent {
		o.meta.Key, o.meta.Token = op.Key, op.Token
	}
	if op.Parent == uuid.Nil {
		return 0
	}
	parent, ok := n.runs[op.Parent]
	if !ok {
		return codes.CanceledBeforeStart
	}
	if parent.meta.Depth+1 > call.MaxDepth {
		return codes.TooDeep
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

// lease takes the call's share of the request's retries.
func (n *Node) lease(o *Outgoing) {
	if o.parent == nil {
		o.ledger = retry.NewLedger(o.kind.Retries)
		return
	}
	o.leased = leaseFor(o.parent)
	o.ledger = retry.NewLedger(o.leased)
}

// leaseFor takes a downstream call's share of a run's retries: all of them when the
// description has only one downstream call, else half.
func leaseFor(parent *run) int {
	if len(parent.kind.Calls) <= 1 {
		return parent.ledger.LeaseAll()
	}
	return parent.ledger.Lease()
}

// leaseForAttempt takes what an attempt may use below. A non-idempotent call whose
// reply is lost is not sent again, so nothing is kept back for that case; when the
// reply comes, what was not used is returned.
func (o *Outgoing) leaseForAttempt() int {
	if o.meta.Idempotent {
		return o.ledger.Lease()
	}
	return o.ledger.LeaseAll()
}

// findHome sets the only upstream that may run an identified request.
func (n *Node) findHome(o *Outgoing) codes.Code {
	switch {
	case o.meta.Token != "":
		o.meta.Key = ""
		token, err := idempotency.ParseToken(o.meta.Token)
		if err != nil || token.Service != o.meta.Service {
			return codes.BadToken
		}
		o.home = token.Upstream
	case o.meta.Key != "":
		if _, _, err := idempotency.ParseKey(o.meta.Key); err != nil {
			return codes.BadKey
		}
		names := upstreamNames(n.conf.Service(o.meta.Service))
		previous := n.conf.Service(o.meta.Service).PreviousHomes
		if idempotency.HomeMoving(o.meta.Key, names, previous) {
			return codes.HomeMoving
		}
		o.home = idempotency.Home(o.meta.Key, names)
	}
	return 0
}

func upstreamNames(s *config.Service) []string {
	names := make([]string, len(s.Upstreams))
	for i, u := range s.Upstreams {
		names[i] = u.Name
	}
	return names
}

// Resume continues a call after Wait.
func (n *Node) Resume(now time.Time, o *Outgoing) Step {
	n.noticePause(now)
	return n.send(now, o)
}

// send picks an upstream and opens an attempt.
func (n *Node) send(now time.Time, o *Outgoing) Step {
	if !now.Before(o.meta.Deadline) {
		return n.finish(now, o, codes.DeadlineTooShort)
	}
	picker := n.picker(now, o.meta.Service)
	name, code := o.home, codes.OK
	if name == "" {
		name, code = picker.PickFor(now, o.meta.Kind, o.exclude, o.meta.Priority())
	}
	if code != codes.OK {
		return n.finish(now, o, code)
	}
	endpoint, known := n.endpoint[o.meta.Service][name]
	if !known {
		return n.finish(now, o, codes.HomeUnavailable)
	}
	o.attempt = attempt{upstream: name}
	if len(o.kind.Calls) > 0 {
		o.attempt.leases = true
		o.attempt.lease = o.leaseForAttempt()
	}
	o.sends++
	picker.Started(now, name)
	m := o.meta
	m.CallID = n.cfg.NewID()
	m.Retries = o.attempt.lease
	m.From = n.cfg.Self.Name
	return Step{Action: Send, Upstream: name, Address: endpoint.Address, Meta: m}
}

// Report takes the result of the attempt that is under way and returns the next step.
func (n *Node) Report(now time.Time, o *Outgoing, r AttemptResult) Step {
	n.noticePause(now)
	r = n.checkOwnAnswer(o, r)
	n.settleAttempt(now, o, r)
	if r.Code.Kind() == codes.Answered {
		n.budget(now, o.meta.Service).RecordSuccess(now)
		return n.finish(now, o, r.Code)
	}
	if r.Code.Kind() == codes.Unknown && o.unknown == 0 {
		o.unknown = r.Code
	}
	if !n.mayRetry(now, o, r) {
		return n.finish(now, o, r.Code)
	}
	if o.home == "" {
		o.exclude[o.attempt.upstream] = true
	}
	return Step{Action: Wait, Until: now.Add(retry.Backoff(o.sends, n.cfg.Rand))}
}

// checkOwnAnswer treats the answer to another request as lost. It would otherwise
// reach a caller as its own.
func (n *Node) checkOwnAnswer(o *Outgoing, r AttemptResult) AttemptResult {
	if r.Reply == nil || r.Code.Kind() != codes.Answered || r.Reply.RequestID == o.meta.RequestID {
		return r
	}
	n.violate(InvariantOwnAnswer, o.meta.RequestID, "the upstream answered request "+r.Reply.RequestID.String())
	return AttemptResult{Code: codes.AttemptLost, Latency: r.Latency}
}

// mayRetry decides about a retry, takes it from the budgets and counts the reason.
func (n *Node) mayRetry(now time.Time, o *Outgoing, r AttemptResult) bool {
	budget := n.budget(now, o.meta.Service)
	if retry.Overloaded(r.Code) {
		budget.RecordOverload(now)
	}
	reason := retry.Admit(now, retry.Attempt{
		Code:         r.Code,
		RetriedBelow: r.Reply != nil && r.Reply.RetriedBelow,
		Idempotent:   o.meta.Idempotent,
		TimeLeft:     o.meta.Deadline.Sub(now),
		TimeNeeded:   retry.BackoffLimit(o.sends),
		RetriesLeft:  o.ledger.Remaining(),
	}, o.ledger, budget)
	observed := Observation{Type: ObservedNoRetry, Code: r.Code, Retry: reason, Service: o.meta.Service, Kind: o.meta.Kind}
	if reason.Retry() {
		observed.Type = ObservedRetry
	}
	n.cfg.Observe(observed)
	return reason.Retry()
}

// settleAttempt returns the attempt's lease and tells the picker.
func (n *Node) settleAttempt(now time.Time, o *Outgoing, r AttemptResult) {
	result := balancer.Result{Kind: o.meta.Kind, Latency: r.Latency, Code: r.Code, Threshold: call.MaxPriority}
	used := o.attempt.lease
	if r.Reply != nil {
		used = min(r.Reply.RetriesUsed, o.attempt.lease)
		result.Threshold = r.Reply.Threshold
		result.Leaving = r.Reply.Leaving
		result.Incarnation = r.Reply.Incarnation
		n.noteReply(now, o, r)
	} else if r.Code == codes.ConnectFailed {
		used = 0
	}
	if o.attempt.leases {
		n.returned(o.ledger, o.attempt.lease, used, o.meta.RequestID)
	}
	if now.Add(-r.Latency).Before(n.pausedAt) {
		// The latency includes a pause, and the reply may have waited as long.
		result = balancer.Result{Kind: o.meta.Kind, Code: codes.CanceledWhileRunning}
	}
	n.picker(now, o.meta.Service).Done(now, o.attempt.upstream, result)
}

func (n *Node) noteReply(now time.Time, o *Outgoing, r AttemptResult) {
	if r.Reply.RetriesUsed > o.attempt.lease {
		n.violate(InvariantRetryBound, o.meta.RequestID, "upstream used more retries than it was given")
	}
	if r.Reply.Leaving {
		n.view.MarkLeaving(now, o.attempt.upstream, r.Reply.Incarnation)
	}
	if settles(r.Reply.Code) {
		o.asked = true
	}
}

// settles reports whether a home that answers with this code has looked at its
// at-most-once records first.
func settles(c codes.Code) bool {
	switch c {
	case codes.NotHome, codes.HomeMoving, codes.HomeUnavailable, codes.BadRequest, codes.NotConfigured, codes.ConfigurationMismatch, codes.HomeNotAsked:
		return false
	default:
		return true
	}
}

// finish closes the call and says what its caller is told.
func (n *Node) finish(now time.Time, o *Outgoing, code codes.Code) Step {
	code, cause := n.finalCode(o, code)
	if code.Kind() != codes.Answered {
		n.refused(code, o.meta.Service, o.meta.Kind)
	}
	if !o.done {
		o.done = true
		n.outgoing--
		n.returnLease(now, o, code)
	}
	return Step{Action: Finish, Reply: call.Reply{
		RequestID:   o.meta.RequestID,
		Code:        code,
		Cause:       cause,
		RetriesUsed: o.ledger.Used(),
		Threshold:   n.picker(now, o.meta.Service).ThresholdOf(now, o.meta.Kind),
		Incarnation: n.cfg.Self.Incarnation,
	}}
}

// finalCode never lets a later refusal hide an earlier attempt that may have
// run, and never lets a send that did not reach the home speak for the key.
func (n *Node) finalCode(o *Outgoing, code codes.Code) (final, cause codes.Code) {
	if code.Kind() != codes.NotRun {
		return code, 0
	}
	if o.unknown != 0 {
		return o.unknown, code
	}
	identified := o.meta.Key != "" || o.meta.Token != ""
	if identified && !o.asked && code != codes.BadToken && code != codes.BadKey {
		return codes.HomeNotAsked, code
	}
	return code, 0
}

func (n *Node) returnLease(now time.Time, o *Outgoing, code codes.Code) {
	if o.ledger.Used() > o.kind.Retries && o.parent == nil {
		n.violate(InvariantRetryBound, o.meta.RequestID, "request used more retries than described")
	}
	if o.parent == nil {
		return
	}
	o.parent.childEnded(now)
	n.returned(o.parent.ledger, o.leased, o.ledger.Used(), o.meta.RequestID)
	if code.Kind() != codes.Answered {
		o.parent.failedBelow = true
	}
}

// returned ends a lease. An inconsistent return is a fault of the program.
func (n *Node) returned(l *retry.Ledger, leased, used int, request uuid.UUID) {
	if err := l.Return(leased, used); err != nil {
		n.violate(InvariantRetryBound, request, err.Error())
	}
}

// Abandon closes a call whose caller went away while no attempt was under way. An
// attempt under way is cancelled and reported first.
func (n *Node) Abandon(now time.Time, o *Outgoing) Step {
	if o.done {
		return Step{Action: Finish}
	}
	code := codes.CanceledBeforeStart
	if o.sends > 0 {
		code = codes.CanceledWhileRunning
	}
	return n.finish(now, o, code)
}
