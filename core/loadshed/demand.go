package loadshed

import (
	"maps"
	"slices"
)

const (
	// targetDemand is the demand for a service that is aimed at where nothing is refused. Upstreams
	// differ, so that some have queues before all are in use. An entry aims at more the more it refuses,
	// by targetDroop at most: entries see the same demand, and those that refuse more than others would
	// otherwise go on doing so.
	targetDemand = 0.95
	targetDroop  = 0.05
	// lowDemand is the demand below which nothing is to be refused, whatever has been refused before:
	// what was refused may have caused less of the demand than what was admitted.
	lowDemand = 0.5
	// responseTicks is the time after which the calls of a request begin to show in the reported
	// demand, and spreadTicks the time over which they are spread.
	responseTicks, spreadTicks = 2, 12
	// riseWeight and fallWeight are the weights of a new share when it is higher and when it is
	// lower than the one in force.
	riseWeight, fallWeight = 0.2, 0.3
	// rankDecay is how much of the weight of a rank is left after one tick.
	rankDecay = 0.95
	// minRefused is the share below which none is refused, and minRankWeight the number of recent
	// requests below which a rank is dropped.
	minRefused, minRankWeight = 0.01, 0.01
	// minArrivals is the number of requests below which their admitted share is not known.
	minArrivals = 3
)

// demandShare computes which share of the requests that lead to a service is refused so that the demand
// for it meets the target.
type demandShare struct {
	share  float64         // of the requests of all ranks
	byRank map[int]float64 // what is refused of each rank
	weight map[int]float64 // recent requests of each rank
	ticks  [responseTicks + spreadTicks]traffic
	now    int // index of the current tick
}

// traffic is the requests of one tick: how many arrived, and how many are expected to have been admitted.
type traffic struct{ arrived, admitted float64 }

func newDemandShare() demandShare {
	return demandShare{byRank: make(map[int]float64), weight: make(map[int]float64)}
}

// refused returns the share of a rank that is refused.
func (d *demandShare) refused(rank int) float64 { return d.byRank[rank] }

func (d *demandShare) refuses() bool { return d.share > 0 }

// highest returns the highest share of a rank.
func (d *demandShare) highest() float64 {
	highest := 0.0
	for _, share := range d.byRank {
		highest = max(highest, share)
	}
	return highest
}

// count records a request of a rank and the probability that it is admitted.
func (d *demandShare) count(rank int, admitted float64) {
	t := &d.ticks[d.now]
	t.arrived++
	t.admitted += admitted
	d.weight[rank]++
}

// tick ends a tick in which the reported demand was the given one.
func (d *demandShare) tick(demand float64) {
	wanted, target := 0.0, d.target()
	if offered := demand / d.admittedBefore(); offered > target && demand > lowDemand {
		wanted = 1 - target/offered
	}
	weight := fallWeight
	if wanted > d.share {
		weight = riseWeight
	}
	d.share += weight * (wanted - d.share)
	if d.share < minRefused && wanted == 0 {
		d.share = 0
	}
	d.divide()
	d.now = (d.now + 1) % len(d.ticks)
	d.ticks[d.now] = traffic{}
}

// target returns the demand that is aimed at.
func (d *demandShare) target() float64 { return targetDemand + targetDroop*d.share }

// admittedBefore returns the share of the requests that was admitted when those entered that cause the
// demand now.
func (d *demandShare) admittedBefore() float64 {
	sum := traffic{}
	for age := responseTicks; age < len(d.ticks); age++ {
		t := d.ticks[(d.now-age+len(d.ticks))%len(d.ticks)]
		sum.arrived += t.arrived
		sum.admitted += t.admitted
	}
	if sum.arrived < minArrivals {
		return 1 - d.share
	}
	return sum.admitted / sum.arrived
}

// divide divides the refused share among the ranks, the least important first.
func (d *demandShare) divide() {
	total := 0.0
	for rank, weight := range d.weight {
		if weight < minRankWeight {
			delete(d.weight, rank)
			delete(d.byRank, rank)
			continue
		}
		total += weight
		d.weight[rank] = weight * rankDecay
	}
	remaining := d.share * total
	for _, rank := range slices.Backward(slices.Sorted(maps.Keys(d.weight))) {
		weight := d.weight[rank] / rankDecay
		d.byRank[rank] = min(remaining/weight, 1-minAdmittedShare)
		remaining -= d.byRank[rank] * weight
	}
}
