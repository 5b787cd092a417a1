package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const testSeed = 7

// server is a backend server that is always offered as many requests as the limit
// allows. It runs as many of them at once as it has usable slots and queues the rest.
type server struct {
	limiter      *Limiter
	rng          *rand.Rand
	now          time.Time
	usableSlots  int
	dropsExcess  bool // drops requests beyond the usable slots
	serviceTime  map[string]time.Duration
	mix          func(rng *rand.Rand) string
	limitSum     float64 // sum of the limits, for the mean
	samples      int
	highestLimit int
}

func newServer(slots, usableSlots int) *server {
	return &server{
		limiter: New(slots), rng: rand.New(rand.NewPCG(testSeed, 2)), usableSlots: usableSlots,
		now:         time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		serviceTime: map[string]time.Duration{"a": 20 * time.Millisecond},
		mix:         func(*rand.Rand) string { return "a" },
	}
}

// run feeds samples for d and returns the limit at the end.
func (s *server) run(d time.Duration) int {
	s.limitSum, s.samples, s.highestLimit = 0, 0, 0
	for end := s.now.Add(d); s.now.Before(end); {
		inFlight := s.limiter.Limit()
		running := min(inFlight, s.usableSlots)
		kind := s.mix(s.rng)
		mean := float64(s.serviceTime[kind])
		s.now = s.now.Add(time.Duration(mean / float64(running) * s.rng.ExpFloat64()))
		sample := Sample{Kind: kind, InFlight: inFlight, Dropped: s.dropsExcess && s.rng.IntN(inFlight) >= s.usableSlots}
		// Waiting takes as long as the requests ahead need.
		wait := mean * float64(inFlight-running) / float64(running)
		sample.Latency = time.Duration(wait + mean*(0.5+0.5*s.rng.ExpFloat64()))
		s.limiter.Observe(s.now, sample)
		s.limitSum += float64(s.limiter.Limit())
		s.samples++
		s.highestLimit = max(s.highestLimit, s.limiter.Limit())
	}
	return s.limiter.Limit()
}

func (s *server) meanLimit() float64 { return s.limitSum / float64(s.samples) }

// Guards against a limit that grows step by step because latency with queuing is taken
// as the minimum. Requests would then wait in the server, out of reach of the admission
// queue.
func TestOverloadDoesNotRaiseLimit(t *testing.T) {
	Convey("Five minutes of overload leave the limit near the usable slots", t, func() {
		for _, usableSlots := range []int{40, 20} {
			s := newServer(40, 40)
			s.run(5 * time.Second)
			s.usableSlots = usableSlots
			s.run(2 * time.Second)
			s.run(5 * time.Minute)
			t.Logf("seed %d usable %d: mean limit %.1f highest %d", testSeed, usableSlots, s.meanLimit(), s.highestLimit)
			So(s.meanLimit(), ShouldBeBetween, 0.9*float64(usableSlots), 1.5*float64(usableSlots))
			So(s.highestLimit, ShouldBeLessThanOrEqualTo, 2*usableSlots)
		}
	})
}

// Guards against a limit that stays high on a degraded server or low on a recovered
// one.
func TestFollowsUsableSlots(t *testing.T) {
	Convey("The limit follows the usable slots to a fifth and back, each within a second", t, func() {
		s := newServer(40, 40)
		s.run(3 * time.Second)
		s.usableSlots = 8
		So(s.run(time.Second), ShouldBeBetween, 7, 17)
		s.run(9 * time.Second)
		So(s.meanLimit(), ShouldBeBetween, 7, 13)
		s.usableSlots = 40
		So(s.run(time.Second), ShouldBeGreaterThanOrEqualTo, 36)
	})
}

// Guards against a lower limit for a server whose runs all became slower, which would
// only lose throughput, and against a minimum that never rises.
func TestSlowRunsKeepTheLimit(t *testing.T) {
	Convey("After runs become five times longer the limit returns to the slots", t, func() {
		s := newServer(40, 40)
		s.run(3 * time.Second)
		s.serviceTime["a"] *= 5
		s.run(1500 * time.Millisecond)
		s.run(8500 * time.Millisecond)
		So(s.meanLimit(), ShouldBeBetween, 36, 50)
		s.serviceTime["a"] /= 5
		s.run(time.Second)
		So(s.run(3*time.Second), ShouldBeBetweenOrEqual, 36, 50)
	})
}

// Guards against taking a change in the mix of kinds for a change of the server.
func TestKindsAreNormalised(t *testing.T) {
	Convey("A shift from short to long requests does not change the limit", t, func() {
		s := newServer(40, 40)
		s.serviceTime["b"] = 200 * time.Millisecond
		share := 0.1
		s.mix = func(rng *rand.Rand) string {
			if rng.Float64() < share {
				return "b"
			}
			return "a"
		}
		s.run(5 * time.Second)
		share = 0.9
		s.run(5 * time.Second)
		So(s.meanLimit(), ShouldBeBetween, 38, 50)
	})
}

// Guards against a wrong limit when the published slots are too low or too high.
func TestPublishedSlotsAreWrong(t *testing.T) {
	Convey("A server with more slots than published gets exactly the published ones", t, func() {
		s := newServer(40, 100)
		So(s.run(time.Minute), ShouldEqual, 40)
		So(s.highestLimit, ShouldEqual, 40)
	})
	Convey("The limit of a server that drops requests beyond its slots stays near its slots", t, func() {
		s := newServer(40, 10)
		s.dropsExcess = true
		s.run(time.Second)
		s.run(20 * time.Second)
		So(s.meanLimit(), ShouldBeBetween, 8, 18)
	})
	Convey("The limit stays between 1 and the slots and scales with them", t, func() {
		l := New(0)
		So(l.Limit(), ShouldEqual, 1)
		l.SetSlots(30)
		So(l.Limit(), ShouldEqual, 30)
		now := time.Unix(0, 0)
		for range 10000 {
			now = now.Add(time.Millisecond)
			l.Observe(now, Sample{InFlight: 30, Dropped: true})
		}
		So(l.Limit(), ShouldEqual, 1)
	})
}

// Guards against unbounded memory when callers choose the kinds.
func TestKindsAreBounded(t *testing.T) {
	Convey("Kinds beyond MaxKinds share one entry", t, func() {
		l := New(10)
		for i := range 10 * MaxKinds {
			l.Observe(time.Unix(0, int64(i)), Sample{Kind: string(rune('a' + i)), Latency: time.Millisecond})
		}
		So(len(l.kinds.all), ShouldEqual, MaxKinds+1)
	})
}
