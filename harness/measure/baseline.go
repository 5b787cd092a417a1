package measure

import (
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// staticRetries is the maximum number of retries of each hop under the policy "static".
const staticRetries = 2

// baselinePolicy implements the policies "none" and "static": calls go to random
// upstreams, and each hop waits for the patience of its kind, regardless of the time
// that its caller has left.
type baselinePolicy struct {
	fleet   *Fleet
	rand    *rand.Rand
	retries int  // per hop, on any failure
	limited bool // a backend server queues as many calls as it has slots, and refuses others
}

func (p *baselinePolicy) propagatesCancel() bool { return false }

func (p *baselinePolicy) queueLimit(slots int) int {
	if p.limited {
		return slots
	}
	return -1
}

func (p *baselinePolicy) daemonStarted(*Daemon) {}

func (p *baselinePolicy) daemonKilled(*Daemon) {}

func (p *baselinePolicy) abandon(*hop) {}

func (p *baselinePolicy) attemptCanceled(*attempt) {}

func (p *baselinePolicy) open(h *hop) {
	h.waitTimer = h.daemon.at(p.fleet.loop.Now().Add(patience(h)), func() {
		if !h.over {
			h.cancelAttempt()
			h.finish(result{code: resultcode.DeadlineExceeded})
		}
	})
	p.send(h)
}

func patience(h *hop) time.Duration { return time.Duration(h.kind.PatienceMS) * time.Millisecond }

func (p *baselinePolicy) send(h *hop) {
	up := p.fleet.upstreams(h.service)
	h.sendAttempt(up[p.rand.IntN(len(up))], callmeta.Meta{CallID: p.newID()})
}

func (p *baselinePolicy) newID() uuid.UUID { return randomID(p.rand) }

func (p *baselinePolicy) attemptEnded(h *hop, _ *attempt, res result) {
	if !res.success && h.attempts <= p.retries {
		p.send(h)
		return
	}
	h.finish(res)
}

func (p *baselinePolicy) attemptArrived(a *attempt) {
	d := a.to
	r := d.local.add(d, a)
	epoch := d.epoch
	r.onEnd = func(code resultcode.Code, success bool) {
		if d.epoch != epoch {
			return
		}
		d.receive(func() {
			d.local.remove(r)
			p.fleet.respond(a, result{code: code, success: success})
		}, func() {})
	}
	d.backend.Submit(r)
}
