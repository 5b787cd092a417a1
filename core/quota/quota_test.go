package quota

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// fleet is a number of nodes with messages between them. Its clock is steady; nodes may be paused.
type fleet struct {
	nodes    []*Node
	names    []string
	alive    []bool
	paused   []bool
	cut      []bool
	side     []int                    // of a split network; the store is on side 0
	asking   map[[2]int]time.Duration // times at which the questions under way were sent
	messages []message
	bounds   Bounds
	limits   []map[string]Limit // the configuration of each node
	random   *rand.Rand
	now      time.Duration
	runs     map[string][]time.Duration // times of requests that run, by tenant
	waiting  map[int][]request
	refused  int
	provable []time.Duration // latest time at which the list of a node was that of the store
}

type request struct {
	tenant string
	since  time.Duration
	asked  int // the node whose answer it waits for
}

type message struct {
	at, sent time.Duration
	from, to int
	answer   bool
	wants    []Want
	reply    Answer
	list     uint32 // of the daemon that answers, and the time of which it has a proof
	proven   time.Duration
}

func newFleet(count int, bounds Bounds, random *rand.Rand) *fleet {
	f := &fleet{bounds: bounds, random: random, asking: make(map[[2]int]time.Duration), runs: make(map[string][]time.Duration), waiting: make(map[int][]request)}
	for i := range count {
		f.names = append(f.names, fmt.Sprint("d", i))
		f.nodes = append(f.nodes, New(f.names[i], bounds, random.Float64, 0))
		f.limits = append(f.limits, make(map[string]Limit))
	}
	f.alive, f.paused, f.cut = make([]bool, count), make([]bool, count), make([]bool, count)
	f.side, f.provable = make([]int, count), make([]time.Duration, count)
	for i := range count {
		f.alive[i] = true
		f.nodes[i].SetDaemons(0, f.names)
	}
	return f
}

func (f *fleet) index(name string) int {
	for i := range f.names {
		if f.names[i] == name {
			return i
		}
	}
	return -1
}

func (f *fleet) running(i int) bool { return f.alive[i] && !f.paused[i] }

// ask sends the question of a node unless one is under way.
func (f *fleet) ask(i, to int) {
	if key := [2]int{i, to}; f.asking[key] == 0 {
		f.asking[key] = f.now
		f.send(message{sent: f.now, from: i, to: to, wants: f.nodes[i].Question(f.now, f.names[to])})
	}
}

func (f *fleet) send(m message) {
	m.at = f.now + time.Duration(1+f.random.IntN(4))*ms
	f.messages = append(f.messages, m)
}

// request lets a request of a tenant arrive at a node.
func (f *fleet) request(i int, tenant string) {
	if f.running(i) {
		f.take(i, request{tenant: tenant, since: f.now}, false)
	}
}

func (f *fleet) take(i int, r request, again bool) {
	switch d := f.nodes[i].Take(f.now, r.tenant, f.limits[i][r.tenant], again); d.Verdict {
	case Granted, Floor:
		f.runs[r.tenant] = append(f.runs[r.tenant], f.now)
	case Wait:
		r.asked = f.index(d.Daemon)
		f.waiting[i] = append(f.waiting[i], r)
		f.ask(i, r.asked)
	default:
		f.refused++
	}
}

// step advances the clock and delivers what is due. lost says whether a message is lost.
func (f *fleet) step(d time.Duration, lost func() bool) {
	f.now += d
	var later []message
	due := f.messages
	f.messages = nil
	for _, m := range due {
		switch {
		case m.at > f.now || f.paused[m.to] && f.alive[m.to]:
			later = append(later, m)
		case !f.alive[m.to] || m.from != m.to && (f.cut[m.to] || f.cut[m.from] || f.side[m.to] != f.side[m.from]) || lost():
		case !m.answer:
			reply := f.nodes[m.to].Serve(f.now, m.wants, func(t string) (Limit, bool) { l, ok := f.limits[m.to][t]; return l, ok })
			f.send(message{sent: m.sent, from: m.to, to: m.from, answer: true, wants: m.wants, reply: reply, list: f.nodes[m.to].list, proven: f.nodes[m.to].proven})
		case f.asking[[2]int{m.to, m.from}] == m.sent:
			delete(f.asking, [2]int{m.to, m.from})
			f.nodes[m.to].Answered(f.now, m.sent, f.names[m.from], m.wants, m.reply)
			if m.list == f.nodes[m.to].list && m.proven > 0 {
				f.nodes[m.to].SetProven(f.now, m.proven) // handed on
			}
			f.retake(m.to, m.from)
		}
	}
	f.messages = append(f.messages, later...)
}

// retake lets the requests that wait for an answer of a node try again.
func (f *fleet) retake(i, asked int) {
	waiting := f.waiting[i]
	f.waiting[i] = nil
	for _, r := range waiting {
		if r.asked != asked {
			f.waiting[i] = append(f.waiting[i], r)
			continue
		}
		f.take(i, r, true)
	}
}

// expire ends the waits that are too long, and asks for contact.
func (f *fleet) expire() {
	for i, n := range f.nodes {
		if !f.running(i) {
			continue
		}
		n.Tick(f.now)
		if to := f.index(n.NeedsContact(f.now)); to >= 0 {
			f.ask(i, to)
		}
		for key, sent := range f.asking {
			if key[0] == i && f.now-sent > 400*ms {
				f.fail(i, key[1])
			}
		}
		late := false
		for _, r := range f.waiting[i] {
			late = late || f.now-r.since > 100*ms
		}
		if !late {
			continue
		}
		for to := range f.nodes {
			if f.asking[[2]int{i, to}] != 0 {
				f.fail(i, to)
			}
		}
		waiting := f.waiting[i]
		f.waiting[i] = nil
		for _, r := range waiting {
			if d := n.TakeFloor(f.now, r.tenant, f.limits[i][r.tenant]); d.Verdict == Granted || d.Verdict == Floor {
				f.runs[r.tenant] = append(f.runs[r.tenant], f.now)
			}
		}
	}
}

// fail ends a question without an answer.
func (f *fleet) fail(i, to int) {
	delete(f.asking, [2]int{i, to})
	f.nodes[i].Failed(f.now, f.names[to], !f.alive[to] && !f.cut[i] && !f.cut[to] && f.side[i] == f.side[to])
}

// restart starts a node again with the list of daemons, or with its previous one if it is cut off from the store.
func (f *fleet) restart(i int, daemons []string) {
	limits := f.limits[i]
	if f.cut[i] || f.side[i] > 0 {
		daemons = f.nodes[i].daemons
	}
	f.nodes[i] = New(f.names[i], f.bounds, f.random.Float64, f.now)
	f.nodes[i].SetDaemons(f.now, daemons)
	f.limits[i], f.alive[i], f.waiting[i] = limits, true, nil
	for key := range f.asking {
		if key[0] == i {
			delete(f.asking, key)
		}
	}
}

// checkBound fails if more requests ran in a window than the bound allows, for windows after from.
func checkBound(t *rapid.T, runs []time.Duration, bounds Bounds, l Limit, from time.Duration) {
	sort.Slice(runs, func(i, j int) bool { return runs[i] < runs[j] })
	most, first := bounds.Most(l), 0
	for i, at := range runs {
		for at-runs[first] > bounds.Window || runs[first] < from {
			if first++; first > i {
				break
			}
		}
		if count := i - first + 1; float64(count) > most {
			t.Fatalf("%d requests ran from %s to %s, bound %.1f", count, runs[first], at, most)
		}
	}
}

// Guards against a tenant that gets more than its bound while messages are lost, daemons pause, restart, leave
// and join, and the smaller part of a split network is cut off from the store.
func TestBoundNotExceeded(t *testing.T) {
	smaller := func(side []int) {
		if others := count(side, 1); 2*others > len(side) {
			for i := range side {
				side[i] = 1 - side[i]
			}
		}
	}
	t.Run("without proofs", func(t *testing.T) { rapid.Check(t, checkHistory(0, smaller)) })
	t.Run("with proofs", func(t *testing.T) { rapid.Check(t, checkHistory(proofAge, smaller)) })
}

// proofAge is the maximum age of proofs. Entries that are not renewed are listed for 4 s.
const proofAge = 3 * time.Second

// Guards against a tenant that gets more than its bound while the larger part of a split network is cut off
// from the store.
func TestBoundNotExceededInPartWithoutStore(t *testing.T) {
	rapid.Check(t, checkHistory(proofAge, func(side []int) {
		if others := count(side, 1); 2*others < len(side) {
			for i := range side {
				side[i] = 1 - side[i]
			}
		}
	}))
}

func count(side []int, value int) (n int) {
	for _, s := range side {
		if s == value {
			n++
		}
	}
	return n
}

// checkHistory returns a check of a random history. choose adapts the parts of a split network: the store is in
// part 0.
func checkHistory(listAge time.Duration, choose func(side []int)) func(t *rapid.T) {
	return func(t *rapid.T) {
		seed := uint64(rapid.Uint32().Draw(t, "seed"))
		random, proofs := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
		bounds := Bounds{Window: 2 * time.Second, Overshoot: 0.25, Slack: 20, ListAge: listAge}
		size := rapid.IntRange(2, 5).Draw(t, "daemons")
		f := newFleet(size, bounds, random)
		limit := Limit{Rate: float64(rapid.IntRange(5, 120).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 100).Draw(t, "burst"))}
		lowered := time.Duration(0)
		if rapid.Bool().Draw(t, "lowered") {
			lowered = 3 * time.Second
		}
		high := Limit{Rate: limit.Rate * 3, Burst: limit.Burst * 2}
		for i := range f.limits {
			f.limits[i]["t"] = limit
			if lowered > 0 {
				f.limits[i]["t"] = high
			}
		}
		loss := rapid.SampledFrom([]float64{0, 0, 0.05, 0.5}).Draw(t, "loss")
		skewed := rapid.Bool().Draw(t, "one daemon gets most requests")
		splitUntil := time.Duration(0)
		wake, listed := make([]time.Duration, size), make([]bool, size)
		removedAt, receive := make([]time.Duration, size), make([]time.Duration, size)
		for i := range listed {
			listed[i] = true
		}
		present := func() []string {
			var names []string
			for i, in := range listed {
				if in {
					names = append(names, f.names[i])
				}
			}
			return names
		}
		changed := func() { // reaches daemons within 400 ms, except those that are paused or cut off
			for i := range receive {
				if receive[i] == 0 {
					receive[i] = f.now + time.Duration(random.IntN(400))*ms
				}
			}
		}
		for f.now < 10*time.Second {
			f.step(2*ms, func() bool { return random.Float64() < loss })
			if lowered > 0 && f.now >= lowered {
				for i := range f.limits {
					f.limits[i]["t"] = limit
				}
			}
			if random.IntN(150) == 0 {
				i := random.IntN(size)
				switch action := rapid.IntRange(0, 7).Draw(t, "action"); {
				case action == 0:
					f.paused[i], wake[i] = true, f.now+time.Duration(random.IntN(5000))*ms
				case action == 1 && f.running(i):
					f.restart(i, present())
				case action == 2 && f.alive[i]:
					f.alive[i], wake[i] = false, f.now+time.Duration(random.IntN(6000))*ms
				case action == 3:
					f.cut[i], wake[i] = true, f.now+time.Duration(random.IntN(6000))*ms
				case action == 5 && splitUntil == 0:
					splitUntil = f.now + time.Duration(random.IntN(8000))*ms
					for j := range f.side {
						f.side[j] = random.IntN(2)
					}
					choose(f.side)
				case action == 4:
					for j := range f.nodes {
						if f.running(j) && random.IntN(2) == 0 {
							f.restart(j, present())
						}
					}
				}
			}
			if splitUntil > 0 && f.now >= splitUntil {
				splitUntil, f.side = 0, make([]int, size)
				changed()
			}
			for i := range f.nodes {
				away := f.paused[i] || !f.alive[i] || f.cut[i] || f.side[i] > 0
				switch {
				case away && removedAt[i] == 0:
					removedAt[i] = f.now + 4*time.Second // the store's time for entries that are not renewed
				case !away:
					removedAt[i] = 0
				}
				if listed[i] != (removedAt[i] == 0 || f.now < removedAt[i]) {
					listed[i] = !listed[i]
					changed()
				}
				if wake[i] > 0 && f.now >= wake[i] {
					wake[i], f.paused[i], f.cut[i] = 0, false, false
					receive[i] = f.now + time.Duration(random.IntN(400))*ms
					if !f.alive[i] {
						f.restart(i, present())
					}
				}
				if receive[i] > 0 && f.now >= receive[i] && f.running(i) && !f.cut[i] && f.side[i] == 0 {
					receive[i] = 0
					f.nodes[i].SetDaemons(f.now, present())
				}
				if f.running(i) && !f.cut[i] && f.side[i] == 0 {
					if receive[i] == 0 {
						f.provable[i] = f.now
					}
					if listAge > 0 && proofs.IntN(100) == 0 { // 0.2 s apart, up to a third of the maximum age late
						f.nodes[i].SetProven(f.now, f.provable[i]-time.Duration(proofs.Int64N(int64(listAge/3))))
					}
				}
			}
			for range 1 + random.IntN(3) {
				i := random.IntN(size)
				if skewed && random.IntN(10) > 0 {
					i = 0
				}
				f.request(i, "t")
			}
			f.expire()
		}
		checkBound(t, f.runs["t"], bounds, limit, lowered+maxLifetime)
	}
}

// Guards against a tenant that gets less than 0.95 of its quota in calm, from whichever daemons its requests come.
func TestQuotaIsGivenInCalm(t *testing.T) {
	for _, c := range []struct {
		name   string
		daemon func(i int, random *rand.Rand) int
	}{
		{"one", func(int, *rand.Rand) int { return 7 }},
		{"evenly", func(i int, _ *rand.Rand) int { return i % 66 }},
		{"at random", func(_ int, random *rand.Rand) int { return random.IntN(66) }},
	} {
		for _, limit := range []Limit{{Rate: 4, Burst: 4}, {Rate: 30, Burst: 30}, {Rate: 200, Burst: 0}} {
			for _, demand := range []float64{0.97, 1.5, 4} {
				random := rand.New(rand.NewPCG(1, 2))
				f := newFleet(66, Bounds{Window: 5 * time.Second, Overshoot: 0.25, Slack: 20}, random)
				for i := range f.limits {
					f.limits[i]["t"] = limit
				}
				// One bucket for the whole fleet, which the requests reach at once, gives what the tenant may have.
				whole, may := newBucket(Bounds{Window: f.bounds.Window}, limit, 0), 0
				arrivals, next := 0, 10*time.Second
				for f.now < 30*time.Second {
					f.step(ms, func() bool { return false })
					for ; next <= f.now; arrivals++ {
						f.request(c.daemon(arrivals, random), "t")
						whole.settle(next, limit)
						may += whole.grant(next, 1, 0).Tokens
						next += time.Duration(random.ExpFloat64() / (limit.Rate * demand) * float64(time.Second))
					}
					if f.now%(20*ms) == 0 {
						f.expire()
					}
				}
				if fill := f.bounds.fill(limit); demand*limit.Rate > fill {
					may = max(may, int(fill*20))
				}
				if got := len(f.runs["t"]); float64(got) < 0.95*float64(may) {
					t.Errorf("%s, rate %v, demand %v: %v of %v requests ran", c.name, limit.Rate, demand, got, may)
				}
			}
		}
	}
}

// run lets a request arrive at a random node of some each 2 ms until a time, and proves the lists of nodes on side 0.
func (f *fleet) run(until time.Duration, store bool, at func(i int) bool) {
	for f.now < until {
		f.step(2*ms, func() bool { return false })
		if i := f.random.IntN(len(f.nodes)); at(i) {
			f.request(i, "t")
		}
		for i, n := range f.nodes {
			if store && f.side[i] == 0 && f.now%(500*ms) == 0 {
				n.SetProven(f.now, f.now)
			}
		}
		f.expire()
	}
}

// owned returns a fleet of 5 with a tenant that a node owns, and serves it for 5 s.
func owned(owner int) (*fleet, Limit) {
	for seed := uint64(1); ; seed++ {
		limit := Limit{Rate: 100, Burst: 0}
		f := newFleet(5, Bounds{Window: 2 * time.Second, Overshoot: 0.25, Slack: 20, ListAge: proofAge}, rand.New(rand.NewPCG(seed, 1)))
		for i := range f.nodes {
			f.names[i] = fmt.Sprint("d", seed, "-", i)
			f.nodes[i] = New(f.names[i], f.bounds, f.random.Float64, 0)
			f.limits[i]["t"] = limit
		}
		for _, n := range f.nodes {
			n.SetDaemons(0, f.names)
		}
		if f.nodes[0].ring.Lookup("t") == f.names[owner] {
			f.run(5*time.Second, true, func(int) bool { return true })
			return f, limit
		}
	}
}

// granted returns how many requests ran in a time.
func (f *fleet) granted(from, to time.Duration) (n int) {
	for _, at := range f.runs["t"] {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// Guards against a new owner that begins while an earlier one that it can't reach may grant, and against one that
// waits for an earlier one that has the new list or has ended.
func TestNewOwnerWaitsForEarlierOne(t *testing.T) {
	all := func(int) bool { return true }
	f, limit := owned(4)
	holders, each := f.bounds.floor(limit, 4)
	_, own := f.bounds.floor(limit, 5)
	floors := holders*each + own // of the daemons that know of the change, and of the one that does not
	for _, c := range []struct {
		name         string
		away, ended  bool
		least, limit int // requests in the second that begins 2 s after the change
	}{{"has the new list", false, false, 80, 200}, {"has ended", true, true, 80, 200}, {"can't be reached", true, false, 0, floors}} {
		f, _ := owned(4)
		change := f.now
		f.alive[4], f.cut[4] = !c.ended, c.away && !c.ended
		for _, n := range f.nodes {
			if n.self != f.names[4] || !c.away {
				n.SetDaemons(f.now, f.names[:4])
			}
		}
		f.run(change+6*time.Second, true, all)
		if n := f.granted(change+2*time.Second, change+3*time.Second); n < c.least || n > c.limit {
			t.Errorf("the earlier owner %s: %d requests ran in the third second", c.name, n)
		}
		if n := f.granted(change+5*time.Second, change+6*time.Second); n < 80 {
			t.Errorf("the earlier owner %s: %d requests ran in the sixth second", c.name, n)
		}
	}
}

// Guards against a new owner that waits again when the first request comes, although earlier ones have long confirmed.
func TestNewOwnerConfirmsBeforeRequests(t *testing.T) {
	f, limit := owned(4)
	limit.Burst = limit.Rate
	for _, daemons := range [][]string{f.names[:4], f.names} { // the new owner joins
		for _, n := range f.nodes {
			n.SetDaemons(f.now, daemons)
		}
		f.run(f.now+2500*ms, true, func(int) bool { return false })
	}
	answer := f.nodes[4].Serve(f.now, []Want{{Tenant: "t", Need: 1}}, func(string) (Limit, bool) { return limit, true })
	if answer.Grants[0].Tokens != 1 {
		t.Errorf("granted %+v 2.5 s after the change", answer.Grants[0])
	}
}

// checkReturns fails if a caller that returns when it was told to is not served, while nobody else is.
func (f *fleet) checkReturns(t *testing.T) {
	for i, n := range f.nodes {
		d := n.TakeFloor(f.now, "t", f.limits[i]["t"])
		for d.Verdict == Floor {
			f.runs["t"] = append(f.runs["t"], f.now)
			d = n.TakeFloor(f.now, "t", f.limits[i]["t"])
		}
		if d.Verdict != Unknown || d.Return > f.bounds.Window*3/2 {
			t.Fatalf("verdict %d, return after %s, want %d and at most a window and a half", d.Verdict, d.Return, Unknown)
		}
		if later := n.TakeFloor(f.now+d.Return, "t", f.limits[i]["t"]); later.Verdict != Floor {
			t.Errorf("verdict %d after the wait of %s for %q", later.Verdict, d.Return, d.Reason)
		}
	}
}

// Guards against owners that grant without a proof for longer than its maximum age, service that ends before, and
// service without the floors, in an outage of the store for all daemons.
func TestOutageOfStore(t *testing.T) {
	f, limit := owned(0)
	all := func(int) bool { return true }
	f.run(16*time.Second, false, all) // proven until 5 s
	f.checkReturns(t)
	f.run(20*time.Second, true, all)
	if n := f.granted(5*time.Second, 7500*ms); n < 240 {
		t.Errorf("%d requests ran in the first 2.5 s", n)
	}
	floors := int(floorShare * f.bounds.allowance(limit))
	for from := 8500 * ms; from <= 14*time.Second; from += 100 * ms {
		if n := f.granted(from, from+f.bounds.Window); n > floors || n < floors*3/4 {
			t.Errorf("%d requests ran from %s on, floors %d", n, from, floors)
		}
	}
	if n := f.granted(18*time.Second, 20*time.Second); n < 190 {
		t.Errorf("%d requests ran after the outage", n)
	}
}

// calm lets requests of a tenant arrive from 10 s on, at random nodes of 66, and returns when. rate returns the rate at
// a time; random says that they come at random.
func calm(limit Limit, random bool, rate func(now time.Duration) float64) (arrivals []time.Duration, f *fleet) {

	f = newFleet(66, Bounds{Window: 5 * time.Second, Overshoot: 0.25, Slack: 20}, rand.New(rand.NewPCG(1, 2)))
	for i := range f.limits {
		f.limits[i]["t"] = limit
	}
	arriving := rand.New(rand.NewPCG(3, 4))
	for due := 1.0; f.now < 40*time.Second; {
		f.step(ms, func() bool { return false })
		if f.now >= 10*time.Second {
			due -= rate(f.now) / 1000
		}
		for ; due <= 0; arrivals = append(arrivals, f.now) {
			f.request(arriving.IntN(66), "t")
			if due++; random {
				due += arriving.ExpFloat64() - 1
			}
		}
		if f.now%(20*ms) == 0 {
			f.expire()
		}
	}
	return arrivals, f
}

// Guards against a burst that a tenant gets only once instead of in each window.
func TestBurstInEachWindow(t *testing.T) {
	for _, rate := range []float64{4, 30, 200} {
		limit := Limit{Rate: rate, Burst: rate}
		arrivals, f := calm(limit, true, func(time.Duration) float64 { return 1.15 * rate })
		var allowed []time.Duration // as many as possible in each window
		for _, at := range arrivals {
			if q := int(f.bounds.quota(limit)); len(allowed) < q || at-allowed[len(allowed)-q] > f.bounds.Window {
				allowed = append(allowed, at)
			}
		}
		if got := len(f.runs["t"]); float64(got) < 0.95*float64(len(allowed)) {
			t.Errorf("rate %v: %d of %d requests ran, %d within the quota of each window", rate, got, len(arrivals), len(allowed))
		}
		for name, demand := range map[string]func(now time.Duration) float64{
			"even": func(time.Duration) float64 { return 0.99 * f.bounds.fill(limit) },
			"a burst within 1 s of each window": func(now time.Duration) float64 {
				if now%f.bounds.Window < time.Second {
					return 0.99 * (rate + limit.Burst)
				}
				return 0.99 * rate
			},
		} {
			arrivals, f := calm(limit, false, demand)
			waiting := 0 // for an answer at the end
			for _, requests := range f.waiting {
				waiting += len(requests)
			}
			if ran := len(f.runs["t"]); f.refused > 0 || ran+waiting < len(arrivals) {
				t.Errorf("%s, rate %v: %d requests were refused and %d ran of %d, all within the quota of each window", name, rate, f.refused, ran, len(arrivals))
			}
		}
	}
}
