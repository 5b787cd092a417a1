package dispatch

import "time"

const (
	// longestRunWindow is the length of the windows in which the longest run of a route is kept; the present
	// and the previous one count.
	longestRunWindow = 30 * time.Second
	// longestRunMargin is how much longer than the longest of many runs the next one is expected to take at
	// most. After n runs it is 1 + longestRunPrior/n if that is more: the next run of any distribution is the
	// longest so far once in n + 1 times, and of one with a long tail much longer.
	longestRunMargin = 1.25
	longestRunPrior  = 16
)

// runWindow holds what is known of the runs in a window of time.
type runWindow struct {
	longest time.Duration
	count   int
}

// longestRun bounds the time of the next run of a route. The zero value knows nothing.
type longestRun struct {
	current, previous runWindow
	start             time.Time // of current
}

func (l *longestRun) advance(now time.Time) {
	switch age := now.Sub(l.start); {
	case age >= 2*longestRunWindow:
		l.current, l.previous, l.start = runWindow{}, runWindow{}, now
	case age >= longestRunWindow:
		l.current, l.previous, l.start = runWindow{}, l.current, l.start.Add(longestRunWindow)
	}
}

func (l *longestRun) record(now time.Time, run time.Duration) {
	l.advance(now)
	l.current.longest = max(l.current.longest, run)
	l.current.count++
}

// bound returns a time within which the next run is expected to end, and false if none is known.
func (l *longestRun) bound(now time.Time) (time.Duration, bool) {
	l.advance(now)
	count := l.current.count + l.previous.count
	if count == 0 {
		return 0, false
	}
	margin := max(longestRunMargin, 1+longestRunPrior/float64(count))
	return time.Duration(margin * float64(max(l.current.longest, l.previous.longest))), true
}
