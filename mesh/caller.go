package mesh

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/codes"
	"github.com/hawthornpoint/hawthornpoint/core/dispatch"
	"github.com/hawthornpoint/hawthornpoint/core/routing"
	"github.com/hawthornpoint/hawthornpoint/internal/hopheader"
)

// notTakenReturn is told to callers of a daemon that is starting or stopping. It is back, or
// its callers have been sent elsewhere, in about this time.
const notTakenReturn = 300 * time.Millisecond

// serveCaller handles a request of a caller on this VM or of the local backend server.
func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	c := &callerRequest{daemon: d, w: w, r: r, head: d.dialect.Request(r.Header), arrived: time.Now()}
	if code := c.admit(); code != 0 {
		c.refuse(code, notTakenReturn, code.String())
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

	route  *routing.Route
	flight *dispatch.OutgoingRequest
	step   dispatch.Step   // the latest attempt
	last   dispatch.Report // its outcome
	body   []byte          // the first part
	more   bool            // r.Body holds the rest
	spent  bool            // a part of the rest was sent
}

// admit finds the route and reads the first part of the body.
func (c *callerRequest) admit() codes.Code {
	d := c.daemon
	if !d.takesRequests() {
		return codes.Leaving
	}
	table := d.table()
	if table == nil {
		return codes.NotConfigured
	}
	c.route = table.Match(c.r.Host, c.r.URL.EscapedPath())
	switch {
	case c.route == nil:
		return codes.UnknownService
	case c.head.ID == "":
		return codes.BadRequest
	}
	limit := table.Config().Limits.BodyBytes
	if limit > 0 {
		if c.r.ContentLength > limit {
			return codes.BodyTooLarge
		}
		c.r.Body = http.MaxBytesReader(c.w, c.r.Body, limit)
	}
	return c.readBody()
}

func (c *callerRequest) readBody() codes.Code {
	if c.r.Body == http.NoBody || c.r.ContentLength == 0 {
		return 0
	}
	body, last, err := readPart(c.r.Body, inlineBytes, c.r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return codes.BodyTooLarge
	case err != nil:
		return codes.BadRequest
	}
	c.body, c.more = body, !last
	return 0
}

// run follows the dispatcher's steps until the caller has its answer.
func (c *callerRequest) run() {
	d := c.daemon
	ctx := c.r.Context()
	left := c.head.Left
	if left <= 0 {
		left = c.route.Timeout
	}
	left -= time.Since(c.arrived)
	now := time.Now()
	service, refusal := d.enter(now, c.route)
	if refusal != nil {
		c.refuseEarly(service, refusal)
		return
	}
	d.mu.Lock()
	c.flight = d.dispatcher.Open(now, c.route, service, left, d.repeatedShare())
	step := d.dispatcher.Next(now, c.flight)
	d.inFlight++
	d.mu.Unlock()
	defer d.flightEnded()
	for {
		if step.Code != 0 {
			d.countCall(c.route, service, step.Code)
			c.refuse(step.Code, step.RetryAfter, step.Reason)
			return
		}
		c.step, c.last = step, dispatch.Report{}
		report, answer := c.attempt(ctx, step)
		c.last = report
		if ctx.Err() != nil {
			d.mu.Lock()
			d.dispatcher.Abandon(c.flight)
			d.mu.Unlock()
			answer.drop()
			d.ended(c, outcomeGone)
			d.log.Info(eventLeft, append(c.decided(), zap.Duration("held", time.Since(c.arrived)))...)
			panic(http.ErrAbortHandler)
		}
		next := c.report(report)
		d.logStep(c, report, next)
		if next.Deliver {
			d.countCall(c.route, service, codes.OK)
			c.deliver(answer)
			return
		}
		answer.drop()
		step = next
	}
}

func (c *callerRequest) report(r dispatch.Report) dispatch.Step {
	d := c.daemon
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dispatcher.Report(time.Now(), c.flight, r)
}

// delivery is an answer, and the way to get the rest of it.
type delivery struct {
	answer *Answer
	more   func() (MoreReply, error)
	cancel func()
}

// drop ends an answer that is not passed on.
func (a *delivery) drop() {
	if a != nil && a.cancel != nil {
		a.cancel()
	}
}

// attempt asks one upstream and sends the request to it.
func (c *callerRequest) attempt(ctx context.Context, step dispatch.Step) (dispatch.Report, *delivery) {
	ctx, cancel := context.WithDeadline(ctx, c.flight.Deadline)
	defer cancel()
	ask := c.ask(step)
	var reply Reply
	var answer *delivery
	var result dispatch.Result
	if step.Upstream.Address == c.daemon.set.BackendAddress {
		reply, answer = c.attemptHere(ask)
	} else {
		reply, answer, result = c.attemptThere(ctx, ask, c.daemon.peerAddress(step.Upstream.Address))
	}
	if result == 0 {
		result = c.classify(&reply)
	}
	c.daemon.heardOf(reply.AsOf, step.Upstream.Address)
	if reply.Outcome != 0 {
		c.daemon.learnPressure(c.route, c.flight.Service, &reply)
	}
	report := dispatch.Report{
		Result: result, Load: reply.Load, HasLoad: reply.Outcome != 0,
		Wait: reply.Wait, Retryable: !c.spent,
	}
	if reply.Answer != nil {
		report.Elapsed = reply.Answer.Elapsed
	}
	return report, answer
}

func (c *callerRequest) ask(step dispatch.Step) *AskArgs {
	now := time.Now()
	return &AskArgs{
		ID: c.daemon.nextAttempt(), RequestID: c.head.ID, Instance: step.Upstream.ID, Kind: c.route.Name, Rank: c.route.Rank,
		CallerService:  c.daemon.set.Service,
		Repeat:         c.flight.Sent() > 0,
		UntilObjective: c.flight.Objective.Sub(now), Left: c.flight.Deadline.Sub(now), MayQueue: step.MayQueue,
	}
}

func (c *callerRequest) payload() *Payload {
	length := c.r.ContentLength
	if !c.more {
		length = int64(len(c.body))
	}
	target := c.r.RequestURI
	if c.r.URL.Host != "" {
		target = c.r.URL.RequestURI() // the caller sent an absolute URI
	}
	return &Payload{
		Method: c.r.Method, Target: target,
		Host: c.r.Host, Header: c.daemon.headers.pack(hopheader.EndToEnd(c.r.Header)), Body: c.body, More: c.more, Length: length,
	}
}

// classify translates an outcome for the dispatcher.
func (c *callerRequest) classify(r *Reply) dispatch.Result {
	switch r.Outcome {
	case OutcomeRefused:
		return dispatch.Refused
	case OutcomeLeaving:
		return dispatch.Leaving
	case OutcomeMisplaced:
		return dispatch.WrongUpstream
	case OutcomeRejected:
		return dispatch.Rejected
	case OutcomeLost:
		return dispatch.Lost
	case OutcomeExpired:
		return dispatch.Expired
	case OutcomeAnswered:
		if r.Answer.Failed {
			return dispatch.Failed
		}
		return dispatch.Answered
	case OutcomeUnsent:
		if !time.Now().Before(c.flight.Deadline) {
			return dispatch.Unsent
		}
	}
	return dispatch.NoReply
}

// attemptHere runs the request at the local backend server.
func (c *callerRequest) attemptHere(ask *AskArgs) (Reply, *delivery) {
	h := newHeld(c.r.Context())
	ask.Payload = c.payload()
	if c.more {
		c.spent = true
		go c.feed(h.chunk)
	}
	reply := c.daemon.ask(h, ask)
	if reply.Answer == nil || !reply.Answer.More {
		h.abandon()
	}
	return reply, &delivery{answer: reply.Answer, more: h.more, cancel: h.abandon}
}

// feed sends the rest of the body in parts.
func (c *callerRequest) feed(send func(data []byte, last bool) error) {
	for {
		data, last, err := readPart(c.r.Body, inlineBytes, -1)
		if err != nil {
			return // the server's connection to the caller has failed, which ends the request
		}
		if err := send(data, last); err != nil || last {
			return
		}
	}
}

// attemptThere runs the request beside another upstream. A result other than 0 replaces
// the reply.
func (c *callerRequest) attemptThere(ctx context.Context, ask *AskArgs, address string) (Reply, *delivery, dispatch.Result) {
	link, err := c.daemon.peer(address).connect(ctx)
	if err != nil {
		return Reply{}, nil, dispatch.NoReply
	}
	if c.route.Idempotent && !c.more {
		ask.Payload = c.payload()
	}
	reply, err := c.askThere(ctx, link, ask)
	if err != nil {
		return Reply{}, nil, c.lostResult(ctx, ask.Payload != nil, err)
	}
	if reply.Outcome == OutcomeGranted {
		args := &RunArgs{ID: ask.ID, Left: time.Until(c.flight.Deadline), Payload: *c.payload()}
		if c.more {
			c.spent = true
			go c.feed(func(data []byte, last bool) error {
				_, err := callLink[PingReply](ctx, link, "Chunk", &ChunkArgs{ID: ask.ID, Data: data, Last: last})
				return err
			})
		}
		if reply, err = callLink[Reply](ctx, link, "Run", args); err != nil {
			link.cancel(ask.ID)
			return Reply{}, nil, c.lostResult(ctx, true, err)
		}
	}
	answer := &delivery{answer: reply.Answer}
	answer.more = func() (MoreReply, error) {
		return callLink[MoreReply](c.r.Context(), link, "More", &CallID{ID: ask.ID})
	}
	if reply.Answer != nil && reply.Answer.More {
		answer.cancel = func() { link.cancel(ask.ID) }
	}
	return reply, answer, 0
}

// askThere asks for a slot. A question that may neither run nor wait is answered at once.
func (c *callerRequest) askThere(ctx context.Context, link *peerLink, ask *AskArgs) (Reply, error) {
	if ask.Payload == nil && !ask.MayQueue {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, answerWithin)
		defer cancel()
	}
	reply, err := callLink[Reply](ctx, link, "Ask", ask)
	if err != nil && ctx.Err() != nil {
		link.cancel(ask.ID)
	}
	return reply, err
}

// lostResult classifies a call between daemons that has no reply.
func (c *callerRequest) lostResult(ctx context.Context, sent bool, err error) dispatch.Result {
	over := ctx.Err() != nil
	switch {
	case errors.Is(err, errUnreachable):
		return dispatch.NoReply
	case sent && over:
		return dispatch.Expired
	case sent:
		return dispatch.Lost
	case over:
		return dispatch.Unsent
	default:
		return dispatch.NoReply
	}
}

// deliver passes the answer on. One that breaks off ends the caller's connection, so that
// it cannot look complete.
func (c *callerRequest) deliver(a *delivery) {
	h := c.w.Header()
	received, err := c.daemon.headers.unpack(a.answer.Header)
	if err != nil {
		a.drop()
		c.refuse(codes.AttemptLost, 0, "header_code")
		return
	}
	for name, values := range received {
		h[name] = values
	}
	c.daemon.dialect.Restore(c.head.ID, h)
	if !a.answer.More && c.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(a.answer.Body)))
	}
	c.w.WriteHeader(a.answer.Status)
	_, err = c.w.Write(a.answer.Body)
	for more := a.answer.More; more && err == nil; {
		var part MoreReply
		if part, err = a.more(); err == nil {
			_, err = c.w.Write(part.Data)
			more = !part.Last
		}
	}
	if err != nil {
		a.drop()
		c.daemon.ended(c, outcomeBroken)
		c.daemon.log.Info(eventBroken, zap.String("id", c.head.ID), errorField(err))
		panic(http.ErrAbortHandler)
	}
	if a.answer.Failed {
		c.daemon.ended(c, outcomeFailed)
	} else {
		c.daemon.ended(c, outcomeAnswered)
	}
	c.daemon.logAnswered(c, a.answer.Failed)
}

// refuse sends an answer of the daemon's own.
func (c *callerRequest) refuse(code codes.Code, after time.Duration, reason string) {
	d := c.daemon
	status := d.dialect.Refuse(c.w.Header(), code, after)
	d.logRefusal(c, code, status, after, reason)
	c.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, code.String()+"\n")
}

// peerAddress returns where the daemon beside an upstream listens: on the same VM, at the
// port that all daemons use.
func (d *Daemon) peerAddress(upstream string) string {
	host, _, err := net.SplitHostPort(upstream)
	if err != nil {
		return upstream
	}
	return net.JoinHostPort(host, d.peerPort)
}
