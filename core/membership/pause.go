package membership

import "time"

// PauseThreshold is the time between two observations above which the process
// counts as paused.
const PauseThreshold = time.Second

// PauseDetector detects pauses of the process. The zero value is ready for use.
type PauseDetector struct{ last time.Time }

// Observe is called at least on every tick. It returns the time since the previous
// observation if that exceeds PauseThreshold, else 0.
func (d *PauseDetector) Observe(now time.Time) (paused time.Duration) {
	gap := now.Sub(d.last)
	first := d.last.IsZero()
	d.last = now
	if first || gap <= PauseThreshold {
		return 0
	}
	return gap
}
