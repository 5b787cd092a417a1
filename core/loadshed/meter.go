package loadshed

import (
	"maps"
	"math"
	"sort"
	"time"
)

const (
	// meanTime is the time constant of the means over calls and replies. Replies pass the means
	// on from one level of the call graph to the next, so that its multiples add up.
	meanTime = 150 * time.Millisecond
	// priorCalls is the number of calls that were not blocked that a blocked share begins with, so
	// that a few calls don't count much.
	priorCalls = 5
	// minWeight is the weight below which a mean is forgotten: that of one sample after 6 times
	// meanTime.
	minWeight = 0.0025
	// minBlocked and minDemand are the values above which daemons begin to pass a Share on. They
	// go on until it is below keptShare of both.
	minBlocked, minDemand = 0.01, 0.3
	keptShare             = 0.25
	// maxStated bounds the demand that is taken from a reply, and maxServices the services that are
	// known: both come from other daemons.
	maxStated   = 10
	maxServices = 64
	// maxDistance is the number of daemons that pass a statement on. Services that call each other
	// would otherwise pass it on for ever.
	maxDistance = 8
)

// Share describes how far a service is overloaded.
type Share struct {
	Service string
	// Blocked is the share of the calls to the service that are blocked.
	Blocked float64
	// Demand is the work that is offered to the service, as a multiple of what it can do.
	Demand float64
	// Distance is the number of daemons that have passed the share on.
	Distance int
}

// Blocks reports whether most failures of requests that make several calls to the service are due to calls that
// are blocked.
func (s Share) Blocks() bool { return s.Blocked > blockedThreshold }

// bounded returns the share with values in their ranges.
func (s Share) bounded() Share {
	inRange := func(value, highest float64) float64 {
		if !(value > 0) { // also if it is not a number
			return 0
		}
		return min(value, highest)
	}
	s.Blocked, s.Demand = inRange(s.Blocked, 1), inRange(s.Demand, maxStated)
	return s
}

// Significant reports whether daemons begin to pass the share on.
func (s Share) Significant() bool { return s.Blocked > minBlocked || s.Demand > minDemand }

// find returns what a reply states of a service. Without a statement, no call to it was blocked and the demand
// is not known.
func find(shares []Share, service string) Share {
	for _, share := range shares {
		if share.Service == service {
			return share.bounded()
		}
	}
	return Share{Service: service}
}

// mean is a mean of samples whose weights decay with meanTime.
type mean struct {
	sum, weight float64
	at          time.Time
}

func (m *mean) decay(now time.Time) {
	if age := now.Sub(m.at); age > 0 {
		factor := math.Exp(-float64(age) / float64(meanTime))
		m.sum, m.weight, m.at = m.sum*factor, m.weight*factor, now
	}
}

func (m *mean) add(now time.Time, sample float64) {
	m.decay(now)
	m.sum, m.weight = m.sum+sample, m.weight+1
}

// over returns the mean of the samples and of a number of further ones that are 0.
func (m *mean) over(now time.Time, zeros float64) float64 {
	m.decay(now)
	if m.weight < minWeight {
		return 0
	}
	return m.sum / (m.weight + zeros)
}

// reports is what replies state of a service.
type reports struct {
	blocked, demand mean
	distance        int // of the latest report
	// from holds when replies to each kind last stated the service. In replies to the same kinds that
	// don't state it, no call to it was blocked; the demand is low or not known there.
	from map[string]time.Time
}

func newReports() reports { return reports{from: make(map[string]time.Time)} }

// observe records the reply to a request of a kind.
func (r *reports) observe(now time.Time, kind string, share Share) {
	if share.Demand > 0 || share.Blocked > 0 {
		r.from[kind] = now
	} else if r.from[kind].IsZero() {
		return
	}
	if share.Distance > maxDistance {
		return
	}
	r.blocked.add(now, share.Blocked)
	if share.Demand > 0 {
		r.distance = share.Distance
		r.demand.add(now, share.Demand)
	}
}

// dropUnused drops the kinds that have not been seen for pathLife.
func (r *reports) dropUnused(now time.Time) {
	maps.DeleteFunc(r.from, func(_ string, last time.Time) bool { return now.Sub(last) > pathLife })
}

// Meter measures how far the services are overloaded that the local backend server calls, and those that these call.
type Meter struct{ services map[string]*estimate }

// estimate is what a Meter knows of one service.
type estimate struct {
	own         mean // blocked share of the calls to it
	reports     reports
	unavailable bool // the service had no upstream at the latest Refresh
}

// NewMeter returns a meter that has recorded no calls.
func NewMeter() *Meter { return &Meter{services: make(map[string]*estimate)} }

func (m *Meter) estimate(service string) *estimate {
	e := m.services[service]
	if e == nil {
		e = &estimate{reports: newReports()}
		m.services[service] = e
	}
	return e
}

// Count records the end of a call to a service, and whether the call was blocked.
func (m *Meter) Count(now time.Time, service string, blocked bool) {
	if m.services[service] == nil && len(m.services) >= maxServices {
		return
	}
	sample := 0.0
	if blocked {
		sample = 1
	}
	m.estimate(service).own.add(now, sample)
}

// Observe records what the reply to a call of a kind states.
func (m *Meter) Observe(now time.Time, kind string, shares []Share) {
	for _, share := range shares {
		if share.Significant() && len(m.services) < maxServices {
			m.estimate(share.Service)
		}
	}
	for service, e := range m.services {
		e.reports.observe(now, kind, find(shares, service))
	}
}

// Refresh forgets what is known of services that had no upstream and have some again, and the kinds that have not
// been seen for pathLife. unavailable reports whether a service has none.
func (m *Meter) Refresh(now time.Time, unavailable func(service string) bool) {
	for service, e := range m.services {
		e.reports.dropUnused(now)
		switch isUnavailable := unavailable(service); {
		case isUnavailable:
			e.unavailable = true
		case e.unavailable:
			delete(m.services, service)
		}
	}
}

// Shares returns the services that are overloaded or nearly so, ordered by name. It drops those that have not been for
// some time.
func (m *Meter) Shares(now time.Time) []Share {
	var shares []Share
	for service, e := range m.services {
		share := Share{
			Service: service,
			Blocked: max(e.own.over(now, priorCalls), e.reports.blocked.over(now, 0)),
			Demand:  e.reports.demand.over(now, 0),
		}
		if e.reports.demand.weight >= minWeight {
			share.Distance = e.reports.distance + 1
		}
		switch {
		case share.Blocked >= keptShare*minBlocked || share.Demand >= keptShare*minDemand:
			shares = append(shares, share)
		case e.own.weight < minWeight:
			delete(m.services, service)
		}
	}
	sort.Slice(shares, func(i, j int) bool { return shares[i].Service < shares[j].Service })
	return shares
}
