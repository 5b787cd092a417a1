package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/call"
	"github.com/hawthornpoint/hawthornpoint/codes"
	"github.com/hawthornpoint/hawthornpoint/core/node"
)

const (
	// backendProbeInterval is how often a backend server that is down is tried.
	backendProbeInterval = 50 * time.Millisecond
	// backendProbeTimeout bounds one try.
	backendProbeTimeout = 250 * time.Millisecond
)

// localCall connects the goroutine of a call on the server side with the node.
type localCall struct {
	// events receives the one event of a queued call.
	events chan node.Event
	// ended is closed when the call has ended.
	ended chan struct{}
}

// dispatch passes events to the goroutines that wait for them. d.mu is held.
func (d *Daemon) dispatch(events []node.Event) {
	for _, e := range events {
		c, ok := d.calls[e.CallID]
		if !ok {
			continue
		}
		c.events <- e
		if !e.Start {
			d.forget(e.CallID)
		}
	}
}

// forget removes a call that has ended. d.mu is held.
func (d *Daemon) forget(id uuid.UUID) {
	if c, ok := d.calls[id]; ok {
		close(c.ended)
		delete(d.calls, id)
	}
}

// servePeer handles a call that a daemon forwards to the local backend server.
func (d *Daemon) servePeer(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == warmPath {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	m, err := call.Decode(r.Header, time.Now())
	if err != nil {
		d.refuse(w, codes.BadRequest)
		return
	}
	if r.ContentLength > int64(d.set.Limits.MaxBodyBytes) {
		d.refuse(w, codes.BodyTooLarge)
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, int64(d.set.Limits.MaxBodyBytes))
	s := &serving{daemon: d, w: w, r: r, meta: m}
	s.run()
}

// serving is one call on the server side.
type serving struct {
	daemon *Daemon
	w      http.ResponseWriter
	r      *http.Request
	meta   call.Meta
	ended  bool // the node was told the outcome of the run
}

func (s *serving) run() {
	ctx, cancel := context.WithDeadline(s.r.Context(), s.meta.Deadline)
	defer cancel()
	for {
		arrival, c, joined := s.arrive()
		switch arrival.Verdict {
		case node.Run:
			s.forward(ctx)
			return
		case node.Queue:
			s.queue(ctx, c)
			return
		case node.Join:
			if !s.join(ctx, joined) {
				return
			}
		case node.Replay:
			s.replay(arrival)
			return
		default:
			s.daemon.writeRefusal(s.w, arrival.Reply)
			return
		}
	}
}

// arrive asks the node. For a call that may run it registers the channel on
// which the node's event arrives, before another goroutine can cause one.
func (s *serving) arrive() (node.ArrivalDecision, *localCall, <-chan struct{}) {
	d := s.daemon
	d.mu.Lock()
	defer d.mu.Unlock()
	arrival := d.node.Arrive(time.Now(), s.meta)
	d.dispatch(arrival.Events)
	switch arrival.Verdict {
	case node.Run, node.Queue:
		c := &localCall{events: make(chan node.Event, 1), ended: make(chan struct{})}
		d.calls[s.meta.CallID] = c
		return arrival, c, nil
	case node.Join:
		if c, ok := d.calls[arrival.JoinedCall]; ok {
			return arrival, nil, c.ended
		}
		closed := make(chan struct{})
		close(closed)
		return arrival, nil, closed
	default:
		return arrival, nil, nil
	}
}

// queue waits until the call may start, is refused, or nobody waits any more.
func (s *serving) queue(ctx context.Context, c *localCall) {
	select {
	case e := <-c.events:
		s.handle(ctx, e)
	case <-ctx.Done():
		s.leaveQueue(ctx, c)
	}
}

func (s *serving) handle(ctx context.Context, e node.Event) {
	if !e.Start {
		s.daemon.writeRefusal(s.w, e.Reply)
		return
	}
	s.forward(ctx)
}

// leaveQueue cancels a queued call. The node may have started it meanwhile; then
// its event is already there.
func (s *serving) leaveQueue(ctx context.Context, c *localCall) {
	d := s.daemon
	d.mu.Lock()
	select {
	case e := <-c.events:
		d.mu.Unlock()
		s.handle(ctx, e)
		return
	default:
	}
	d.dispatch(d.node.Cancel(time.Now(), s.meta.CallID))
	d.forget(s.meta.CallID)
	reply := d.node.Refusal(codes.CanceledBeforeStart)
	d.mu.Unlock()
	d.writeRefusal(s.w, reply)
}

// join waits for the call that runs under the same key or token. It reports
// whether the node should be asked again.
func (s *serving) join(ctx context.Context, ended <-chan struct{}) bool {
	select {
	case <-ended:
		return true
	case <-ctx.Done():
		d := s.daemon
		d.mu.Lock()
		reply := d.node.Refusal(lostCode(ctx, codes.DeadlineExceeded))
		d.mu.Unlock()
		d.writeRefusal(s.w, reply)
		return false
	}
}

func (s *serving) replay(arrival node.ArrivalDecision) {
	copyHeader(s.w.Header(), arrival.Answer.Header)
	call.EncodeReply(s.w.Header(), arrival.Reply)
	s.w.WriteHeader(arrival.Answer.Status)
	_, _ = s.w.Write(arrival.Answer.Body)
}

// forward sends the call to the local backend server and its answer back.
func (s *serving) forward(ctx context.Context) {
	ctx, cancel := s.runContext(ctx)
	defer cancel()
	defer s.endAfterPanic()
	started := time.Now()
	resp, code := s.roundTrip(ctx)
	if code != codes.OK {
		s.fail(code, time.Since(started))
		return
	}
	a := &answer{response: resp, capture: s.identified(), captureLimit: s.daemon.captureLimit()}
	defer a.close()
	if err := a.prefetch(); err != nil {
		s.fail(s.brokenCode(ctx, codes.AnswerTruncated), time.Since(started))
		return
	}
	s.writeHeader(resp)
	err := a.writeTo(s.w)
	outcome := node.Outcome{Code: codes.OK, Latency: time.Since(started)}
	switch {
	case a.complete:
		// The backend server's answer is complete even when this client is gone.
		outcome.Answer = a.captured()
	case err != nil:
		outcome.Code = s.brokenCode(ctx, codes.AnswerTruncated)
	}
	s.done(outcome)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// endAfterPanic ends a run whose handler panicked. It would hold its slot for ever,
// and re-sends would wait for it.
func (s *serving) endAfterPanic() {
	if !s.ended {
		s.done(node.Outcome{Code: codes.AttemptLost})
	}
}

// runContext keeps the run of an identified call going when its client goes
// away: its answer is recorded, so that a re-send finds it instead of an outcome
// that nobody knows. The deadline still ends the run.
func (s *serving) runContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if !s.identified() {
		return ctx, func() {}
	}
	return context.WithDeadline(context.WithoutCancel(ctx), s.meta.Deadline)
}

func (s *serving) identified() bool {
	return !s.meta.Idempotent && (s.meta.Key != "" || s.meta.Token != "")
}

func (s *serving) writeHeader(resp *http.Response) {
	d := s.daemon
	d.mu.Lock()
	reply := d.node.Reply(time.Now(), s.meta.CallID)
	d.mu.Unlock()
	copyHeader(s.w.Header(), resp.Header)
	call.EncodeReply(s.w.Header(), reply)
	s.w.WriteHeader(resp.StatusCode)
}

func (s *serving) roundTrip(ctx context.Context) (*http.Response, codes.Code) {
	ctx, trace := withConnTrace(ctx)
	req, err := http.NewRequestWithContext(ctx, s.r.Method, "http://"+s.daemon.set.Backend+s.r.URL.RequestURI(), nil)
	if err != nil {
		return nil, codes.BadRequest
	}
	setBody(req, s.r.Body, s.r.ContentLength)
	copyHeader(req.Header, s.r.Header)
	call.Encode(req.Header, s.meta, time.Now())
	resp, err := s.daemon.backend.RoundTrip(req)
	switch {
	case err != nil && !trace.connected():
		s.daemon.backendFailed()
		if ctx.Err() != nil {
			return nil, codes.CanceledBeforeStart
		}
		return nil, codes.BackendDown
	case err != nil:
		return nil, s.brokenCode(ctx, codes.AttemptLost)
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(call.HeaderRefused) != "":
		_ = resp.Body.Close()
		return nil, codes.BackendRefused
	case resp.StatusCode < http.StatusOK:
		// No answer that net/http can pass on; 101 would end HTTP on the connection.
		_ = resp.Body.Close()
		return nil, codes.AttemptLost
	}
	return resp, codes.OK
}

// brokenCode finds out why the backend server's answer is missing. When the
// backend server does not accept connections either, it is taken to have died.
func (s *serving) brokenCode(ctx context.Context, otherwise codes.Code) codes.Code {
	if code := lostCode(ctx, otherwise); code != otherwise {
		return code
	}
	if s.daemon.backendFailed() {
		return codes.BackendCrashed
	}
	return otherwise
}

func (s *serving) fail(code codes.Code, latency time.Duration) {
	d := s.daemon
	d.mu.Lock()
	reply := d.node.Failure(time.Now(), s.meta.CallID, code)
	d.mu.Unlock()
	s.done(node.Outcome{Code: code, Latency: latency})
	d.writeRefusal(s.w, reply)
}

func (s *serving) done(o node.Outcome) {
	s.ended = true
	d := s.daemon
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dispatch(d.node.Done(time.Now(), s.meta.CallID, o))
	d.forget(s.meta.CallID)
}

// backendFailed tries to connect to the backend server. When that fails, the
// node is told before the broken calls end, so that they count as suspects.
func (d *Daemon) backendFailed() bool {
	if d.backendAccepts() {
		return false
	}
	d.mu.Lock()
	first := !d.node.BackendIsDown()
	d.node.BackendDown(time.Now())
	d.mu.Unlock()
	if first {
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

// captureLimit returns the bytes of one answer that may be kept.
func (d *Daemon) captureLimit() int { return min(d.set.Limits.AnswerBytes, maxCapturedAnswer) }

// maxCapturedAnswer bounds the answer of one identified call that is kept, in bytes.
const maxCapturedAnswer = 64 << 10
