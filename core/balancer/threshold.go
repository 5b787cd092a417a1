package balancer

import (
	"time"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

const (
	// maxKinds is the maximum number of request kinds in the table of thresholds.
	// Further kinds share the last entry, which holds the latest threshold of any
	// of them.
	maxKinds = 32
	// thresholdMaxAge is the age above which a threshold is ignored.
	thresholdMaxAge = time.Second
	// thresholdProbeOneIn lets one refused pick in thresholdProbeOneIn through as a
	// probe. At 2% an outdated threshold is corrected within 50 picks and a correct
	// one costs little.
	thresholdProbeOneIn = 50
)

// reportedThreshold is a threshold from a reply of an upstream. The zero value
// counts as expired.
type reportedThreshold struct {
	threshold  int
	receivedAt time.Duration
}

// kindTable assigns an index to each request kind.
type kindTable struct{ index map[string]int }

func (k *kindTable) find(kind string) int {
	if i, ok := k.index[kind]; ok {
		return i
	}
	if len(k.index) >= maxKinds {
		return maxKinds - 1
	}
	return -1
}

func (k *kindTable) add(kind string) int {
	if i := k.find(kind); i >= 0 {
		return i
	}
	if k.index == nil {
		k.index = make(map[string]int)
	}
	i := len(k.index)
	k.index[kind] = i
	return i
}

// threshold returns the threshold last reported for the kind, or callmeta.MaxPriority if
// there is none or it has expired.
func (u *upstream) threshold(kind int, t time.Duration) int {
	if kind < 0 || kind >= len(u.thresholds) {
		return callmeta.MaxPriority
	}
	reported := u.thresholds[kind]
	if reported.receivedAt == 0 || t-reported.receivedAt > thresholdMaxAge {
		return callmeta.MaxPriority
	}
	return reported.threshold
}

func (p *Picker) recordThreshold(t time.Duration, u *upstream, kind string, threshold int) {
	k := p.kinds.add(kind)
	for len(u.thresholds) <= k {
		u.thresholds = append(u.thresholds, reportedThreshold{})
	}
	u.thresholds[k] = reportedThreshold{threshold: min(max(threshold, 0), callmeta.MaxPriority), receivedAt: t}
	if threshold > p.cachedRefusals[k].priority {
		p.cachedRefusals[k] = cachedRefusal{}
	}
}

// cachedRefusal records that all usable upstreams refuse a priority, so that the
// next pick need not check each of them.
type cachedRefusal struct {
	priority int
	until    time.Duration
}

func (p *Picker) refusalCached(q *query) bool {
	if q.kind < 0 || len(q.exclude) > 0 {
		return false
	}
	cached := &p.cachedRefusals[q.kind]
	return q.t <= cached.until && q.priority >= cached.priority
}

func (p *Picker) cacheRefusal(q *query) {
	if len(q.exclude) == 0 {
		p.cachedRefusals[q.kind] = cachedRefusal{priority: q.priority, until: q.refusedUntil}
	}
}

// probeThreshold lets one refused pick in thresholdProbeOneIn through and returns
// resultcode.ShedEarly for the others.
func (p *Picker) probeThreshold(q *query) (*upstream, resultcode.Code) {
	if p.rand.IntN(thresholdProbeOneIn) != 0 {
		return nil, resultcode.ShedEarly
	}
	q.ignoreThresholds = true
	if u := p.chooseCheaper(p.pools[tierAny], q, true); u != nil {
		return u, resultcode.OK
	}
	return nil, resultcode.ShedEarly
}
