package dispatch

import (
	"time"

	"github.com/hawthornpoint/hawthornpoint/core/directory"
	"github.com/hawthornpoint/hawthornpoint/core/slots"
)

const (
	// loadLife is how long a reported load is trusted. It is about the time in which a
	// queue of short requests drains.
	loadLife = 500 * time.Millisecond
	// unknownRun stands in for the run time of an upstream that has not reported any.
	unknownRun = 50 * time.Millisecond
	// averageWeight is the weight of a new latency in an average.
	averageWeight = 0.15
	// firstSuspicion and maxSuspicion bound the time for which a silent upstream is
	// avoided; it doubles with each further silence.
	firstSuspicion = 250 * time.Millisecond
	maxSuspicion   = 2 * time.Second
	// leavingPause is how long an upstream is avoided whose daemon takes no new work. A
	// daemon that is restarted is back after some seconds; others are asked meanwhile.
	leavingPause = time.Second
	// excessFailures is how far the share of failed runs of an upstream must be above that
	// of the best one for others to be preferred. Failures of a service further down show
	// at all upstreams alike, and going elsewhere does not help then.
	excessFailures = 0.12
	// failureWeight is the weight of one result in the share of failed runs, and
	// failureLife the time in which half of it is forgotten, so that an upstream that is
	// avoided is tried again.
	failureWeight = 0.1
	failureLife   = 3 * time.Second
	// unknownAge stands for the age of a report that there is not.
	unknownAge = -time.Second
	// warmShare is the share of its limit that a starting upstream is used with.
	warmShare = 0.3
)

// belief is what this daemon knows of one upstream.
type belief struct {
	upstream directory.Upstream
	// inFlight counts own requests that were asked for or sent and have not ended.
	inFlight int
	// load is the latest report, at loadAt; placed counts what was placed since.
	load   slots.Load
	loadAt time.Time
	placed int
	// byKind holds the average latency of each kind.
	byKind map[string]time.Duration
	// silences counts consecutive attempts without any reply; until avoids it meanwhile.
	silences int
	until    time.Time
	// failing is the share of failed runs at failedAt.
	failing  float64
	failedAt time.Time
	seen     bool // of the current directory
}

func (b *belief) suspect(now time.Time) bool { return now.Before(b.until) }

// silent records an attempt that got no reply.
func (b *belief) silent(now time.Time) {
	pause := firstSuspicion << min(b.silences, 3)
	b.silences++
	b.until = now.Add(min(pause, maxSuspicion))
}

// leaving records that the upstream takes no new work.
func (b *belief) leaving(now time.Time) {
	b.silences = 0
	b.until = now.Add(leavingPause)
}

func (b *belief) replied() {
	b.silences = 0
	b.until = time.Time{}
}

// reported records the load that came with a reply.
func (b *belief) reported(now time.Time, l slots.Load) {
	b.load, b.loadAt, b.placed = l, now, 0
}

// loadAge returns the age of the reported load, unknownAge if there is none.
func (b *belief) loadAge(now time.Time) time.Duration {
	if b.loadAt.IsZero() {
		return unknownAge
	}
	return now.Sub(b.loadAt)
}

// limit returns the number of requests that the upstream runs at once.
func (b *belief) limit(now time.Time) int {
	n := b.load.Limit
	if n == 0 {
		n = b.upstream.Slots
	}
	if now.Before(b.upstream.WarmAt) {
		n = int(warmShare * float64(n))
	}
	return max(n, 1)
}

// occupied estimates the requests that the upstream runs or holds.
func (b *belief) occupied(now time.Time) int {
	if now.Sub(b.loadAt) > loadLife {
		return b.inFlight
	}
	return max(b.load.Running+b.load.Waiting+b.placed, b.inFlight)
}

// wait estimates the time until a further request starts.
func (b *belief) wait(now time.Time) time.Duration {
	over := b.occupied(now) + 1 - b.limit(now)
	if over <= 0 {
		return 0
	}
	run := b.load.Run
	if run == 0 {
		run = unknownRun
	}
	return time.Duration(float64(run) * float64(over) / float64(b.limit(now)))
}

// hasRoom reports whether a further request would start at once.
func (b *belief) hasRoom(now time.Time) bool { return b.occupied(now) < b.limit(now) }

func (b *belief) latency(kind string, d time.Duration) {
	if b.byKind == nil {
		b.byKind = make(map[string]time.Duration)
	}
	have, known := b.byKind[kind]
	if !known {
		b.byKind[kind] = d
		return
	}
	b.byKind[kind] = have + time.Duration(averageWeight*float64(d-have))
}

func (b *belief) result(now time.Time, failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	b.failing = b.failingNow(now)
	b.failing += failureWeight * (sample - b.failing)
	b.failedAt = now
}

// failingNow returns the share of failed runs, halved for each failureLife without news.
func (b *belief) failingNow(now time.Time) float64 {
	age := now.Sub(b.failedAt)
	return b.failing / (1 + float64(age)/float64(failureLife))
}

// failureShare returns the share of failed runs as this daemon or the upstream's sees it.
func (b *belief) failureShare(now time.Time) float64 {
	share := b.failingNow(now)
	if now.Sub(b.loadAt) < loadLife {
		share = max(share, b.load.Failing)
	}
	return share
}
