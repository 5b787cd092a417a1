package loadshed

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against admitting requests that lead to a blocked service, against shedding the
// important rank first, and against shedding that goes on after recovery. Requests of two
// ranks each make one call to a service that can take half of the calls.
func TestGateFollowsBlockedCalls(t *testing.T) {
	Convey("Given a service that can take half of the calls", t, func() {
		random := rand.New(rand.NewPCG(3, 4))
		gate, meter := NewGate(random.Float64), NewMeter()
		now := time.Unix(1000, 0)
		admitted := [3]int{}
		simulate := func(steps int, capacity float64) {
			admitted = [3]int{}
			for range steps {
				now = now.Add(TickInterval)
				calls := 0
				for range 50 {
					for _, rank := range []int{0, 2} {
						if gate.Admit(now, "entry", rank) == nil {
							admitted[rank]++
							calls++
						}
					}
				}
				blocked := max(0, 1-capacity*100/float64(max(calls, 1)))
				for range calls {
					meter.Count(now, "deep", random.Float64() < blocked)
				}
				gate.Observe(now, "entry", meter.Shares(now))
				gate.Observe(now, "elsewhere", nil)
				gate.Tick(now, present)
			}
		}
		simulate(100, 0.5)
		Convey("the important rank is admitted and the other one is shed", func() {
			simulate(100, 0.5)
			So(admitted[0], ShouldBeGreaterThan, 4000)
			So(admitted[2], ShouldBeLessThan, 2500)
			So(admitted[2], ShouldBeGreaterThan, 100) // the minimum admitted share
		})
		Convey("all requests that do not lead to the service are admitted", func() {
			for range 100 {
				So(gate.Admit(now, "elsewhere", 2), ShouldBeNil)
			}
		})
		Convey("all requests are admitted again after the service has recovered", func() {
			simulate(100, 2)
			simulate(20, 2)
			So(admitted[2], ShouldEqual, 1000)
			So(gate.Refused(), ShouldBeEmpty)
		})
	})
}

func present(string) bool { return false }

// outage plays a service without upstreams for a time, at 100 requests a second of each of two ranks,
// and returns how many of each rank were admitted while it lasted, and how long after its end nearly all
// of both ranks were admitted.
func outage(duration time.Duration) (admitted map[int]int, recovery time.Duration) {
	random := rand.New(rand.NewPCG(5, 6))
	gate, meter := NewGate(random.Float64), NewMeter()
	start := time.Unix(1000, 0)
	admitted = make(map[int]int)
	for now := start; ; now = now.Add(TickInterval) {
		unavailable := now.Sub(start) < duration
		total := 0
		for range 10 {
			for _, rank := range []int{0, 2} {
				if gate.Admit(now, "entry", rank) != nil {
					continue
				}
				total++
				if unavailable {
					admitted[rank]++
				}
				meter.Count(now, "deep", unavailable)
			}
		}
		gone := func(string) bool { return unavailable }
		meter.Refresh(now, gone)
		gate.Observe(now, "entry", meter.Shares(now))
		gate.Tick(now, gone)
		if since := now.Sub(start) - duration; since >= 0 && total >= 19 || since > time.Minute {
			return admitted, since
		}
	}
}

// Guards against work that is begun for requests whose calls all fail, and against refusing requests
// long after the service that they need is back.
func TestGateFollowsOutage(t *testing.T) {
	Convey("While all upstreams of a service are unavailable for 9 s, most requests of the less important rank are refused within a second", t, func() {
		admitted, recovery := outage(9 * time.Second)
		t.Logf("admitted during the outage: %v of 900 each; all admitted %s after it", admitted, recovery)
		So(admitted[2], ShouldBeLessThan, 200)
		Convey("and when it is back, both ranks are admitted within 4 s", func() {
			So(recovery, ShouldBeLessThan, 4*time.Second)
		})
	})
}

// Guards against a blocked share that stays for ever when no calls are made any more.
func TestMeterDecays(t *testing.T) {
	Convey("A blocked share decays when no calls are recorded", t, func() {
		meter, now := NewMeter(), time.Unix(1000, 0)
		for range 50 {
			meter.Count(now, "s", true)
		}
		So(meter.Shares(now)[0].Blocked, ShouldBeGreaterThan, 0.9)
		So(meter.Shares(now.Add(30*time.Second)), ShouldBeEmpty)
	})
}

// Guards against a level that rises with ranks and services that are no longer in use, and against
// memory that grows with them.
func TestRanksOutOfUse(t *testing.T) {
	Convey("Given a service that stays blocked, for which all ranks but one fall out of use", t, func() {
		gate, now := NewGate(func() float64 { return 1 }), time.Unix(1000, 0)
		simulate := func(steps int, ranks ...int) {
			for range steps {
				now = now.Add(TickInterval)
				for _, rank := range ranks {
					gate.Admit(now, "entry", rank)
				}
				gate.Observe(now, "entry", []Share{{Service: "deep", Blocked: 1}})
				gate.Tick(now, present)
			}
		}
		gate.Observe(now, "gone", []Share{{Service: "deep", Blocked: 1}})
		simulate(100, 0, 1, 2, 3)
		simulate(200, 0)
		Convey("its level covers the ranks in use only", func() {
			So(gate.services["deep"].level, ShouldEqual, 1)
		})
		Convey("nothing is kept of the others", func() {
			So(gate.services["deep"].lastRequest, ShouldHaveLength, 1)
			So(gate.services["deep"].reports.from, ShouldHaveLength, 1)
		})
	})
}

// Guards against callers that are told to return so late that their answer misses its objective.
func TestRefusedCallersReturnInTime(t *testing.T) {
	Convey("The time to return grows with the refused share, up to the latest useful one", t, func() {
		So(Refusal{Share: 0.1}.RetryAfter(2*time.Second), ShouldEqual, 420*time.Millisecond)
		So(Refusal{Share: 0.9}.RetryAfter(2*time.Second), ShouldEqual, 1380*time.Millisecond)
		So(Refusal{Share: 0.9}.RetryAfter(800*time.Millisecond), ShouldEqual, 800*time.Millisecond)
		So(Refusal{Share: 0.9}.RetryAfter(-time.Second), ShouldEqual, minRetryAfter)
	})
}
