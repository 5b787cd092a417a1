package loadshed

import (
	"maps"
	"time"
)

const (
	// TickInterval is how often a Gate adjusts the shares that it refuses.
	TickInterval = 100 * time.Millisecond
	// pathLife is how long after its last report a kind is assumed to lead to an overloaded
	// service, and how long after its last request a rank is assumed to be in use.
	pathLife = 10 * time.Second
	// blockedThreshold is the blocked share up to which a level does not rise. A request makes
	// several calls, so that the share of failed requests is higher than this.
	blockedThreshold = 0.05
	// raise is the rise of a level in one tick for each unit of blocked share above
	// blockedThreshold, at most maxRaise, and lower the fall in one tick while the share is not
	// above it.
	raise, maxRaise, lower = 0.15, 0.03, 0.04
	// unavailableRaise is the rise of a level in one tick while the blocked service has no upstream: what is
	// admitted then is wasted. returnFactor is how much faster than by lower the level falls once it
	// has some again, all with free slots, until it is blocked once more.
	unavailableRaise, returnFactor = 0.1, 4
	// returnGrace is how long reports after the return of a service are ignored. They were made
	// before, or by daemons that do not know of it yet.
	returnGrace = time.Second
	// minRetryAfter is the shortest time after which callers of refused requests may retry, and
	// retryAfterSpan what is added to it if all are refused.
	minRetryAfter  = 300 * time.Millisecond
	retryAfterSpan = 1200 * time.Millisecond
	// minAdmittedShare is the share of each rank that is always admitted.
	minAdmittedShare = 0.1
)

// Gate admits or refuses new requests.
type Gate struct {
	services map[string]*overload // by name of the service
	random   func() float64
}

// overload is a Gate's state for one service that is or was overloaded.
type overload struct {
	reports reports
	// level is the shedding level because of blocked calls. Each rank takes up one unit of it.
	level float64
	// demand decides which share is refused because of the demand.
	demand demandShare
	// unavailable says that the service has no upstream. returnedAt is when it had some again and returning
	// that its level falls for that reason.
	unavailable, returning bool
	returnedAt             time.Time
	// lastRequest holds when a new request of each rank last led to the service.
	lastRequest map[int]time.Time
}

// NewGate returns a gate that admits all requests until shares are observed. random returns
// numbers from 0 to below 1.
func NewGate(random func() float64) *Gate {
	return &Gate{services: make(map[string]*overload), random: random}
}

// Observe records what the reply to a new request of a kind states.
func (g *Gate) Observe(now time.Time, kind string, shares []Share) {
	for _, share := range shares {
		if g.services[share.Service] == nil && share.Significant() && len(g.services) < maxServices {
			g.services[share.Service] = &overload{reports: newReports(), demand: newDemandShare(), lastRequest: make(map[int]time.Time)}
		}
	}
	for service, o := range g.services {
		if now.Sub(o.returnedAt) >= returnGrace {
			o.reports.observe(now, kind, find(shares, service))
		}
	}
}

// Refusal says why a request was not admitted.
type Refusal struct {
	// Service is the overloaded service, and Share the share of the rank that is refused because of it.
	Service string
	Share   float64
}

// RetryAfter returns the time after which the caller may retry: later if more is refused, but at the latest after the
// given time, with which the answer is expected within the objective. It is minRetryAfter at least.
func (r Refusal) RetryAfter(latest time.Duration) time.Duration {
	wanted := minRetryAfter + time.Duration(float64(retryAfterSpan)*r.Share)
	return max(min(wanted, latest), minRetryAfter)
}

// Admit decides about a new request. It returns nil to admit it.
func (g *Gate) Admit(now time.Time, kind string, rank int) *Refusal {
	refusal := Refusal{}
	for service, o := range g.services {
		if !o.reachedBy(now, kind) {
			continue
		}
		o.lastRequest[rank] = now
		share := min(max(o.blockedShare(now, rank), o.demand.refused(rank)), 1-minAdmittedShare)
		// What is refused for other services lowers the demand for this one, and need not be refused for it too.
		o.demand.count(rank, 1-share)
		if share > refusal.Share {
			refusal = Refusal{Service: service, Share: share}
		}
	}
	if refusal.Share > 0 && g.random() < refusal.Share {
		return &refusal
	}
	return nil
}

// reachedBy reports whether requests of a kind lead to the service.
func (o *overload) reachedBy(now time.Time, kind string) bool {
	return now.Sub(o.reports.from[kind]) <= pathLife
}

// blockedShare returns the share of a rank that is refused because of blocked calls. Each rank in use
// takes up one unit of the level, the least important first.
func (o *overload) blockedShare(now time.Time, rank int) float64 {
	remaining := o.level
	for otherRank, last := range o.lastRequest {
		if otherRank > rank && now.Sub(last) < pathLife {
			remaining--
		}
	}
	return max(remaining, 0)
}

// dropUnused drops the kinds and ranks that have not been seen for pathLife.
func (o *overload) dropUnused(now time.Time) {
	o.reports.dropUnused(now)
	maps.DeleteFunc(o.lastRequest, func(_ int, last time.Time) bool { return now.Sub(last) > pathLife })
}

// Tick adjusts the shares that are refused. It must be called once in each TickInterval. unavailable reports
// whether a service has no upstream.
func (g *Gate) Tick(now time.Time, unavailable func(service string) bool) {
	for service, o := range g.services {
		o.dropUnused(now)
		o.setUnavailable(now, unavailable(service))
		demand := o.reports.demand.over(now, 0)
		o.demand.tick(demand)
		o.level += o.change(o.reports.blocked.over(now, 0), demand)
		o.level = max(min(o.level, float64(max(len(o.lastRequest), 1))), 0)
		if len(o.reports.from) == 0 && o.level == 0 && !o.demand.refuses() {
			delete(g.services, service)
		}
	}
}

func (o *overload) setUnavailable(now time.Time, unavailable bool) {
	if o.unavailable && !unavailable {
		o.reports.blocked, o.returnedAt, o.returning = mean{}, now, true
	}
	o.unavailable = unavailable
}

// change returns the change of the level in one tick.
func (o *overload) change(blocked, demand float64) float64 {
	isBlocked := blocked > blockedThreshold
	switch {
	case o.unavailable && isBlocked:
		return unavailableRaise
	case isBlocked && demand < o.demand.target():
		o.returning = false
		return min(raise*(blocked-blockedThreshold), maxRaise)
	case o.returning:
		return -returnFactor * lower
	}
	return -lower
}

// Refused returns the services for which requests are refused, each with the highest share of a rank.
func (g *Gate) Refused() map[string]float64 {
	refused := make(map[string]float64)
	for service, o := range g.services {
		if share := min(max(o.level, o.demand.highest()), 1-minAdmittedShare); share > 0 {
			refused[service] = share
		}
	}
	return refused
}
