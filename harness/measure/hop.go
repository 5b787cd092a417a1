package measure

import (
	"time"

	"github.com/hawthornpoint/hawthornpoint/call"
	"github.com/hawthornpoint/hawthornpoint/codes"
	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/node"
)

// result is how a hop or one of its attempts ended.
type result struct {
	code  codes.Code
	reply *call.Reply // nil if no reply came
	whole bool        // 2xx and complete
}

// hop is one call that a caller or a backend server makes through a daemon, over
// all its attempts.
type hop struct {
	fleet    *Fleet
	seq      uint64
	send     *send
	service  string
	kind     *config.Kind
	parent   *run // nil for a caller's request
	daemon   *Daemon
	out      *node.OutgoingCall
	attempt  *attempt // under way
	deadline *Event
	wait     *Event
	attempts int
	runs     int
	told     bool // it was told that it was not run
	over     bool
	end      func(result)
}

// attempt is one send of a hop to an upstream.
type attempt struct {
	hop  *hop
	to   *Daemon
	meta call.Meta
	sent time.Time
	over bool
}

func (f *Fleet) newHop(s *send, service, kind string) *hop {
	f.seq++
	return &hop{fleet: f, seq: f.seq, send: s, service: service, kind: f.kind(service, kind)}
}

// openAt passes the call to a daemon; a daemon that is dead fails it.
func (h *hop) openAt(d *Daemon) {
	h.daemon = d
	d.receive(func() {
		if h.over {
			return
		}
		d.hops[h.seq] = h
		h.fleet.policy.open(h)
	}, func() { h.finish(result{code: codes.ConnectFailed}) })
}

// try sends the next attempt.
func (h *hop) try(to *Daemon, meta call.Meta) {
	f := h.fleet
	h.attempts++
	if h.attempts > 1 {
		h.send.retries++
	}
	a := &attempt{hop: h, to: to, meta: meta, sent: f.loop.Now()}
	h.attempt = a
	f.net.Send(h.daemon.zone, to.zone, func() {
		to.receive(func() { f.policy.arrive(a) }, func() { f.respond(a, result{code: codes.ConnectFailed}) })
	})
}

// respond carries the end of an attempt back to the daemon that sent it.
func (f *Fleet) respond(a *attempt, res result) {
	from := a.hop.daemon
	f.net.Send(a.to.zone, from.zone, func() {
		from.receive(func() {
			if a.over || a.hop.over {
				return
			}
			a.over, a.hop.attempt = true, nil
			f.policy.ended(a.hop, a, res)
		}, func() {})
	})
}

// drop closes the connection of the attempt under way, which cancels it.
func (h *hop) drop() *attempt {
	a := h.attempt
	if a == nil {
		return nil
	}
	a.over, h.attempt = true, nil
	h.fleet.net.Send(h.daemon.zone, a.to.zone, func() {
		a.to.receive(func() { h.fleet.policy.canceled(a) }, func() {})
	})
	return a
}

// cancel tells the daemon that whoever made the call has gone away.
func (h *hop) cancel() {
	h.daemon.receive(func() {
		if !h.over && h.fleet.policy.cancels() {
			h.fleet.policy.abandon(h)
		}
	}, func() {})
}

// finish ends the call once and checks what its caller is told.
func (h *hop) finish(res result) {
	if h.over {
		return
	}
	h.close()
	if res.code.Kind() == codes.NotRun {
		h.toldNotRun()
	}
	if h.end != nil {
		h.end(res)
	}
}

func (h *hop) close() {
	h.over = true
	h.deadline.Cancel()
	h.wait.Cancel()
	delete(h.daemon.hops, h.seq)
}

func (h *hop) toldNotRun() {
	h.told = true
	ran := h.runs > 0
	if h.parent == nil && !h.kind.Idempotent {
		ran = h.send.request.runs > 0
		h.send.request.toldUpTo = h.send.number
	}
	if ran {
		h.fleet.found("told_not_run", h)
		h.fleet.figures.ToldNotRunButRan++
	}
}

// ran records the start of a run and checks that it may run.
func (h *hop) ran(r *run) {
	h.runs++
	runs, told := h.runs, h.told
	if h.parent == nil && !h.kind.Idempotent {
		q := h.send.request
		q.runs++
		runs, told = q.runs, told || h.send.number <= q.toldUpTo
	}
	if !h.kind.Idempotent && runs > 1 {
		h.fleet.found("doubled", h)
		h.fleet.figures.Doubled++
	}
	if told {
		h.fleet.found("ran_after_told", h)
		h.fleet.figures.ToldNotRunButRan++
	}
	r.daemon.noteStart(h)
}
