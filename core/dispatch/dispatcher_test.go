package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/codes"
	"github.com/hawthornpoint/hawthornpoint/core/directory"
	"github.com/hawthornpoint/hawthornpoint/core/routing"
	"github.com/hawthornpoint/hawthornpoint/core/slots"
)

var start = time.Unix(1000, 0)

// fleet is a dispatcher in zone "a" over upstreams u0 in a, u1 in b, u2 in c and so on.
func fleet(n int) (*Dispatcher, *directory.Directory) {
	dir := directory.New()
	for i := range n {
		dir.Put(directory.Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: fmt.Sprint(i, ":1"),
			Zone: string(rune('a' + i)), Slots: 10})
	}
	return New(Config{Zone: "a", BudgetRatio: 0.2, BudgetSlack: 100, BudgetWindow: 10 * time.Second,
		Rand: rand.New(rand.NewPCG(1, 2))}, dir), dir
}

func open(d *Dispatcher, idempotent bool) *Flight {
	r := &routing.Route{Name: "r", Idempotent: idempotent, Timeout: 4 * time.Second, LatencyObjective: time.Second, MaxUpstreams: 2}
	return d.Open(start, r, "s", 5*time.Second, 0)
}

// Guards against a second run of a request that may run once: whatever may have run it ends
// the flight.
func TestNotIdempotent(t *testing.T) {
	Convey("Given a request that may run once", t, func() {
		d, _ := fleet(3)
		f := open(d, false)
		first := d.Next(start, f)
		So(first.Code, ShouldEqual, codes.Code(0))
		Convey("it goes elsewhere when it provably has not run", func() {
			for _, r := range []Result{Refused, Leaving, Silent, Misplaced} {
				step := d.Report(start, f, Report{Result: r, Repeatable: true})
				if step.Code != 0 {
					So(step.Code.Kind(), ShouldEqual, codes.NotRun)
					break
				}
			}
		})
		Convey("a lost answer is reported as such", func() {
			step := d.Report(start, f, Report{Result: Lost, Repeatable: true})
			So(step.Code, ShouldEqual, codes.AttemptLost)
		})
		Convey("a failure is passed on", func() {
			So(d.Report(start, f, Report{Result: Failed, Repeatable: true}).Deliver, ShouldBeTrue)
		})
		Convey("a refusal by the backend server is one", func() {
			step := d.Report(start, f, Report{Result: Rejected, Repeatable: true})
			So(step.Code, ShouldEqual, codes.Code(0))
			So(step.Upstream.ID, ShouldNotEqual, first.Upstream.ID)
		})
	})
}

// Guards against a refusal that claims that a request has not run although an earlier
// attempt may have run it.
func TestRefusalIsTrue(t *testing.T) {
	Convey("After a lost attempt nothing is called not run", t, func() {
		d, _ := fleet(3)
		f := open(d, true)
		d.Next(start, f)
		step := d.Report(start, f, Report{Result: Lost, Repeatable: true})
		So(step.Code, ShouldEqual, codes.Code(0))
		for step.Code == 0 {
			step = d.Report(start, f, Report{Result: Refused, Wait: time.Second, Repeatable: true})
		}
		So(step.Code, ShouldEqual, codes.AttemptLost)
	})
}

// Guards against more upstreams than the route allows, and against repeats beyond the budget.
func TestRepeatBounds(t *testing.T) {
	Convey("A request is sent to two upstreams at most", t, func() {
		d, _ := fleet(5)
		f := open(d, true)
		d.Next(start, f)
		So(d.Report(start, f, Report{Result: Lost, Repeatable: true}).Code, ShouldEqual, codes.Code(0))
		So(d.Report(start, f, Report{Result: Lost, Repeatable: true}).Code, ShouldEqual, codes.AttemptLost)
		So(f.Sent(), ShouldEqual, 2)
	})
	Convey("Repeats stay within this daemon's part of the budget", t, func() {
		d, _ := fleet(5)
		repeats := 0
		for range 200 {
			f := open(d, true)
			d.Next(start, f)
			if d.Report(start, f, Report{Result: Failed, Repeatable: true}).Code == 0 && f.Asked() == 2 {
				repeats++
			}
		}
		So(repeats, ShouldBeBetween, 5, int(budgetShare*(0.2*200+100.0/5))+1)
	})
}

// Guards against traffic between zones while there is room near by, and against staying in
// the own zone when there is none.
func TestZones(t *testing.T) {
	Convey("Given three upstreams in three zones", t, func() {
		d, _ := fleet(3)
		count := map[string]int{}
		ask := func() *Flight {
			f := open(d, true)
			count[d.Next(start, f).Upstream.ID]++
			return f
		}
		Convey("requests stay in the zone while it has room", func() {
			for range 300 {
				d.Report(start, ask(), Report{Result: Answered, Elapsed: 10 * time.Millisecond})
			}
			So(count["u0"], ShouldBeGreaterThan, 270)
		})
		Convey("and go elsewhere when its slots are in use", func() {
			for range 30 {
				ask()
			}
			So(count["u0"], ShouldBeBetween, 9, 13)
			So(count["u1"], ShouldBeGreaterThan, 5)
		})
		Convey("an upstream that fails more than the others is left", func() {
			for range 300 {
				f := ask()
				r := Report{Result: Answered, Elapsed: 10 * time.Millisecond}
				if f.target == "u0" {
					r.Result = Failed
				}
				d.Report(start, f, r)
			}
			So(count["u0"], ShouldBeLessThan, 60)
		})
		Convey("failures of all alike are no reason to leave", func() {
			for range 300 {
				d.Report(start, ask(), Report{Result: Failed, Elapsed: 10 * time.Millisecond})
			}
			So(count["u0"], ShouldBeGreaterThan, 200)
		})
	})
}

// Guards against waiting at a full upstream while another one has room, and against being
// refused by all without having waited.
func TestFullUpstreams(t *testing.T) {
	Convey("Full upstreams are asked for room first and to wait last", t, func() {
		d, _ := fleet(3)
		f := open(d, true)
		step, asked := d.Next(start, f), map[string]int{}
		for range 3 {
			So(step.MayQueue, ShouldBeFalse)
			asked[step.Upstream.ID]++
			step = d.Report(start, f, Report{Result: Refused, HasLoad: true, Repeatable: true,
				Load: slots.Load{Running: 10, Limit: 10, Run: 50 * time.Millisecond}, Wait: 5 * time.Millisecond})
		}
		So(asked, ShouldHaveLength, 3)
		So(step.MayQueue, ShouldBeTrue)
		last := d.Report(start, f, Report{Result: Refused, Wait: time.Second})
		So(last.Code, ShouldEqual, codes.Shed)
		So(last.RetryAfter, ShouldBeGreaterThan, 0)
	})
}

// Guards against asking an upstream again for each request that has said that it takes no
// new work, or that another one is at its address.
func TestAvoided(t *testing.T) {
	for name, result := range map[string]Result{"leaves": Leaving, "has been replaced": Misplaced} {
		Convey("An upstream that "+name+" is avoided, unless it is the only one", t, func() {
			d, dir := fleet(3)
			f := open(d, false)
			avoided := d.Next(start, f).Upstream.ID
			d.Report(start, f, Report{Result: result, Repeatable: true})
			for range 100 {
				So(d.Next(start, open(d, true)).Upstream.ID, ShouldNotEqual, avoided)
			}
			for _, u := range dir.All() {
				if u.ID != avoided {
					dir.Remove(start, u.ID)
				}
			}
			So(d.Next(start, open(d, true)).Upstream.ID, ShouldEqual, avoided)
		})
	}
}

// Guards against asking a silent upstream again and again, and against never trying it again.
func TestSilence(t *testing.T) {
	Convey("A silent upstream is avoided for a while", t, func() {
		d, _ := fleet(2)
		f := open(d, false)
		silent := d.Next(start, f).Upstream.ID
		d.Report(start, f, Report{Result: Silent, Repeatable: true})
		for range 20 {
			So(d.Next(start, open(d, true)).Upstream.ID, ShouldNotEqual, silent)
		}
		later, back := start.Add(maxSuspicion), 0
		for range 100 {
			g := open(d, true)
			g.Deadline, g.Objective = later.Add(time.Second), later.Add(time.Second)
			if d.Next(later, g).Upstream.ID == silent {
				back++
			}
		}
		So(back, ShouldBeGreaterThan, 0)
	})
}
