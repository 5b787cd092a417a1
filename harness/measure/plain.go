package measure

import (
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/call"
	"github.com/hawthornpoint/hawthornpoint/codes"
)

// staticRetries is how often each hop of the policy "static" retries.
const staticRetries = 2

// plain is the policy of both baselines: calls go to random upstreams, and each
// hop waits for the patience of its kind, whatever its caller has left.
type plain struct {
	fleet   *Fleet
	rand    *rand.Rand
	retries int  // per hop, on any failure
	limited bool // the queue before a backend server is as long as its slots
}

func (p *plain) cancels() bool { return false }

func (p *plain) queueLimit(slots int) int {
	if p.limited {
		return slots
	}
	return -1
}

func (p *plain) started(*Daemon) {}

func (p *plain) killed(*Daemon) {}

func (p *plain) abandon(*hop) {}

func (p *plain) canceled(*attempt) {}

func (p *plain) open(h *hop) {
	h.wait = h.daemon.at(p.fleet.loop.Now().Add(patience(h)), func() {
		if !h.over {
			h.drop()
			h.finish(result{code: codes.DeadlineExceeded})
		}
	})
	p.send(h)
}

func patience(h *hop) time.Duration { return time.Duration(h.kind.PatienceMS) * time.Millisecond }

func (p *plain) send(h *hop) {
	up := p.fleet.upstreams(h.service)
	h.try(up[p.rand.IntN(len(up))], call.Meta{CallID: p.newID()})
}

func (p *plain) newID() uuid.UUID { return randomID(p.rand) }

func (p *plain) ended(h *hop, _ *attempt, res result) {
	if !res.whole && h.attempts <= p.retries {
		p.send(h)
		return
	}
	h.finish(res)
}

func (p *plain) arrive(a *attempt) {
	d := a.to
	r := d.local.add(d, a)
	epoch := d.epoch
	r.end = func(code codes.Code, whole bool) {
		if d.epoch != epoch {
			return
		}
		d.receive(func() {
			d.local.remove(r)
			p.fleet.respond(a, result{code: code, whole: whole})
		}, func() {})
	}
	d.backend.Submit(r)
}
