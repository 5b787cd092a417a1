package pressure

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Plays requests of two ranks of which each makes calls to one service that takes half of
// them, and checks what is let in.
func TestGateFollowsBlockedCalls(t *testing.T) {
	Convey("Given a service that can take half of the calls", t, func() {
		random := rand.New(rand.NewPCG(3, 4))
		gate, meter := NewGate(random.Float64), NewMeter()
		now := time.Unix(1000, 0)
		in := [3]int{}
		play := func(steps int, capacity float64) {
			in = [3]int{}
			for range steps {
				now = now.Add(TickInterval)
				calls := 0
				for range 50 {
					for _, rank := range []int{0, 2} {
						if gate.Admit(now, "entry", rank) == nil {
							in[rank]++
							calls++
						}
					}
				}
				blocked := max(0, 1-capacity*100/float64(max(calls, 1)))
				for range calls {
					meter.Count(now, "deep", random.Float64() < blocked)
				}
				gate.Heard(now, "entry", meter.Shares(now))
				gate.Heard(now, "elsewhere", nil)
				gate.Tick(now)
			}
		}
		play(100, 0.5)
		Convey("the important rank is let in and the other one is held back", func() {
			play(100, 0.5)
			So(in[0], ShouldBeGreaterThan, 4000)
			So(in[2], ShouldBeLessThan, 2500)
			So(in[2], ShouldBeGreaterThan, 100) // the trickle
		})
		Convey("requests that do not lead there are all let in", func() {
			for range 100 {
				So(gate.Admit(now, "elsewhere", 2), ShouldBeNil)
			}
		})
		Convey("all are let in again when there is room", func() {
			play(100, 2)
			play(20, 2)
			So(in[2], ShouldEqual, 1000)
			So(gate.Levels(), ShouldBeEmpty)
		})
	})
}

// Guards against a share that stays for ever when no calls are made any more.
func TestMeterForgets(t *testing.T) {
	Convey("A reading without news fades", t, func() {
		m, now := NewMeter(), time.Unix(1000, 0)
		for range 50 {
			m.Count(now, "s", true)
		}
		So(m.Shares(now)[0].Blocked, ShouldBeGreaterThan, 0.9)
		So(m.Shares(now.Add(30*time.Second)), ShouldBeEmpty)
	})
}
