package daemon

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/core/node"
	"github.com/hawthornpoint/hawthornpoint/operator"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

const (
	// headerTimeout is the header in which a caller sends the time that it waits for
	// the answer, in milliseconds, if that is shorter than patience_ms of the request kind.
	headerTimeout = "Hawthornpoint-Timeout-Ms"
	// tokenPath is the reserved path prefix under which tokens are issued.
	tokenPath = "/-/tokens/"
)

// serveCaller handles a request of a caller. It removes the headers that are not
// accepted from callers.
func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	for _, name := range callmeta.InternalHeaders() {
		r.Header.Del(name)
	}
	if service, ok := strings.CutPrefix(r.URL.Path, tokenPath); ok {
		d.serveToken(w, r, service)
		return
	}
	d.openCall(w, r, uuid.Nil)
}

// serveEgress handles a downstream call of the local backend server. The header
// callmeta.HeaderRequest names the running call that makes it.
func (d *Daemon) serveEgress(w http.ResponseWriter, r *http.Request) {
	m, err := callmeta.Decode(r.Header, time.Now())
	if err != nil {
		d.refuse(w, resultcode.BadRequest)
		return
	}
	d.openCall(w, r, m.CallID)
}

func (d *Daemon) serveToken(w http.ResponseWriter, r *http.Request, service string) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	d.mu.Lock()
	token, code := d.node.IssueToken(time.Now(), service)
	d.mu.Unlock()
	if code != resultcode.OK {
		d.refuse(w, code)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte(token))
}

// openCall opens a call and forwards it until it is answered or refused. parent is
// the ID of the running call that makes it, or uuid.Nil for a request of a caller.
func (d *Daemon) openCall(w http.ResponseWriter, r *http.Request, parent uuid.UUID) {
	service, path, ok := splitPath(r.URL.EscapedPath())
	if !ok {
		d.refuse(w, resultcode.UnknownService)
		return
	}
	reader := newTimeoutReader(w, r.Body, d.set.Limits.ReadTimeout())
	body, code := readBody(reader, r.ContentLength, int64(d.set.Limits.MaxBodyBytes))
	if code != 0 {
		d.refuse(w, code)
		return
	}
	openRequest := node.OpenRequest{
		Parent:      parent,
		Service:     service,
		Method:      r.Method,
		Path:        path,
		Key:         idempotencyKey(r.Header),
		Token:       r.Header.Get(callmeta.HeaderToken),
		Fingerprint: callmeta.Fingerprint(body.prefix, service, r.Method, r.URL.RequestURI()),
		Timeout:     callerTimeout(r.Header),
	}
	d.mu.Lock()
	outgoing, step := d.node.Open(time.Now(), openRequest)
	d.mu.Unlock()
	forwarded := &forwardedCall{daemon: d, w: w, r: r, body: body, outgoing: outgoing}
	forwarded.run(step)
}

// splitPath splits /service/rest into the service and the path that selects the
// request kind.
func splitPath(escapedPath string) (service, path string, ok bool) {
	trimmed, rooted := strings.CutPrefix(escapedPath, "/")
	if !rooted {
		return "", "", false
	}
	service, rest, _ := strings.Cut(trimmed, "/")
	return service, "/" + rest, service != ""
}

func idempotencyKey(h http.Header) string {
	if key := h.Get(callmeta.HeaderKey); key != "" {
		return key
	}
	return strings.Trim(h.Get(callmeta.HeaderIdempotencyKey), `"`)
}

// callerTimeout returns the time that the caller says it waits, at most
// callmeta.MaxRemainingTime. It is 0 if the header is missing or invalid.
func callerTimeout(h http.Header) time.Duration {
	ms, err := strconv.Atoi(h.Get(headerTimeout))
	if err != nil || ms <= 0 {
		return 0
	}
	return min(time.Duration(ms)*time.Millisecond, callmeta.MaxRemainingTime)
}

// forwardedCall is one call that this daemon forwards to upstreams.
type forwardedCall struct {
	daemon   *Daemon
	w        http.ResponseWriter
	r        *http.Request
	body     *body
	outgoing *node.OutgoingCall
}

// run carries out the steps that the node decides, until the call is finished.
func (f *forwardedCall) run(step node.Step) {
	ctx := f.r.Context()
	for {
		switch step.Action {
		case node.Finish:
			f.daemon.writeRefusal(f.w, step.Reply)
			return
		case node.Wait:
			step = f.wait(ctx, step.Until)
		case node.Send:
			next, answered := f.send(ctx, step)
			if answered {
				return
			}
			step = next
		}
	}
}

func (f *forwardedCall) wait(ctx context.Context, until time.Time) node.Step {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	d := f.daemon
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() != nil {
		return d.node.Abandon(time.Now(), f.outgoing)
	}
	return d.node.Resume(time.Now(), f.outgoing)
}

// send makes one attempt. It returns true when the answer was written to the caller,
// else the next step.
func (f *forwardedCall) send(ctx context.Context, step node.Step) (node.Step, bool) {
	ctx, cancel := context.WithDeadline(ctx, step.Meta.Deadline)
	defer cancel()
	started := time.Now()
	answer, result := f.attempt(ctx, step)
	result.Latency = time.Since(started)
	if result.Code.Kind() != resultcode.Answered {
		return f.reportAttempt(result, f.body.endAttempt()), false
	}
	defer answer.close()
	if err := answer.prefetch(); err != nil {
		result.Code = failureCode(ctx, resultcode.AnswerTruncated)
		return f.reportAttempt(result, f.body.endAttempt()), false
	}
	// The result is reported to the node before the answer is written, because the
	// answer's header carries the final result. If an answer longer than the
	// prefetched part breaks off later, the caller's connection is aborted.
	next := f.reportAttempt(result, false)
	if next.Action != node.Finish || next.Reply.Code.Kind() != resultcode.Answered {
		return next, false
	}
	copyHeader(f.w.Header(), answer.response.Header)
	f.w.Header().Del(callmeta.HeaderResult)
	callmeta.EncodeReply(f.w.Header(), next.Reply)
	f.w.WriteHeader(answer.response.StatusCode)
	if err := answer.writeTo(f.w); err != nil {
		f.daemon.counters.Event(operator.EventAnswerCut)
		panic(http.ErrAbortHandler)
	}
	return next, true
}

// reportAttempt reports the result of an attempt to the node and returns the next step.
// lastAttempt is set if the body cannot be sent again; a call that is not finished is
// then abandoned.
func (f *forwardedCall) reportAttempt(result node.AttemptResult, lastAttempt bool) node.Step {
	d := f.daemon
	d.mu.Lock()
	defer d.mu.Unlock()
	step := d.node.Report(time.Now(), f.outgoing, result)
	if lastAttempt && step.Action != node.Finish {
		return d.node.Abandon(time.Now(), f.outgoing)
	}
	return step
}

// attempt forwards the call to one upstream and classifies the response.
func (f *forwardedCall) attempt(ctx context.Context, step node.Step) (*answer, node.AttemptResult) {
	req, trace, err := f.newRequest(ctx, step)
	if err != nil {
		return nil, node.AttemptResult{Code: resultcode.BadRequest}
	}
	resp, err := f.daemon.peers.RoundTrip(req)
	if err != nil {
		if !trace.connected() {
			return nil, node.AttemptResult{Code: resultcode.ConnectFailed}
		}
		return nil, node.AttemptResult{Code: failureCode(ctx, resultcode.AttemptLost)}
	}
	reply, err := callmeta.DecodeReply(resp.Header)
	if err != nil {
		_ = resp.Body.Close()
		return nil, node.AttemptResult{Code: resultcode.AttemptLost}
	}
	if reply.Code.Kind() != resultcode.Answered {
		_ = resp.Body.Close()
		return nil, node.AttemptResult{Code: reply.Code, Reply: &reply}
	}
	return &answer{response: resp}, node.AttemptResult{Code: reply.Code, Reply: &reply}
}

func (f *forwardedCall) newRequest(ctx context.Context, step node.Step) (*http.Request, *connTrace, error) {
	ctx, trace := withConnTrace(ctx)
	req, err := http.NewRequestWithContext(ctx, f.r.Method, "http://"+step.Address+f.r.URL.RequestURI(), nil)
	if err != nil {
		return nil, nil, err
	}
	setBody(req, f.body.reader(), f.body.length)
	copyHeader(req.Header, f.r.Header)
	callmeta.Encode(req.Header, step.Meta, time.Now())
	return req, trace, nil
}

// failureCode returns the code of an attempt that was sent but has no complete answer:
// the deadline or the cancellation if ctx has ended, else fallback.
func failureCode(ctx context.Context, fallback resultcode.Code) resultcode.Code {
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return resultcode.DeadlineExceeded
	case context.Canceled:
		return resultcode.CanceledWhileRunning
	default:
		return fallback
	}
}
