// Package loadshed sheds new requests where they enter the fleet, because a service further
// down the call graph cannot take the calls that they would cause.
//
// Work that was done for a request is wasted when one of its calls fails. Each daemon
// measures which share of its backend server's calls to each service is blocked, that is,
// fails for lack of capacity or of time. It passes these shares on with its replies, so that
// they reach the daemons where requests enter. There, a Gate raises a shedding level for each
// blocked service and lowers it when the service recovers. The level determines which share
// of the requests that lead to the service is refused, starting with the least important
// rank. Some requests of each rank are always admitted, so that recovery is noticed.
//
// Nothing here reads a clock or starts a goroutine. The types are not safe for concurrent use.
package loadshed

import (
	"maps"
	"sort"
	"time"
)

const (
	// meterWeight is the weight of one call in the blocked share, an exponential moving average.
	meterWeight = 0.08
	// meterHalfLife is the age at which a blocked share that was not updated counts half. At
	// age a, it counts 1/(1 + a/meterHalfLife).
	meterHalfLife = 500 * time.Millisecond
	// blockedThreshold is the blocked share up to which nothing is shed. A request makes
	// several calls, so that the share of failed requests is higher than this.
	blockedThreshold = 0.08
	// reportLife is how long a reported blocked share is used.
	reportLife = time.Second
	// pathLife is how long after its last report a service is assumed to lead to a
	// blocked service, and how long after its last request a rank is assumed to be in use.
	pathLife = 10 * time.Second
	// TickInterval is how often a Gate adjusts its levels.
	TickInterval = 100 * time.Millisecond
	// raise is the rise of a level in one tick for each unit of blocked share above
	// blockedThreshold, and lower the fall in one tick while the share is not above it. Levels
	// must fall more slowly than they rise: a service that has just reached its capacity would
	// otherwise be overloaded again.
	raise, lower = 0.15, 0.04
	// maxRaise bounds the rise of a level in one tick.
	maxRaise = 0.03
	// unavailableRaise is the rise of a level in one tick while the blocked service has no upstream: what is
	// admitted then is wasted. returnFactor is how much faster than by lower the level falls once it
	// has some again, all with free slots, until it is blocked once more.
	unavailableRaise, returnFactor = 0.1, 4
	// returnGrace is how long shares that are reported after the return of a service are ignored.
	// They were measured before, or by daemons that do not know of it yet.
	returnGrace = time.Second
	// minAdmittedShare is the share of each rank that is always admitted.
	minAdmittedShare = 0.1
)

// Share is the blocked share of the calls to a service.
type Share struct {
	Service string
	Blocked float64
}

// Meter measures the blocked share of calls to each service.
type Meter struct{ services map[string]*estimate }

// estimate is the blocked share of the calls to one service, as of updatedAt.
type estimate struct {
	value       float64
	updatedAt   time.Time
	unavailable bool // the service had no upstream at the latest Refresh
}

func (e *estimate) now(now time.Time) float64 {
	return e.value / (1 + float64(now.Sub(e.updatedAt))/float64(meterHalfLife))
}

// NewMeter returns a meter that has recorded no calls.
func NewMeter() *Meter { return &Meter{services: make(map[string]*estimate)} }

// Count records the end of a call to a service, and whether the call was blocked.
func (m *Meter) Count(now time.Time, service string, blocked bool) {
	e := m.services[service]
	if e == nil {
		if !blocked {
			return
		}
		e = &estimate{updatedAt: now}
		m.services[service] = e
	}
	sample := 0.0
	if blocked {
		sample = 1
	}
	e.value = e.now(now)
	e.value += meterWeight * (sample - e.value)
	e.updatedAt = now
}

// Observe records a share that was measured further down the call graph. It replaces the
// meter's own share of the service if that is lower.
func (m *Meter) Observe(now time.Time, share Share) {
	e := m.services[share.Service]
	if e == nil {
		e = &estimate{}
		m.services[share.Service] = e
	}
	if e.now(now) < share.Blocked {
		e.value, e.updatedAt = share.Blocked, now
	}
}

// Refresh forgets the shares of services that had no upstream and have some again. unavailable reports whether
// a service has none.
func (m *Meter) Refresh(unavailable func(service string) bool) {
	for service, e := range m.services {
		switch isUnavailable := unavailable(service); {
		case isUnavailable:
			e.unavailable = true
		case e.unavailable:
			delete(m.services, service)
		}
	}
}

// Shares returns the shares above blockedThreshold, ordered by service. It drops services
// whose share is below a quarter of that.
func (m *Meter) Shares(now time.Time) []Share {
	var shares []Share
	for service, e := range m.services {
		share := e.now(now)
		switch {
		case share > blockedThreshold:
			shares = append(shares, Share{Service: service, Blocked: share})
		case share < blockedThreshold/4:
			delete(m.services, service)
		}
	}
	sort.Slice(shares, func(i, j int) bool { return shares[i].Service < shares[j].Service })
	return shares
}

// Gate admits or refuses new requests.
type Gate struct {
	levels map[string]*blockedService // by name of the service
	random func() float64
}

// blockedService is a Gate's state for one blocked service.
type blockedService struct {
	// level is the shedding level. Each rank takes up one unit of it.
	level float64
	// blocked is the highest share reported recently, at reportedAt. A lower one replaces it
	// after TickInterval.
	blocked    float64
	reportedAt time.Time
	// unavailable says that the service has no upstream. returnedAt is when it had some again and returning
	// that its level falls for that reason.
	unavailable, returning bool
	returnedAt             time.Time
	// lastReport holds when each service last reported this one blocked, and lastRequest when
	// a new request of each rank last led to it.
	lastReport  map[string]time.Time
	lastRequest map[int]time.Time
}

// NewGate returns a gate that admits all requests until shares are observed. random returns
// numbers from 0 to below 1.
func NewGate(random func() float64) *Gate {
	return &Gate{levels: make(map[string]*blockedService), random: random}
}

// Observe records the blocked shares of the services that a service calls, as its reply
// reports them.
func (g *Gate) Observe(now time.Time, service string, shares []Share) {
	for _, share := range shares {
		b := g.levels[share.Service]
		if b == nil {
			b = &blockedService{lastReport: make(map[string]time.Time), lastRequest: make(map[int]time.Time)}
			g.levels[share.Service] = b
		}
		b.lastReport[service] = now
		if now.Sub(b.returnedAt) < returnGrace {
			continue
		}
		if share.Blocked >= b.blocked || now.Sub(b.reportedAt) > TickInterval {
			b.blocked, b.reportedAt = share.Blocked, now
		}
	}
}

// Refusal says why a request was not admitted.
type Refusal struct {
	// Service is the blocked service, and Level its shedding level.
	Service string
	Level   float64
}

// Admit decides about a new request for a service. It returns nil to admit it.
func (g *Gate) Admit(now time.Time, service string, rank int) *Refusal {
	for name, b := range g.levels {
		if service != name && now.Sub(b.lastReport[service]) > pathLife {
			continue
		}
		b.lastRequest[rank] = now
		if refusedShare := b.refusedShare(now, rank); refusedShare > 0 && g.random() < refusedShare {
			return &Refusal{Service: name, Level: b.level}
		}
	}
	return nil
}

// refusedShare returns the share of requests of a rank that is refused. Each rank in use
// takes up one unit of the level, the least important first.
func (b *blockedService) refusedShare(now time.Time, rank int) float64 {
	remaining := b.level
	for otherRank, last := range b.lastRequest {
		if otherRank > rank && now.Sub(last) < pathLife {
			remaining--
		}
	}
	return min(max(remaining, 0), 1-minAdmittedShare)
}

// dropUnused drops the services and ranks that have not been seen for pathLife.
func (b *blockedService) dropUnused(now time.Time) {
	unused := func(last time.Time) bool { return now.Sub(last) > pathLife }
	maps.DeleteFunc(b.lastReport, func(_ string, last time.Time) bool { return unused(last) })
	maps.DeleteFunc(b.lastRequest, func(_ int, last time.Time) bool { return unused(last) })
}

// Tick adjusts the levels. It must be called once in each TickInterval. unavailable reports whether a service
// has no upstream.
func (g *Gate) Tick(now time.Time, unavailable func(service string) bool) {
	for service, b := range g.levels {
		b.dropUnused(now)
		b.setUnavailable(now, unavailable(service))
		b.level += b.change(now)
		b.level = min(b.level, float64(max(len(b.lastRequest), 1)))
		if b.level <= 0 && now.Sub(b.reportedAt) > reportLife {
			delete(g.levels, service)
		}
		b.level = max(b.level, 0)
	}
}

func (b *blockedService) setUnavailable(now time.Time, unavailable bool) {
	if b.unavailable && !unavailable {
		b.blocked, b.returnedAt, b.returning = 0, now, true
	}
	b.unavailable = unavailable
}

// change returns the change of the level in one tick.
func (b *blockedService) change(now time.Time) float64 {
	excess := 0.0
	if now.Sub(b.reportedAt) <= reportLife {
		excess = b.blocked - blockedThreshold
	}
	switch {
	case b.unavailable && excess > 0:
		return unavailableRaise
	case excess > 0:
		b.returning = false
		return min(raise*excess, maxRaise)
	case b.returning:
		return -returnFactor * lower
	}
	return -lower
}

// Levels returns the services with a level above 0.
func (g *Gate) Levels() map[string]float64 {
	levels := make(map[string]float64)
	for service, b := range g.levels {
		if b.level > 0 {
			levels[service] = b.level
		}
	}
	return levels
}
