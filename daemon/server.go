package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/core/answerclass"
	"github.com/hawthornpoint/hawthornpoint/core/node"
	"github.com/hawthornpoint/hawthornpoint/internal/answercheck"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

const (
	// backendProbeInterval is the time between two connection attempts to a backend
	// server that is down.
	backendProbeInterval = 50 * time.Millisecond
	// backendProbeTimeout bounds one connection attempt.
	backendProbeTimeout = 250 * time.Millisecond
)

// callSignals holds the channels that signal the goroutine of a served call, and those
// of repeated sends that wait for its end.
type callSignals struct {
	// events receives the one event of a queued call.
	events chan node.Event
	// ended is closed when the call has ended.
	ended chan struct{}
}

// dispatch sends events to the goroutines of their calls. d.mu must be held.
func (d *Daemon) dispatch(events []node.Event) {
	for _, e := range events {
		signals, ok := d.calls[e.CallID]
		if !ok {
			continue
		}
		signals.events <- e
		if !e.Start {
			d.removeCall(e.CallID)
		}
	}
}

// removeCall removes a call that has ended. d.mu must be held.
func (d *Daemon) removeCall(id uuid.UUID) {
	if signals, ok := d.calls[id]; ok {
		close(signals.ended)
		delete(d.calls, id)
	}
}

// servePeer handles a call that a daemon forwards to the local backend server.
func (d *Daemon) servePeer(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == warmPath {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	m, err := callmeta.Decode(r.Header, time.Now())
	if err != nil {
		d.refuse(w, resultcode.BadRequest)
		return
	}
	if r.ContentLength > int64(d.set.Limits.MaxBodyBytes) {
		d.refuse(w, resultcode.BodyTooLarge)
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, int64(d.set.Limits.MaxBodyBytes))
	s := &servedCall{daemon: d, w: w, r: r, meta: m}
	s.run()
}

// servedCall is one call that a daemon forwarded to the local backend server.
type servedCall struct {
	daemon          *Daemon
	w               http.ResponseWriter
	r               *http.Request
	meta            callmeta.Meta
	outcomeReported bool // the outcome was reported to the node
}

func (s *servedCall) run() {
	ctx, cancel := context.WithDeadline(s.r.Context(), s.meta.Deadline)
	defer cancel()
	for {
		arrival, signals, joinedEnded := s.arrive()
		switch arrival.Verdict {
		case node.Run:
			s.runOnBackend(ctx)
			return
		case node.Queue:
			s.queue(ctx, signals)
			return
		case node.Join:
			if !s.join(ctx, joinedEnded) {
				return
			}
		case node.Replay:
			s.writeReplay(arrival)
			return
		default:
			s.daemon.writeRefusal(s.w, arrival.Reply)
			return
		}
	}
}

// arrive returns the node's decision about the call. For a call that runs or is queued
// it registers and returns the channels of the call, before another goroutine can cause
// an event for it. For one that joins a running call it returns a channel that is closed
// when that call has ended.
func (s *servedCall) arrive() (node.ArrivalDecision, *callSignals, <-chan struct{}) {
	d := s.daemon
	d.mu.Lock()
	defer d.mu.Unlock()
	arrival := d.node.Arrive(time.Now(), s.meta)
	d.dispatch(arrival.Events)
	switch arrival.Verdict {
	case node.Run, node.Queue:
		signals := &callSignals{events: make(chan node.Event, 1), ended: make(chan struct{})}
		d.calls[s.meta.CallID] = signals
		return arrival, signals, nil
	case node.Join:
		if signals, ok := d.calls[arrival.JoinedCall]; ok {
			return arrival, nil, signals.ended
		}
		closed := make(chan struct{})
		close(closed)
		return arrival, nil, closed
	default:
		return arrival, nil, nil
	}
}

// queue waits until the call may start, is refused, or ctx has ended because the client
// disconnected or the deadline passed.
func (s *servedCall) queue(ctx context.Context, signals *callSignals) {
	select {
	case e := <-signals.events:
		s.handleEvent(ctx, e)
	case <-ctx.Done():
		s.leaveQueue(ctx, signals)
	}
}

func (s *servedCall) handleEvent(ctx context.Context, e node.Event) {
	if !e.Start {
		s.daemon.writeRefusal(s.w, e.Reply)
		return
	}
	s.runOnBackend(ctx)
}

// leaveQueue cancels a queued call. The node may have started or refused it in the
// meantime; then its event is already in the channel and is handled instead.
func (s *servedCall) leaveQueue(ctx context.Context, signals *callSignals) {
	d := s.daemon
	d.mu.Lock()
	select {
	case e := <-signals.events:
		d.mu.Unlock()
		s.handleEvent(ctx, e)
		return
	default:
	}
	d.dispatch(d.node.Cancel(time.Now(), s.meta.CallID))
	d.removeCall(s.meta.CallID)
	reply := d.node.Refusal(resultcode.CanceledBeforeStart)
	d.mu.Unlock()
	d.writeRefusal(s.w, reply)
}

// join waits for the end of the call that runs under the same key or token. It reports
// whether arrive should be called again; if not, it has written a refusal.
func (s *servedCall) join(ctx context.Context, ended <-chan struct{}) bool {
	select {
	case <-ended:
		return true
	case <-ctx.Done():
		d := s.daemon
		d.mu.Lock()
		reply := d.node.Refusal(failureCode(ctx, resultcode.DeadlineExceeded))
		d.mu.Unlock()
		d.writeRefusal(s.w, reply)
		return false
	}
}

func (s *servedCall) writeReplay(arrival node.ArrivalDecision) {
	copyHeader(s.w.Header(), arrival.Answer.Header)
	callmeta.EncodeReply(s.w.Header(), arrival.Reply)
	s.w.WriteHeader(arrival.Answer.Status)
	_, _ = s.w.Write(arrival.Answer.Body)
}

// runOnBackend sends the call to the local backend server and passes its answer on.
func (s *servedCall) runOnBackend(ctx context.Context) {
	ctx, cancel := s.runContext(ctx)
	defer cancel()
	defer s.endAfterPanic()
	started := time.Now()
	resp, code := s.backendRoundTrip(ctx)
	if code != resultcode.OK {
		s.fail(code, time.Since(started))
		return
	}
	backendAnswer := &answer{response: resp, capture: s.atMostOnce(), captureLimit: s.daemon.captureLimit()}
	defer backendAnswer.close()
	if err := backendAnswer.prefetch(); err != nil {
		s.fail(s.backendFailureCode(ctx, resultcode.AnswerTruncated), time.Since(started))
		return
	}
	s.writeHeader(resp)
	err := backendAnswer.writeTo(s.w)
	outcome := node.Outcome{Code: resultcode.OK, Latency: time.Since(started)}
	switch {
	case backendAnswer.complete:
		// The backend server's answer is complete even if this client has
		// disconnected.
		outcome.Answer = backendAnswer.recordedAnswer()
	case err != nil:
		outcome.Code = s.backendFailureCode(ctx, resultcode.AnswerTruncated)
	}
	s.reportOutcome(outcome)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// endAfterPanic ends a call whose handler panicked. Otherwise the call would hold its
// slot for ever, and repeated sends would wait for it.
func (s *servedCall) endAfterPanic() {
	if !s.outcomeReported {
		s.reportOutcome(node.Outcome{Code: resultcode.AttemptLost})
	}
}

// runContext returns the context for sending the call to the backend server. An
// at-most-once call continues when its client disconnects: its answer is recorded, so
// that a repeated send gets it instead of an unknown outcome. The deadline still ends
// the call.
func (s *servedCall) runContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if !s.atMostOnce() {
		return ctx, func() {}
	}
	return context.WithDeadline(context.WithoutCancel(ctx), s.meta.Deadline)
}

// atMostOnce reports whether the call must run at most once: it is not idempotent and
// has a key or token.
func (s *servedCall) atMostOnce() bool {
	return !s.meta.Idempotent && (s.meta.Key != "" || s.meta.Token != "")
}

func (s *servedCall) writeHeader(resp *http.Response) {
	d := s.daemon
	d.mu.Lock()
	reply := d.node.Reply(time.Now(), s.meta.CallID)
	d.mu.Unlock()
	copyHeader(s.w.Header(), resp.Header)
	callmeta.EncodeReply(s.w.Header(), reply)
	s.w.WriteHeader(resp.StatusCode)
}

func (s *servedCall) backendRoundTrip(ctx context.Context) (*http.Response, resultcode.Code) {
	ctx, trace := withConnTrace(ctx)
	req, err := http.NewRequestWithContext(ctx, s.r.Method, "http://"+s.daemon.set.Backend+s.r.URL.RequestURI(), nil)
	if err != nil {
		return nil, resultcode.BadRequest
	}
	setBody(req, s.r.Body, s.r.ContentLength)
	copyHeader(req.Header, s.r.Header)
	callmeta.Encode(req.Header, s.meta, time.Now())
	resp, err := s.daemon.backend.RoundTrip(req)
	switch {
	case err != nil && !trace.connected():
		s.daemon.checkBackendDown()
		if ctx.Err() != nil {
			return nil, resultcode.CanceledBeforeStart
		}
		return nil, resultcode.BackendDown
	case err != nil:
		return nil, s.backendFailureCode(ctx, resultcode.AttemptLost)
	case classify(resp).Refused():
		_ = resp.Body.Close()
		return nil, resultcode.BackendRefused
	}
	return resp, resultcode.OK
}

// runHead reads what an answer of the backend server says about the run of its call. Statuses promise nothing on this interface,
// and answers bear no signature.
func runHead(resp *http.Response) answerclass.Head {
	return answerclass.Head{
		Success:      resp.StatusCode/100 == 2,
		ServerError:  resp.StatusCode >= http.StatusInternalServerError,
		StatesNotRun: resp.Header.Get(callmeta.HeaderRefused) != "",
		Signed:       true,
	}
}

func classify(resp *http.Response) answerclass.Class {
	class, _ := answerclass.Classify(runHead(resp))
	return class
}

// checkAnswer returns an error if an answer of the backend server contradicts itself about the run of its call, or was not asked for.
func checkAnswer(resp *http.Response) error {
	if class, defect := answerclass.Classify(runHead(resp)); class == answerclass.Broken {
		return answercheck.Contradiction(resp.StatusCode, defect)
	}
	return answercheck.Requested(resp)
}

// backendFailureCode returns the code of a call without a complete answer from the
// backend server. If the backend server does not accept connections either, it is
// considered crashed.
func (s *servedCall) backendFailureCode(ctx context.Context, fallback resultcode.Code) resultcode.Code {
	if code := failureCode(ctx, fallback); code != fallback {
		return code
	}
	if s.daemon.checkBackendDown() {
		return resultcode.BackendCrashed
	}
	return fallback
}

func (s *servedCall) fail(code resultcode.Code, latency time.Duration) {
	d := s.daemon
	d.mu.Lock()
	reply := d.node.Failure(time.Now(), s.meta.CallID, code)
	d.mu.Unlock()
	s.reportOutcome(node.Outcome{Code: code, Latency: latency})
	d.writeRefusal(s.w, reply)
}

func (s *servedCall) reportOutcome(o node.Outcome) {
	s.outcomeReported = true
	d := s.daemon
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dispatch(d.node.Done(time.Now(), s.meta.CallID, o))
	d.removeCall(s.meta.CallID)
}

// checkBackendDown tries to connect to the backend server and reports whether that
// failed. A failure is reported to the node before the failed calls end, so that they
// count as suspects of having caused a crash.
func (d *Daemon) checkBackendDown() bool {
	if d.backendAccepts() {
		return false
	}
	d.mu.Lock()
	newlyDown := !d.node.BackendIsDown()
	d.node.BackendDown(time.Now())
	d.mu.Unlock()
	if newlyDown {
		d.log.Warn("backend server is down")
		d.sendControl()
		d.workers.Go(d.awaitBackend)
	}
	return true
}

func (d *Daemon) backendAccepts() bool {
	ctx, cancel := context.WithTimeout(d.ctx, backendProbeTimeout)
	defer cancel()
	conn, err := d.opts.Network.DialContext(ctx, "tcp", d.set.Backend)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// awaitBackend probes a backend server that is down until it accepts connections.
func (d *Daemon) awaitBackend() {
	ticker := time.NewTicker(backendProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
			if d.backendAccepts() {
				d.mu.Lock()
				d.node.BackendUp()
				d.mu.Unlock()
				d.log.Info("backend server is up")
				return
			}
		}
	}
}

// captureLimit bounds the body of one answer that is kept for repeated sends, in bytes.
func (d *Daemon) captureLimit() int { return min(d.set.Limits.AnswerBytes, maxCapturedAnswer) }

// maxCapturedAnswer is the largest captureLimit, in bytes.
const maxCapturedAnswer = 64 << 10
