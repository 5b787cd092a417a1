package measure

import (
	"time"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/node"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// result is how a hop or one of its attempts ended.
type result struct {
	code    resultcode.Code
	reply   *callmeta.Reply // nil if no reply came
	success bool            // complete answer with status 2xx
}

// hop is one call that a caller or a backend server makes through a daemon,
// including all its attempts.
type hop struct {
	fleet          *Fleet
	seq            uint64
	send           *send
	service        string
	kind           *config.Kind
	parent         *run // nil for a caller's request
	daemon         *Daemon
	outgoing       *node.OutgoingCall
	attempt        *attempt // the attempt under way, or nil
	deadline       *Event
	waitTimer      *Event
	attempts       int
	runs           int
	reportedNotRun bool // the call ended with a code of kind NotRun
	over           bool
	onEnd          func(result)
}

// attempt is one try of a hop at one upstream.
type attempt struct {
	hop  *hop
	to   *Daemon
	meta callmeta.Meta
	sent time.Time
	over bool
}

func (f *Fleet) newHop(s *send, service, kind string) *hop {
	f.seq++
	return &hop{fleet: f, seq: f.seq, send: s, service: service, kind: f.kind(service, kind)}
}

// openAt passes the call to a daemon. If the daemon is down, the call fails with
// ConnectFailed.
func (h *hop) openAt(d *Daemon) {
	h.daemon = d
	d.receive(func() {
		if h.over {
			return
		}
		d.hops[h.seq] = h
		h.fleet.policy.open(h)
	}, func() { h.finish(result{code: resultcode.ConnectFailed}) })
}

// sendAttempt sends the next attempt.
func (h *hop) sendAttempt(to *Daemon, meta callmeta.Meta) {
	f := h.fleet
	h.attempts++
	if h.attempts > 1 {
		h.send.retries++
	}
	a := &attempt{hop: h, to: to, meta: meta, sent: f.loop.Now()}
	h.attempt = a
	f.net.Send(h.daemon.zone, to.zone, func() {
		to.receive(func() { f.policy.attemptArrived(a) }, func() { f.respond(a, result{code: resultcode.ConnectFailed}) })
	})
}

// respond sends the result of an attempt to the daemon that made it.
func (f *Fleet) respond(a *attempt, res result) {
	from := a.hop.daemon
	f.net.Send(a.to.zone, from.zone, func() {
		from.receive(func() {
			if a.over || a.hop.over {
				return
			}
			a.over, a.hop.attempt = true, nil
			f.policy.attemptEnded(a.hop, a, res)
		}, func() {})
	})
}

// cancelAttempt closes the connection of the attempt under way, which cancels it at
// the upstream. It returns that attempt, or nil if there is none.
func (h *hop) cancelAttempt() *attempt {
	a := h.attempt
	if a == nil {
		return nil
	}
	a.over, h.attempt = true, nil
	h.fleet.net.Send(h.daemon.zone, a.to.zone, func() {
		a.to.receive(func() { h.fleet.policy.attemptCanceled(a) }, func() {})
	})
	return a
}

// cancel notifies the daemon that the caller or backend server that made the call no
// longer waits for it.
func (h *hop) cancel() {
	h.daemon.receive(func() {
		if !h.over && h.fleet.policy.propagatesCancel() {
			h.fleet.policy.abandon(h)
		}
	}, func() {})
}

// finish ends the call with a result, unless it has ended, and checks a result of
// kind NotRun against the runs.
func (h *hop) finish(res result) {
	if h.over {
		return
	}
	h.close()
	if res.code.Kind() == resultcode.NotRun {
		h.reportNotRun()
	}
	if h.onEnd != nil {
		h.onEnd(res)
	}
}

func (h *hop) close() {
	h.over = true
	h.deadline.Cancel()
	h.waitTimer.Cancel()
	delete(h.daemon.hops, h.seq)
}

// reportNotRun records that the call is reported as not run and checks that it did
// not run.
func (h *hop) reportNotRun() {
	h.reportedNotRun = true
	ran := h.runs > 0
	if h.parent == nil && !h.kind.Idempotent {
		ran = h.send.request.runs > 0
		h.send.request.reportedNotRunUpTo = h.send.number
	}
	if ran {
		h.fleet.traceBrokenGuarantee("told_not_run", h)
		h.fleet.figures.ToldNotRunButRan++
	}
}

// recordRun records the start of a run and checks that it is permitted: no second
// run of a non-idempotent call, and no run of a call reported as not run.
func (h *hop) recordRun(r *run) {
	h.runs++
	runs, reportedNotRun := h.runs, h.reportedNotRun
	if h.parent == nil && !h.kind.Idempotent {
		q := h.send.request
		q.runs++
		runs, reportedNotRun = q.runs, reportedNotRun || h.send.number <= q.reportedNotRunUpTo
	}
	if !h.kind.Idempotent && runs > 1 {
		h.fleet.traceBrokenGuarantee("doubled", h)
		h.fleet.figures.Doubled++
	}
	if reportedNotRun {
		h.fleet.traceBrokenGuarantee("ran_after_told", h)
		h.fleet.figures.ToldNotRunButRan++
	}
	r.daemon.noteStart(h)
}
