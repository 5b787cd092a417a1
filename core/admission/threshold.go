package admission

import (
	"time"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
)

const (
	// updateInterval is the time between two updates of the threshold.
	updateInterval = 50 * time.Millisecond
	// smoothingWeight is the weight of the last interval in the smoothed rates. It
	// gives a time constant of about 250 ms, short enough to follow within a second.
	smoothingWeight = 0.2
	// staleInterval is the length of an interval above which the earlier rates are
	// discarded as outdated, for example after a pause of the process.
	staleInterval = time.Second
	// raiseStep is the largest rise of the threshold per interval, counted from the
	// first refused level at which requests arrive. It is one rank: daemons closer
	// to the caller may refuse most of what would arrive at or above the threshold,
	// so raising it further at once can admit far more than the histogram shows.
	raiseStep = callmeta.LevelsPerRank
	// queueGain is the share of the difference from the queue target that one
	// interval corrects. Correcting all of it at once makes a slow server alternate
	// between a full queue and unused slots.
	queueGain = 0.25
	// minAdmittedShare is the smallest share of the capacity that is admitted while the
	// queue is too long.
	minAdmittedShare = 0.5
	// maxUnusedFactor bounds the factor by which unused slots raise the estimated
	// capacity per interval; the number of free slots at one instant is noisy.
	maxUnusedFactor = 2
	// emptyRate is the arrival rate per interval below which the histogram counts
	// as empty.
	emptyRate = 0.01
)

// threshold computes the admission threshold.
type threshold struct {
	value         int
	intervalStart time.Time // start of the current interval; zero before the first arrival
	arrivals      [callmeta.MaxPriority]uint32
	arrivalRates  [callmeta.MaxPriority]float64 // arrivals per interval, smoothed
	totalRate     float64                       // sum of arrivalRates
	arrivalCount  int                           // arrivals in the current interval
	completed     int                           // completions in the current interval
	capacity      float64                       // completions per interval, smoothed
	skipped       bool                          // the current interval is left out of the rates
}

// occupancy is the state of the slots and the queue at an update, with the bounds
// that apply to it.
type occupancy struct {
	limit        int // used and unused slots
	free         int // unused slots
	queued       int
	targetQueued int // queued requests that the threshold aims at
	minThreshold int // lowest threshold that may be set
}

func (t *threshold) arrive(priority int) {
	t.arrivals[priority]++
	t.arrivalCount++
}

// lowerTo lowers the threshold so that only priorities up to highest are admitted.
func (t *threshold) lowerTo(highest int) { t.value = min(t.value, highest+1) }

// idle reports whether no update is needed until the next arrival.
func (t *threshold) idle() bool {
	return t.value == callmeta.MaxPriority && t.arrivalCount == 0 && t.totalRate < emptyRate
}

func (t *threshold) due() time.Time { return t.intervalStart.Add(updateInterval) }

// update ends an interval at now.
func (t *threshold) update(now time.Time, o occupancy) {
	elapsed := now.Sub(t.intervalStart)
	t.intervalStart = now
	t.smooth(float64(updateInterval)/float64(elapsed), elapsed > staleInterval)
	t.value = min(max(t.compute(o), o.minThreshold), t.upperBound())
}

func (t *threshold) compute(o occupancy) int {
	if o.free > 0 && o.queued == 0 {
		// Nothing is queued, so there is no overload. Fewer requests complete than
		// the capacity allows, because slots are unused.
		unused := min(float64(o.limit)/float64(max(o.limit-o.free, 1)), maxUnusedFactor)
		return max(t.lowestAdmitting(t.capacity*unused+float64(o.free)), t.value)
	}
	correction := queueGain * float64(o.targetQueued-o.queued)
	return t.lowestAdmitting(max(t.capacity+float64(o.free)+correction, minAdmittedShare*t.capacity))
}

// upperBound returns the highest threshold that may follow the present one.
func (t *threshold) upperBound() int {
	p := t.value
	for p < callmeta.MaxPriority && t.arrivalRates[p] < emptyRate {
		p++
	}
	return min(p+raiseStep, callmeta.MaxPriority)
}

// smooth folds the counts of the interval into the rates. scale converts a count
// to one interval; stale discards the earlier rates.
func (t *threshold) smooth(scale float64, stale bool) {
	defer t.resetCounts()
	if t.skipped {
		return
	}
	weight := smoothingWeight
	if stale {
		weight = 1
	}
	t.totalRate = 0
	for p := range t.arrivalRates {
		t.arrivalRates[p] += (float64(t.arrivals[p])*scale - t.arrivalRates[p]) * weight
		t.totalRate += t.arrivalRates[p]
	}
	t.capacity += (float64(t.completed)*scale - t.capacity) * weight
}

// resetCounts resets the counts for the next interval.
func (t *threshold) resetCounts() {
	clear(t.arrivals[:])
	t.arrivalCount, t.completed, t.skipped = 0, 0, false
}

// skipInterval discards the counts of the current interval and starts one at now whose
// arrivals and completions are left out of the rates as well, because they queued up
// during a pause.
func (t *threshold) skipInterval(now time.Time) {
	t.resetCounts()
	t.intervalStart, t.skipped = now, true
}

// lowestAdmitting returns the lowest threshold below which at least allowance requests
// arrive per interval, or callmeta.MaxPriority if no more arrive in total. The level
// that crosses the allowance is admitted: the queue refuses the excess in order of
// priority, whereas too little admitted load leaves slots unused.
func (t *threshold) lowestAdmitting(allowance float64) int {
	if t.totalRate <= allowance {
		return callmeta.MaxPriority
	}
	var sum float64
	for p, rate := range t.arrivalRates {
		if sum >= allowance {
			return p
		}
		sum += rate
	}
	return callmeta.MaxPriority
}
