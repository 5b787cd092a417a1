package retry

import "time"

const (
	// bucketLength and bucketCount define the sliding window of 10 s: long enough
	// that a ratio of 10% allows at least one retry at a few calls per second.
	bucketLength = 500 * time.Millisecond
	bucketCount  = 20
	// overloadBuckets define the 1 s after which a budget that was closed by
	// overload opens again; recovery is measured 1 s after the cause ends.
	overloadBuckets = 2
)

type bucket struct {
	// number is the bucket's position in time, counted in bucketLength. A bucket
	// whose number is outside the window counts as empty.
	number                        int64
	successes, retries, overloads int
}

// Budget bounds the retries towards one destination by a ratio of its successes
// of the last 10 s, or by a number per second if that allows more.
type Budget struct {
	ratio, minPerSecond float64
	buckets             [bucketCount]bucket
	start               time.Time
}

// NewBudget returns a budget that allows ratio retries per success, and
// minPerSecond retries per second even if the successes allow fewer. Negative
// values count as 0.
func NewBudget(ratio, minPerSecond float64) *Budget {
	return &Budget{ratio: max(ratio, 0), minPerSecond: max(minPerSecond, 0)}
}

// SetRatio changes the number of retries allowed per success. A negative value
// counts as 0.
func (b *Budget) SetRatio(ratio float64) { b.ratio = max(ratio, 0) }

// RecordSuccess records a call that was answered.
func (b *Budget) RecordSuccess(now time.Time) { b.bucketAt(now).successes++ }

// RecordOverload records an attempt that the destination refused because of
// overload.
func (b *Budget) RecordOverload(now time.Time) { b.bucketAt(now).overloads++ }

// Allow takes one retry from the budget and reports whether one was available.
// The budget allows none while the overload refusals of the last second outnumber
// its successes: a retry would then most likely be refused as well.
func (b *Budget) Allow(now time.Time) bool {
	current := b.bucketAt(now)
	recent := b.sum(current.number, overloadBuckets)
	if recent.overloads > recent.successes {
		return false
	}
	if b.withinRatio(current.number) || b.withinMinimum(current.number) {
		current.retries++
		return true
	}
	return false
}

func (b *Budget) withinRatio(number int64) bool {
	total := b.sum(number, bucketCount)
	return float64(total.retries+1) <= b.ratio*float64(total.successes)
}

// withinMinimum counts the retries of the last second only. Over the whole window, a
// minimum of 1 per second would allow 10 retries at once.
func (b *Budget) withinMinimum(number int64) bool {
	const perSecond = int64(time.Second / bucketLength)
	return float64(b.sum(number, perSecond).retries+1) <= b.minPerSecond
}

func (b *Budget) sum(number int64, count int64) bucket {
	var total bucket
	for i := range b.buckets {
		if age := number - b.buckets[i].number; age >= 0 && age < count {
			total.successes += b.buckets[i].successes
			total.retries += b.buckets[i].retries
			total.overloads += b.buckets[i].overloads
		}
	}
	return total
}

// bucketAt returns the bucket of now. A time before the first one supplied counts
// as the first one.
func (b *Budget) bucketAt(now time.Time) *bucket {
	if b.start.IsZero() {
		b.start = now
	}
	// Numbers start at bucketCount, so that zeroed buckets are outside the window.
	number := bucketCount + int64(max(now.Sub(b.start), 0)/bucketLength)
	current := &b.buckets[number%bucketCount]
	if current.number < number {
		*current = bucket{number: number}
	}
	return current
}
