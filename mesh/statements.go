package mesh

import (
	"time"

	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/core/directory"
)

// recordStatements records what an answer states about the backend server. sent is when its
// request was sent.
func (d *Daemon) recordStatements(a *localAttempt, head AnswerHead, sent time.Time) {
	if head.WrongUpstream {
		return
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordRate(now, a, head, sent)
	if head.Leaving && d.leavingID != a.instance {
		d.leavingID = a.instance
		d.log.Info(eventBackendLeaving, zap.String("id", a.requestID), zap.String("upstream", a.instance))
	}
}

// recordRate limits the rate of requests as the answer states, or ends the limit. An answer to a
// request that was not run ends none, because some of these are written without knowledge of the
// backend server's state. d.mu is held.
func (d *Daemon) recordRate(now time.Time, a *localAttempt, head AnswerHead, sent time.Time) {
	previous := d.limiter.Rate()
	switch {
	case head.StatesRate:
		d.limiter.SetRate(now, head.Rate)
		if rate := d.limiter.Rate(); rate != previous {
			d.log.Info(eventRateStated, zap.String("id", a.requestID), zap.String("upstream", a.instance),
				zap.Float64("stated", head.Rate), zap.Float64("rate", rate), zap.Float64("previous", previous))
		}
	case !head.NotExecuted && d.limiter.EndRate(sent):
		d.log.Info(eventRateEnded, zap.String("id", a.requestID), zap.String("upstream", a.instance), zap.Float64("previous", previous))
	}
}

// resetStatements discards what the previous backend server at the address stated. d.mu is held.
func (d *Daemon) resetStatements(listed directory.Upstream) {
	if listed.ID == d.local.ID && listed.Incarnation == d.local.Incarnation {
		return
	}
	d.local = listed
	d.limiter.ClearRate()
}
