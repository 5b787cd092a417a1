package mesh

import "go.uber.org/zap"

// statements are what the local backend server says of itself in its answers.
type statements struct {
	rate       float64
	statesRate bool
	leaving    string // ID of the upstream that said so
}

// recordStatements records what an answer states about the backend server.
func (d *Daemon) recordStatements(a *localAttempt, head AnswerHead) {
	if head.WrongUpstream {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &d.statements
	id := []zap.Field{zap.String("id", a.requestID), zap.String("upstream", a.instance)}
	switch {
	case head.StatesRate && (!s.statesRate || s.rate != head.Rate):
		d.log.Info(eventRateStated, append(id, zap.Float64("rate", head.Rate), zap.Float64("previous", s.rate))...)
	case !head.StatesRate && s.statesRate && !head.NotExecuted:
		d.log.Info(eventRateEnded, append(id, zap.Float64("previous", s.rate))...)
	}
	if head.StatesRate || !head.NotExecuted {
		s.rate, s.statesRate = head.Rate, head.StatesRate
	}
	if head.Leaving && s.leaving != a.instance {
		s.leaving = a.instance
		d.log.Info(eventBackendLeaving, id...)
	}
}
