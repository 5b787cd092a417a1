package quota

import (
	"math"
	"time"
)

// bucket limits the grants of an owned tenant: to those of a token bucket, and in each window and lifetime to most.
// The bucket is what another owner may assume about the grants before its own: at most a capacity, and fill since.
type bucket struct {
	bounds                       Bounds
	limit                        Limit
	fill, capacity, most, tokens float64
	span                         time.Duration // a window and a lifetime
	granted                      history
	// at is the time up to which tokens have been added. It may be in the future.
	at time.Duration
	// returns is when the last refused caller was told to return.
	returns time.Duration
	used    time.Duration
}

// newBucket returns an empty bucket for an owner that begins at a time. An earlier one may have granted a burst just
// before, so that the bucket fills only after the time that makes up for it.
func newBucket(bounds Bounds, l Limit, begin time.Duration) *bucket {
	b := &bucket{bounds: bounds, at: begin + burstTime(bounds, l)}
	b.setLimit(l)
	return b
}

// burstTime returns the time in which a bucket receives a burst.
func burstTime(bounds Bounds, l Limit) time.Duration { return secondsOf(l.Burst / bounds.fill(l)) }

func (b *bucket) setLimit(l Limit) {
	if b.limit != l {
		b.limit, b.fill, b.capacity = l, b.bounds.fill(l), b.bounds.capacity(l)
		b.most, b.span = b.bounds.mostGranted(l), b.bounds.Window+b.bounds.lifetime(l)
	}
}

// settle adds the tokens since the last call and puts the limit in force.
func (b *bucket) settle(now time.Duration, l Limit) {
	if now > b.at {
		b.tokens = min(b.tokens+b.fill*(now-b.at).Seconds(), b.capacity)
		b.at = now
	}
	b.setLimit(l)
	b.tokens = min(b.tokens, b.capacity)
	b.granted.expire(now, b.span)
	b.used = now
}

// room returns how many tokens the grants of the last window and lifetime leave.
func (b *bucket) room() float64 { return b.most - float64(b.granted.count) }

// grant takes tokens for requests that wait and, if few were granted lately, some in advance.
func (b *bucket) grant(now time.Duration, need, spare int) Grant {
	granted := max(min(need, whole(min(b.tokens, b.room()))), 0)
	missing := need - granted
	if missing == 0 {
		granted += max(min(spare, whole(min(b.tokens-float64(granted)-b.capacity/2, b.room()-float64(granted)-b.most/4)/2)), 0)
	}
	b.tokens -= float64(granted)
	b.granted.add(now, granted, b.bounds.Window/historySteps)
	if missing == 0 {
		return Grant{Tokens: granted}
	}
	g := Grant{Tokens: granted, Free: b.free(now)}
	step := secondsOf(1 / b.fill)
	g.Return = max(b.returns-now, g.Free) + step
	b.returns = min(now+g.Return+time.Duration(missing-1)*step, now+b.bounds.Window)
	return g
}

// free returns the time until a token can be granted.
func (b *bucket) free(now time.Duration) time.Duration {
	free := max(b.at-now, 0) + secondsOf(max(1-b.tokens, 0)/b.fill)
	if room := b.room(); room < 1 {
		for _, g := range b.granted.steps {
			if room += float64(g.count); room >= 1 {
				return max(free, g.last+b.span-now+1)
			}
		}
	}
	return free
}

// secondsOf returns a time in seconds, of at most an hour, as a duration.
func secondsOf(s float64) time.Duration {
	return time.Duration(math.Min(s, 3600) * float64(time.Second))
}

// full reports whether the bucket is full, and grants are not limited by earlier ones.
func (b *bucket) full(now time.Duration) bool {
	return b.tokens+b.fill*max(now-b.at, 0).Seconds() >= b.capacity && now-b.used > b.span
}
