package mesh

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/core/answerclass"
	"github.com/hawthornpoint/hawthornpoint/core/callgraph"
	"github.com/hawthornpoint/hawthornpoint/core/slots"
	"github.com/hawthornpoint/hawthornpoint/internal/answercheck"
	"github.com/hawthornpoint/hawthornpoint/internal/hopheader"
)

// grantTimeout is how long a granted slot is reserved for the request. It covers several
// round trips between two regions.
const grantTimeout = 500 * time.Millisecond

// exchangeGrace is how long an exchange continues after its deadline, or after the caller of
// a short run has left. The backend server finishes in that time, so that the connection can
// be kept; closing it would cost a new one. Longer runs are stopped at once, because their
// slot is worth more than a connection.
const exchangeGrace = 100 * time.Millisecond

// localAttempt is an attempt at the local backend server, from the request for a slot to its
// end.
type localAttempt struct {
	id        uint64 // in the limiter
	requestID string // the caller's ID of the request
	instance  string
	kind      string
	origin    string // the service of the VM that sent the request
	tenant    string // the name of the request's tenant, empty for none
	// fingerprint is equal for requests of one service with equal method, host, target and body.
	fingerprint uint64
	deadline    time.Time // of the run, zero before it starts
	isRetry     bool
	withdrawn   bool // the daemon that sent the request starts no further attempts
	// ctx ends when the caller leaves; cancel ends it.
	ctx    context.Context
	cancel context.CancelFunc
	// stopRun releases the contexts that limit the time of the run.
	stopRun context.CancelFunc
	// decisions receives the decision about a queued request.
	decisions chan slots.Decision
	// releaseTimer releases a granted slot that is not used. It is atomic because the grant
	// may be withdrawn while it is being set.
	releaseTimer atomic.Pointer[time.Timer]
	// onExpiry is called when a granted slot has not been used in time.
	onExpiry   func()
	answerPart int // Payload.AnswerPart of the run
	// held is what is reserved in the memory budget for an attempt of a peer. PeerConn.mu guards it.
	held int64
	// rest is the exchange of a long answer that has not been passed on completely.
	rest *exchange
	// left is the number of bytes of rest that have not been read, -1 if it is not known.
	left int64
	// reuseParts says that a part is no longer used when the next one is fetched, into partBuffer.
	reuseParts bool
	partBuffer []byte
	// body receives the further parts of a long request once bodyReady is closed.
	body      *io.PipeWriter
	bodyReady chan struct{}
}

func newLocalAttempt(ctx context.Context, onExpiry func()) *localAttempt {
	a := &localAttempt{bodyReady: make(chan struct{}), onExpiry: onExpiry}
	a.ctx, a.cancel = context.WithCancel(ctx)
	return a
}

// ask requests a slot from the limiter and, if the request itself came with args, runs it.
// The attempt ends with its context.
func (d *Daemon) ask(a *localAttempt, args *AskArgs) Reply {
	defer d.releaseOnPanic(a)
	a.requestID, a.instance, a.kind, a.origin, a.isRetry = args.RequestID, args.Instance, args.Kind, args.CallerService, args.Repeat
	a.fingerprint, a.tenant = args.Fingerprint, args.Tenant
	asked := time.Now()
	deadline := asked.Add(args.Left)
	decision, refused := d.requestSlot(a, args)
	if refused != 0 {
		d.metrics.Count(metricSlots, string(decision.Reason))
		return d.reply(a, refused, decision)
	}
	if decision.Verdict == slots.Wait {
		d.metrics.Count(metricSlots, "wait")
		decision = d.awaitSlot(a, args.Left-args.LeastLeft)
		d.recordQueueTime(a, time.Since(asked), decision)
	}
	switch {
	case decision.Reason == slots.Closed:
		return d.reply(a, OutcomeLeaving, decision)
	case decision.Verdict != slots.Start:
		return d.reply(a, OutcomeRefused, decision)
	case a.ctx.Err() != nil:
		d.withdrawGrant(a, "time_over")
		return d.reply(a, OutcomeUnsent, decision)
	case time.Until(deadline) < args.LeastLeft:
		d.withdrawGrant(a, "time_left")
		return d.reply(a, OutcomeRefused, slots.Decision{Reason: slots.TooLate})
	case args.Payload == nil:
		a.releaseTimer.Store(time.AfterFunc(grantTimeout, func() {
			d.withdrawGrant(a, "grant_unused")
			a.onExpiry()
		}))
		return d.reply(a, OutcomeGranted, decision)
	}
	return d.run(a, args.Payload, time.Until(deadline))
}

func (d *Daemon) reply(a *localAttempt, outcome Outcome, decision slots.Decision) Reply {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	origin := d.callGraph.Classify(a.kind)
	return Reply{
		Outcome: outcome, Reason: string(decision.Reason), Wait: decision.Wait,
		Load: d.limiter.LoadFor(a.kind), Call: origin == callgraph.Call, CallUnknown: origin == callgraph.Unknown, Overloaded: d.overloaded(now, a.kind), State: d.state(),
		Leaving: d.dir.StatedLeaving(a.instance), Reports: d.crashes.ReportsOf(a.fingerprint),
	}
}

// run sends a request to the backend server. The attempt holds a slot, which is released when
// the first part of the answer has been read or the exchange has failed. When the time has run
// out or the caller has left, run returns at once; the exchange may continue for
// exchangeGrace.
func (d *Daemon) run(a *localAttempt, payload *Payload, left time.Duration) Reply {
	if decision, refused := d.refuseQuarantined(a); refused {
		return d.reply(a, OutcomeQuarantined, decision)
	}
	a.deadline, a.answerPart = time.Now().Add(left), payload.AnswerPart
	ctx, cancel := context.WithTimeout(a.ctx, left)
	graceCtx, cancelGrace := context.WithCancel(context.Background())
	stop := context.AfterFunc(ctx, func() {
		if ctx.Err() == context.DeadlineExceeded || d.isShortRun(a.kind) {
			time.AfterFunc(exchangeGrace, cancelGrace)
			return
		}
		cancelGrace()
	})
	a.stopRun = func() {
		stop()
		cancel()
		cancelGrace()
	}
	replies := make(chan Reply, 1)
	d.countRetryRun(a, 1)
	go func() {
		defer d.countRetryRun(a, -1)
		replies <- d.tryExchange(ctx, graceCtx, a, payload, left)
	}()
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case r := <-replies:
		return r
	case <-timer.C:
		return d.reply(a, OutcomeExpired, slots.Decision{Reason: "time_over"})
	case <-a.ctx.Done():
		return d.reply(a, OutcomeLost, slots.Decision{Reason: "canceled"})
	}
}

// isShortRun reports whether runs of the kind take less than exchangeGrace on average.
func (d *Daemon) isShortRun(kind string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	average := d.limiter.AverageRun(kind)
	return average > 0 && average < exchangeGrace
}

// tryExchange is exchange, with the reply that the outcome is unknown after a panic.
func (d *Daemon) tryExchange(ctx, graceCtx context.Context, a *localAttempt, payload *Payload, left time.Duration) (r Reply) {
	defer d.recoverPanic(panicExchange, &a.requestID, func() {
		a.stopRun()
		d.recordRunEnd(a, false)
		d.releaseSlot(a, slots.Outcome{Failed: true})
		r = d.reply(a, OutcomeLost, slots.Decision{Reason: "panic"})
	})
	return d.exchange(ctx, graceCtx, a, payload, left)
}

// exchange sends the request and reads the first part of the answer. Nothing is sent after
// ctx has ended; the connection is closed when graceCtx ends.
func (d *Daemon) exchange(ctx, graceCtx context.Context, a *localAttempt, payload *Payload, left time.Duration) Reply {
	started := time.Now()
	req, err := d.backendRequest(graceCtx, a, payload, left)
	if err != nil {
		a.stopRun()
		d.releaseSlot(a, slots.Outcome{Failed: true})
		return d.reply(a, OutcomeUnsent, slots.Decision{Reason: "bad_request"})
	}
	ex, sent, err := d.backend.roundTrip(ctx, graceCtx, req, func() { d.recordRunStart(a) })
	if err != nil {
		a.stopRun()
		return d.replyWithoutAnswer(ctx, a, sent, started, err)
	}
	return d.readAnswer(ctx, a, ex, started)
}

func (d *Daemon) backendRequest(ctx context.Context, a *localAttempt, payload *Payload, left time.Duration) (*http.Request, error) {
	target, err := url.ParseRequestURI(payload.Target)
	if err != nil {
		return nil, errors.Wrap(err, "request target")
	}
	target.Scheme, target.Host = "http", d.settings.BackendAddress
	header, err := d.headers.unpack(payload.Header)
	if err != nil {
		return nil, err
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // prevents net/http from adding its own
	}
	d.convention.Prepare(header, UpstreamHead{RequestID: a.requestID, Left: left, Instance: a.instance, CallerService: a.origin, Tenant: a.tenant})
	req := &http.Request{Method: payload.Method, URL: target, Host: payload.Host, Header: header, ContentLength: payload.Length,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	switch {
	case payload.More:
		reader, writer := io.Pipe()
		a.body = writer
		context.AfterFunc(a.ctx, func() { _ = writer.CloseWithError(errors.New("the attempt is over")) })
		close(a.bodyReady)
		req.Body = io.NopCloser(io.MultiReader(bytes.NewReader(payload.Body), reader))
	case len(payload.Body) > 0:
		req.ContentLength = int64(len(payload.Body))
		req.Body = io.NopCloser(bytes.NewReader(payload.Body))
	default:
		req.ContentLength = 0
	}
	return req.WithContext(ctx), nil
}

// replyWithoutAnswer returns the reply to a request that has no usable answer.
func (d *Daemon) replyWithoutAnswer(ctx context.Context, a *localAttempt, sent bool, started time.Time, err error) Reply {
	outcome, reason := OutcomeLost, "no_answer"
	switch {
	case !sent && errors.Is(err, errBackendDown):
		outcome, reason = OutcomeBackendDown, "backend_down"
	case !sent && errors.Is(err, errNoDescriptor):
		outcome, reason = OutcomeRefused, "no_descriptor"
	case !sent:
		outcome, reason = OutcomeUnsent, "time_over"
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		outcome, reason = OutcomeExpired, "time_over"
	case a.ctx.Err() != nil:
		reason = "canceled"
	case answercheck.Invalid(err):
		reason = "broken_answer"
	}
	switch {
	case answercheck.Invalid(err):
		d.recordRunEnd(a, false) // the backend server has answered, so that it has not crashed in the run
	case sent:
		d.recordLostRun(a, err)
	}
	if outcome == OutcomeUnsent || outcome == OutcomeRefused {
		d.dropSlot(a)
	} else {
		d.releaseSlot(a, slots.Outcome{Failed: true})
	}
	elapsed := time.Since(started)
	d.metrics.Observe(metricBackendTime, elapsed, a.kind, reason)
	d.log.Info(eventExchangeFailed, zap.String("id", a.requestID), zap.String("kind", a.kind), zap.String("upstream", a.instance),
		fingerprintField(a.fingerprint), zap.Bool("sent", sent), zap.Duration("elapsed", elapsed), zap.String("reason", reason), errorField(err))
	return d.reply(a, outcome, slots.Decision{Reason: slots.Reason(reason)})
}

// readAnswer reads the first part of the answer.
func (d *Daemon) readAnswer(ctx context.Context, a *localAttempt, ex *exchange, started time.Time) Reply {
	head, err := d.matchAnswer(a, ex)
	if err != nil {
		ex.fail(err)
		return d.replyWithoutAnswer(ctx, a, true, started, err)
	}
	if !head.MatchesRequest {
		ex.abort()
		return d.replyWithoutAnswer(ctx, a, true, started, errors.New("the answer belongs to another request"))
	}
	class, defect := answerclass.Classify(head.Run)
	if class == answerclass.Broken {
		err = answercheck.Contradiction(ex.response.StatusCode, defect)
	} else {
		err = answercheck.Fits(ex.response)
	}
	if err != nil {
		ex.fail(err)
		return d.replyWithoutAnswer(ctx, a, true, started, err)
	}
	ex.refusal = class.Refused()
	data, last, err := readPart(ex.response.Body, d.partBytes(a.answerPart), ex.response.ContentLength)
	if err != nil {
		ex.fail(err)
		return d.replyWithoutAnswer(ctx, a, true, started, errors.Wrap(err, "read body"))
	}
	elapsed := time.Since(started)
	d.recordStatements(a, head, class, started)
	d.recordRunEnd(a, last && class == answerclass.Answered)
	d.releaseSlot(a, slots.Outcome{Elapsed: elapsed, Rejected: class.Refused(), Failed: class == answerclass.Failed})
	d.metrics.Observe(metricBackendTime, elapsed, a.kind, exchangeOutcome(class))
	switch {
	case last:
		ex.finish()
		a.stopRun()
	case ctx.Err() != nil:
		ex.abort()
		a.stopRun()
	default:
		a.rest, a.left = ex, max(ex.response.ContentLength-int64(len(data)), -1)
	}
	if class == answerclass.Misdirected {
		return d.reply(a, OutcomeWrongUpstream, slots.Decision{Reason: "other_instance"})
	}
	var r Reply
	if class == answerclass.NotRun {
		r = d.reply(a, OutcomeRejected, slots.Decision{Reason: "backend_refused"})
	} else {
		r = d.reply(a, OutcomeAnswered, slots.Decision{})
		r.Answer = &Answer{
			Status: ex.response.StatusCode, Header: d.headers.pack(hopheader.EndToEnd(ex.response.Header)), Failed: class == answerclass.Failed,
			Body: data, More: !last, Elapsed: elapsed,
		}
	}
	r.Leaving = r.Leaving || head.Leaving // this daemon may not have received the upstream's entry
	return r
}

func exchangeOutcome(class answerclass.Class) string {
	switch {
	case class.Refused():
		return "not_run"
	case class == answerclass.Failed:
		return "failed"
	}
	return "answered"
}

// matchAnswer returns the head of the answer to the request and skips answers to other
// requests. A backend server may send a second, late answer to an earlier request on the
// connection; the answer to this request follows it.
func (d *Daemon) matchAnswer(a *localAttempt, ex *exchange) (AnswerHead, error) {
	for {
		head := d.convention.Answer(a.requestID, ex.response.StatusCode, ex.response.Header)
		if !head.NamesOtherRequest {
			return head, nil
		}
		d.metrics.Count(metricUnmatched)
		if err := ex.skip(); err != nil {
			return head, errors.Wrap(err, "after an answer to another request")
		}
	}
}

// more returns the next part of a long answer, of at most limit bytes. The last part ends the run.
func (a *localAttempt) more(limit int) (MoreReply, error) {
	if a.rest == nil {
		return MoreReply{}, errors.New("no answer under way")
	}
	data, last, err := readPartInto(a.partBuffer, a.rest.response.Body, limit, a.left)
	a.left = max(a.left-int64(len(data)), -1)
	if a.reuseParts {
		a.partBuffer = data
	}
	if err != nil {
		a.rest.fail(err)
		a.rest = nil
		a.abandon()
		return MoreReply{}, errors.Wrap(err, "read body")
	}
	if last {
		a.rest.finish()
		a.rest = nil
		a.stopRun()
		a.abandon()
	}
	return MoreReply{Data: data, Last: last}, nil
}

// abandon cancels the attempt. What is left of its body and of its answer is discarded.
func (a *localAttempt) abandon() { a.cancel() }

// writeChunk passes a further part of the request's body to the backend server.
func (a *localAttempt) writeChunk(data []byte, last bool) error {
	select {
	case <-a.bodyReady:
	case <-a.ctx.Done():
		return errors.New("the attempt ended before it accepted a body")
	}
	if _, err := a.body.Write(data); err != nil {
		return errors.Wrap(err, "write body to the backend server")
	}
	if last {
		return a.body.Close()
	}
	return nil
}
