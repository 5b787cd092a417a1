package slots

import "time"

const (
	// rateBurstTime is the time for which unused starts accumulate under a rate limit. It covers
	// the interval between two ticks.
	rateBurstTime = 250 * time.Millisecond
	// minRate is the lowest rate limit in starts per second. Only an answer can end a limit, so
	// that a few requests are let through whatever the limit is.
	minRate = 0.25
)

// rateLimit is a token bucket for the starts of requests. The zero value limits nothing.
type rateLimit struct {
	perSecond float64 // 0 for no limit
	statedAt  time.Time
	tokens    float64
	updatedAt time.Time
}

func (r *rateLimit) active() bool { return r.perSecond > 0 }

func (r *rateLimit) capacity() float64 { return max(1, r.perSecond*rateBurstTime.Seconds()) }

func (r *rateLimit) refill(now time.Time) {
	if elapsed := now.Sub(r.updatedAt); elapsed > 0 {
		r.tokens = min(r.tokens+r.perSecond*elapsed.Seconds(), r.capacity())
		r.updatedAt = now
	}
}

// allows reports whether a request may start.
func (r *rateLimit) allows(now time.Time) bool {
	if !r.active() {
		return true
	}
	r.refill(now)
	return r.tokens >= 1
}

// take uses the token of a start.
func (r *rateLimit) take() {
	if r.active() {
		r.tokens--
	}
}

// put returns the token of a start that was not used.
func (r *rateLimit) put() {
	if r.active() {
		r.tokens = min(r.tokens+1, r.capacity())
	}
}

// SetRate limits the starts to a number per second, which the backend server stated at the time
// now. A change takes effect at the next start.
func (l *Limiter) SetRate(now time.Time, perSecond float64) {
	if !l.rate.active() {
		l.rate.tokens, l.rate.updatedAt = 1, now
	}
	l.rate.refill(now)
	l.rate.perSecond, l.rate.statedAt = max(perSecond, minRate), now
	l.heard = true
}

// AdoptRate limits the starts to a rate that other daemons know from the backend server, until it
// has answered here. perSecond is 0 if they know of none. It reports whether a limit has begun.
func (l *Limiter) AdoptRate(now time.Time, perSecond float64) bool {
	if l.heard || l.rate.active() || perSecond <= 0 {
		return false
	}
	l.SetRate(now, perSecond)
	l.heard = false
	return true
}

// EndRate ends the limit after an answer that states none. Answers to requests that were sent
// before the latest statement may be older than it and end nothing. It reports whether a limit
// has ended.
func (l *Limiter) EndRate(sent time.Time) bool {
	l.heard = true
	if !l.rate.active() || !sent.After(l.rate.statedAt) {
		return false
	}
	l.rate = rateLimit{}
	return true
}

// ResetRate forgets what the backend server has stated, because another one has taken its place.
func (l *Limiter) ResetRate() { l.rate, l.heard = rateLimit{}, false }

// Rate returns the limit on starts per second, 0 for none.
func (l *Limiter) Rate() float64 { return l.rate.perSecond }

// concurrency returns how many requests are expected to run at once: the limit, or as many as
// run on average at the stated rate.
func (l *Limiter) concurrency() float64 {
	if !l.rate.active() {
		return float64(l.limit)
	}
	return min(float64(l.limit), l.rate.perSecond*l.averageRun().Seconds())
}
