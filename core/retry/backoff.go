package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// baseBackoff is the limit of the first backoff: a few network round trips between zones.
	baseBackoff = 5 * time.Millisecond
	// maxBackoff keeps every backoff well below the time that a caller waits for a response.
	maxBackoff = 200 * time.Millisecond
)

// Backoff returns how long to wait before a retry. Retries are numbered from 1.
// The wait is uniformly distributed between 0 and a limit that doubles with
// every retry (full jitter), so that callers whose requests failed at the same
// time do not retry at the same time.
func Backoff(retryNumber int, r *rand.Rand) time.Duration {
	return time.Duration(r.Int64N(int64(BackoffLimit(retryNumber)) + 1))
}

// BackoffLimit returns the longest wait that Backoff returns for the retry.
func BackoffLimit(retryNumber int) time.Duration {
	limit := baseBackoff
	for i := 1; i < retryNumber && limit < maxBackoff; i++ {
		limit *= 2
	}
	return min(limit, maxBackoff)
}
