package retry

import "time"

// windowBuckets is the number of parts that a window is counted in. The count is of the
// whole parts and the current one, so that it covers up to 5% more than the window.
const windowBuckets = 20

// WindowBudget bounds repeats by a share of the requests of the same sliding window, plus
// a fixed number. It is one daemon's part of a bound that holds for the whole fleet: the
// sum of all parts keeps the bound without any exchange. It is not safe for concurrent use.
type WindowBudget struct {
	ratio, slack float64
	length       time.Duration // of one bucket
	start        time.Time
	buckets      [windowBuckets + 1]windowBucket
}

type windowBucket struct {
	number            int64
	requests, repeats float64
}

// NewWindowBudget returns a budget of ratio repeats per request over the window, and slack
// more.
func NewWindowBudget(ratio, slack float64, window time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, slack: slack, length: max(window/windowBuckets, time.Millisecond)}
}

// SetBounds changes the ratio and the fixed part, which depends on the size of the fleet.
// What was counted stays counted.
func (b *WindowBudget) SetBounds(ratio, slack float64) { b.ratio, b.slack = ratio, slack }

// Request records a request for the destination.
func (b *WindowBudget) Request(now time.Time) { b.at(now).requests++ }

// Charge records requests that count as repeats, such as those that a repeated run makes,
// without asking for room. A share below 1 is an expectation.
func (b *WindowBudget) Charge(now time.Time, share float64) { b.at(now).repeats += share }

// Allow takes one repeat from the budget and reports whether there was one.
func (b *WindowBudget) Allow(now time.Time) bool {
	current := b.at(now)
	requests, repeats := 0.0, 0.0
	for i := range b.buckets {
		if current.number-b.buckets[i].number <= windowBuckets {
			requests += b.buckets[i].requests
			repeats += b.buckets[i].repeats
		}
	}
	if repeats+1 > b.ratio*requests+b.slack {
		return false
	}
	current.repeats++
	return true
}

func (b *WindowBudget) at(now time.Time) *windowBucket {
	if b.start.IsZero() {
		b.start = now
	}
	// Zeroed buckets are older than the window.
	number := int64(now.Sub(b.start)/b.length) + 2*windowBuckets
	current := &b.buckets[number%int64(len(b.buckets))]
	if current.number < number {
		*current = windowBucket{number: number}
	}
	return current
}
