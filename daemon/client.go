package daemon

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/call"
	"github.com/hawthornpoint/hawthornpoint/codes"
	"github.com/hawthornpoint/hawthornpoint/core/node"
	"github.com/hawthornpoint/hawthornpoint/operator"
)

const (
	// headerTimeout lets a caller shorten the described patience, in milliseconds.
	headerTimeout = "Hawthornpoint-Timeout-Ms"
	// tokenPath is the reserved first path segment under which tokens are issued.
	tokenPath = "/-/tokens/"
)

// serveCaller handles a request of a caller. Metadata headers are not accepted.
func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	for _, name := range call.Internal() {
		r.Header.Del(name)
	}
	if service, ok := strings.CutPrefix(r.URL.Path, tokenPath); ok {
		d.serveToken(w, r, service)
		return
	}
	d.openCall(w, r, uuid.Nil)
}

// serveEgress handles a downstream call of the local backend server. Its request
// header names the run that makes the call.
func (d *Daemon) serveEgress(w http.ResponseWriter, r *http.Request) {
	m, err := call.Decode(r.Header, time.Now())
	if err != nil {
		d.refuse(w, codes.BadRequest)
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
	if code != codes.OK {
		d.refuse(w, code)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte(token))
}

// openCall opens a call and forwards it until it has an answer or a refusal.
func (d *Daemon) openCall(w http.ResponseWriter, r *http.Request, parent uuid.UUID) {
	service, path, ok := splitPath(r.URL.EscapedPath())
	if !ok {
		d.refuse(w, codes.UnknownService)
		return
	}
	timed := newTimedBody(w, r.Body, d.set.Limits.ReadTimeout())
	body, code := readBody(timed, r.ContentLength, int64(d.set.Limits.MaxBodyBytes))
	if code != 0 {
		d.refuse(w, code)
		return
	}
	opening := node.OpenRequest{
		Parent:      parent,
		Service:     service,
		Method:      r.Method,
		Path:        path,
		Key:         idempotencyKey(r.Header),
		Token:       r.Header.Get(call.HeaderToken),
		Fingerprint: call.Fingerprint(service, r.Method, r.URL.RequestURI(), body.prefix),
		Timeout:     patience(r.Header),
	}
	d.mu.Lock()
	out, step := d.node.Open(time.Now(), opening)
	d.mu.Unlock()
	f := &forwarding{daemon: d, w: w, r: r, body: body, out: out}
	f.run(step)
}

// splitPath separates /service/rest into its service and the path of the kind.
func splitPath(p string) (service, path string, ok bool) {
	trimmed, rooted := strings.CutPrefix(p, "/")
	if !rooted {
		return "", "", false
	}
	service, rest, _ := strings.Cut(trimmed, "/")
	return service, "/" + rest, service != ""
}

func idempotencyKey(h http.Header) string {
	if key := h.Get(call.HeaderKey); key != "" {
		return key
	}
	return strings.Trim(h.Get(call.HeaderIdempotencyKey), `"`)
}

func patience(h http.Header) time.Duration {
	ms, err := strconv.Atoi(h.Get(headerTimeout))
	if err != nil || ms <= 0 {
		return 0
	}
	return min(time.Duration(ms)*time.Millisecond, call.MaxRemaining)
}

// forwarding is one call on its way through the client side.
type forwarding struct {
	daemon *Daemon
	w      http.ResponseWriter
	r      *http.Request
	body   *body
	out    *node.OutgoingCall
}

// run follows the node's steps until the call is finished.
func (f *forwarding) run(step node.Step) {
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

func (f *forwarding) wait(ctx context.Context, until time.Time) node.Step {
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
		return d.node.Abandon(time.Now(), f.out)
	}
	return d.node.Resume(time.Now(), f.out)
}

// send makes one attempt. It reports true when the caller has its answer.
func (f *forwarding) send(ctx context.Context, step node.Step) (node.Step, bool) {
	ctx, cancel := context.WithDeadline(ctx, step.Meta.Deadline)
	defer cancel()
	started := time.Now()
	answer, result := f.attempt(ctx, step)
	result.Latency = time.Since(started)
	if result.Code.Kind() != codes.Answered {
		return f.report(result, f.body.spent()), false
	}
	defer answer.close()
	if err := answer.prefetch(); err != nil {
		result.Code = lostCode(ctx, codes.AnswerTruncated)
		return f.report(result, f.body.spent()), false
	}
	// The node is told before the answer is written, so that the answer carries
	// the final result. A larger answer that breaks off later aborts the
	// caller's connection.
	next := f.report(result, false)
	if next.Action != node.Finish || next.Reply.Code.Kind() != codes.Answered {
		return next, false
	}
	copyHeader(f.w.Header(), answer.response.Header)
	f.w.Header().Del(call.HeaderResult)
	call.EncodeReply(f.w.Header(), next.Reply)
	f.w.WriteHeader(answer.response.StatusCode)
	if err := answer.writeTo(f.w); err != nil {
		f.daemon.counters.Event(operator.EventAnswerCut)
		panic(http.ErrAbortHandler)
	}
	return next, true
}

func (f *forwarding) report(result node.AttemptResult, final bool) node.Step {
	d := f.daemon
	d.mu.Lock()
	defer d.mu.Unlock()
	step := d.node.Report(time.Now(), f.out, result)
	if final && step.Action != node.Finish {
		return d.node.Abandon(time.Now(), f.out)
	}
	return step
}

// attempt forwards the call to one upstream and classifies what came back.
func (f *forwarding) attempt(ctx context.Context, step node.Step) (*answer, node.AttemptResult) {
	req, trace, err := f.request(ctx, step)
	if err != nil {
		return nil, node.AttemptResult{Code: codes.BadRequest}
	}
	resp, err := f.daemon.peers.RoundTrip(req)
	if err != nil {
		if !trace.connected() {
			return nil, node.AttemptResult{Code: codes.ConnectFailed}
		}
		return nil, node.AttemptResult{Code: lostCode(ctx, codes.AttemptLost)}
	}
	reply, err := call.DecodeReply(resp.Header)
	if err != nil {
		_ = resp.Body.Close()
		return nil, node.AttemptResult{Code: codes.AttemptLost}
	}
	if reply.Code.Kind() != codes.Answered {
		_ = resp.Body.Close()
		return nil, node.AttemptResult{Code: reply.Code, Reply: &reply}
	}
	return &answer{response: resp}, node.AttemptResult{Code: reply.Code, Reply: &reply}
}

func (f *forwarding) request(ctx context.Context, step node.Step) (*http.Request, *connTrace, error) {
	ctx, trace := withConnTrace(ctx)
	req, err := http.NewRequestWithContext(ctx, f.r.Method, "http://"+step.Address+f.r.URL.RequestURI(), nil)
	if err != nil {
		return nil, nil, err
	}
	setBody(req, f.body.reader(), f.body.length)
	copyHeader(req.Header, f.r.Header)
	call.Encode(req.Header, step.Meta, time.Now())
	return req, trace, nil
}

// lostCode says why an attempt that was sent has no complete answer.
func lostCode(ctx context.Context, otherwise codes.Code) codes.Code {
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return codes.DeadlineExceeded
	case context.Canceled:
		return codes.CanceledWhileRunning
	default:
		return otherwise
	}
}
