package balancer

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// tier is the distance of an upstream from this daemon.
type tier int

const (
	tierZone tier = iota
	tierRegion
	tierAny
	tierCount
)

const (
	// drawTries is the maximum number of random draws for one candidate. A linear
	// search follows, which is rare unless most upstreams refuse.
	drawTries = 4
	// maxLatencyRatio is the ratio of an upstream's latency to the median beyond its
	// tier above which the pick leaves the tier. The average of a few samples varies
	// by a quarter, so a smaller ratio would leave the zone for noise.
	maxLatencyRatio = 2
	// exploreOneIn makes one pick in exploreOneIn ignore locality, so that the
	// latency outside the local zone is known when the zone becomes slow.
	exploreOneIn = 64
)

func (p *Picker) tierOf(c config.Upstream) tier {
	switch {
	case c.Region != p.local.Region:
		return tierAny
	case c.Zone != p.local.Zone:
		return tierRegion
	}
	return tierZone
}

// query holds the parameters and the intermediate results of one pick.
type query struct {
	t                time.Duration
	kind             int
	priority         int
	exclude          map[string]bool
	slowStartSeed    uint64        // random; selects the upstreams in slow start that take part
	ignoreThresholds bool          // pick upstreams that refuse the priority too
	thresholdRefused bool          // an upstream was skipped because of its threshold
	refusedUntil     time.Duration // when the first threshold that refused expires
}

// Pick is PickFor for a call without a kind.
func (p *Picker) Pick(now time.Time, exclude map[string]bool, priority int) (string, resultcode.Code) {
	return p.PickFor(now, "", exclude, priority)
}

// PickFor returns the name of the upstream for the next attempt and resultcode.OK, or
// an empty name and the reason: resultcode.ShedEarly when all usable upstreams refuse the
// priority, resultcode.NoUpstream when no upstream can be picked. Upstreams in exclude
// are not returned. If the pick is used, Started must be called before the next pick.
func (p *Picker) PickFor(now time.Time, kind string, exclude map[string]bool, priority int) (string, resultcode.Code) {
	q := query{kind: p.kinds.find(kind), priority: priority, exclude: exclude, refusedUntil: never}
	q.t, q.slowStartSeed = p.advance(now), p.rand.Uint64()
	p.refresh(q.t)
	u, code := p.pick(&q)
	if u == nil {
		return "", code
	}
	if u.machine.State() == stateLeaving || u.machine.State() == stateGone {
		p.violations++
		return "", resultcode.NoUpstream
	}
	return u.name, resultcode.OK
}

// PickSuspect is PickFor for a call that ran at the crash of a backend server. All daemons pick the
// upstreams for calls with the key in one order, so that copies of such a call meet at one upstream,
// which runs them one after the other.
func (p *Picker) PickSuspect(now time.Time, key, kind string, exclude map[string]bool, priority int) (string, resultcode.Code) {
	q := query{kind: p.kinds.find(kind), priority: priority, exclude: exclude, t: p.advance(now)}
	p.refresh(q.t)
	var names []string
	for _, u := range p.pools[tierAny] {
		if q.accepts(u) {
			names = append(names, u.name)
		}
	}
	if len(names) == 0 {
		return p.PickFor(now, kind, exclude, priority)
	}
	return rendezvous.New(names, xxhash.Sum64String).Lookup(key), resultcode.OK
}

func (p *Picker) pick(q *query) (*upstream, resultcode.Code) {
	if u := p.dueProbe(q); u != nil {
		return u, resultcode.OK
	}
	q.thresholdRefused, q.refusedUntil = false, never // from here on for usable upstreams only
	if p.refusalCached(q) {
		return p.probeThreshold(q)
	}
	if u := p.pickLocal(q); u != nil {
		return u, resultcode.OK
	}
	if u := p.chooseCheaper(p.pools[tierAny], q, true); u != nil {
		return u, resultcode.OK
	}
	if q.thresholdRefused {
		p.cacheRefusal(q)
		return p.probeThreshold(q)
	}
	// All usable upstreams are excluded; an ejected one is better than none.
	if u := p.search(p.ejected, q, nil, true); u != nil {
		return u, resultcode.OK
	}
	return nil, resultcode.NoUpstream
}

// pickLocal picks in the local zone or, if its candidate is not good enough, in the
// rest of the local region. It returns nil if neither has a good candidate.
func (p *Picker) pickLocal(q *query) *upstream {
	if p.rand.IntN(exploreOneIn) == 0 {
		return nil
	}
	for _, within := range [...]tier{tierZone, tierRegion} {
		if len(p.pools[within]) == len(p.pools[tierAny]) {
			return nil // all usable upstreams are in this tier
		}
		if u := p.chooseCheaper(p.pools[within], q, false); u != nil && p.goodEnough(u, within, q.t) {
			return u
		}
	}
	return nil
}

// goodEnough reports whether the candidate of a tier has free slots, no recent
// failure and an acceptable latency, so that more distant tiers are not considered.
func (p *Picker) goodEnough(u *upstream, within tier, t time.Duration) bool {
	ramp := u.ramp(t)
	if n := u.slots(); n > 0 && float64(u.inFlight()) >= float64(n)*ramp {
		return false
	}
	if u.failures > 0 && t-u.lastFailureAt < failurePenaltyTime {
		return false
	}
	baseline := p.medianBeyond[within]
	if baseline == 0 {
		baseline = u.averageLatency // nothing is known beyond: compare with its own average
	}
	return baseline == 0 || u.estimatedLatency(t, p.referenceLatency()) <= maxLatencyRatio*baseline
}

// chooseCheaper returns the cheaper of two random upstreams of the pool, or nil if
// no upstream is acceptable. Upstreams in slow start take part with the probability
// of their ramp; with allowSlowStart set the others are used when nothing else is
// left.
func (p *Picker) chooseCheaper(pool []*upstream, q *query, allowSlowStart bool) *upstream {
	a := p.draw(pool, q, nil, allowSlowStart)
	if a == nil || len(pool) == 1 {
		return a
	}
	b := p.draw(pool, q, a, allowSlowStart && !q.participates(a))
	if b == nil || a.cost(q.t, p.referenceLatency()) <= b.cost(q.t, p.referenceLatency()) {
		return a
	}
	return b
}

// draw returns a random acceptable upstream other than except, or nil.
func (p *Picker) draw(pool []*upstream, q *query, except *upstream, allowSlowStart bool) *upstream {
	if len(pool) == 0 {
		return nil
	}
	for range drawTries {
		u := pool[p.rand.IntN(len(pool))]
		if u != except && q.participates(u) && q.accepts(u) {
			return u
		}
	}
	return p.search(pool, q, except, allowSlowStart)
}

// search scans the pool from a random position and returns the first acceptable
// upstream that takes part. If there is none and allowSlowStart is set, it returns
// an acceptable one in slow start.
func (p *Picker) search(pool []*upstream, q *query, except *upstream, allowSlowStart bool) *upstream {
	if len(pool) == 0 {
		return nil
	}
	var inSlowStart *upstream
	for i, start := 0, p.rand.IntN(len(pool)); i < len(pool); i++ {
		u := pool[(start+i)%len(pool)]
		if u == except || !q.accepts(u) {
			continue
		}
		if q.participates(u) {
			return u
		}
		inSlowStart = u
	}
	if !allowSlowStart {
		return nil
	}
	return inSlowStart
}

// participates reports whether the upstream takes part in this pick: always when
// warm, and with the probability of its ramp during slow start. The result is the
// same for every draw of one pick: with an independent result for each draw, a pool
// with few upstreams would draw a cold one again until it took part.
func (q *query) participates(u *upstream) bool {
	if u.warm {
		return true
	}
	var seed [16]byte
	binary.LittleEndian.PutUint64(seed[:8], q.slowStartSeed)
	binary.LittleEndian.PutUint64(seed[8:], u.salt)
	return float64(xxhash.Sum64(seed[:]))/(1<<64) < u.ramp(q.t)
}

func (q *query) accepts(u *upstream) bool {
	if len(q.exclude) > 0 && q.exclude[u.name] {
		return false
	}
	if q.ignoreThresholds || q.priority < u.threshold(q.kind, q.t) {
		return true
	}
	q.thresholdRefused = true
	q.refusedUntil = min(q.refusedUntil, u.thresholds[q.kind].receivedAt+thresholdMaxAge)
	return false
}
