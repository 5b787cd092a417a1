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

	"github.com/hawthornpoint/hawthornpoint/core/slots"
	"github.com/hawthornpoint/hawthornpoint/internal/hopheader"
)

// grantLife is how long a granted slot is held for the request. It covers the round trip
// between two regions several times.
const grantLife = 500 * time.Millisecond

// lateEnd is how long an exchange goes on after its time is over, or after the caller of a
// short run has gone. The backend server ends by itself meanwhile, and the connection stays
// open; closing it would cost a new one. Longer runs are stopped at once: their slot is worth
// more than a connection.
const lateEnd = 100 * time.Millisecond

// held is an attempt at the local backend server, from the question to the end.
type held struct {
	id       uint64 // at the station
	request  string // the caller's ID of the request
	instance string
	kind     string
	origin   string // the service of the VM where the request began
	repeat   bool
	// ctx ends when the caller has gone; cancel ends it.
	ctx    context.Context
	cancel context.CancelFunc
	// stopRun ends the time limit of the run.
	stopRun context.CancelFunc
	// decided receives the decision about a waiting request.
	decided chan slots.Decision
	// release gives a granted slot back; a withdrawal may come while it is being set.
	release atomic.Pointer[time.Timer]
	// rest is the part of a long answer that was not passed on yet.
	rest *exchange
	// body receives the further parts of a long request once ready is closed.
	body  *io.PipeWriter
	ready chan struct{}
}

func newHeld(ctx context.Context) *held {
	h := &held{ready: make(chan struct{})}
	h.ctx, h.cancel = context.WithCancel(ctx)
	return h
}

// ask asks the station for a slot and, when the request came with the question, runs it.
// The attempt ends with its context.
func (d *Daemon) ask(h *held, a *AskArgs) Reply {
	h.request, h.instance, h.kind, h.origin, h.repeat = a.RequestID, a.Instance, a.Kind, a.CallerService, a.Repeat
	asked := time.Now()
	deadline := asked.Add(a.Left)
	decision, refused := d.arrive(h, a)
	if refused != 0 {
		d.metrics.Count(metricSlots, string(decision.Reason))
		return d.reply(h, refused, decision)
	}
	if decision.Verdict == slots.Wait {
		d.metrics.Count(metricSlots, "wait")
		decision = d.awaitSlot(h, a.Left)
		d.waited(h, time.Since(asked), decision)
	}
	switch {
	case decision.Reason == slots.Closed:
		return d.reply(h, OutcomeLeaving, decision)
	case decision.Verdict != slots.Start:
		return d.reply(h, OutcomeRefused, decision)
	case h.ctx.Err() != nil:
		d.withdraw(h, "time_over")
		return d.reply(h, OutcomeUnsent, decision)
	case a.Payload == nil:
		h.release.Store(time.AfterFunc(grantLife, func() { d.withdraw(h, "grant_unused") }))
		return d.reply(h, OutcomeGranted, decision)
	}
	return d.run(h, a.Payload, time.Until(deadline))
}

// waited records the end of a wait for a slot.
func (d *Daemon) waited(h *held, t time.Duration, decision slots.Decision) {
	if decision.Verdict == slots.Start {
		d.metrics.Count(metricSlots, "start")
		d.metrics.Observe(metricQueueTime, t, h.kind, "start")
		return
	}
	d.metrics.Count(metricSlots, string(decision.Reason))
	d.metrics.Observe(metricQueueTime, t, h.kind, "refused")
	d.log.Info(eventNoSlot, zap.String("id", h.request), zap.String("kind", h.kind), zap.String("origin", h.origin),
		zap.Duration("waited", t), zap.Duration("wait", decision.Wait), zap.String("reason", string(decision.Reason)))
}

// arrive asks the station. An outcome other than 0 refuses the attempt.
func (d *Daemon) arrive(h *held, a *AskArgs) (slots.Decision, Outcome) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	own, known := d.dir.At(d.set.BackendAddress)
	if d.stopping || known && own.ID == a.Instance && own.Draining {
		return slots.Decision{Reason: slots.Closed}, OutcomeLeaving
	}
	d.graph.Observe(a.Kind, a.CallerService)
	d.lastID++
	h.id = d.lastID
	decision := d.station.Admit(now, slots.Request{
		ID: h.id, Kind: a.Kind, Rank: a.Rank, MayQueue: a.MayQueue,
		Objective: now.Add(a.UntilObjective), Deadline: now.Add(a.Left),
	})
	switch decision.Verdict {
	case slots.Refuse:
		return decision, OutcomeRefused
	case slots.Start:
		d.metrics.Count(metricSlots, "start")
		d.metrics.Observe(metricQueueTime, 0, a.Kind, "start")
	case slots.Wait:
		h.decided = make(chan slots.Decision, 1)
		d.waiting[h.id] = h
	}
	return decision, 0
}

func (d *Daemon) awaitSlot(h *held, left time.Duration) slots.Decision {
	over := time.NewTimer(left)
	defer over.Stop()
	select {
	case decision := <-h.decided:
		return decision
	case <-h.ctx.Done():
	case <-over.C:
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case decision := <-h.decided:
		return decision
	default:
	}
	delete(d.waiting, h.id)
	d.station.Cancel(h.id)
	return slots.Decision{Verdict: slots.Refuse, Reason: slots.TooLate}
}

// dispatchEvents passes the station's events to those that wait. d.mu is held.
func (d *Daemon) dispatchEvents(events []slots.Event) {
	for _, e := range events {
		if h := d.waiting[e.ID]; h != nil {
			delete(d.waiting, e.ID)
			h.decided <- e.Decision
		}
	}
}

// done gives the slot back.
func (d *Daemon) done(h *held, o slots.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dispatchEvents(d.station.Done(time.Now(), h.id, o))
}

// withdraw gives a granted slot back that was not used.
func (d *Daemon) withdraw(h *held, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dispatchEvents(d.station.Release(time.Now(), h.id))
	d.log.Info(eventWithdrawn, zap.String("id", h.request), zap.String("kind", h.kind), zap.String("reason", reason))
}

// claim turns a granted slot into a run. It reports false when the slot was given back.
func (h *held) claim() bool {
	release := h.release.Load()
	return release != nil && release.Stop()
}

func (d *Daemon) reply(h *held, o Outcome, decision slots.Decision) Reply {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Reply{
		Outcome: o, Reason: string(decision.Reason), Wait: decision.Wait,
		Load: d.station.Load(), Call: d.graph.IsCall(h.kind), Blocked: d.meter.Shares(time.Now()), AsOf: d.replica.AsOf(),
	}
}

// countRepeat notes the start or the end of a run that is a repeat.
func (d *Daemon) countRepeat(h *held, n int) {
	if !h.repeat {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.repeats += n
}

// repeatedShare returns the share of the local runs that are repeats. Requests that the
// local backend server makes do not say for which run; they are taken to be evenly made by
// all. Requests of other callers are charged too, which errs on the safe side. d.mu is held.
func (d *Daemon) repeatedShare() float64 {
	if d.repeats == 0 {
		return 0
	}
	return float64(d.repeats) / float64(max(d.station.Load().Running, d.repeats))
}

// run sends a request to the backend server. The caller holds a slot, which is given back
// when the backend server has ended. When the time is over or the caller has gone, run
// returns at once; the exchange may go on for lateEnd.
func (d *Daemon) run(h *held, p *Payload, left time.Duration) Reply {
	ctx, cancel := context.WithTimeout(h.ctx, left)
	late, cancelLate := context.WithCancel(context.Background())
	stop := context.AfterFunc(ctx, func() {
		if ctx.Err() == context.DeadlineExceeded || d.isShort(h.kind) {
			time.AfterFunc(lateEnd, cancelLate)
			return
		}
		cancelLate()
	})
	h.stopRun = func() {
		stop()
		cancel()
		cancelLate()
	}
	replies := make(chan Reply, 1)
	d.countRepeat(h, 1)
	go func() {
		defer d.countRepeat(h, -1)
		replies <- d.exchange(ctx, late, h, p, left)
	}()
	over := time.NewTimer(left)
	defer over.Stop()
	select {
	case r := <-replies:
		return r
	case <-over.C:
		return d.reply(h, OutcomeExpired, slots.Decision{Reason: "time_over"})
	case <-h.ctx.Done():
		return d.reply(h, OutcomeLost, slots.Decision{Reason: "canceled"})
	}
}

// isShort reports whether runs of the kind usually take less than lateEnd.
func (d *Daemon) isShort(kind string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	usual := d.station.AverageRun(kind)
	return usual > 0 && usual < lateEnd
}

// exchange sends the request and reads the first part of the answer, until late ends.
func (d *Daemon) exchange(ctx, late context.Context, h *held, p *Payload, left time.Duration) Reply {
	started := time.Now()
	req, err := d.backendRequest(late, h, p, left)
	if err != nil {
		h.stopRun()
		d.done(h, slots.Outcome{Failed: true})
		return d.reply(h, OutcomeUnsent, slots.Decision{Reason: "bad_request"})
	}
	x, sent, err := d.backend.roundTrip(ctx, late, req)
	if err != nil {
		h.stopRun()
		return d.failed(ctx, h, sent, started, err)
	}
	return d.read(ctx, h, x, started)
}

func (d *Daemon) backendRequest(ctx context.Context, h *held, p *Payload, left time.Duration) (*http.Request, error) {
	target, err := url.ParseRequestURI(p.Target)
	if err != nil {
		return nil, errors.Wrap(err, "request target")
	}
	target.Scheme, target.Host = "http", d.set.BackendAddress
	header, err := d.headers.unpack(p.Header)
	if err != nil {
		return nil, err
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // keeps the library from adding one
	}
	d.dialect.Prepare(header, UpstreamHead{RequestID: h.request, Left: left, Instance: h.instance, CallerService: h.origin})
	req := &http.Request{Method: p.Method, URL: target, Host: p.Host, Header: header, ContentLength: p.Length,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	switch {
	case p.More:
		reader, writer := io.Pipe()
		h.body = writer
		close(h.ready)
		req.Body = io.NopCloser(io.MultiReader(bytes.NewReader(p.Body), reader))
	case len(p.Body) > 0:
		req.ContentLength = int64(len(p.Body))
		req.Body = io.NopCloser(bytes.NewReader(p.Body))
	default:
		req.ContentLength = 0
	}
	return req.WithContext(ctx), nil
}

// failed classifies a request without an answer.
func (d *Daemon) failed(ctx context.Context, h *held, sent bool, started time.Time, err error) Reply {
	d.done(h, slots.Outcome{Failed: true})
	outcome, reason := OutcomeLost, "no_answer"
	switch {
	case !sent && errors.Is(err, errBackendDown):
		outcome, reason = OutcomeDown, "backend_down"
	case !sent:
		outcome, reason = OutcomeUnsent, "time_over"
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		outcome, reason = OutcomeExpired, "time_over"
	}
	elapsed := time.Since(started)
	d.metrics.Observe(metricBackendTime, elapsed, h.kind, reason)
	d.log.Info(eventExchange, zap.String("id", h.request), zap.String("kind", h.kind), zap.String("upstream", h.instance),
		zap.Bool("sent", sent), zap.Duration("elapsed", elapsed), zap.String("reason", reason), errorField(err))
	return d.reply(h, outcome, slots.Decision{Reason: slots.Reason(reason)})
}

// read reads the first part of the answer.
func (d *Daemon) read(ctx context.Context, h *held, x *exchange, started time.Time) Reply {
	head, err := d.ownAnswer(h, x)
	if err != nil {
		x.abort()
		return d.failed(ctx, h, true, started, err)
	}
	if !head.OwnAnswer {
		x.abort()
		return d.failed(ctx, h, true, started, errors.New("the answer belongs to another request"))
	}
	data, last, err := readPart(x.response.Body, inlineBytes, x.response.ContentLength)
	if err != nil {
		x.abort()
		return d.failed(ctx, h, true, started, errors.Wrap(err, "read body"))
	}
	elapsed := time.Since(started)
	d.done(h, slots.Outcome{Elapsed: elapsed, Rejected: head.NotExecuted, Failed: head.Failed})
	d.metrics.Observe(metricBackendTime, elapsed, h.kind, exchangeOutcome(head))
	switch {
	case last:
		x.finish()
		h.stopRun()
	case ctx.Err() != nil:
		x.abort()
		h.stopRun()
	default:
		h.rest = x
	}
	switch {
	case head.Misplaced:
		return d.reply(h, OutcomeMisplaced, slots.Decision{Reason: "other_instance"})
	case head.NotExecuted:
		return d.reply(h, OutcomeRejected, slots.Decision{Reason: "backend_refused"})
	}
	r := d.reply(h, OutcomeAnswered, slots.Decision{})
	r.Answer = &Answer{
		Status: x.response.StatusCode, Header: d.headers.pack(hopheader.EndToEnd(x.response.Header)), Failed: head.Failed,
		Body: data, More: !last, Elapsed: elapsed,
	}
	return r
}

func exchangeOutcome(head AnswerHead) string {
	switch {
	case head.NotExecuted:
		return "not_run"
	case head.Failed:
		return "failed"
	}
	return "answered"
}

// ownAnswer passes over answers to other requests. A backend server may send a second answer
// to an earlier request of the connection, late; the own one follows it.
func (d *Daemon) ownAnswer(h *held, x *exchange) (AnswerHead, error) {
	for {
		head := d.dialect.Answer(h.request, x.response.StatusCode, x.response.Header)
		if !head.Foreign {
			return head, nil
		}
		d.metrics.Count(metricForeign)
		if err := x.skip(); err != nil {
			return head, errors.Wrap(err, "after an answer to another request")
		}
	}
}

// more returns the next part of a long answer.
func (h *held) more() (MoreReply, error) {
	if h.rest == nil {
		return MoreReply{}, errors.New("no answer under way")
	}
	data, last, err := readPart(h.rest.response.Body, inlineBytes, -1)
	if err != nil {
		h.rest.abort()
		h.rest = nil
		return MoreReply{}, errors.Wrap(err, "read body")
	}
	if last {
		h.rest.finish()
		h.rest = nil
		h.stopRun()
	}
	return MoreReply{Data: data, Last: last}, nil
}

// abandon ends the attempt without a reader for what is left of it.
func (h *held) abandon() {
	h.cancel()
	select {
	case <-h.ready:
		_ = h.body.CloseWithError(errors.New("the attempt is over"))
	default:
	}
}

// chunk passes a further part of the request's body on.
func (h *held) chunk(data []byte, last bool) error {
	select {
	case <-h.ready:
	case <-h.ctx.Done():
		return errors.New("no body is due")
	}
	if _, err := h.body.Write(data); err != nil {
		return errors.Wrap(err, "backend server takes no more of the body")
	}
	if last {
		return h.body.Close()
	}
	return nil
}
