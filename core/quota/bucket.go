package quota

import (
	"math"
	"time"
)

// bucket is the token bucket of an owned tenant.
type bucket struct {
	limit    Limit
	capacity float64
	tokens   float64
	// at is the time up to which tokens have been added. It may be in the future.
	at time.Duration
	// returns is when the last refused caller was told to return.
	returns time.Duration
	used    time.Duration
}

// settle adds the tokens since the last call and puts the limit in force.
func (b *bucket) settle(now time.Duration, l Limit, capacity float64) {
	if now > b.at {
		b.tokens = min(b.tokens+b.limit.Rate*(now-b.at).Seconds(), b.capacity)
		b.at = now
	}
	b.limit, b.capacity = l, capacity
	b.tokens = min(b.tokens, capacity)
	b.used = now
}

// grant takes tokens for requests that wait and, if the bucket is far from empty, some in advance.
func (b *bucket) grant(now time.Duration, need, spare int, window time.Duration) Grant {
	granted := min(need, whole(b.tokens))
	b.tokens -= float64(granted)
	if missing := need - granted; missing > 0 {
		g := Grant{Tokens: granted, Free: b.free(now)}
		step := secondsOf(1 / b.limit.Rate)
		g.Return = max(b.returns-now, g.Free) + step
		b.returns = min(now+g.Return+time.Duration(missing-1)*step, now+window)
		return g
	}
	if extra := min(spare, whole((b.tokens-b.capacity/2)/2)); extra > 0 {
		b.tokens -= float64(extra)
		granted += extra
	}
	return Grant{Tokens: granted}
}

// free returns the time until the bucket holds a token.
func (b *bucket) free(now time.Duration) time.Duration {
	return max(b.at-now, 0) + secondsOf(max(1-b.tokens, 0)/b.limit.Rate)
}

// secondsOf returns a time in seconds, of at most an hour, as a duration.
func secondsOf(s float64) time.Duration {
	return time.Duration(math.Min(s, 3600) * float64(time.Second))
}

// full reports whether the bucket is full.
func (b *bucket) full(now time.Duration) bool {
	return b.tokens+b.limit.Rate*max(now-b.at, 0).Seconds() >= b.capacity
}
