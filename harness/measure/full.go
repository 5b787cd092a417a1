package measure

import (
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/call"
	"github.com/hawthornpoint/hawthornpoint/codes"
	"github.com/hawthornpoint/hawthornpoint/core/idempotency"
	"github.com/hawthornpoint/hawthornpoint/core/node"
)

// full is the policy of core/node.
type full struct{ fleet *Fleet }

func (p *full) cancels() bool { return true }

func (p *full) queueLimit(slots int) int { return slots }

func (p *full) now() time.Time { return p.fleet.loop.Now() }

func (p *full) open(h *hop) {
	op := node.OpenRequest{
		Service: h.service, Method: h.kind.Method, Path: samplePath(h.kind.Path),
		Fingerprint: h.send.request.print,
	}
	if h.parent != nil {
		op.Parent = h.parent.attempt.meta.CallID
	} else {
		op.Key = h.send.request.key
	}
	out, step := h.daemon.node.Open(p.now(), op)
	h.out = out
	if out != nil && step.Action != node.Finish {
		h.deadline = h.daemon.at(out.Meta().Deadline, func() { p.deadline(h) })
	}
	p.follow(h, step, false)
}

// follow does what a step says. whole tells whether the last attempt brought a
// whole answer.
func (p *full) follow(h *hop, step node.Step, whole bool) {
	switch step.Action {
	case node.Send:
		h.try(p.fleet.byName[step.Address], step.Meta)
	case node.Wait:
		h.wait = h.daemon.at(step.Until, func() { p.resume(h) })
	case node.Finish:
		reply := step.Reply
		h.finish(result{code: reply.Code, reply: &reply, whole: whole && reply.Code.Kind() == codes.Answered})
	}
}

func (p *full) resume(h *hop) {
	if !h.over && h.attempt == nil {
		p.follow(h, h.daemon.node.Resume(p.now(), h.out), false)
	}
}

func (p *full) ended(h *hop, a *attempt, res result) {
	r := node.AttemptResult{Code: res.code, Reply: res.reply, Latency: p.now().Sub(a.sent)}
	p.follow(h, h.daemon.node.Report(p.now(), h.out, r), res.whole)
}

func (p *full) deadline(h *hop) {
	switch {
	case h.over:
	case h.attempt != nil:
		p.giveUp(h, codes.DeadlineExceeded)
	default:
		h.wait.Cancel()
		p.resume(h)
	}
}

// giveUp closes the attempt under way and reports it.
func (p *full) giveUp(h *hop, code codes.Code) {
	a := h.drop()
	r := node.AttemptResult{Code: code, Latency: p.now().Sub(a.sent)}
	p.follow(h, h.daemon.node.Report(p.now(), h.out, r), false)
}

func (p *full) abandon(h *hop) {
	if h.attempt != nil {
		p.giveUp(h, codes.CanceledWhileRunning)
		return
	}
	p.follow(h, h.daemon.node.Abandon(p.now(), h.out), false)
}

// arrive reads a call. As on the wire, an idempotent call carries its remaining
// time and any other one also the time at which it expires.
func (p *full) arrive(a *attempt) {
	remaining := a.meta.Deadline.Sub(a.sent)
	expires := a.meta.Deadline.Add(call.MaxClockSkew)
	a.meta.Deadline = p.now().Add(remaining)
	if !a.meta.Idempotent && expires.Before(a.meta.Deadline) {
		a.meta.Deadline = expires
	}
	p.consider(a)
}

func (p *full) consider(a *attempt) {
	d := a.to
	arrival := d.node.Arrive(p.now(), a.meta)
	switch arrival.Verdict {
	case node.Run:
		p.run(d.local.add(d, a))
	case node.Queue:
		d.local.add(d, a)
	case node.Join:
		d.local.join(arrival.JoinedCall, a)
	case node.Replay:
		whole := arrival.Answer.Status == http.StatusOK
		p.fleet.respond(a, result{code: codes.Replayed, reply: &arrival.Reply, whole: whole})
	case node.Refuse:
		d.noteRefusal(a.meta.Rank, arrival.Reply.Code)
		p.fleet.respond(a, result{code: arrival.Reply.Code, reply: &arrival.Reply})
	}
	p.events(d, arrival.Events)
}

func (p *full) events(d *Daemon, events []node.Event) {
	for _, e := range events {
		r, ok := d.local.runs[e.CallID]
		switch {
		case !ok:
		case e.Start:
			p.run(r)
		default:
			reply := e.Reply
			d.local.remove(r)
			p.fleet.respond(r.attempt, result{code: reply.Code, reply: &reply})
			p.rejoin(d, e.CallID)
		}
	}
}

// run sends a call to the backend server.
func (p *full) run(r *run) {
	d := r.daemon
	r.deadline = d.at(r.attempt.meta.Deadline, func() {
		reply := d.node.Failure(p.now(), r.attempt.meta.CallID, codes.DeadlineExceeded)
		p.cut(r, codes.DeadlineExceeded)
		p.fleet.respond(r.attempt, result{code: codes.DeadlineExceeded, reply: &reply})
	})
	epoch := d.epoch
	r.end = func(code codes.Code, whole bool) {
		if d.epoch == epoch {
			d.receive(func() { p.answered(r, code, whole) }, func() {})
		}
	}
	d.backend.Submit(r)
}

// answered passes the backend server's answer on.
func (p *full) answered(r *run, code codes.Code, whole bool) {
	d, id := r.daemon, r.attempt.meta.CallID
	if d.local.runs[id] != r {
		return // the deadline came first
	}
	status := http.StatusOK
	if !whole {
		status = http.StatusServiceUnavailable
	}
	var reply call.Reply
	outcome := node.Outcome{Code: code, Latency: p.now().Sub(r.sentAt)}
	if code == codes.OK {
		reply = d.node.Reply(p.now(), id)
		outcome.Answer = &idempotency.Answer{Status: status}
	} else {
		reply = d.node.Failure(p.now(), id, code)
	}
	p.done(r, outcome)
	p.fleet.respond(r.attempt, result{code: code, reply: &reply, whole: whole})
}

// cut cancels a run and ends it at the daemon.
func (p *full) cut(r *run, code codes.Code) {
	latency := p.now().Sub(r.sentAt)
	r.daemon.backend.Cancel(r)
	p.done(r, node.Outcome{Code: code, Latency: latency})
}

func (p *full) done(r *run, o node.Outcome) {
	d, id := r.daemon, r.attempt.meta.CallID
	d.local.remove(r)
	p.events(d, d.node.Done(p.now(), id, o))
	p.rejoin(d, id)
}

// rejoin lets the calls that waited for one that ended ask again.
func (p *full) rejoin(d *Daemon, owner uuid.UUID) {
	for _, a := range d.local.takeJoined(owner) {
		p.consider(a)
	}
}

func (p *full) canceled(a *attempt) {
	d, id := a.to, a.meta.CallID
	r, ok := d.local.runs[id]
	switch {
	case !ok || r.attempt != a:
		d.local.leaveJoin(a)
	case r.state == runNew:
		d.local.remove(r)
		p.events(d, d.node.Cancel(p.now(), id))
		p.rejoin(d, id)
	default:
		p.cut(r, codes.CanceledWhileRunning)
	}
}

func (p *full) killed(d *Daemon) { d.node = nil }
