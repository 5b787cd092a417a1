package measure

import (
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/core/idempotency"
	"github.com/hawthornpoint/hawthornpoint/core/node"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// fullPolicy implements the policy "full" with core/node.
type fullPolicy struct{ fleet *Fleet }

func (p *fullPolicy) propagatesCancel() bool { return true }

func (p *fullPolicy) queueLimit(slots int) int { return slots }

func (p *fullPolicy) now() time.Time { return p.fleet.loop.Now() }

func (p *fullPolicy) open(h *hop) {
	op := node.OpenRequest{
		Service: h.service, Method: h.kind.Method, Path: samplePath(h.kind.Path),
		Fingerprint: h.send.request.print,
	}
	if h.parent != nil {
		op.Parent = h.parent.attempt.meta.CallID
	} else {
		op.Key = h.send.request.key
	}
	outgoing, step := h.daemon.node.Open(p.now(), op)
	h.outgoing = outgoing
	if outgoing != nil && step.Action != node.Finish {
		h.deadline = h.daemon.at(outgoing.Meta().Deadline, func() { p.deadline(h) })
	}
	p.execute(h, step, false)
}

// execute carries out a step. success reports whether the last attempt succeeded.
func (p *fullPolicy) execute(h *hop, step node.Step, success bool) {
	switch step.Action {
	case node.Send:
		h.sendAttempt(p.fleet.byName[step.Address], step.Meta)
	case node.Wait:
		h.waitTimer = h.daemon.at(step.Until, func() { p.resume(h) })
	case node.Finish:
		reply := step.Reply
		h.finish(result{code: reply.Code, reply: &reply, success: success && reply.Code.Kind() == resultcode.Answered})
	}
}

func (p *fullPolicy) resume(h *hop) {
	if !h.over && h.attempt == nil {
		p.execute(h, h.daemon.node.Resume(p.now(), h.outgoing), false)
	}
}

func (p *fullPolicy) attemptEnded(h *hop, a *attempt, res result) {
	r := node.AttemptResult{Code: res.code, Reply: res.reply, Latency: p.now().Sub(a.sent)}
	p.execute(h, h.daemon.node.Report(p.now(), h.outgoing, r), res.success)
}

func (p *fullPolicy) deadline(h *hop) {
	switch {
	case h.over:
	case h.attempt != nil:
		p.giveUp(h, resultcode.DeadlineExceeded)
	default:
		h.waitTimer.Cancel()
		p.resume(h)
	}
}

// giveUp cancels the attempt under way and reports it to the node with the given code.
func (p *fullPolicy) giveUp(h *hop, code resultcode.Code) {
	a := h.cancelAttempt()
	r := node.AttemptResult{Code: code, Latency: p.now().Sub(a.sent)}
	p.execute(h, h.daemon.node.Report(p.now(), h.outgoing, r), false)
}

func (p *fullPolicy) abandon(h *hop) {
	if h.attempt != nil {
		p.giveUp(h, resultcode.CanceledWhileRunning)
		return
	}
	p.execute(h, h.daemon.node.Abandon(p.now(), h.outgoing), false)
}

// attemptArrived derives the deadline of a call from what is sent with it, as
// callmeta.Decode does: the remaining time and, for a non-idempotent call, also the time
// at which it expires plus callmeta.MaxClockSkew.
func (p *fullPolicy) attemptArrived(a *attempt) {
	remaining := a.meta.Deadline.Sub(a.sent)
	expires := a.meta.Deadline.Add(callmeta.MaxClockSkew)
	a.meta.Deadline = p.now().Add(remaining)
	if !a.meta.Idempotent && expires.Before(a.meta.Deadline) {
		a.meta.Deadline = expires
	}
	p.admit(a)
}

// admit asks the node about a call and carries out its verdict.
func (p *fullPolicy) admit(a *attempt) {
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
		success := arrival.Answer.Status == http.StatusOK
		p.fleet.respond(a, result{code: resultcode.Replayed, reply: &arrival.Reply, success: success})
	case node.Refuse:
		d.noteRefusal(a.meta.Rank, arrival.Reply.Code)
		p.fleet.respond(a, result{code: arrival.Reply.Code, reply: &arrival.Reply})
	}
	p.events(d, arrival.Events)
}

// events starts or refuses the queued calls that the node decided about.
func (p *fullPolicy) events(d *Daemon, events []node.Event) {
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
			p.readmitJoined(d, e.CallID)
		}
	}
}

// run sends a call to the backend server and cancels it at its deadline.
func (p *fullPolicy) run(r *run) {
	d := r.daemon
	r.deadline = d.at(r.attempt.meta.Deadline, func() {
		reply := d.node.Failure(p.now(), r.attempt.meta.CallID, resultcode.DeadlineExceeded)
		p.cancelRun(r, resultcode.DeadlineExceeded)
		p.fleet.respond(r.attempt, result{code: resultcode.DeadlineExceeded, reply: &reply})
	})
	epoch := d.epoch
	r.onEnd = func(code resultcode.Code, success bool) {
		if d.epoch == epoch {
			d.receive(func() { p.backendAnswered(r, code, success) }, func() {})
		}
	}
	d.backend.Submit(r)
}

// backendAnswered forwards the result of the backend server.
func (p *fullPolicy) backendAnswered(r *run, code resultcode.Code, success bool) {
	d, id := r.daemon, r.attempt.meta.CallID
	if d.local.runs[id] != r {
		return // already ended at its deadline
	}
	status := http.StatusOK
	if !success {
		status = http.StatusServiceUnavailable
	}
	var reply callmeta.Reply
	outcome := node.Outcome{Code: code, Latency: p.now().Sub(r.sentAt)}
	if code == resultcode.OK {
		reply = d.node.Reply(p.now(), id)
		outcome.Answer = &idempotency.Answer{Status: status}
	} else {
		reply = d.node.Failure(p.now(), id, code)
	}
	p.finishRun(r, outcome)
	p.fleet.respond(r.attempt, result{code: code, reply: &reply, success: success})
}

// cancelRun cancels a run at the backend server and ends it at the node.
func (p *fullPolicy) cancelRun(r *run, code resultcode.Code) {
	latency := p.now().Sub(r.sentAt)
	r.daemon.backend.Cancel(r)
	p.finishRun(r, node.Outcome{Code: code, Latency: latency})
}

func (p *fullPolicy) finishRun(r *run, o node.Outcome) {
	d, id := r.daemon, r.attempt.meta.CallID
	d.local.remove(r)
	p.events(d, d.node.Done(p.now(), id, o))
	p.readmitJoined(d, id)
}

// readmitJoined asks the node again about the calls that waited for one that has ended.
func (p *fullPolicy) readmitJoined(d *Daemon, owner uuid.UUID) {
	for _, a := range d.local.takeJoined(owner) {
		p.admit(a)
	}
}

func (p *fullPolicy) attemptCanceled(a *attempt) {
	d, id := a.to, a.meta.CallID
	r, ok := d.local.runs[id]
	switch {
	case !ok || r.attempt != a:
		d.local.leaveJoin(a)
	case r.state == runNew:
		d.local.remove(r)
		p.events(d, d.node.Cancel(p.now(), id))
		p.readmitJoined(d, id)
	default:
		p.cancelRun(r, resultcode.CanceledWhileRunning)
	}
}

func (p *fullPolicy) daemonKilled(d *Daemon) { d.node = nil }
