package loadshed

import (
	"math"
	"time"
)

const (
	// latencyWeight is the weight of one call in the average latency of the backend server's calls.
	latencyWeight = 0.05
	// runsToTell is the number of runs after which a kind is judged, and runsKept the number to
	// which they are reduced then.
	runsToTell, runsKept = 200, 100
	// minSpread is how far the latency of calls must have varied for a judgement, as a multiple of
	// its mean: a standard deviation.
	minSpread = 0.25
	// maxUnjudged is the number of judgements that may be missing, as the latency does not vary,
	// until a kind is taken to make calls again.
	maxUnjudged = 20
	// callFreeSlope is the change of the run time of a kind with the latency of calls, below which
	// its runs are taken to make no calls. It is 1 for one call in each run.
	// A slope below its negative has another cause, and tells nothing.
	callFreeSlope = 0.2
	// maxRunFactor bounds one run time as a multiple of the mean of its kind: few runs take much longer
	// than the others.
	maxRunFactor = 2
	// maxKinds bounds the number of kinds that are counted. A further one clears all counts.
	maxKinds = 256
)

// Dependence infers which kinds of request make no calls while they run: those whose run times don't follow the
// latency of the backend server's calls. Kinds of which not enough is known are taken to make calls.
type Dependence struct {
	latency float64 // average of the calls, in seconds
	kinds   map[string]*regression
}

// regression holds the sums for a linear regression of run times on latencies, both in seconds.
type regression struct {
	n, run, latency, product, square float64
	callFree                         bool
	unjudged                         int // judgements that were missing since the latest
}

// NewDependence returns a Dependence that knows no kinds.
func NewDependence() *Dependence { return &Dependence{kinds: make(map[string]*regression)} }

// CallEnded records the latency of a call of the backend server.
func (d *Dependence) CallEnded(latency time.Duration) {
	if d.latency == 0 {
		d.latency = latency.Seconds()
	}
	d.latency += latencyWeight * (latency.Seconds() - d.latency)
}

// RunEnded records the time of a run at the backend server.
func (d *Dependence) RunEnded(kind string, run time.Duration) {
	if d.latency == 0 {
		return
	}
	r := d.kinds[kind]
	if r == nil {
		if len(d.kinds) >= maxKinds {
			clear(d.kinds)
		}
		r = new(regression)
		d.kinds[kind] = r
	}
	r.add(run.Seconds(), d.latency)
}

// CallFree reports whether requests of the kind are known to make no calls.
func (d *Dependence) CallFree(kind string) bool {
	r := d.kinds[kind]
	return r != nil && r.callFree
}

func (r *regression) add(run, latency float64) {
	if r.n > 0 {
		run = min(run, maxRunFactor*r.run/r.n)
	}
	r.n, r.run, r.latency = r.n+1, r.run+run, r.latency+latency
	r.product, r.square = r.product+run*latency, r.square+latency*latency
	if r.n < runsToTell {
		return
	}
	mean := r.latency / r.n
	variance := r.square/r.n - mean*mean
	if variance > minSpread*minSpread*mean*mean {
		covariance := r.product/r.n - mean*r.run/r.n
		r.callFree = math.Abs(covariance) < callFreeSlope*variance
		r.unjudged = 0
	} else if r.unjudged++; r.unjudged >= maxUnjudged {
		r.callFree = false
	}
	keep := runsKept / r.n
	r.n, r.run, r.latency, r.product, r.square = runsKept, r.run*keep, r.latency*keep, r.product*keep, r.square*keep
}
