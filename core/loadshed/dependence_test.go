package loadshed

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against refusing kinds of request that make no calls because of services that others call.
func TestKindsWithoutCalls(t *testing.T) {
	Convey("While the latency of calls varies between 50 and 250 ms", t, func() {
		random := rand.New(rand.NewPCG(1, 2))
		d := NewDependence()
		uniform := func(mean time.Duration) time.Duration {
			return time.Duration((0.5 + random.Float64()) * float64(mean))
		}
		for i := range 3000 {
			latency := 50 * time.Millisecond
			if i/300%2 == 1 {
				latency = 250 * time.Millisecond
			}
			d.CallEnded(uniform(latency))
			calls := uniform(15*time.Millisecond) + 4*latency
			partly := uniform(100 * time.Millisecond)
			if random.Float64() < 0.5 {
				partly += latency
			}
			alone := uniform(140 * time.Millisecond)
			if random.Float64() < 0.03 {
				alone *= 7
			}
			d.RunEnded("calls", calls)
			d.RunEnded("calls in half of the runs", partly)
			d.RunEnded("alone", alone)
		}
		So(d.CallFree("calls"), ShouldBeFalse)
		So(d.CallFree("calls in half of the runs"), ShouldBeFalse)
		So(d.CallFree("alone"), ShouldBeTrue)
		So(d.CallFree("unknown"), ShouldBeFalse)
	})
	Convey("While the latency of calls does not vary, nothing is known", t, func() {
		d := NewDependence()
		for range 1000 {
			d.CallEnded(50 * time.Millisecond)
			d.RunEnded("alone", 140*time.Millisecond)
		}
		So(d.CallFree("alone"), ShouldBeFalse)
	})
}
