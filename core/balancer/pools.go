package balancer

import (
	"slices"
	"sort"
	"time"
)

// refreshInterval is the time between computations of the medians, which saves a
// pick from visiting all upstreams.
const refreshInterval = 100 * time.Millisecond

// refresh rebuilds the pools if they are outdated. Every refreshInterval it also
// ends slow starts, recomputes the medians and ejects slow upstreams.
func (p *Picker) refresh(t time.Duration) {
	due := t-p.refreshedAt >= refreshInterval
	if due {
		p.finishWarming(t)
	}
	if p.poolsStale {
		p.rebuildPools()
	}
	if !due {
		return
	}
	p.refreshedAt = t
	p.updateMedians(t)
	p.ejectSlow(t)
	if p.poolsStale {
		p.rebuildPools()
	}
}

func (p *Picker) finishWarming(t time.Duration) {
	for _, u := range p.present {
		if u.machine.State() == stateWarming && u.ramp(t) >= 1 {
			u.machine.Fire(eventWarmed)
			u.warm = true
		}
	}
}

func (p *Picker) ejectSlow(t time.Duration) {
	if p.medianLatency == 0 {
		return
	}
	for _, u := range p.pools[tierAny] {
		if u.machine.State() != stateHealthy || !p.tooSlow(u.estimatedLatency(t, p.referenceLatency())) {
			continue
		}
		// Attempts that have been running longer than slowLimit count as slow.
		if u.slow+u.startedBefore(t-p.slowLimit()) >= slowExcessToEject {
			p.eject(t, u)
		}
	}
}

// startedBefore returns how many running attempts started before start.
func (u *upstream) startedBefore(start time.Duration) int {
	return sort.Search(len(u.starts), func(i int) bool { return u.starts[i] >= start })
}

// updateMedians computes the median latency of the service and the one beyond each
// tier.
func (p *Picker) updateMedians(t time.Duration) {
	p.medianLatency = p.medianEstimate(p.present, t, -1)
	for within := range tierAny {
		p.medianBeyond[within] = p.medianEstimate(p.pools[tierAny], t, within)
	}
}

// referenceLatency returns the latency that is assumed for an upstream without
// samples: the median, or initialLatency while there is none.
func (p *Picker) referenceLatency() time.Duration {
	if p.medianLatency == 0 {
		return initialLatency
	}
	return p.medianLatency
}

// medianEstimate returns the lower median of the estimated latencies of the
// upstreams beyond the tier that have samples or running attempts; 0 if there are
// none. With the lower median, one of two upstreams can be ejected as slow.
func (p *Picker) medianEstimate(upstreams []*upstream, t time.Duration, beyond tier) time.Duration {
	p.scratch = p.scratch[:0]
	for _, u := range upstreams {
		if u.tier > beyond && (u.sampleCount > 0 || u.inFlight() > 0) {
			p.scratch = append(p.scratch, u.estimatedLatency(t, p.referenceLatency()))
		}
	}
	if len(p.scratch) == 0 {
		return 0
	}
	slices.Sort(p.scratch)
	return p.scratch[(len(p.scratch)-1)/2]
}

// rebuildPools assigns the upstreams to pools. When more than the allowed share is
// ejected, because others are leaving or gone, all that are not leaving are used.
func (p *Picker) rebuildPools() {
	p.poolsStale = false
	p.cachedRefusals = [maxKinds]cachedRefusal{}
	p.collectUpstreams()
	includeEjected := len(p.ejected) > maxEjected(p.servingCount)
	for i := range p.pools {
		p.pools[i] = p.pools[i][:0]
	}
	for _, u := range p.present {
		if usable(u, includeEjected) {
			if u.tier != tierAny {
				p.pools[u.tier] = append(p.pools[u.tier], u)
			}
			p.pools[tierAny] = append(p.pools[tierAny], u)
		}
	}
}

func usable(u *upstream, includeEjected bool) bool {
	switch u.machine.State() {
	case stateLeaving, stateGone:
		return false
	case stateEjected, stateProbing:
		return includeEjected
	}
	return true
}

// collectUpstreams rebuilds the lists that the pools are made from, sorted by name,
// so that equal seeds give equal picks.
func (p *Picker) collectUpstreams() {
	p.present, p.ejected = p.present[:0], p.ejected[:0]
	p.servingCount, p.nextEjectionEnd = 0, never
	for _, u := range p.byName {
		if u.machine.State() != stateGone {
			p.present = append(p.present, u)
		}
	}
	slices.SortFunc(p.present, byName)
	total := 0
	for _, u := range p.present {
		total += u.slots()
		p.addServing(u)
	}
	p.slots = float64(total) / float64(max(len(p.present), 1))
	for _, u := range p.present {
		p.updateWeight(u)
	}
}

func (p *Picker) addServing(u *upstream) {
	switch u.machine.State() {
	case stateLeaving:
		return
	case stateEjected, stateProbing:
		p.ejected = append(p.ejected, u)
		p.nextEjectionEnd = min(p.nextEjectionEnd, u.ejection.until)
	}
	p.servingCount++
}

func (p *Picker) updateWeight(u *upstream) {
	u.weight = 1
	if n := u.slots(); n > 0 && p.slots > 0 {
		u.weight = float64(n) / p.slots
	}
}
