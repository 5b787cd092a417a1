package watchers

import "time"

const (
	// minPause is the pause after a watch that returned changes, because changes often come in groups.
	minPause = 100 * time.Millisecond
	// maxPause bounds the pause while changes keep coming, as when a fleet starts or many upstreams
	// are replaced. It is a small part of the time in which a change must be in force.
	maxPause = 400 * time.Millisecond
	// quietTime is how long after a pause no further change must come for the next one to be the
	// first of a group.
	quietTime = 250 * time.Millisecond
)

// Pauses decides how long a daemon waits after a watch that returned changes before it watches again.
// Each watch that returns is a read of the store: without longer pauses in a series of changes, the
// reads of a starting fleet grow with the square of its size. The first change after a quiet time is
// never delayed. The zero value is ready for use. It is not safe for concurrent use.
type Pauses struct {
	pause time.Duration
	last  time.Time // when the latest watch with changes returned
}

// Next returns the pause after a watch that has returned changes.
func (p *Pauses) Next(now time.Time) time.Duration {
	if now.Sub(p.last) > p.pause+quietTime {
		p.pause = minPause
	} else {
		p.pause = min(2*p.pause, maxPause)
	}
	p.last = now
	return p.pause
}
