package admission

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
)

const (
	simSeed   = 20260101
	simWarmUp = 2 * time.Second
	simEnd    = 20 * time.Second
	// simTail lets requests that arrived before simEnd be answered.
	simTail = simEnd + time.Second
	// confirmShare is the arrival rate of rank 0 as a share of the capacity.
	confirmShare = 0.1
)

// newLoadedSim returns a simulation whose arrival rate is load times the capacity, of
// which confirmLoad times the capacity is of rank 0.
func newLoadedSim(a admitter, load, confirmLoad float64) *sim {
	s := newSim(a, simSeed)
	s.rates = func() []float64 {
		return []float64{confirmLoad * simCapacity, (load - confirmLoad) * simCapacity}
	}
	s.generateArrivals(0)
	s.generateArrivals(1)
	return s
}

// newCheckedController returns a controller that fails the test on any violated invariant.
func newCheckedController(t *testing.T) *Controller {
	return New(Config{Slots: simSlots, OnViolation: func(msg string) { t.Errorf("violation: %s", msg) }})
}

// Guards against lost goodput, starvation of rank 0 (confirmations) and shedding
// without overload.
func TestLoads(t *testing.T) {
	cases := []struct{ load, confirms, goodput float64 }{
		{0.5, confirmShare, 0.5 * 0.97}, {1.5, confirmShare, 0.95}, {2, confirmShare, 0.95},
		{4, confirmShare, 0.95}, {4, 4 * confirmShare, 0.95}, {10, confirmShare, 0.90},
	}
	SetDefaultFailureMode(FailureContinues)
	Convey("Goodput and the answers to rank 0 reach their targets at each load", t, func() {
		for _, c := range cases {
			ctl := newCheckedController(t)
			s := newLoadedSim(ctl, c.load, c.confirms)
			lowest := callmeta.MaxPriority
			s.onStep = func() { lowest = min(lowest, ctl.Threshold()) }
			s.runUntil(simTail)
			baseline := newLoadedSim(&fifo{}, c.load, c.confirms)
			baseline.runUntil(simTail)
			goodputShare, confirms := s.goodput(simWarmUp, simEnd)/simCapacity, s.rank0Answered(0, simEnd)
			fmt.Printf("load %4.1fx rank0 %.1fx: goodput %.3f rank0 %.4f threshold>=%d limit %d | fifo: goodput %.3f rank0 %.4f\n",
				c.load, c.confirms, goodputShare, confirms, lowest, ctl.Stats().Limit,
				baseline.goodput(simWarmUp, simEnd)/simCapacity, baseline.rank0Answered(0, simEnd))
			So(goodputShare, ShouldBeGreaterThanOrEqualTo, c.goodput)
			So(confirms, ShouldBeGreaterThanOrEqualTo, 0.999)
			if c.load < 1 {
				So(lowest, ShouldEqual, callmeta.MaxPriority)
			}
		}
	})
}

// Guards against a limit or threshold that does not follow a slowdown, or that stays
// low after it ends. A slowdown means either longer runs or fewer usable slots.
func TestSlowdown(t *testing.T) {
	const begin, end = 5 * time.Second, 15 * time.Second
	slowdowns := map[string]func(s *sim, on bool){
		"runs 5x longer": func(s *sim, on bool) { s.slowFactor = map[bool]float64{true: 5, false: 1}[on] },
		"8 of 40 slots":  func(s *sim, on bool) { s.slots = map[bool]int{true: 8, false: 40}[on]; s.serve() },
	}
	SetDefaultFailureMode(FailureContinues)
	Convey("Goodput follows the slowdown and recovers within a second after it", t, func() {
		for name, setSlow := range slowdowns {
			for _, load := range []float64{0.8, 2} {
				measure := func(a admitter) (*sim, [3]float64) {
					s := newLoadedSim(a, load, confirmShare)
					s.after(begin, func() { setSlow(s, true) })
					s.after(end, func() { setSlow(s, false) })
					s.runUntil(simTail)
					return s, [3]float64{s.goodput(simWarmUp, begin), s.goodput(begin+time.Second, end), s.goodput(end+time.Second, end+2*time.Second)}
				}
				ctl := newCheckedController(t)
				s, goodputs := measure(ctl)
				baselineSim, baseline := measure(&fifo{})
				fmt.Printf("%s, load %.1fx: goodput/s before %.0f during %.0f after 1 s %.0f, rank0 %.4f | fifo %.0f %.0f %.0f, rank0 %.4f\n",
					name, load, goodputs[0], goodputs[1], goodputs[2], s.rank0Answered(0, simEnd), baseline[0], baseline[1], baseline[2], baselineSim.rank0Answered(0, simEnd))
				So(goodputs[1], ShouldBeGreaterThanOrEqualTo, 0.9*simCapacity/5)
				// Below capacity, the goodput of one second varies with its arrivals.
				expected := min(load*simCapacity, goodputs[0])
				if load < 1 {
					expected = goodputs[0] / s.offeredRate(simWarmUp, begin) * s.offeredRate(end+time.Second, end+2*time.Second)
				}
				So(goodputs[2], ShouldBeGreaterThanOrEqualTo, 0.95*expected)
				So(s.rank0Answered(0, simEnd), ShouldBeGreaterThanOrEqualTo, 0.999)
			}
		}
	})
}
