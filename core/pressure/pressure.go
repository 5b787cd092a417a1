// Package pressure decides which new requests are refused where they enter, because a
// service further down cannot take the calls that they would cause.
//
// Work that was done for a request is wasted when one of its calls fails. Daemons measure
// which share of their upstream's calls a service blocks, for lack of room or of time, and
// pass it on with their replies, so that it reaches the places where requests enter. There,
// a Gate raises a level for each blocked service and lowers it when the service recovers.
// The level refuses requests that lead to the service, those of the least important rank
// first, and never all of a rank: a trickle shows when there is room again.
//
// Nothing here has a clock or starts anything; the types are not safe for concurrent use.
package pressure

import (
	"sort"
	"time"
)

const (
	// meterWeight is the weight of one call in the blocked share.
	meterWeight = 0.08
	// meterLife is the time after which a blocked share without news counts half.
	meterLife = 500 * time.Millisecond
	// tolerated is the blocked share that is left alone. A request makes several calls, so
	// that more of them would fail than this.
	tolerated = 0.08
	// heardLife is how long a reported share and a path between services are trusted.
	heardLife = time.Second
	// pathLife is how long a service is known to lead to another one that was blocked.
	pathLife = 10 * time.Second
	// TickInterval is how often a Gate adjusts its levels.
	TickInterval = 100 * time.Millisecond
	// raise is the change of a level for each tick, for a blocked share of 1, and lower the
	// change while the share is tolerated. Levels must fall more slowly than they rise, for
	// a service that is just full enough would otherwise be overrun in turn.
	raise, lower = 0.15, 0.04
	// maxRaise bounds the rise of a level in one tick.
	maxRaise = 0.03
	// trickle is the share of each rank that is always let through.
	trickle = 0.1
)

// Share is the blocked share of the calls to a service.
type Share struct {
	Service string
	Blocked float64
}

// Meter measures the blocked share of calls to each service.
type Meter struct{ services map[string]*reading }

type reading struct {
	value float64
	at    time.Time
}

func (r *reading) now(now time.Time) float64 {
	return r.value / (1 + float64(now.Sub(r.at))/float64(meterLife))
}

// NewMeter returns a meter without readings.
func NewMeter() *Meter { return &Meter{services: make(map[string]*reading)} }

// Count records the end of a call to a service.
func (m *Meter) Count(now time.Time, service string, blocked bool) {
	r := m.services[service]
	if r == nil {
		if !blocked {
			return
		}
		r = &reading{at: now}
		m.services[service] = r
	}
	sample := 0.0
	if blocked {
		sample = 1
	}
	r.value = r.now(now)
	r.value += meterWeight * (sample - r.value)
	r.at = now
}

// Heard records a share that was measured further down.
func (m *Meter) Heard(now time.Time, s Share) {
	r := m.services[s.Service]
	if r == nil {
		r = &reading{}
		m.services[s.Service] = r
	}
	if r.now(now) < s.Blocked {
		r.value, r.at = s.Blocked, now
	}
}

// Shares returns the shares above what is tolerated, ordered by service.
func (m *Meter) Shares(now time.Time) []Share {
	var shares []Share
	for service, r := range m.services {
		v := r.now(now)
		switch {
		case v > tolerated:
			shares = append(shares, Share{Service: service, Blocked: v})
		case v < tolerated/4:
			delete(m.services, service)
		}
	}
	sort.Slice(shares, func(i, j int) bool { return shares[i].Service < shares[j].Service })
	return shares
}

// Gate decides about new requests.
type Gate struct {
	levels map[string]*level
	random func() float64
}

// level is the state of one blocked service.
type level struct {
	value float64
	// blocked is the highest share heard of lately, at heard.
	blocked float64
	heard   time.Time
	// from holds the services that lead to this one, ranks those of new requests that do.
	from  map[string]time.Time
	ranks map[int]time.Time
}

// NewGate returns an open gate. random returns numbers from 0 to below 1.
func NewGate(random func() float64) *Gate {
	return &Gate{levels: make(map[string]*level), random: random}
}

// Heard records that calls of a service are blocked by others, as its reply says.
func (g *Gate) Heard(now time.Time, service string, shares []Share) {
	for _, s := range shares {
		l := g.levels[s.Service]
		if l == nil {
			l = &level{from: make(map[string]time.Time), ranks: make(map[int]time.Time)}
			g.levels[s.Service] = l
		}
		l.from[service] = now
		if s.Blocked >= l.blocked || now.Sub(l.heard) > TickInterval {
			l.blocked, l.heard = s.Blocked, now
		}
	}
}

// Refusal says why a request was not let in.
type Refusal struct {
	// Service is the blocked service, and Level its level.
	Service string
	Level   float64
}

// Admit decides about a new request for a service. It returns nil to let it in.
func (g *Gate) Admit(now time.Time, service string, rank int) *Refusal {
	for blocked, l := range g.levels {
		if service != blocked && now.Sub(l.from[service]) > pathLife {
			continue
		}
		l.ranks[rank] = now
		if share := l.share(now, rank); share > 0 && g.random() < share {
			return &Refusal{Service: blocked, Level: l.value}
		}
	}
	return nil
}

// share returns the share of requests of a rank that is refused. Each rank takes up one
// unit of the level, the least important first.
func (l *level) share(now time.Time, rank int) float64 {
	left := l.value
	for other, seen := range l.ranks {
		if other > rank && now.Sub(seen) < pathLife {
			left--
		}
	}
	return min(max(left, 0), 1-trickle)
}

// Tick adjusts the levels. It is called once in a TickInterval.
func (g *Gate) Tick(now time.Time) {
	for service, l := range g.levels {
		excess := 0.0
		if now.Sub(l.heard) <= heardLife {
			excess = l.blocked - tolerated
		}
		if excess > 0 {
			l.value += min(raise*excess, maxRaise)
		} else {
			l.value -= lower
		}
		l.value = min(l.value, float64(max(len(l.ranks), 1)))
		if l.value <= 0 && now.Sub(l.heard) > heardLife {
			delete(g.levels, service)
		}
		l.value = max(l.value, 0)
	}
}

// Levels returns the services with a level above 0.
func (g *Gate) Levels() map[string]float64 {
	levels := make(map[string]float64)
	for service, l := range g.levels {
		if l.value > 0 {
			levels[service] = l.value
		}
	}
	return levels
}
