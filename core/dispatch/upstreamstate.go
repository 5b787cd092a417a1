package dispatch

import (
	"time"

	"github.com/hawthornpoint/hawthornpoint/core/directory"
	"github.com/hawthornpoint/hawthornpoint/core/slots"
)

const (
	// loadMaxAge is how long a reported load is used. It is about the time in which a queue
	// of short requests drains.
	loadMaxAge = 500 * time.Millisecond
	// defaultRun is the run time that is assumed for an upstream that has not reported one.
	defaultRun = 50 * time.Millisecond
	// latencyWeight is the weight of a new latency in an exponentially weighted average.
	latencyWeight = 0.15
	// reportedRunWeight is the weight of a reported average run time, which covers the runs of all
	// daemons, and referenceWeight the weight of such a report in the average of the service.
	reportedRunWeight, referenceWeight = 0.5, 0.05
	// speedHalfLife is the age at which a measured speed counts half, so that an upstream that was slow
	// for a while is used again.
	speedHalfLife = 3 * time.Second
	// unknownRelativeRun is the relative run time that is assumed until one is known. It is low, so
	// that upstreams that join are tried.
	unknownRelativeRun = 0.5
	// minRelativeRun and maxRelativeRun bound one measured run time as a multiple of the average.
	minRelativeRun, maxRelativeRun = 0.1, 10.0
	// minAvoidTime and maxAvoidTime bound the time for which an upstream that did not reply
	// is avoided. It doubles with each further attempt without a reply.
	minAvoidTime = 250 * time.Millisecond
	maxAvoidTime = 2 * time.Second
	// leavingAvoidTime is how long an upstream is avoided whose daemon takes no new work. A
	// daemon that is restarted is back after some seconds; others are asked in the meantime.
	leavingAvoidTime = time.Second
	// maxExcessFailures is how far the share of failed runs of an upstream may be above the
	// lowest one before others are preferred. Failures of a service further down the call
	// graph show at all upstreams alike, and choosing another one does not help then.
	maxExcessFailures = 0.12
	// failureWeight is the weight of one result in the share of failed runs, and
	// failureHalfLife the age at which that share counts half, so that an upstream that is
	// avoided for its failures is tried again.
	failureWeight   = 0.1
	failureHalfLife = 3 * time.Second
	// unknownAge is the age of the load of an upstream that has not reported any.
	unknownAge = -time.Second
	// warmUpShare is the share of its limit up to which an upstream is used while it warms up.
	warmUpShare = 0.3
)

// upstreamState is what this daemon knows of one upstream.
type upstreamState struct {
	upstream directory.Upstream
	// inFlight counts the attempts of this daemon that have not ended.
	inFlight int
	// load is the latest reported load, received at loadAt. attemptsSinceLoad counts the
	// attempts since then.
	load              slots.Load
	loadAt            time.Time
	attemptsSinceLoad int
	// runFactor is the run time as a multiple of the average of the service for the same kind, as of
	// runFactorAt. It holds for all kinds.
	runFactor   float64
	runFactorAt time.Time
	// unanswered counts consecutive attempts without a reply. The upstream is avoided until
	// avoidUntil.
	unanswered int
	avoidUntil time.Time
	// failing is the share of failed runs as of the latest result, at resultAt.
	failing  float64
	resultAt time.Time
	listed   bool // in the directory; used by Prune only
}

func (s *upstreamState) avoided(now time.Time) bool { return now.Before(s.avoidUntil) }

// recordNoReply records an attempt that got no reply.
func (s *upstreamState) recordNoReply(now time.Time) {
	avoidTime := minAvoidTime << min(s.unanswered, 3)
	s.unanswered++
	s.avoidUntil = now.Add(min(avoidTime, maxAvoidTime))
}

// recordLeaving records that the upstream takes no new work.
func (s *upstreamState) recordLeaving(now time.Time) {
	s.unanswered = 0
	s.avoidUntil = now.Add(leavingAvoidTime)
}

func (s *upstreamState) recordReply() {
	s.unanswered = 0
	s.avoidUntil = time.Time{}
}

// recordLoad records the load that came with a reply.
func (s *upstreamState) recordLoad(now time.Time, reported slots.Load) {
	s.load, s.loadAt, s.attemptsSinceLoad = reported, now, 0
}

// loadAge returns the age of the reported load, unknownAge if there is none.
func (s *upstreamState) loadAge(now time.Time) time.Duration {
	if s.loadAt.IsZero() {
		return unknownAge
	}
	return now.Sub(s.loadAt)
}

// limit returns the number of requests that the upstream can run at once, reduced while it
// warms up.
func (s *upstreamState) limit(now time.Time) int {
	n := s.load.Limit
	if n == 0 {
		n = s.upstream.Slots
	}
	if now.Before(s.upstream.WarmAt) {
		n = int(warmUpShare * float64(n))
	}
	return max(n, 1)
}

// occupied estimates the number of requests that the upstream runs or queues.
func (s *upstreamState) occupied(now time.Time) int {
	if now.Sub(s.loadAt) > loadMaxAge {
		return s.inFlight
	}
	return max(s.load.Running+s.load.Waiting+s.attemptsSinceLoad, s.inFlight)
}

// expectedWait estimates the time until a further request would start.
func (s *upstreamState) expectedWait(now time.Time) time.Duration {
	excess := s.occupied(now) + 1 - s.limit(now)
	if excess <= 0 {
		return 0
	}
	run := s.load.Run
	if run == 0 {
		run = defaultRun
	}
	return time.Duration(float64(run) * float64(excess) / float64(s.limit(now)))
}

// hasFreeSlot reports whether a further request is expected to start at once.
func (s *upstreamState) hasFreeSlot(now time.Time) bool { return s.occupied(now) < s.limit(now) }

// recordRun records one run time or a reported average of them, as a multiple of the average of the
// service for the same kind.
func (s *upstreamState) recordRun(now time.Time, relativeRun, weight float64) {
	bounded := min(max(relativeRun, minRelativeRun), maxRelativeRun)
	if s.runFactorAt.IsZero() {
		s.runFactor, s.runFactorAt = bounded, now
		return
	}
	known := s.relativeRun(now)
	s.runFactor, s.runFactorAt = known+weight*(bounded-known), now
}

// relativeRun returns how long the upstream is expected to take for a run, as a multiple of the average
// of the service; unknownRelativeRun if unknown. At age a, the difference from the average counts 1/(1 + a/speedHalfLife).
func (s *upstreamState) relativeRun(now time.Time) float64 {
	if s.runFactorAt.IsZero() {
		return unknownRelativeRun
	}
	age := now.Sub(s.runFactorAt)
	return 1 + (s.runFactor-1)/(1+float64(age)/float64(speedHalfLife))
}

// recordResult records whether a run failed.
func (s *upstreamState) recordResult(now time.Time, failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	s.failing = s.decayedFailing(now)
	s.failing += failureWeight * (sample - s.failing)
	s.resultAt = now
}

// decayedFailing returns the share of failed runs that this daemon saw. At age a, the share
// counts 1/(1 + a/failureHalfLife).
func (s *upstreamState) decayedFailing(now time.Time) float64 {
	age := now.Sub(s.resultAt)
	return s.failing / (1 + float64(age)/float64(failureHalfLife))
}

// failureShare returns the share of failed runs that this daemon saw, or the one that the
// upstream reported if that is recent and higher.
func (s *upstreamState) failureShare(now time.Time) float64 {
	share := s.decayedFailing(now)
	if now.Sub(s.loadAt) < loadMaxAge {
		share = max(share, s.load.Failing)
	}
	return share
}
