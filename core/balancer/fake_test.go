package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

var epoch = time.Date(2026, 2, 17, 6, 0, 0, 0, time.UTC)

const seed = 20260217

// fakeUpstream is a simulated upstream. It answers after a random latency whose mean
// a test sets; no health check marks it as unhealthy.
type fakeUpstream struct {
	endpoint  Endpoint
	latency   time.Duration
	threshold int
	down      bool
	coldUntil time.Time // until then the latency is ten times higher

	pickCount, answerCount int
	totalLatency           time.Duration // sum of the latencies of the answers
}

type completion struct {
	at   time.Time
	name string
	r    Result
}

// fleet drives a picker and fake upstreams in virtual time.
type fleet struct {
	picker    *Picker
	r         *rand.Rand
	now       time.Time
	upstreams map[string]*fakeUpstream
	names     []string
	pending   []completion // in order of time
	random    bool         // choose upstreams at random instead of by the picker
	codes     map[resultcode.Code]int
}

// newFleet returns a fleet of n upstreams with 40 slots and a mean latency of 10 ms,
// spread over the zones a, b and c.
func newFleet(n int) *fleet {
	r := rand.New(rand.NewPCG(seed, uint64(n)))
	f := &fleet{picker: New(Locality{}, r), r: r, now: epoch, upstreams: map[string]*fakeUpstream{}, codes: map[resultcode.Code]int{}}
	for i := range n {
		name := fmt.Sprintf("up-%03d", i)
		f.names = append(f.names, name)
		f.upstreams[name] = &fakeUpstream{latency: 10 * time.Millisecond, threshold: callmeta.MaxPriority, endpoint: Endpoint{
			Upstream:    config.Upstream{Name: name, Zone: string(rune('a' + i%3)), Region: "r", Slots: 40},
			Incarnation: uuid.New(),
		}}
	}
	f.update()
	return f
}

func (f *fleet) update() {
	var endpoints []Endpoint
	for _, name := range f.names {
		endpoints = append(endpoints, f.upstreams[name].endpoint)
	}
	f.picker.Update(f.now, endpoints)
}

// run resets the counters and sends calls for the given time, with exponentially
// distributed intervals at a mean rate.
func (f *fleet) run(length time.Duration, perSecond float64) {
	for _, u := range f.upstreams {
		u.pickCount, u.answerCount, u.totalLatency = 0, 0, 0
	}
	f.codes = map[resultcode.Code]int{}
	for end := f.now.Add(length); f.now.Before(end); {
		next := f.now.Add(time.Duration(f.r.ExpFloat64() / perSecond * float64(time.Second)))
		f.finishUntil(next)
		f.now = next
		f.call(0)
	}
}

func (f *fleet) finishUntil(t time.Time) {
	for len(f.pending) > 0 && !f.pending[0].at.After(t) {
		done := f.pending[0]
		f.pending = f.pending[1:]
		f.picker.Done(done.at, done.name, done.r)
		if done.r.Code == resultcode.OK {
			f.upstreams[done.name].answerCount++
			f.upstreams[done.name].totalLatency += done.r.Latency
		}
	}
}

func (f *fleet) call(priority int) resultcode.Code {
	name, code := f.picker.Pick(f.now, nil, priority)
	if f.random {
		name, code = f.names[f.r.IntN(len(f.names))], resultcode.OK
	}
	if code != resultcode.OK {
		f.codes[code]++
		return code
	}
	u := f.upstreams[name]
	u.pickCount++
	f.picker.Started(f.now, name)
	r := u.answer(f.now, f.r, priority)
	f.codes[r.Code]++
	done := completion{at: f.now.Add(r.Latency), name: name, r: r}
	i, _ := slices.BinarySearchFunc(f.pending, done, func(a, b completion) int { return a.at.Compare(b.at) })
	f.pending = slices.Insert(f.pending, i, done)
	return r.Code
}

func (u *fakeUpstream) answer(now time.Time, r *rand.Rand, priority int) Result {
	if u.down {
		return Result{Code: resultcode.ConnectFailed, Latency: time.Millisecond}
	}
	res := Result{Code: resultcode.OK, Incarnation: u.endpoint.Incarnation, Threshold: u.threshold}
	if priority >= u.threshold {
		res.Code, res.Latency = resultcode.Shed, time.Millisecond
		return res
	}
	res.Latency = time.Duration(float64(u.latency) * (0.5 + r.ExpFloat64()/2))
	if now.Before(u.coldUntil) {
		res.Latency *= 10
	}
	return res
}

// share returns the share of picks that went to the named upstreams.
func (f *fleet) share(names ...string) float64 {
	total, got := 0, 0
	for name, u := range f.upstreams {
		total += u.pickCount
		if slices.Contains(names, name) {
			got += u.pickCount
		}
	}
	return float64(got) / float64(max(total, 1))
}

func (f *fleet) meanMS() float64 {
	sum, n := time.Duration(0), 0
	for _, u := range f.upstreams {
		sum, n = sum+u.totalLatency, n+u.answerCount
	}
	return sum.Seconds() * 1000 / float64(max(n, 1))
}

func (f *fleet) state(name string) State {
	for _, s := range f.picker.States() {
		if s.Name == name {
			return s
		}
	}
	return State{}
}
