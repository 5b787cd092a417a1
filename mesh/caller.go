package mesh

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/core/dispatch"
	"github.com/hawthornpoint/hawthornpoint/core/loadshed"
	"github.com/hawthornpoint/hawthornpoint/core/quota"
	"github.com/hawthornpoint/hawthornpoint/core/routing"
	"github.com/hawthornpoint/hawthornpoint/core/tenancy"
	"github.com/hawthornpoint/hawthornpoint/internal/hopheader"
	"github.com/hawthornpoint/hawthornpoint/internal/pipeline"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// coveredPartBytes is the length of a part of an answer that the reservation for the request covers.
const coveredPartBytes = 4 << 10

// notServingRetryAfter is the time after which callers of a daemon that is starting or stopping
// may retry. In about this time the daemon is ready again, or its callers use another one.
const notServingRetryAfter = 300 * time.Millisecond

// serveCaller handles a request of a caller on this VM or of the local backend server.
func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	d.callerRequests.Add(1)
	defer d.callerRequests.Add(-1)
	c := &callerRequest{daemon: d, w: w, r: r, arrived: time.Now()}
	defer d.recoverPanic(panicCaller, &c.head.ID, c.panicked)
	c.head = d.convention.Request(r.Header)
	if code := c.admit(); code != 0 {
		c.refuse(code, refusalWait(code), code.String())
		return
	}
	if left := d.quarantinedFor(c.fingerprint); left > 0 {
		c.refuse(resultcode.Quarantined, left, resultcode.Quarantined.String())
		return
	}
	c.run()
}

// callerRequest is one request of a caller, until its final answer.
type callerRequest struct {
	daemon  *Daemon
	w       http.ResponseWriter
	r       *http.Request
	head    RequestHead
	arrived time.Time

	route      *routing.Route
	tenant     *tenancy.Tenant // nil if the request needs none
	token      quota.Token     // valid if hasToken is set
	hasToken   bool
	outgoing   *dispatch.OutgoingRequest
	step       dispatch.Step   // the step that led to the latest attempt
	lastReport dispatch.Report // the outcome of the latest attempt
	body       []byte          // the first part of the body
	// fingerprint is equal for requests of this VM's service with equal method, host, target and body.
	fingerprint uint64
	more        bool // rest holds the rest of the body
	rest        bodyRest
	attempting  bool  // an attempt is under way
	bodyErr     error // the error with which reading the body ended an attempt
}

// admit checks the request, finds its route and reads the first part of its body. It returns
// the code of the refusal, 0 for none.
func (c *callerRequest) admit() resultcode.Code {
	d := c.daemon
	table := d.table()
	if table != nil {
		c.route = table.Match(c.r.Host, c.r.URL.EscapedPath())
	}
	switch {
	case !d.acceptsRequests(c.route):
		return resultcode.Leaving
	case table == nil:
		return resultcode.NotConfigured
	case c.route == nil:
		return resultcode.UnknownService
	case c.head.ID == "":
		return resultcode.BadRequest
	}
	if code := c.authenticate(table.Config()); code != 0 {
		return code
	}
	limit := table.Config().Limits.BodyBytes
	if limit > 0 {
		if c.r.ContentLength > limit {
			return resultcode.BodyTooLarge
		}
	}
	if code := c.readBody(limit); code != 0 {
		return code
	}
	length := ""
	if c.more {
		length = strconv.FormatInt(c.r.ContentLength, 10) // bodies that begin alike are not equal
	}
	c.fingerprint = callmeta.Fingerprint(c.body, d.settings.Service, c.r.Method, c.r.Host, c.target(), length)
	return 0
}

// rank returns the importance of the request.
func (c *callerRequest) rank() int { return c.tenant.RankOf(c.route.Rank) }

// tenantName returns the name of the request's tenant, empty for none.
func (c *callerRequest) tenantName() string {
	if c.tenant == nil {
		return ""
	}
	return c.tenant.Name
}

// readBody takes the first part of the body, of which at most limit bytes may follow in all; 0 means no limit.
func (c *callerRequest) readBody(limit int64) resultcode.Code {
	if c.r.Body == http.NoBody || c.r.ContentLength == 0 {
		return 0
	}
	if first, ok := c.r.Body.(pipeline.FirstPart); ok {
		c.body, c.more = first.TakeFirst()
	}
	left := limit - int64(len(c.body))
	if limit > 0 && left < 0 {
		return resultcode.BodyTooLarge
	}
	if limit > 0 {
		c.r.Body = http.MaxBytesReader(c.w, c.r.Body, left)
	}
	if len(c.body) > 0 || c.more {
		return 0
	}
	body, last, err := readPart(c.r.Body, maxPartBytes, c.r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return resultcode.BodyTooLarge
	case err != nil:
		return resultcode.BadRequest
	}
	c.body, c.more = body, !last
	return 0
}

// run executes the steps of the dispatcher until the caller has its final answer.
func (c *callerRequest) run() {
	d := c.daemon
	ctx := c.r.Context()
	left := c.head.Left
	if left <= 0 {
		left = c.route.Timeout
	}
	service, refusal := d.admitNew(time.Now(), c.route, c.rank())
	if refusal != nil {
		c.refuseShed(service, refusal)
		return
	}
	if !c.takeToken() {
		return
	}
	left -= time.Since(c.arrived)
	step := c.open(time.Now(), service, left)
	c.rest.ended = make(chan struct{})
	defer close(c.rest.ended)
	for {
		if step.Code != 0 {
			d.countEnd(c.route, service, step.Code, time.Since(c.arrived))
			c.returnToken(step.Code)
			c.refuse(step.Code, step.RetryAfter, step.Reason)
			return
		}
		c.step, c.lastReport, c.attempting = step, dispatch.Report{}, true
		report, answer := c.attempt(ctx, step)
		c.lastReport, c.attempting = report, false
		if ctx.Err() != nil || c.bodyErr != nil {
			c.abandon(answer)
			return
		}
		next := c.report(report)
		d.logAttempt(c, report, next)
		if next.Deliver {
			d.countEnd(c.route, service, resultcode.OK, time.Since(c.arrived))
			c.deliver(answer)
			return
		}
		answer.drop()
		step = next
	}
}

// open registers the request with the dispatcher and returns its first step.
func (c *callerRequest) open(now time.Time, service string, left time.Duration) dispatch.Step {
	d := c.daemon
	d.mu.Lock()
	defer d.mu.Unlock()
	c.outgoing = d.dispatcher.Open(now, c.route, service, left, d.retryShare())
	c.outgoing.Suspect = d.suspectKey(c.fingerprint)
	return d.dispatcher.Next(now, c.outgoing)
}

// panicked ends the request after a panic. Closing the connection promises nothing, and ends what
// was started for the request.
func (c *callerRequest) panicked() {
	if c.attempting {
		c.abandonAttempt()
	}
	panic(http.ErrAbortHandler)
}

func (c *callerRequest) abandonAttempt() {
	c.daemon.mu.Lock()
	defer c.daemon.mu.Unlock()
	c.daemon.dispatcher.Abandon(c.outgoing)
}

// abandon ends a request whose caller has left during an attempt, or whose body could not be
// read. The attempt does not count as a failure of its upstream.
func (c *callerRequest) abandon(answer *pendingAnswer) {
	d := c.daemon
	c.abandonAttempt()
	answer.drop()
	if c.r.Context().Err() == nil && c.refuseBody() {
		return
	}
	event, outcome := eventCallerLeft, outcomeCallerLeft
	if errors.Is(context.Cause(c.r.Context()), pipeline.ErrClosed) || errors.Is(c.bodyErr, pipeline.ErrTooSlow) {
		event, outcome = eventCut, outcomeCut
	}
	d.recordOutcome(c, outcome)
	fields := append(c.attemptFields(), zap.Duration("held", time.Since(c.arrived)))
	if c.bodyErr != nil {
		fields = append(fields, errorField(c.bodyErr))
	}
	d.log.Info(event, fields...)
	panic(http.ErrAbortHandler)
}

func (c *callerRequest) report(r dispatch.Report) dispatch.Step {
	d := c.daemon
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	c.outgoing.Suspect = d.suspectKey(c.fingerprint)
	return d.dispatcher.Report(now, c.outgoing, r)
}

// attempt requests a slot from one upstream and, if it is granted, sends the request to it.
func (c *callerRequest) attempt(ctx context.Context, step dispatch.Step) (dispatch.Report, *pendingAnswer) {
	ctx, cancel := context.WithDeadline(ctx, c.outgoing.Deadline)
	defer cancel()
	ask := c.ask(step)
	ask.Reports = c.daemon.reportsOf(c.fingerprint)
	var reply Reply
	var answer *pendingAnswer
	var result dispatch.Result
	if step.Upstream.Address == c.daemon.settings.BackendAddress {
		reply, answer = c.attemptLocal(ask)
	} else {
		reply, answer, result = c.attemptRemote(ctx, ask, c.daemon.peerAddress(step.Upstream.Address))
	}
	if result == 0 {
		result = c.classify(&reply)
	}
	if err := c.daemon.unpackAnswer(c.r, answer); err != nil {
		// A peer of another version may pass on what this one refuses.
		c.daemon.log.Info(eventExchangeFailed, zap.String("id", c.head.ID), zap.String("upstream", step.Upstream.ID),
			zap.String("reason", "invalid_answer"), errorField(err))
		answer.drop()
		answer, reply.Answer, result = nil, nil, dispatch.Lost
	}
	c.daemon.receiveReports(reply.Reports)
	c.daemon.noteLeaving(c, &reply)
	c.daemon.notePeerState(reply.State, c.daemon.peerAddress(step.Upstream.Address))
	if reply.Outcome != 0 {
		c.daemon.recordOverload(c.route, &reply)
	}
	retryable := !c.more
	if result != dispatch.Answered && !answer.continues() {
		c.rest.wait()
		retryable, c.bodyErr = !c.rest.consumed, c.rest.err
	}
	report := dispatch.Report{
		Result: result, Load: reply.Load, HasLoad: reply.Outcome != 0, BlockedBelow: slices.ContainsFunc(reply.Overloaded, loadshed.Share.Blocks),
		Wait: reply.Wait, Retryable: retryable,
		Quarantined: result.Sent() && c.daemon.quarantinedFor(c.fingerprint) > 0,
	}
	if reply.Answer != nil {
		report.Elapsed = reply.Answer.Elapsed
	}
	return report, answer
}

func (c *callerRequest) ask(step dispatch.Step) *AskArgs {
	now := time.Now()
	return &AskArgs{
		ID: c.daemon.nextAttempt(), RequestID: c.head.ID, Instance: step.Upstream.ID, Kind: c.route.Name, Rank: c.rank(), Tenant: c.tenantName(),
		CallerService:  c.daemon.settings.Service,
		Fingerprint:    c.fingerprint,
		Repeat:         c.outgoing.Sent() > 0,
		UntilObjective: c.outgoing.Objective.Sub(now), Left: c.outgoing.Deadline.Sub(now), LeastLeft: step.LeastLeft, MayQueue: step.MayQueue, Rate: step.Rate,
	}
}

func (c *callerRequest) payload() *Payload {
	length := c.r.ContentLength
	if !c.more {
		length = int64(len(c.body))
	}
	return &Payload{
		Method: c.r.Method, Target: c.target(),
		Host: c.r.Host, Header: c.daemon.headers.pack(hopheader.EndToEnd(c.r.Header)), Body: c.body, More: c.more, Length: length,
		AnswerPart: c.daemon.partBytes(0),
	}
}

// target returns the path and query of the request.
func (c *callerRequest) target() string {
	if c.r.URL.Host != "" {
		return c.r.URL.RequestURI() // the request line holds an absolute URI
	}
	return c.r.RequestURI
}

// classify returns the dispatcher's result for an attempt that got a reply.
func (c *callerRequest) classify(reply *Reply) dispatch.Result {
	switch reply.Outcome {
	case OutcomeRefused:
		return dispatch.Refused
	case OutcomeQuarantined:
		return dispatch.Quarantined
	case OutcomeLeaving:
		return dispatch.Leaving
	case OutcomeWrongUpstream:
		return dispatch.WrongUpstream
	case OutcomeRejected:
		return dispatch.Rejected
	case OutcomeLost:
		return dispatch.Lost
	case OutcomeExpired:
		return dispatch.Expired
	case OutcomeAnswered:
		if reply.Answer.Failed {
			return dispatch.Failed
		}
		return dispatch.Answered
	case OutcomeUnsent:
		if !time.Now().Before(c.outgoing.Deadline) {
			return dispatch.Unsent
		}
	}
	return dispatch.NoReply
}

// attemptLocal attempts the request at the local backend server.
func (c *callerRequest) attemptLocal(ask *AskArgs) (Reply, *pendingAnswer) {
	a := newLocalAttempt(c.r.Context(), nil) // runs as soon as it has a slot
	a.reuseParts = true                      // deliver writes each part before it fetches the next
	ask.Payload = c.payload()
	c.sendRest(a.ctx, a.writeChunk, a.abandon)
	reply := c.daemon.ask(a, ask)
	more := func() (MoreReply, error) { return a.more(c.daemon.partBytes(0)) }
	answer := &pendingAnswer{answer: reply.Answer, more: more, cancel: a.abandon}
	if !answer.continues() {
		a.abandon()
	}
	return reply, answer
}

// attemptRemote attempts the request at an upstream on another VM, through the daemon there. A
// result other than 0 replaces the reply.
func (c *callerRequest) attemptRemote(ctx context.Context, ask *AskArgs, address string) (Reply, *pendingAnswer, dispatch.Result) {
	link, err := c.daemon.peer(address).connect(ctx)
	if err != nil {
		return Reply{}, nil, dispatch.NoReply
	}
	if c.route.Idempotent && !c.more {
		ask.Payload = c.payload()
	}
	reply, err := c.askRemote(ctx, link, ask)
	if err != nil {
		return Reply{}, nil, c.resultWithoutReply(ctx, ask.Payload != nil, err)
	}
	sendCtx, stopSending := context.WithCancel(c.r.Context())
	if reply.Outcome == OutcomeGranted && time.Until(c.outgoing.Deadline) < ask.LeastLeft {
		stopSending()
		link.cancel(ask.ID)
		return reply, nil, dispatch.Refused
	}
	if reply.Outcome == OutcomeGranted {
		runCtx, cancelRun := context.WithCancel(ctx)
		defer cancelRun()
		c.sendRest(sendCtx, func(data []byte, last bool) error {
			_, err := callRun[PingReply](sendCtx, link, "Chunk", &ChunkArgs{ID: ask.ID, Data: data, Last: last})
			return err
		}, cancelRun)
		args := &RunArgs{ID: ask.ID, Left: time.Until(c.outgoing.Deadline), Payload: *c.payload()}
		if reply, err = callRun[Reply](runCtx, link, "Run", args); err != nil {
			stopSending()
			link.cancel(ask.ID)
			return Reply{}, nil, c.resultWithoutReply(ctx, true, err)
		}
	}
	answer := &pendingAnswer{answer: reply.Answer}
	if !answer.continues() {
		stopSending()
		return reply, answer, 0
	}
	answer.more = func() (MoreReply, error) {
		part, err := callRun[MoreReply](c.r.Context(), link, "More", &CallID{ID: ask.ID, MaxPart: c.daemon.partBytes(0)})
		if err != nil || part.Last {
			stopSending()
		}
		return part, err
	}
	answer.cancel = func() {
		stopSending()
		link.cancel(ask.ID)
	}
	return reply, answer, 0
}

// askRemote requests a slot. If the request is not included and may not be queued, the peer
// replies at once, so that the time is limited to askTimeout. When the daemon starts no further
// attempts, a request that has not run is withdrawn.
func (c *callerRequest) askRemote(ctx context.Context, link *peerLink, ask *AskArgs) (Reply, error) {
	withdraw := func() { link.withdraw(ask.ID) }
	if ask.Payload == nil {
		ctx, withdraw = context.WithCancel(ctx)
		defer withdraw()
	}
	defer context.AfterFunc(c.daemon.starting, withdraw)()
	if ask.Payload == nil && !ask.MayQueue {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, askTimeout)
		defer cancel()
	}
	reply, err := callElsewhere[Reply](ctx, link, func() bool { return ask.Payload == nil || c.reserveRepeat() }, "Ask", ask)
	if errors.Is(err, errSilent) || err != nil && ctx.Err() != nil {
		link.cancel(ask.ID)
	}
	return reply, err
}

// peerAddress returns the address on which the daemon on the VM of an upstream listens for
// peers: the host of the upstream, and the port that all daemons use.
func (d *Daemon) peerAddress(upstream string) string {
	host, _, err := net.SplitHostPort(upstream)
	if err != nil {
		return upstream
	}
	return net.JoinHostPort(host, d.peerPort)
}
