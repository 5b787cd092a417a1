package retry

import "time"

// windowBuckets is the number of buckets in a window. The counts cover that many complete
// buckets and the current one, and so up to 5% more than the window.
const windowBuckets = 20

// WindowBudget bounds retries by a ratio of the requests of the same sliding window, plus
// a fixed number. It is one daemon's share of a bound that holds for the whole fleet: the
// sum of all shares keeps the bound without communication between the daemons. It is not
// safe for concurrent use.
type WindowBudget struct {
	ratio, slack   float64
	bucketDuration time.Duration // of one bucket
	start          time.Time
	buckets        [windowBuckets + 1]windowBucket
}

type windowBucket struct {
	number            int64
	requests, retries float64
}

// NewWindowBudget returns a budget of ratio retries per request over the window, plus
// slack retries. Buckets are at least 1 ms long.
func NewWindowBudget(ratio, slack float64, window time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, slack: slack, bucketDuration: max(window/windowBuckets, time.Millisecond)}
}

// SetBounds changes the ratio and the slack, which depends on the size of the fleet.
// The counts of the window are kept.
func (b *WindowBudget) SetBounds(ratio, slack float64) { b.ratio, b.slack = ratio, slack }

// RecordRequest counts a request for the destination.
func (b *WindowBudget) RecordRequest(now time.Time) { b.bucketAt(now).requests++ }

// Charge counts requests as retries, such as the calls made by a run that is itself a
// retry, without checking whether the budget allows them. A fractional count is
// an expected number of retries.
func (b *WindowBudget) Charge(now time.Time, count float64) { b.bucketAt(now).retries += count }

// Allow takes one retry from the budget and reports whether one was available.
func (b *WindowBudget) Allow(now time.Time) bool {
	if !b.Available(now) {
		return false
	}
	b.Charge(now, 1)
	return true
}

// Available reports whether the budget allows one more retry.
func (b *WindowBudget) Available(now time.Time) bool {
	current := b.bucketAt(now)
	requests, retries := 0.0, 0.0
	for i := range b.buckets {
		if current.number-b.buckets[i].number <= windowBuckets {
			requests += b.buckets[i].requests
			retries += b.buckets[i].retries
		}
	}
	return retries+1 <= b.ratio*requests+b.slack
}

func (b *WindowBudget) bucketAt(now time.Time) *windowBucket {
	if b.start.IsZero() {
		b.start = now
	}
	// Numbers start at 2*windowBuckets, so that zeroed buckets are outside the window.
	number := int64(now.Sub(b.start)/b.bucketDuration) + 2*windowBuckets
	current := &b.buckets[number%int64(len(b.buckets))]
	if current.number < number {
		*current = windowBucket{number: number}
	}
	return current
}
