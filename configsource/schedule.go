package configsource

import (
	"math/rand/v2"
	"time"
)

const (
	// MinInterval is the shortest time between two reads by one daemon.
	MinInterval = time.Second
	// FleetReadsPerSecond bounds the mean rate of reads of one resource, the
	// configuration or the VM list, by a fleet of any size. It is 1% of the
	// capacity of the service.
	FleetReadsPerSecond = 20
	// jitter is the largest relative change of an interval. It prevents daemons
	// that started at the same time from reading at the same time.
	jitter = 0.2
	// maxBackoffFactor is the largest factor by which errors lengthen the
	// interval. With it, a single daemon reads again at most 4.8 s after the
	// service has recovered, within the 5 s allowed for a configuration; a large
	// fleet still makes 5 reads a second, and the first daemon that succeeds
	// passes the configuration on to the others.
	maxBackoffFactor = 4
)

// Schedule computes the times of one daemon's reads of one resource.
type Schedule struct {
	rand          *rand.Rand
	backoffFactor int
}

// NewSchedule returns a schedule that takes its jitter from r.
func NewSchedule(r *rand.Rand) *Schedule { return &Schedule{rand: r, backoffFactor: 1} }

// Interval returns the mean time between two reads by one daemon of a fleet while
// reads succeed. daemons is the number of daemons in the fleet.
func Interval(daemons int) time.Duration {
	return max(MinInterval, time.Duration(daemons)*time.Second/FleetReadsPerSecond)
}

// Next returns the time of the next read, given that the previous one ended at now
// with err. daemons is the number of daemons in the fleet. The first read of a
// daemon is made immediately, without a call of Next.
func (s *Schedule) Next(now time.Time, daemons int, err error) time.Time {
	if err != nil {
		s.backoffFactor = min(s.backoffFactor*2, maxBackoffFactor)
	} else {
		s.backoffFactor = 1
	}
	jitterFactor := 1 + jitter*(2*s.rand.Float64()-1)
	interval := float64(Interval(daemons)) * float64(s.backoffFactor) * jitterFactor
	return now.Add(max(MinInterval, time.Duration(interval)))
}
