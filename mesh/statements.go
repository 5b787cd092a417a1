package mesh

import (
	"time"

	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/core/answerclass"
	"github.com/hawthornpoint/hawthornpoint/core/directory"
)

// recordStatements records what an answer states about the backend server. sent is when its
// request was sent.
func (d *Daemon) recordStatements(a *localAttempt, head AnswerHead, class answerclass.Class, sent time.Time) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if class == answerclass.Misdirected {
		if d.replacement.RecordMisdirected(now, a.instance) {
			d.log.Info(eventReplaced, zap.String("id", a.requestID), zap.String("upstream", a.instance))
		}
		return
	}
	d.replacement.RecordAnswered(a.instance)
	d.recordRate(now, a, head, class, sent)
	if local, _ := d.dir.At(d.settings.BackendAddress); head.Leaving && local.ID == a.instance {
		d.markLeaving(local, a.requestID, "answer")
	}
}

// markLeaving records that an upstream takes no new requests, and refuses those that wait for it
// here. id is that of the request that showed it, and source where. d.mu is held.
func (d *Daemon) markLeaving(u directory.Upstream, id, source string) {
	if !d.dir.MarkLeaving(u.ID, u.Incarnation) {
		return
	}
	d.log.Info(eventUpstreamLeaving, zap.String("id", id), zap.String("upstream", u.ID), zap.Int64("incarnation", u.Incarnation),
		zap.Bool("draining", u.Draining), zap.String("source", source))
	if u.Address == d.settings.BackendAddress {
		d.deliverDecisions(d.limiter.Evict())
	}
}

// noteLeaving records that an upstream is leaving, as the daemon beside it has replied.
func (d *Daemon) noteLeaving(c *callerRequest, reply *Reply) {
	if !reply.Leaving {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.markLeaving(c.step.Upstream, c.head.ID, "reply")
}

// recordRate limits the rate of requests as the answer states, or ends the limit. An answer to a
// request that was not run ends none, because some of these are written without knowledge of the
// backend server's state. An answer whose rate can't be read changes nothing. d.mu is held.
func (d *Daemon) recordRate(now time.Time, a *localAttempt, head AnswerHead, class answerclass.Class, sent time.Time) {
	previous := d.limiter.Rate()
	if head.InvalidRate != d.invalidRate {
		d.invalidRate = head.InvalidRate
		if head.InvalidRate != "" {
			d.log.Warn(eventRateInvalid, zap.String("id", a.requestID), zap.String("upstream", a.instance),
				zap.String("stated", head.InvalidRate), zap.Float64("rate", previous))
		}
	}
	switch {
	case head.InvalidRate != "":
	case head.StatesRate:
		d.limiter.SetRate(now, head.Rate)
		if rate := d.limiter.Rate(); rate != previous {
			d.log.Info(eventRateStated, zap.String("id", a.requestID), zap.String("upstream", a.instance),
				zap.Float64("stated", head.Rate), zap.Float64("rate", rate), zap.Float64("previous", previous))
		}
	case !class.Refused() && d.limiter.EndRate(sent):
		d.log.Info(eventRateEnded, zap.String("id", a.requestID), zap.String("upstream", a.instance), zap.Float64("previous", previous))
	}
}

// adoptRate limits the rate as the daemon that sends a request knows it, if this daemon has not had
// an answer of the backend server since its start. d.mu is held.
func (d *Daemon) adoptRate(now time.Time, a *localAttempt, local directory.Upstream, rate float64) {
	if local.ID == a.instance && d.limiter.AdoptRate(now, rate) {
		d.log.Info(eventRateAdopted, zap.String("id", a.requestID), zap.String("upstream", a.instance), zap.Float64("rate", d.limiter.Rate()))
	}
}
