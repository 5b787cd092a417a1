package balancer

import (
	"math"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

const never = time.Duration(math.MaxInt64)

const (
	// failuresToEject is the number of consecutive failures that ejects an
	// upstream.
	failuresToEject = 5
	// slowFactor is the multiple of the service's median latency above which an
	// attempt is slow. Normal variation between zones and load stays below it;
	// smaller differences are handled by the choice between two upstreams.
	slowFactor = 4
	// slowMargin is added to the limit, so that scheduling noise does not eject
	// upstreams of a service that answers in microseconds.
	slowMargin = 5 * time.Millisecond
	// slowExcessToEject is how many more slow attempts than others an upstream
	// must have had before it is ejected as slow. When the entire service slows
	// down, the median rises before that many attempts have ended.
	slowExcessToEject = 10
	// minEjection is the length of the first ejection. It is short because
	// recovery is measured 1 s after the cause ends. The length doubles with every
	// repetition up to maxEjection.
	minEjection = 500 * time.Millisecond
	maxEjection = 8 * time.Second
	// ejectionCountDecay is the time without ejection after which the count of
	// recent ejections falls by one.
	ejectionCountDecay = 30 * time.Second
	// probesNeeded is the number of answered probes that ends probing. A single
	// answer proves little for an upstream that loses every second attempt.
	probesNeeded = 3
	// probeRankDelay is how long a due probe waits for a pick that is not of rank
	// 0, the most important one: a probe fails more often than other attempts.
	probeRankDelay = 250 * time.Millisecond
	// ejectOneIn limits ejection to one upstream in ejectOneIn.
	ejectOneIn = 3
)

// ejection holds the current or last ejection of one upstream.
type ejection struct {
	until        time.Duration // end of the ejection
	recentCount  int
	ejectedAt    time.Duration
	probingSince time.Duration
	probesPassed int
}

// outcomeClass is what the result of an attempt indicates about the health of the
// upstream.
type outcomeClass int

const (
	inconclusive outcomeClass = iota
	answered
	refused // alive, but did not execute the attempt
	failed
	leaving
)

// classify returns the outcome class of a result. Codes of kind NotRun are not
// failures, except ConnectFailed and BackendDown.
func (p *Picker) classify(r *Result) outcomeClass {
	switch r.Code {
	case resultcode.ConnectFailed, resultcode.BackendDown, resultcode.AttemptLost, resultcode.AnswerTruncated, resultcode.BackendCrashed:
		return failed
	case resultcode.DeadlineExceeded:
		// A deadline shorter than the median latency is no evidence of a fault.
		if r.Latency >= p.medianLatency {
			return failed
		}
		return inconclusive
	case resultcode.Leaving:
		return leaving
	}
	if r.Code.Kind() == resultcode.Answered {
		return answered
	}
	if r.Incarnation != uuid.Nil {
		return refused
	}
	return inconclusive
}

// Done records the result of an attempt that was reported with Started. It ignores
// unknown names and attempts that were not reported with Started.
func (p *Picker) Done(now time.Time, name string, r Result) {
	u, t := p.byName[name], p.advance(now)
	if u == nil {
		return
	}
	start, ok := u.attemptEnded(t - r.Latency)
	if u.machine.State() == stateGone {
		u.noteLeavingWhileGone(&r)
		return
	}
	if !ok || !p.applyReply(t, start, u, &r) {
		return
	}
	probe := u.machine.State() == stateProbing && start >= u.ejection.probingSince
	switch p.classify(&r) {
	case answered:
		p.onAnswer(t, u, r.Latency, probe)
	case refused:
		p.onRefusal(t, u, probe)
	case failed:
		p.onFailure(t, u, &r, probe)
	case leaving:
		p.markLeaving(u)
	case inconclusive:
		u.sampleLowerBound(t, p.referenceLatency(), r.Latency)
	}
}

// noteLeavingWhileGone records that a late reply reports the upstream as leaving,
// in case a later list contains the upstream again.
func (u *upstream) noteLeavingWhileGone(r *Result) {
	if r.Code == resultcode.Leaving || r.Leaving && r.Incarnation == u.incarnation {
		u.stateBeforeGone = stateLeaving
	}
}

// applyReply records the incarnation, threshold, limit and leaving state that a
// reply reports. It returns false for a late reply of an earlier incarnation.
func (p *Picker) applyReply(t, start time.Duration, u *upstream, r *Result) bool {
	if r.Incarnation == uuid.Nil {
		return true
	}
	if !p.updateIncarnationFromReply(t, start, u, r) {
		return false
	}
	p.recordThreshold(t, u, r.Kind, r.Threshold)
	if r.Limit > 0 {
		u.limit = r.Limit
		p.updateWeight(u)
	}
	if r.Leaving {
		p.markLeaving(u)
	}
	return true
}

func (p *Picker) markLeaving(u *upstream) {
	if u.machine.Fire(eventLeave) {
		p.poolsStale = true
	}
}

// sampleLowerBound adds the time waited without an answer as a sample if it is
// above the estimate.
func (u *upstream) sampleLowerBound(t, median, waited time.Duration) {
	if waited > u.estimatedLatency(t, median) {
		u.addSample(t, median, waited)
	}
}

// countSlow updates the excess of slow attempts over others and keeps it between 0
// and slowExcessToEject.
func (u *upstream) countSlow(slow bool) {
	if slow {
		u.slow = min(u.slow+1, slowExcessToEject)
	} else {
		u.slow = max(u.slow-1, 0)
	}
}

func (p *Picker) onAnswer(t time.Duration, u *upstream, latency time.Duration, probe bool) {
	u.addSample(t, p.referenceLatency(), latency)
	u.countSlow(p.tooSlow(latency))
	u.failures = 0
	switch u.machine.State() {
	case stateCold:
		u.machine.Fire(eventAnswered)
		u.rampStart = t
		if u.warm {
			u.machine.Fire(eventWarmed)
		}
	case stateProbing:
		if !probe {
			return
		}
		if p.tooSlow(latency) {
			p.probeFailed(t, u)
			return
		}
		p.probeAnswered(t, u)
	}
}

func (p *Picker) onRefusal(t time.Duration, u *upstream, probe bool) {
	if probe {
		p.probeAnswered(t, u)
	}
}

func (p *Picker) onFailure(t time.Duration, u *upstream, r *Result, probe bool) {
	u.failures++
	u.lastFailureAt = t
	u.connections = min(u.connections, len(u.starts))
	if r.Code == resultcode.DeadlineExceeded {
		u.sampleLowerBound(t, p.referenceLatency(), r.Latency)
	}
	switch {
	case probe:
		p.probeFailed(t, u)
	case u.failures >= failuresToEject || ejectsImmediately(r.Code):
		p.eject(t, u)
	}
}

// ejectsImmediately reports whether a single failure ejects. A process that does
// not accept connections will not answer the next call either. With five failures
// per calling daemon, one dead upstream used up the retries of entire requests.
func ejectsImmediately(c resultcode.Code) bool {
	return c == resultcode.ConnectFailed || c == resultcode.BackendDown
}

func (p *Picker) probeAnswered(t time.Duration, u *upstream) {
	u.ejection.probesPassed++
	if u.ejection.probesPassed < probesNeeded || !u.machine.Fire(eventAnswered) {
		return
	}
	u.failures, u.slow = 0, 0
	if u.warm {
		u.warm, u.rampDuration = false, returnRampTime
	}
	u.rampStart = t
	p.poolsStale = true
}

func (p *Picker) probeFailed(t time.Duration, u *upstream) {
	if u.machine.Fire(eventProbeFailed) {
		p.startEjection(t, u)
	}
}

// maxEjected returns how many of n upstreams may be ejected at once.
func maxEjected(n int) int {
	if n < 2 {
		return 0
	}
	return max(n/ejectOneIn, 1)
}

func (p *Picker) eject(t time.Duration, u *upstream) {
	if len(p.ejected) >= maxEjected(p.servingCount) || !u.machine.Fire(eventEject) {
		return
	}
	p.startEjection(t, u)
	p.ejected = append(p.ejected, u)
	p.poolsStale = true
}

// startEjection sets the end of an ejection. A random part of up to a quarter is
// added, so that daemons that ejected at the same time do not probe at the same time.
func (p *Picker) startEjection(t time.Duration, u *upstream) {
	e := &u.ejection
	if e.ejectedAt > 0 {
		e.recentCount = max(0, e.recentCount-int((t-e.until)/ejectionCountDecay))
	}
	length := min(minEjection<<min(e.recentCount, 8), maxEjection)
	length += time.Duration(p.rand.Int64N(int64(length)/4 + 1))
	e.ejectedAt, e.until, e.probesPassed = t, t+length, 0
	e.recentCount++
	p.nextEjectionEnd = min(p.nextEjectionEnd, e.until)
}

// dueProbe returns an upstream that is probing and has no running probe, or nil.
// It first moves upstreams whose ejection is over to probing.
func (p *Picker) dueProbe(q *query) *upstream {
	if len(p.ejected) == 0 {
		return nil
	}
	if q.t >= p.nextEjectionEnd {
		p.startProbing(q.t)
	}
	for _, u := range p.ejected {
		if u.machine.State() != stateProbing || u.probeRunning() {
			continue
		}
		if q.priority < callmeta.LevelsPerRank && q.t < u.ejection.probingSince+probeRankDelay {
			continue
		}
		if q.accepts(u) {
			return u
		}
	}
	return nil
}

func (p *Picker) startProbing(t time.Duration) {
	p.nextEjectionEnd = never
	for _, u := range p.ejected {
		if u.machine.State() != stateEjected {
			continue
		}
		if t < u.ejection.until {
			p.nextEjectionEnd = min(p.nextEjectionEnd, u.ejection.until)
			continue
		}
		u.machine.Fire(eventRetryTime)
		u.ejection.probingSince = t
	}
}

func (u *upstream) probeRunning() bool {
	n := len(u.starts)
	return n > 0 && u.starts[n-1] >= u.ejection.probingSince
}

// slowLimit returns the latency above which an attempt is slow for the service.
func (p *Picker) slowLimit() time.Duration { return slowFactor*p.medianLatency + slowMargin }

func (p *Picker) tooSlow(latency time.Duration) bool {
	return p.medianLatency > 0 && latency > p.slowLimit()
}
