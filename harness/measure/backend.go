package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

const (
	// serviceMean is the mean service time of a run without its downstream calls.
	serviceMean = 20 * time.Millisecond
	// serviceSigma is the standard deviation of the logarithm of that time.
	serviceSigma = 0.5
)

// Backend is a fake backend server: runs occupy slots, and others wait in an
// internal queue that is served in the order of arrival.
type Backend struct {
	loop    *Loop
	rand    *rand.Rand
	slots   int
	running int
	// queueLimit is the length of the internal queue at which requests are shed
	// before they run; negative: never.
	queueLimit        int
	queue             []*run
	serviceTimeFactor float64 // factor on the service time; 1 is normal
	down              bool
}

// runState is the state of one run at a backend server.
type runState uint8

const (
	runNew runState = iota
	runQueued
	runRunning
	runOver
)

// run is one call on the server side of an upstream: at its daemon and its backend
// server.
type run struct {
	attempt      *attempt
	daemon       *Daemon
	seq          uint64
	state        runState
	sentAt       time.Time // when the daemon handed it to the backend server
	started      time.Time // when it took a slot
	serviceTimer *Event
	deadline     *Event
	child        *hop
	nextCall     int // index of the next downstream call
	onEnd        func(code resultcode.Code, success bool)
}

// Submit passes a run to the server, which calls r.onEnd when the run ends, unless
// it was canceled.
func (b *Backend) Submit(r *run) {
	r.sentAt = b.loop.Now()
	switch {
	case b.down:
		r.finish(resultcode.BackendDown, false)
	case b.running < b.slots:
		b.start(r)
	case b.queueLimit >= 0 && len(b.queue) >= b.queueLimit:
		r.finish(resultcode.BackendRefused, false)
	default:
		r.state = runQueued
		b.queue = append(b.queue, r)
	}
}

func (b *Backend) start(r *run) {
	b.running++
	r.state, r.started = runRunning, b.loop.Now()
	r.attempt.hop.recordRun(r)
	r.serviceTimer = b.loop.After(b.serviceTime(), func() { b.proceed(r) })
}

// serviceTime draws from a log-normal distribution with the mean serviceMean.
func (b *Backend) serviceTime() time.Duration {
	factor := math.Exp(serviceSigma*b.rand.NormFloat64() - serviceSigma*serviceSigma/2)
	return time.Duration(factor * b.serviceTimeFactor * float64(serviceMean))
}

// proceed makes the next downstream call or ends the run. The slot stays occupied
// during downstream calls.
func (b *Backend) proceed(r *run) {
	calls := r.attempt.hop.kind.Calls
	if r.nextCall == len(calls) {
		b.release(r)
		r.finish(resultcode.OK, true)
		return
	}
	target := calls[r.nextCall]
	r.nextCall++
	h := r.daemon.fleet.newHop(r.attempt.hop.send, target.Service, target.Kind)
	h.parent = r
	h.onEnd = func(res result) { b.childEnded(r, res) }
	r.child = h
	h.openAt(r.daemon)
}

// childEnded continues a run after a downstream call. If that call failed, the run
// ends with a complete answer of status 503, which counts as a failure.
func (b *Backend) childEnded(r *run, res result) {
	r.child = nil
	if r.state != runRunning {
		return
	}
	if res.success {
		b.proceed(r)
		return
	}
	b.release(r)
	r.finish(resultcode.OK, false)
}

func (r *run) finish(code resultcode.Code, success bool) {
	r.state = runOver
	r.onEnd(code, success)
}

// release frees the slot and starts the next queued run.
func (b *Backend) release(r *run) {
	b.running--
	r.attempt.hop.send.addSlotTime(r.daemon.service, b.loop.Now().Sub(r.started))
	for len(b.queue) > 0 && b.running < b.slots {
		next := b.queue[0]
		b.queue = b.queue[1:]
		if next.state == runQueued {
			b.start(next)
		}
	}
}

// Cancel ends a run without calling r.onEnd. It does nothing if the run has ended.
func (b *Backend) Cancel(r *run) {
	state := r.state
	r.state = runOver
	switch state {
	case runRunning:
		r.serviceTimer.Cancel()
		if child := r.child; child != nil {
			r.child = nil
			child.cancel()
		}
		b.release(r)
	case runQueued:
		b.dequeue(r)
	}
}

func (b *Backend) dequeue(r *run) {
	for i, q := range b.queue {
		if q == r {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			return
		}
	}
}

// Kill marks the server as down and cancels the given runs, which must be all that
// run or wait.
func (b *Backend) Kill(runs []*run) {
	b.down = true
	b.queue = nil
	for _, r := range runs {
		b.Cancel(r)
	}
}
