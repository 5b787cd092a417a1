package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/config"
)

var (
	// errRefused is the error of a request that was refused before it ran.
	errRefused = errors.New("refused")
	// errAborted is the error of a request that did not run because its caller
	// disconnected or the server crashed, so that nobody can receive an answer.
	errAborted = errors.New("gone")
)

func (b *Backend) serve(inst *instance, w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		b.serveHealth(w)
	case "/load":
		b.serveLoad(w)
	case "/counts":
		writeJSON(w, b.Counts())
	case "/faults":
		b.serveFaults(w, r)
	default:
		b.serveCall(inst, w, r)
	}
}

func (b *Backend) serveCall(inst *instance, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	kind := matchKind(b.service, r.Method, r.URL.Path)
	if kind == nil {
		http.Error(w, "no such request kind", http.StatusNotFound)
		return
	}
	b.recorder.arrived()
	if err := b.acquireSlot(r.Context(), inst); err != nil {
		b.reject(w, err)
		return
	}
	defer b.releaseSlot()
	b.run(inst, w, r, *kind, body)
}

// acquireSlot waits for a slot. It returns errRefused, or another error if the
// caller disconnected or the server crashed.
func (b *Backend) acquireSlot(ctx context.Context, inst *instance) error {
	if b.draining.Load() || b.shouldShed() {
		return errRefused
	}
	if !b.slots.TryAcquire(1) {
		if err := b.enqueue(ctx); err != nil {
			return err
		}
	}
	// A slot can become free after ctx has ended, or by a crash that has not
	// canceled all requests yet. A request must not run then.
	if ctx.Err() != nil || inst.crashed.Load() {
		b.slots.Release(1)
		return errAborted
	}
	b.running.Add(1)
	return nil
}

func (b *Backend) enqueue(ctx context.Context) error {
	defer b.queued.Add(-1)
	if b.queued.Add(1) > int64(b.opts.QueueLimit) {
		return errRefused
	}
	return b.slots.Acquire(ctx, 1)
}

func (b *Backend) releaseSlot() {
	b.running.Add(-1)
	b.slots.Release(1)
}

func (b *Backend) reject(w http.ResponseWriter, err error) {
	if !errors.Is(err, errRefused) {
		b.recorder.canceledInQueue()
		panic(http.ErrAbortHandler)
	}
	b.recorder.refused()
	w.Header().Set(callmeta.HeaderRefused, "1")
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

func (b *Backend) run(inst *instance, w http.ResponseWriter, r *http.Request, kind config.Kind, body []byte) {
	begin := time.Now()
	end := b.recorder.begin(r.Header, kind.Name)
	if b.crashRequested(r, kind.Name, body) {
		end(outcomeCrashed, time.Since(begin))
		b.crash(inst)
		panic(http.ErrAbortHandler)
	}
	answer, err := b.work(r.Context(), inst, r.Header, kind, body)
	if r.Context().Err() != nil {
		end(inst.abortOutcome(), time.Since(begin))
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		end(outcomeFailed, time.Since(begin))
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	end(outcomeAnswered, time.Since(begin))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write(answer)
}

// abortOutcome returns the outcome of a run whose context has ended.
func (inst *instance) abortOutcome() outcome {
	if inst.crashed.Load() {
		return outcomeCrashed
	}
	return outcomeCanceled
}

func (b *Backend) crashRequested(r *http.Request, kind string, body []byte) bool {
	for _, text := range []string{string(body), strings.ReplaceAll(r.URL.RawQuery, "&", " ")} {
		target := directive(text, "crash")
		if target != "" && (target == b.service.Name || target == b.service.Name+"/"+kind) {
			return true
		}
	}
	return false
}

// work waits for the service time, makes the downstream calls and returns the
// answer.
func (b *Backend) work(ctx context.Context, inst *instance, h http.Header, kind config.Kind, body []byte) ([]byte, error) {
	if err := b.waitServiceTime(ctx, inst, kind.Name); err != nil {
		return nil, err
	}
	downstream := make([][]byte, 0, len(kind.Calls))
	for _, t := range kind.Calls {
		answer, err := b.callDownstream(ctx, h, t, body)
		if err != nil {
			return nil, errors.Wrapf(err, "downstream %s/%s", t.Service, t.Kind)
		}
		downstream = append(downstream, answer)
	}
	return answerFor(b.service.Name, kind.Name, body, downstream), nil
}

// waitServiceTime waits for the service time, and then until the fault Hang is
// cleared. It returns an error when ctx ends first.
func (b *Backend) waitServiceTime(ctx context.Context, inst *instance, kind string) error {
	timer := time.NewTimer(b.serviceTime(inst, kind))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	}
	for {
		faults, changed := b.currentFaults()
		if !faults.Hang {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

func (b *Backend) serviceTime(inst *instance, kind string) time.Duration {
	t, ok := b.opts.Times[kind]
	if !ok {
		t = b.opts.DefaultTime
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	d := float64(t.sample(b.rand))
	if b.faults.SlowFactor > 0 {
		d *= b.faults.SlowFactor
	}
	if b.opts.ColdFactor > 0 && time.Since(inst.started) < b.opts.ColdStart {
		d *= b.opts.ColdFactor
	}
	return time.Duration(d)
}

func (b *Backend) callDownstream(ctx context.Context, h http.Header, t config.Target, body []byte) ([]byte, error) {
	req, err := b.newDownstreamRequest(ctx, h, t, body)
	if err != nil {
		return nil, err
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1024))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return nil, errors.Errorf("status %d", resp.StatusCode)
	}
	return answer, nil
}

func (b *Backend) newDownstreamRequest(ctx context.Context, h http.Header, t config.Target, body []byte) (*http.Request, error) {
	service := b.opts.Config.Service(t.Service)
	if service == nil || service.Kind(t.Kind) == nil {
		return nil, errors.New("not described")
	}
	kind := service.Kind(t.Kind)
	b.mu.Lock()
	url := b.egress + Path(t.Service, *kind, body)
	b.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, kind.Method, url, nil)
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot resend a request by itself, which would
	// count as a second call.
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	if value := h.Get(callmeta.HeaderRequest); value != "" {
		req.Header.Set(callmeta.HeaderRequest, value)
	}
	return req, nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
