package configsource

import (
	"math/rand/v2"
	"time"
)

const (
	// MinInterval is the shortest time between two reads by one daemon.
	MinInterval = time.Second
	// FleetReadsPerSecond is the rate of reads of one kind by the whole fleet,
	// for any size. It is 1% of the service's capacity.
	FleetReadsPerSecond = 20
	// jitter is the largest relative change of an interval. It keeps daemons that
	// started together from reading together.
	jitter = 0.2
	// maxBackoff is the largest factor by which errors lengthen the interval. A
	// single daemon then reads again 4.8 s after the service recovered, within
	// the 5 s for a configuration; a large fleet still makes 5 reads a second,
	// and the first daemon that succeeds tells the others.
	maxBackoff = 4
)

// Poller is the schedule of one daemon's reads of one kind.
type Poller struct {
	rand   *rand.Rand
	factor int
}

// NewPoller returns a schedule that takes its jitter from r.
func NewPoller(r *rand.Rand) *Poller { return &Poller{rand: r, factor: 1} }

// Interval returns the mean time between two reads by one daemon of a fleet,
// without errors.
func Interval(daemons int) time.Duration {
	return max(MinInterval, time.Duration(daemons)*time.Second/FleetReadsPerSecond)
}

// Next returns the time of the next read, given that the previous one ended at now
// with err. daemons is the number of daemons in the fleet. The first read of a
// daemon is made at once and does not go through Next.
func (p *Poller) Next(now time.Time, daemons int, err error) time.Time {
	if err != nil {
		p.factor = min(p.factor*2, maxBackoff)
	} else {
		p.factor = 1
	}
	spread := 1 + jitter*(2*p.rand.Float64()-1)
	d := float64(Interval(daemons)) * float64(p.factor) * spread
	return now.Add(max(MinInterval, time.Duration(d)))
}
