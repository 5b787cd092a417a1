package loadshed

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	stepTime     = 5 * time.Millisecond
	callsOfTree  = 8
	longestQueue = 250 * time.Millisecond
	callSpacing  = 60 * time.Millisecond
)

// treeLoad plays requests that each make callsOfTree calls, one after the other, through a relay to a narrow service.
// A request is served if none of its calls is blocked.
type treeLoad struct {
	now      time.Time
	gates    []*Gate
	relay    *Meter
	random   *rand.Rand
	capacity float64 // calls per second
	backlog  float64 // calls that wait
	demand   mean    // calls offered in each step
	calls    map[time.Time][]*tree
	admitted map[int]int
	served   map[int]int
}

type tree struct {
	rank, left int
	gate       *Gate
}

func newTreeLoad(gates int, capacity float64) *treeLoad {
	l := &treeLoad{now: time.Unix(1000, 0), relay: NewMeter(), random: rand.New(rand.NewPCG(1, 2)), capacity: capacity, calls: make(map[time.Time][]*tree)}
	for range gates {
		l.gates = append(l.gates, NewGate(l.random.Float64))
	}
	return l
}

// play plays a time with a number of new requests per second of each rank.
func (l *treeLoad) play(duration time.Duration, perSecond map[int]float64) {
	l.admitted, l.served = make(map[int]int), make(map[int]int)
	for end := l.now.Add(duration); l.now.Before(end); l.now = l.now.Add(stepTime) {
		for _, rank := range slices.Sorted(maps.Keys(perSecond)) {
			for n := perSecond[rank]*stepTime.Seconds() + l.random.Float64(); n >= 1; n-- {
				gate := l.gates[l.random.IntN(len(l.gates))]
				if gate.Admit(l.now, "entry", rank) == nil {
					l.admitted[rank]++
					l.call(&tree{rank: rank, left: callsOfTree, gate: gate}, 100*time.Millisecond)
				}
			}
		}
		l.serve(l.calls[l.now])
		delete(l.calls, l.now)
		if l.now.UnixMilli()%TickInterval.Milliseconds() == 0 {
			for _, gate := range l.gates {
				gate.Tick(l.now, present)
			}
		}
	}
}

func (l *treeLoad) call(t *tree, after time.Duration) {
	at := l.now.Add(after.Round(stepTime))
	l.calls[at] = append(l.calls[at], t)
}

func (l *treeLoad) serve(calls []*tree) {
	l.demand.add(l.now, float64(len(calls)))
	l.backlog = max(l.backlog-l.capacity*stepTime.Seconds(), 0)
	for _, t := range calls {
		wait := time.Duration(l.backlog / l.capacity * float64(time.Second))
		blocked := wait > longestQueue
		l.relay.Count(l.now, "narrow", blocked)
		l.relay.Observe(l.now, "narrow", []Share{{Service: "narrow", Demand: l.demand.over(l.now, 0) / stepTime.Seconds() / l.capacity}})
		if !blocked {
			l.backlog++
			t.left--
			if t.left > 0 {
				l.call(t, wait+callSpacing)
				continue
			}
			l.served[t.rank]++
		}
		t.gate.Observe(l.now, "entry", l.relay.Shares(l.now))
	}
}

// refusedShare returns the mean share that the gates refuse of the least important rank.
func (l *treeLoad) refusedShare() float64 {
	sum := 0.0
	for _, gate := range l.gates {
		sum += gate.Refused()["narrow"]
	}
	return sum / float64(len(l.gates))
}

// Guards against refusing the important rank, against leaving the service idle or overloaded, and against refusing
// when the demand has fallen.
func TestDemandIsMet(t *testing.T) {
	Convey("At 1.6 times the capacity of a service that each request calls 8 times", t, func() {
		l := newTreeLoad(60, 8000)
		l.play(12*time.Second, map[int]float64{0: 400, 2: 1200})
		Convey("the important rank is served, and the capacity is used without a swing", func() {
			for range 8 {
				l.play(time.Second, map[int]float64{0: 400, 2: 1200})
				t.Logf("served %v, refused %.2f", l.served, l.refusedShare())
				So(l.served[0], ShouldBeGreaterThan, 380)
				So(l.served[0]+l.served[2], ShouldBeGreaterThan, 700)
				So(l.refusedShare(), ShouldBeBetween, 0.4, 0.8)
			}
		})
		Convey("nearly nothing is refused 3 s after the demand has fallen to half of the capacity", func() {
			l.play(3*time.Second, map[int]float64{0: 100, 2: 400})
			So(l.refusedShare(), ShouldBeLessThan, 0.05)
		})
	})
}

// Guards against shedding in the whole fleet because of one daemon whose calls are blocked for a reason of its own.
func TestOneBlockedDaemon(t *testing.T) {
	Convey("While 1 of 30 daemons reports that half of its calls are blocked, nearly all requests are admitted", t, func() {
		gate, now, refused := NewGate(rand.New(rand.NewPCG(3, 4)).Float64), time.Unix(1000, 0), 0
		for i := range 100 {
			now = now.Add(TickInterval)
			for n := range 30 {
				if gate.Admit(now, "entry", 2) != nil {
					refused++
				}
				if n == i%30 {
					gate.Observe(now, "entry", []Share{{Service: "deep", Blocked: 0.5, Demand: 0.5}})
				} else {
					gate.Observe(now, "entry", []Share{{Service: "deep", Demand: 0.5}})
				}
			}
			gate.Tick(now, present)
		}
		So(refused, ShouldBeLessThan, 30) // of 3,000
	})
}

// Guards against values and numbers of services in replies that would raise a demand or take memory without bounds.
func TestOddReports(t *testing.T) {
	Convey("Odd reports are bounded", t, func() {
		gate, meter, now := NewGate(func() float64 { return 0.5 }), NewMeter(), time.Unix(1000, 0)
		for _, value := range []float64{math.NaN(), math.Inf(1), -1, 1e300} {
			for i := range 200 {
				shares := []Share{{Service: fmt.Sprint("s", i), Blocked: value, Demand: value}}
				gate.Observe(now, "k", shares)
				meter.Observe(now, "k", shares)
			}
		}
		So(len(gate.services), ShouldBeLessThanOrEqualTo, maxServices)
		So(len(meter.services), ShouldBeLessThanOrEqualTo, maxServices)
		for _, share := range meter.Shares(now) {
			So(share.Blocked, ShouldBeBetweenOrEqual, 0, 1)
			So(share.Demand, ShouldBeBetweenOrEqual, 0, maxStated)
		}
	})
}

// Guards against a demand that two services that call each other state for ever.
func TestStatementsInCycle(t *testing.T) {
	Convey("A demand that nobody measures any more is forgotten by services that call each other", t, func() {
		a, b, now := NewMeter(), NewMeter(), time.Unix(1000, 0)
		a.Observe(now, "x", []Share{{Service: "x", Demand: 1.5, Blocked: 0.3}})
		for range 1000 {
			now = now.Add(20 * time.Millisecond)
			a.Count(now, "x", false)
			a.Observe(now, "x", nil)
			a.Observe(now, "b", b.Shares(now))
			b.Observe(now, "a", a.Shares(now))
		}
		So(a.Shares(now), ShouldBeEmpty)
		So(b.Shares(now), ShouldBeEmpty)
	})
}

// Guards against entries that refuse important requests while others admit less important ones, since they have
// begun at different times.
func TestEntriesConverge(t *testing.T) {
	Convey("Of entries that refuse both ranks, half are restarted", t, func() {
		l, load := newTreeLoad(60, 8000), map[int]float64{0: 1000, 2: 600}
		l.play(12*time.Second, load)
		for i := range 30 {
			l.gates[i] = NewGate(l.random.Float64)
		}
		difference := func() float64 {
			sum := 0.0
			for i, gate := range l.gates {
				share := gate.services["narrow"].demand.refused(2) / 30
				if i < 30 {
					share = -share
				}
				sum += share
			}
			return sum
		}
		l.play(4*time.Second, load)
		before := difference()
		l.play(20*time.Second, load)
		t.Logf("difference in the less important rank: %.2f, 20 s later %.2f", before, difference())
		So(difference(), ShouldBeLessThan, before/2)
	})
}
