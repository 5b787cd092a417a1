package dispatch

import (
	"time"

	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// occupancyChoice is the choice by occupied over published slots, as the baseline: an upstream whose report is
// old counts as empty but for the daemon's own attempts, speed is learned from the daemon's own runs alone, and
// the own zone is kept while it has a free slot. It covers refused and answered attempts.
type occupancyChoice struct {
	*Dispatcher
	latency map[string]time.Duration // by ID of the upstream and name of the route
}

func (o *occupancyChoice) Next(now time.Time, req *OutgoingRequest) Step {
	if req.asked >= maxAsked || req.Deadline.Sub(now) < minSendTime {
		return Step{Code: resultcode.Shed}
	}
	usable := o.candidates(now, req)
	if req.refusals >= askedBeforeQueueing {
		req.tried, req.mayQueue = nil, true
		usable = o.candidates(now, req)
	}
	s, free := o.choose(now, req, usable)
	req.mayQueue = req.mayQueue || !free
	req.asked++
	req.target, req.incarnation = s.upstream.ID, s.upstream.Incarnation
	s.inFlight++
	s.attemptsSinceLoad++
	return Step{Upstream: s.upstream, MayQueue: req.mayQueue}
}

func (o *occupancyChoice) choose(now time.Time, req *OutgoingRequest, usable []*upstreamState) (*upstreamState, bool) {
	if req.asked == 0 && o.cfg.Rand.IntN(exploreOneIn) == 0 {
		if s := usable[o.cfg.Rand.IntN(len(usable))]; o.free(now, s) {
			return s, true
		}
	}
	if s := o.cheapest(now, req, usable, true); s != nil && o.free(now, s) && float64(o.wait(now, s)+o.run(req, s)) <= 0.7*float64(req.Objective.Sub(now)) {
		return s, true
	}
	s := o.cheapest(now, req, usable, false)
	return s, o.free(now, s)
}

func (o *occupancyChoice) Report(now time.Time, req *OutgoingRequest, report Report) Step {
	o.recordOutcome(now, req, report)
	if report.Result == Answered {
		key := req.target + req.Route.Name
		if _, known := o.latency[key]; !known {
			o.latency[key] = report.Elapsed
		}
		o.latency[key] += time.Duration(latencyWeight * float64(report.Elapsed-o.latency[key]))
		return Step{Deliver: true}
	}
	o.exclude(req)
	req.refusals++
	if req.mayQueue {
		return Step{Code: resultcode.Shed}
	}
	return o.Next(now, req)
}

func (o *occupancyChoice) occupied(now time.Time, s *upstreamState) int {
	if now.Sub(s.loadAt) > 500*time.Millisecond {
		return s.inFlight
	}
	return max(s.load.Running+s.load.Waiting+s.attemptsSinceLoad, s.inFlight)
}

func (o *occupancyChoice) free(now time.Time, s *upstreamState) bool {
	return o.occupied(now, s) < s.limit(now)
}

func (o *occupancyChoice) run(req *OutgoingRequest, s *upstreamState) time.Duration {
	if latency, known := o.latency[s.upstream.ID+req.Route.Name]; known {
		return latency
	}
	return o.averageLatency[req.Route.Name]
}

func (o *occupancyChoice) wait(now time.Time, s *upstreamState) time.Duration {
	run := s.load.Run
	if run == 0 {
		run = 50 * time.Millisecond
	}
	return time.Duration(float64(run) * float64(max(o.occupied(now, s)+1-s.limit(now), 0)) / float64(s.limit(now)))
}

func (o *occupancyChoice) cheapest(now time.Time, req *OutgoingRequest, usable []*upstreamState, localOnly bool) (cheapest *upstreamState) {
	lowest, ties := 0.0, 0
	for _, s := range usable {
		if localOnly && s.upstream.Zone != o.cfg.Zone {
			continue
		}
		run := float64(max(o.run(req, s), time.Millisecond))
		cost := float64(o.wait(now, s)) + run*(1+float64(o.occupied(now, s))/float64(s.limit(now)))
		if s.upstream.Zone != o.cfg.Zone {
			cost += 0.5 * run
		}
		switch {
		case cheapest == nil || cost < lowest:
			cheapest, lowest, ties = s, cost, 1
		case cost == lowest:
			if ties++; o.cfg.Rand.IntN(ties) == 0 {
				cheapest = s
			}
		}
	}
	return cheapest
}
