package limit

import "time"

const (
	// initialSamples is the number of samples of one kind that set its first minimum. The
	// mean of 64 exponentially distributed latencies has a standard error of 12.5%.
	initialSamples = 64
	// driftSamples is the number of samples of one kind from which its minimum is
	// adjusted a little. The error of their mean, 6%, bounds how far a minimum sinks below
	// the true mean by always following the lower ones.
	driftSamples = 256
	// ownMeanSamples is the number of samples of one kind in a window from which on
	// its minimum is raised to its own mean and not by the ratio of all kinds.
	ownMeanSamples = 16
	// lowerWeight is the share of the difference by which a mean below the minimum
	// lowers it.
	lowerWeight = 0.1
	// fasterShare is the share of the minimum below which a mean shows that the
	// server has become faster; the minimum is then set to the mean at once. It is
	// three standard errors of initialSamples away from 1.
	fasterShare = 0.6
	// raiseWeight is the share of the difference by which a mean above the minimum
	// raises it while the limit is not reached.
	raiseWeight = 0.2
)

// kind holds the latencies of one request kind, in seconds.
type kind struct {
	minimum float64   // long-run minimum of the mean; 0 until known
	window  latencies // samples of the current window
	pending latencies // samples of earlier windows, kept until a rare kind has enough
}

// latencies is a sum of latencies in seconds and their number.
type latencies struct {
	sum   float64
	count int
}

func (l *latencies) add(seconds float64) {
	l.sum += seconds
	l.count++
}

func (l latencies) mean() float64 { return l.sum / float64(l.count) }

// takeMean adds the window to the pending samples. Once there are enough, it returns
// their mean and clears them.
func (k *kind) takeMean(samples int) (float64, bool) {
	k.pending.sum += k.window.sum
	k.pending.count += k.window.count
	if k.pending.count < samples || k.pending.sum <= 0 {
		return 0, false
	}
	mean := k.pending.mean()
	k.pending = latencies{}
	return mean, true
}

// becameFaster reports whether the window alone shows a faster server. Pending
// samples are left out because they can be from before the change.
func (k *kind) becameFaster() bool {
	return k.window.count >= initialSamples && k.window.sum > 0 && k.window.mean() < fasterShare*k.minimum
}

// drift moves the minimum towards the mean once there are enough samples. It raises
// it only if mayRaise is set.
func (k *kind) drift(mayRaise bool) {
	mean, ok := k.takeMean(driftSamples)
	switch {
	case !ok:
	case mean < fasterShare*k.minimum:
		k.minimum = mean
	case mean < k.minimum:
		k.minimum += (mean - k.minimum) * lowerWeight
	case mayRaise:
		k.minimum += (mean - k.minimum) * raiseWeight
	}
}

// kindTable holds at most MaxKinds kinds and one entry for all others.
type kindTable struct {
	byName map[string]*kind
	all    []*kind
	other  *kind
}

func newKindTable() kindTable {
	other := &kind{}
	return kindTable{byName: make(map[string]*kind), all: []*kind{other}, other: other}
}

func (t *kindTable) add(name string, latency time.Duration) {
	t.find(name).window.add(latency.Seconds())
}

// find returns the entry of a kind and adds it if it is missing. Once there are
// MaxKinds kinds, it returns the shared entry for further ones.
func (t *kindTable) find(name string) *kind {
	if k, ok := t.byName[name]; ok {
		return k
	}
	if len(t.byName) >= MaxKinds {
		return t.other
	}
	k := &kind{}
	t.byName[name] = k
	t.all = append(t.all, k)
	return k
}

func (t *kindTable) clearWindow() {
	for _, k := range t.all {
		k.window = latencies{}
	}
}

// ratio returns the mean of latency over minimum for all samples of the window
// whose kind has a minimum, and false if there are none.
func (t *kindTable) ratio() (float64, bool) {
	var sum float64
	var count int
	for _, k := range t.all {
		if k.minimum > 0 && k.window.count > 0 {
			sum += k.window.sum / k.minimum
			count += k.window.count
		}
	}
	if count == 0 {
		return 0, false
	}
	return sum / float64(count), true
}

// setInitialMinimums sets the first minimum of kinds with enough samples. Dividing by
// the ratio of the other kinds in the same window removes the effect of present
// congestion.
func (t *kindTable) setInitialMinimums(ratio float64) {
	for _, k := range t.all {
		if k.minimum > 0 || k.window.count == 0 {
			continue
		}
		if mean, ok := k.takeMean(initialSamples); ok {
			k.minimum = mean / max(ratio, 1)
			k.window = latencies{}
		}
	}
}

// adjustMinimums moves minimums down towards lower means and, when mayRaise is set, up
// towards higher ones. mayRaise is set only while the limit is not reached, when
// queuing caused by the limit cannot be the reason for a higher mean. The result
// reports whether a minimum changed so much that earlier ratios are not comparable.
func (t *kindTable) adjustMinimums(mayRaise bool) (reset bool) {
	for _, k := range t.all {
		if k.minimum == 0 || k.window.count == 0 {
			continue
		}
		if k.becameFaster() {
			k.minimum, k.pending, reset = k.window.mean(), latencies{}, true
			continue
		}
		k.drift(mayRaise)
	}
	return reset
}

// raiseMinimums multiplies the minimums by the ratio of the window. A kind with enough
// samples in the window gets its own mean as its minimum instead.
func (t *kindTable) raiseMinimums(ratio float64) {
	for _, k := range t.all {
		k.pending = latencies{}
		if k.window.count >= ownMeanSamples {
			k.minimum = k.window.mean()
			continue
		}
		k.minimum *= ratio
	}
}
