package admission

import "time"

const (
	// maxKinds bounds the kinds with a typical run time; requests of other kinds are
	// not refused for a short remaining time.
	maxKinds = 256
	// sampleWeight is the weight of a new sample in the moving average.
	sampleWeight = 0.1
	// minSamples is the number of runs from which on the average is used.
	minSamples = 16
	// staleAfter is how long the average is kept without a run of the kind, in
	// addition to one typical run time.
	staleAfter = 500 * time.Millisecond
	// halfLife is the time in which a stale average halves.
	halfLife = 250 * time.Millisecond
)

// runTime is the moving average of the run times of one kind.
type runTime struct {
	mean    time.Duration
	samples int
	last    time.Time
}

// runTimes holds the typical run times by kind.
type runTimes map[string]*runTime

func (t runTimes) observe(now time.Time, kind string, d time.Duration) {
	r, ok := t[kind]
	if !ok {
		if len(t) >= maxKinds {
			return
		}
		r = &runTime{}
		t[kind] = r
	}
	r.mean = r.typical(now)
	r.samples++
	weight := max(sampleWeight, 1/float64(r.samples))
	r.mean += time.Duration(weight * float64(d-r.mean))
	r.last = now
}

// typical returns the typical run time of a kind, 0 if it is not known.
func (t runTimes) typical(now time.Time, kind string) time.Duration {
	r, ok := t[kind]
	if !ok || r.samples < minSamples {
		return 0
	}
	return r.typical(now)
}

// typical returns the average, halved when it becomes stale and again after each
// half-life.
func (r *runTime) typical(now time.Time) time.Duration {
	idle := now.Sub(r.last) - r.mean - staleAfter
	if idle <= 0 {
		return r.mean
	}
	return r.mean >> min(int(idle/halfLife)+1, 62)
}
