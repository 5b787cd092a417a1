// Package fleetclock estimates the time of day of a fleet from those of its VMs.
//
// Times of day are compared across VMs: the start that an upstream states, and the times in crash reports.
// The clock of one VM may be wrong by any amount, or be set while its daemon runs. The estimate is the
// median of the own clock and of those that other daemons have stated, so that a daemon whose clock is
// wrong agrees with the others to within the time that a message takes. It costs one entry for each of
// maxSources daemons, whatever the size of the fleet.
package fleetclock

import (
	"slices"
	"time"
)

const (
	// maxSources bounds the daemons whose clocks are kept.
	maxSources = 15
	// maxAge is how long a stated time is used. Clocks that are not synchronised drift by
	// milliseconds in that time.
	maxAge = 5 * time.Minute
	// estimateAge is how long an estimate is used if no clock is stated, so that Now costs little for
	// each request.
	estimateAge = time.Second
)

// sample is the time of day that a daemon stated.
type sample struct {
	source string
	stated time.Time
	at     time.Time // local monotonic time
}

// Clock estimates the time of day of a fleet. The zero value knows no other clock. It is not safe for
// concurrent use.
type Clock struct {
	samples []sample // oldest first
	// estimate is the estimate of the local time estimatedAt, zero if the samples have changed since.
	estimate, estimatedAt time.Time
}

// Observe records the time of day that a daemon stated. at is the local time, with its monotonic reading,
// at which the daemon stated it.
func (c *Clock) Observe(source string, at, stated time.Time) {
	c.samples = slices.DeleteFunc(c.samples, func(s sample) bool { return s.source == source })
	if len(c.samples) >= maxSources {
		c.samples = slices.Delete(c.samples, 0, 1)
	}
	c.samples = append(c.samples, sample{source: source, stated: stated.Round(0), at: at})
	c.estimatedAt = time.Time{}
}

// Now returns the estimate, without a monotonic reading. now is the local time, with its monotonic
// reading, and own the time of day of this VM.
func (c *Clock) Now(now, own time.Time) time.Time {
	if age := now.Sub(c.estimatedAt); age < 0 || age >= estimateAge {
		c.estimate, c.estimatedAt = c.median(now, own), now
	}
	return c.estimate.Add(now.Sub(c.estimatedAt))
}

func (c *Clock) median(now, own time.Time) time.Time {
	clocks := []time.Time{own.Round(0)}
	for _, s := range c.samples {
		if age := now.Sub(s.at); age <= maxAge {
			clocks = append(clocks, s.stated.Add(age))
		}
	}
	slices.SortFunc(clocks, time.Time.Compare)
	lower, upper := clocks[(len(clocks)-1)/2], clocks[len(clocks)/2]
	return lower.Add(upper.Sub(lower) / 2)
}
