package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// pick returns the upstream to ask next and the reason, and allows it to queue the request if no free
// slot is expected. A suspect queues where its copies do, and goes on to the next upstream only if it is
// refused.
func (d *Dispatcher) pick(now time.Time, req *OutgoingRequest, usable []*upstreamState) (*upstreamState, Placement) {
	if req.Suspect != "" {
		return firstInOrder(req.Suspect, usable), OrderOfSuspects
	}
	s, placement := d.choose(now, req, usable)
	req.mayQueue = req.mayQueue || !s.hasFreeSlot(now)
	return s, placement
}

// firstInOrder returns the upstream that all daemons ask first for requests with the key.
func firstInOrder(key string, usable []*upstreamState) *upstreamState {
	byID := make(map[string]*upstreamState, len(usable))
	ids := make([]string, len(usable))
	for i, s := range usable {
		ids[i], byID[s.upstream.ID] = s.upstream.ID, s
	}
	return byID[rendezvous.New(ids, xxhash.Sum64String).Lookup(key)]
}

// choose returns the upstream to ask next and the reason. The own zone is used while an upstream there
// has a free slot and can meet the objective; otherwise the costs decide.
func (d *Dispatcher) choose(now time.Time, req *OutgoingRequest, usable []*upstreamState) (*upstreamState, Placement) {
	maxFailureShare := lowestFailureShare(now, usable) + maxExcessFailures
	if req.asked == 0 && d.cfg.Rand.IntN(exploreOneIn) == 0 {
		if s := usable[d.cfg.Rand.IntN(len(usable))]; s.hasFreeSlot(now) && s.failureShare(now) <= maxFailureShare {
			return s, Explored
		}
	}
	suits := func(s *upstreamState) bool {
		return s != nil && s.hasFreeSlot(now) && s.failureShare(now) <= maxFailureShare && d.meetsObjective(now, req, s)
	}
	if s := d.cheaperOfTwo(now, req, usable); suits(s) {
		return s, OwnZoneFree
	}
	local, remote := d.cheapest(now, req, usable, true), d.cheapest(now, req, usable, false)
	switch {
	case suits(local):
		return local, OwnZoneFree
	case local == nil:
		return remote, OwnZoneEmpty
	case remote == nil || d.cost(now, req, local) <= d.cost(now, req, remote):
		return local, OwnZoneCheaper
	}
	return remote, OtherZoneCheaper
}

// cheaperOfTwo returns the cheaper of two upstreams of the own zone, nil if there is none. They are drawn
// at random, weighed by the work that they do a second, so that daemons that see the same load don't all
// choose the same upstream.
func (d *Dispatcher) cheaperOfTwo(now time.Time, req *OutgoingRequest, usable []*upstreamState) *upstreamState {
	var drawn [2]*upstreamState
	total := 0.0
	for _, s := range usable {
		if s.upstream.Zone != d.cfg.Zone {
			continue
		}
		weight := float64(s.limit(now)) / s.relativeRun(now)
		total += weight
		for i := range drawn {
			if d.cfg.Rand.Float64()*total < weight {
				drawn[i] = s
			}
		}
	}
	if drawn[0] != drawn[1] && d.cost(now, req, drawn[1]) < d.cost(now, req, drawn[0]) {
		return drawn[1]
	}
	return drawn[0]
}

func lowestFailureShare(now time.Time, usable []*upstreamState) float64 {
	lowest := 1.0
	for _, s := range usable {
		lowest = min(lowest, s.failureShare(now))
	}
	return lowest
}

// candidates returns the upstreams that may be asked: those that have not been tried and were
// not sent the request, without the avoided ones if there are others.
func (d *Dispatcher) candidates(now time.Time, req *OutgoingRequest) []*upstreamState {
	var preferred, avoided []*upstreamState
	for _, u := range d.dir.Serving(req.Service) {
		if req.tried[u.ID] || req.mayHaveRun[u.ID] {
			continue
		}
		s := d.upstreamState(u)
		if s.avoided(now) {
			avoided = append(avoided, s)
		} else {
			preferred = append(preferred, s)
		}
	}
	if len(preferred) > 0 {
		return preferred
	}
	return avoided
}

// meetsObjective reports whether a run at an upstream is expected to take at most localObjectiveShare
// of the time left to the objective, or its time is unknown.
func (d *Dispatcher) meetsObjective(now time.Time, req *OutgoingRequest, s *upstreamState) bool {
	latency := d.expectedLatency(now, req, s)
	return latency == 0 || float64(latency) <= localObjectiveShare*float64(req.Objective.Sub(now))
}

// expectedLatency returns the expected latency of the request's route at an upstream, 0 if no latency of
// the route is known.
func (d *Dispatcher) expectedLatency(now time.Time, req *OutgoingRequest, s *upstreamState) time.Duration {
	return time.Duration(float64(d.averageLatency[req.Route.Name]) * s.relativeRun(now))
}

// cheapest returns the upstream of the own zone or of the other zones with the lowest cost, nil if there
// is none. It chooses at random between equal ones.
func (d *Dispatcher) cheapest(now time.Time, req *OutgoingRequest, usable []*upstreamState, local bool) *upstreamState {
	var cheapest *upstreamState
	lowest, ties := 0.0, 0
	for _, s := range usable {
		if local != (s.upstream.Zone == d.cfg.Zone) {
			continue
		}
		cost := d.cost(now, req, s)
		switch {
		case cheapest == nil || cost < lowest:
			cheapest, lowest, ties = s, cost, 1
		case cost == lowest:
			ties++
			if d.cfg.Rand.IntN(ties) == 0 {
				cheapest = s
			}
		}
	}
	return cheapest
}

// cost returns the cost of an upstream: the expected time to the answer, raised for its load,
// for being in another zone, and for its share of failed runs.
func (d *Dispatcher) cost(now time.Time, req *OutgoingRequest, s *upstreamState) float64 {
	average := float64(max(d.averageLatency[req.Route.Name], time.Millisecond))
	load := float64(s.occupied(now)) / float64(s.limit(now))
	cost := float64(s.expectedWait(now)) + average*s.relativeRun(now)*(1+math.Pow(load, loadExponent))
	if s.upstream.Zone != d.cfg.Zone {
		cost += remoteZonePenalty * average
	}
	return cost * (1 + failurePenalty*s.failureShare(now))
}
