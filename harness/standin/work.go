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

	"github.com/hawthornpoint/hawthornpoint/call"
	"github.com/hawthornpoint/hawthornpoint/config"
)

var (
	// errRefused says that a request was refused before it ran.
	errRefused = errors.New("refused")
	// errGone says that nobody can receive an answer any more.
	errGone = errors.New("gone")
)

func (b *Backend) serve(f *life, w http.ResponseWriter, r *http.Request) {
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
		b.serveCall(f, w, r)
	}
}

func (b *Backend) serveCall(f *life, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	kind := match(b.service, r.Method, r.URL.Path)
	if kind == nil {
		http.Error(w, "no such request kind", http.StatusNotFound)
		return
	}
	b.record.arrived()
	if err := b.enter(r.Context(), f); err != nil {
		b.reject(w, err)
		return
	}
	defer b.leave()
	b.run(f, w, r, *kind, body)
}

// enter takes a slot. It returns errRefused, or another error if the caller went
// away or the server crashed.
func (b *Backend) enter(ctx context.Context, f *life) error {
	if b.draining.Load() || b.shedNow() {
		return errRefused
	}
	if !b.slots.TryAcquire(1) {
		if err := b.enqueue(ctx); err != nil {
			return err
		}
	}
	// A slot can become free after ctx has ended, or by a crash that has not
	// canceled all requests yet. A request must not run then.
	if ctx.Err() != nil || f.crashed.Load() {
		b.slots.Release(1)
		return errGone
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

func (b *Backend) leave() {
	b.running.Add(-1)
	b.slots.Release(1)
}

func (b *Backend) reject(w http.ResponseWriter, err error) {
	if !errors.Is(err, errRefused) {
		b.record.canceledInQueue()
		panic(http.ErrAbortHandler)
	}
	b.record.refused()
	w.Header().Set(call.HeaderRefused, "1")
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

func (b *Backend) run(f *life, w http.ResponseWriter, r *http.Request, kind config.Kind, body []byte) {
	begin := time.Now()
	end := b.record.begin(r.Header, kind.Name)
	if b.wantsCrash(r, kind.Name, body) {
		end(outcomeCrashed, time.Since(begin))
		b.crash(f)
		panic(http.ErrAbortHandler)
	}
	answer, err := b.work(r.Context(), f, r.Header, kind, body)
	if r.Context().Err() != nil {
		end(f.abortOutcome(), time.Since(begin))
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

// abortOutcome says why the context of a run ended.
func (f *life) abortOutcome() outcome {
	if f.crashed.Load() {
		return outcomeCrashed
	}
	return outcomeCanceled
}

func (b *Backend) wantsCrash(r *http.Request, kind string, body []byte) bool {
	for _, text := range []string{string(body), strings.ReplaceAll(r.URL.RawQuery, "&", " ")} {
		target := directive(text, "crash")
		if target != "" && (target == b.service.Name || target == b.service.Name+"/"+kind) {
			return true
		}
	}
	return false
}

// work spends the service time, makes the downstream calls and returns the answer.
func (b *Backend) work(ctx context.Context, f *life, h http.Header, kind config.Kind, body []byte) ([]byte, error) {
	if err := b.spend(ctx, f, kind.Name); err != nil {
		return nil, err
	}
	below := make([][]byte, 0, len(kind.Calls))
	for _, t := range kind.Calls {
		answer, err := b.callBelow(ctx, h, t, body)
		if err != nil {
			return nil, errors.Wrapf(err, "downstream %s/%s", t.Service, t.Kind)
		}
		below = append(below, answer)
	}
	return answerFor(b.service.Name, kind.Name, body, below), nil
}

// spend waits for the service time. It stops when ctx ends, and does not return
// before the fault Hang is cleared.
func (b *Backend) spend(ctx context.Context, f *life, kind string) error {
	timer := time.NewTimer(b.serviceTime(f, kind))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	}
	for {
		faults, change := b.currentFaults()
		if !faults.Hang {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-change:
		}
	}
}

func (b *Backend) serviceTime(f *life, kind string) time.Duration {
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
	if b.opts.ColdFactor > 0 && time.Since(f.started) < b.opts.ColdStart {
		d *= b.opts.ColdFactor
	}
	return time.Duration(d)
}

func (b *Backend) callBelow(ctx context.Context, h http.Header, t config.Target, body []byte) ([]byte, error) {
	req, err := b.newCall(ctx, h, t, body)
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

func (b *Backend) newCall(ctx context.Context, h http.Header, t config.Target, body []byte) (*http.Request, error) {
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
	// A body without GetBody keeps the transport from sending a request again by
	// itself, which would count as a second call.
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	if value := h.Get(call.HeaderRequest); value != "" {
		req.Header.Set(call.HeaderRequest, value)
	}
	return req, nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
