package limit

import (
	"math"
	"time"
)

const (
	// MaxKinds bounds the kinds that have a latency minimum of their own.
	MaxKinds = 64

	// windowLength is the shortest time between two decisions. It leaves room
	// for several decisions within the second in which the limit has to follow.
	windowLength = 100 * time.Millisecond
	// cutSamples is the number of samples that closes the window after a cut, which
	// decides whether the cut lowered latency. The mean of 64 exponentially
	// distributed latencies has a standard error of 12.5%, small enough to tell a cut
	// from no change.
	cutSamples = 64
	// deepCutSamples is enough after cuts to less than half, where queuing and slow
	// runs predict very different latencies. A slow server answers few requests
	// at such a limit, and waiting for more would cost requests of rank 0.
	deepCutSamples = 24
	// steadySamples closes windows outside experiments. An error is corrected by the
	// following windows. At low limits, where so many samples would take too long,
	// samplesPerLimit times the limit is enough, but not less than minSamples.
	steadySamples   = 48
	minSamples      = 16
	samplesPerLimit = 2
	// windowMaxLength closes a window with fewer samples, so that a slow server
	// still gets about one decision per second.
	windowMaxLength = time.Second

	// congestedRatio is the latency ratio above which a window counts as congested;
	// the limit is cut after two such windows.
	congestedRatio = 1.5
	// risingFactor is the factor between the ratios of two windows above which latency
	// is still rising. A cut is compared with the ratio before it, which must not be
	// from the middle of a rise: a queuing server would then seem not to improve.
	risingFactor = 1.5
	// uncongestedRatio is the latency ratio below which the limit may grow.
	uncongestedRatio = 1.2
	// deepestCut and smallestCut bound the factor of one cut. The first bounds the
	// throughput lost when the server turns out to be slow and not queuing; the second
	// makes the difference larger than the noise.
	deepestCut, smallestCut = 0.6, 0.65
	// settleFactor times the mean elapsed time of requests is the time after a change
	// of the limit in which samples are left out. The requests that end first are the
	// short ones, and a minimum taken from them would be a quarter too low.
	settleFactor = 2
	// growFactor is the first growth of the limit, and growAgainFactor the growth in
	// each window directly after one. Together they bring a limit of a fifth back to
	// the slots in three steps, which leaves time within the second for admission.
	growFactor, growAgainFactor = 1.5, 2
	// reachedShare is the share of the limit that the mean number of running requests
	// has to exceed for the limit to count as reached. Peaks do not count: random
	// arrivals at moderate load reach the limit briefly without being limited by it.
	reachedShare = 0.85
	// additivePeriod is how long after a drop the limit grows by one per window.
	additivePeriod = time.Second
)

// Sample is one request that the backend server finished or dropped.
type Sample struct {
	// Kind is the request kind. Latencies are compared within one kind only.
	Kind string
	// Latency is the time from start to end as measured by the daemon, without the
	// time spent waiting for downstream calls, which does not depend on this server.
	Latency time.Duration
	// Elapsed is the time from start to end including downstream calls; 0 if it equals
	// Latency.
	Elapsed time.Duration
	// InFlight is the number of running requests, including this one, when it ended.
	InFlight int
	// Dropped reports that the backend server refused the request. The latency of
	// a dropped request is ignored.
	Dropped bool
}

// phase is the state of the experiment that the current window belongs to, if any.
type phase uint8

const (
	steady     phase = iota // no experiment is running
	testingCut              // the limit was cut; the window shows whether latency falls
)

// Limiter adapts the concurrency limit of one backend server. It is not safe for
// concurrent use.
type Limiter struct {
	slots     int
	limit     float64
	kinds     kindTable
	window    window
	changedAt time.Time // last change of the limit; latencies of requests started earlier are left out
	countFrom time.Time // samples that ended earlier are left out

	phase       phase
	beforeLimit float64 // limit before the first cut of the experiment
	beforeRatio float64 // latency ratio before the first cut of the experiment

	grew               bool    // the last window outside an experiment raised the limit
	lastCongestedRatio float64 // ratio of the last window if it was congested, else 0

	lastDrop time.Time
}

// New returns a limiter for a backend server with the given published slots;
// values below 1 count as 1.
func New(slots int) *Limiter {
	slots = max(slots, 1)
	return &Limiter{
		slots: slots,
		limit: float64(slots),
		kinds: newKindTable(),
	}
}

// Limit returns the number of requests that may run at once.
func (l *Limiter) Limit() int { return int(l.limit) }

// SetSlots changes the published slots and scales the limit with them; values below 1
// count as 1.
func (l *Limiter) SetSlots(slots int) {
	slots = max(slots, 1)
	if slots == l.slots {
		return
	}
	scale := float64(slots) / float64(l.slots)
	l.slots = slots
	l.phase = steady
	l.limit = l.clamp(l.limit * scale)
}

// ResumeAfterPause must be called after a pause of the process. It discards the
// current window and undoes the cuts of a running experiment. The limit and the latency
// minimums are otherwise kept.
func (l *Limiter) ResumeAfterPause(now time.Time) {
	if l.phase != steady {
		l.limit = l.clamp(min(l.beforeLimit, float64(l.slots)))
	}
	l.phase = steady
	l.changedAt, l.countFrom = now, now
	l.startWindow(now)
}

// Observe records one sample that ended at now and may change the limit.
func (l *Limiter) Observe(now time.Time, s Sample) {
	if l.window.start.IsZero() {
		l.startWindow(now)
	}
	if s.Dropped {
		l.lastDrop = now
	}
	if now.Before(l.countFrom) {
		return
	}
	l.countSample(now, s)
	if l.window.complete(now, l.samplesNeeded()) {
		l.decide(now)
		l.startWindow(now)
	}
}

// countSample adds a sample to the current window. Only latencies of requests started
// after the last change of the limit are used.
func (l *Limiter) countSample(now time.Time, s Sample) {
	s.Latency = max(s.Latency, 0)
	elapsed := max(s.Elapsed, s.Latency)
	if !s.Dropped {
		l.window.totalElapsed += elapsed
	}
	switch {
	case s.Dropped:
		l.window.dropped++
	case !now.Add(-elapsed).Before(l.changedAt):
		l.kinds.add(s.Kind, s.Latency)
		l.window.finished++
	}
	l.window.inFlightSum += s.InFlight
	l.window.samples++
}

// samplesNeeded returns the number of samples that closes the current window. The
// window after a cut always gets enough, because a wrong decision there raises the
// minimum and with it the limit.
func (l *Limiter) samplesNeeded() int {
	switch {
	case l.phase == testingCut && l.limit < l.beforeLimit/2:
		return deepCutSamples
	case l.phase != steady:
		return cutSamples
	}
	return min(max(samplesPerLimit*l.Limit(), minSamples), steadySamples)
}

func (l *Limiter) startWindow(now time.Time) {
	l.window = window{start: now}
	if l.countFrom.After(now) {
		l.window.start = l.countFrom
	}
	l.kinds.clearWindow()
}

// decide evaluates a complete window.
func (l *Limiter) decide(now time.Time) {
	if l.window.dropped > 0 {
		l.cutForDrops(now)
		return
	}
	ratio, known := l.kinds.ratio()
	if !known {
		l.kinds.setInitialMinimums(1)
		return
	}
	l.kinds.setInitialMinimums(ratio)
	switch l.phase {
	case testingCut:
		l.evaluateCut(now, ratio)
	default:
		l.adjust(now, ratio)
	}
}

// cutForDrops lowers the limit after the server dropped requests. The time spent in
// runs divided by the length of the window is the number of requests that the server
// accepted at once. The share of drops is no measure of it: a server that refuses
// quickly refuses nearly all of the requests even if the limit is only a little too
// high.
func (l *Limiter) cutForDrops(now time.Time) {
	accepted := float64(l.window.totalElapsed) / float64(now.Sub(l.window.start))
	l.phase = steady
	l.setLimit(now, min(l.limit, max(deepestCut*l.limit, accepted+1)))
}

// adjust starts an experiment or lets the limit grow after a window outside an
// experiment.
func (l *Limiter) adjust(now time.Time, ratio float64) {
	reached, grew := l.reached(), l.grew
	l.grew = false
	switch {
	case reached && ratio > congestedRatio:
		l.checkCongestion(now, ratio)
	case l.limit < float64(l.slots) && ratio < uncongestedRatio:
		l.growLimit(now, grew)
	}
	l.kinds.adjustMinimums(!reached)
	if ratio <= congestedRatio {
		l.lastCongestedRatio = 0
	}
}

// checkCongestion starts an experiment in the second congested window in a row, or
// later if latency still rises.
func (l *Limiter) checkCongestion(now time.Time, ratio float64) {
	earlier := l.lastCongestedRatio
	l.lastCongestedRatio = ratio
	if earlier == 0 || ratio > risingFactor*earlier {
		return
	}
	l.beforeLimit, l.beforeRatio = l.limit, ratio
	l.startCut(now, ratio)
}

// reached reports whether the limit held requests back during the window, that is
// whether the mean number of running requests was at least reachedShare of it.
func (l *Limiter) reached() bool {
	return float64(l.window.inFlightSum) >= reachedShare*float64(l.Limit()*l.window.samples)
}

// startCut lowers the limit to find out whether latency falls with it.
func (l *Limiter) startCut(now time.Time, ratio float64) {
	target := l.limit * min(max(deepestCut, uncongestedRatio/ratio), smallestCut)
	if int(l.clamp(target)) == l.Limit() {
		// The limit cannot fall any further, so the limit does not cause the latency.
		l.raiseMinimums(now, ratio)
		return
	}
	l.phase = testingCut
	l.setLimit(now, target)
}

// evaluateCut decides whether the server queues or has become slow.
func (l *Limiter) evaluateCut(now time.Time, ratio float64) {
	improved := ratio < l.beforeRatio*improvedBelow(l.limit/l.beforeLimit)
	switch {
	case ratio > uncongestedRatio && !improved:
		l.raiseMinimums(now, ratio)
	case ratio > congestedRatio:
		l.startCut(now, ratio)
	default:
		// Aiming at no queuing at all would leave slots of the server unused half
		// of the time, so the limit goes to where uncongestedRatio is expected.
		l.phase = steady
		l.kinds.adjustMinimums(false)
		l.setLimit(now, max(l.limit, l.beforeLimit*uncongestedRatio/l.beforeRatio))
	}
}

// improvedBelow returns the share of the earlier latency ratio below which a cut
// by factor counts as an improvement. Queuing predicts factor and a slow server
// predicts 1; the geometric mean makes both mistakes equally unlikely.
func improvedBelow(factor float64) float64 { return math.Sqrt(factor) }

// raiseMinimums raises the minimums to the present latency, ends the experiment and
// undoes its cuts.
func (l *Limiter) raiseMinimums(now time.Time, ratio float64) {
	l.kinds.raiseMinimums(ratio)
	l.phase = steady
	l.setLimit(now, l.beforeLimit)
}

func (l *Limiter) growLimit(now time.Time, again bool) {
	l.grew = true
	next := l.limit * growFactor
	if again {
		next = l.limit * growAgainFactor
	}
	if now.Sub(l.lastDrop) < additivePeriod {
		next = l.limit + 1
	}
	l.setLimit(now, min(max(next, l.limit+1), float64(l.slots)))
}

func (l *Limiter) setLimit(now time.Time, limit float64) {
	limit = l.clamp(limit)
	if limit != l.limit {
		l.limit, l.changedAt = limit, now
		l.lastCongestedRatio = 0
		l.countFrom = now.Add(time.Duration(settleFactor * float64(l.window.meanElapsed())))
	}
}

func (l *Limiter) clamp(limit float64) float64 {
	return min(max(limit, 1), float64(l.slots))
}

// window counts the samples since the last decision.
type window struct {
	start                time.Time
	finished, dropped    int           // samples that are used for decisions
	totalElapsed         time.Duration // sum of the elapsed times of all samples that were not dropped
	samples, inFlightSum int           // number of all samples and sum of their InFlight
}

func (w window) meanElapsed() time.Duration {
	return w.totalElapsed / time.Duration(max(w.samples-w.dropped, 1))
}

func (w window) complete(now time.Time, samples int) bool {
	length, count := now.Sub(w.start), w.finished+w.dropped
	return length >= windowLength && count >= samples || length >= windowMaxLength && count > 0
}
