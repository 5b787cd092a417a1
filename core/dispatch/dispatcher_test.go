package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/core/directory"
	"github.com/hawthornpoint/hawthornpoint/core/routing"
	"github.com/hawthornpoint/hawthornpoint/core/slots"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
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

func open(d *Dispatcher, idempotent bool) *OutgoingRequest {
	r := &routing.Route{Name: "r", Idempotent: idempotent, Timeout: 4 * time.Second, LatencyObjective: time.Second, MaxUpstreams: 2}
	return d.Open(start, r, "s", 5*time.Second, 0)
}

// Guards against a second run of a request that is not idempotent: an attempt that may have
// run it must end the request.
func TestNotIdempotent(t *testing.T) {
	Convey("Given a request that is not idempotent", t, func() {
		d, _ := fleet(3)
		req := open(d, false)
		first := d.Next(start, req)
		So(first.Code, ShouldEqual, resultcode.Code(0))
		Convey("it goes to another upstream when it provably has not run", func() {
			for _, r := range []Result{Refused, Leaving, NoReply, WrongUpstream} {
				step := d.Report(start, req, Report{Result: r, Retryable: true})
				if step.Code != 0 {
					So(step.Code.Kind(), ShouldEqual, resultcode.NotRun)
					break
				}
			}
		})
		Convey("a lost answer ends it with AttemptLost", func() {
			step := d.Report(start, req, Report{Result: Lost, Retryable: true})
			So(step.Code, ShouldEqual, resultcode.AttemptLost)
		})
		Convey("a failed answer is delivered", func() {
			So(d.Report(start, req, Report{Result: Failed, Retryable: true}).Deliver, ShouldBeTrue)
		})
		Convey("it goes to another upstream when the backend server refused it without running it", func() {
			step := d.Report(start, req, Report{Result: Rejected, Retryable: true})
			So(step.Code, ShouldEqual, resultcode.Code(0))
			So(step.Upstream.ID, ShouldNotEqual, first.Upstream.ID)
		})
	})
}

// Guards against a request that reaches a second upstream without the part of its body that the
// first one received.
func TestBodySpent(t *testing.T) {
	Convey("A request whose body is no longer available is refused, whatever the reason that it has not run", t, func() {
		for _, r := range []Result{Refused, Leaving, NoReply, WrongUpstream, Rejected} {
			d, _ := fleet(3)
			req := open(d, true)
			d.Next(start, req)
			step := d.Report(start, req, Report{Result: r})
			So(step.Code.Kind(), ShouldEqual, resultcode.NotRun)
			So(step.Reason, ShouldEqual, "body_spent")
			So(step.RetryAfter, ShouldBeGreaterThan, 0)
		}
	})
}

// Guards against a refusal that claims that a request has not run although an earlier
// attempt may have run it.
func TestRefusalAfterLostAttempt(t *testing.T) {
	Convey("Refusals after a lost attempt end the request with AttemptLost", t, func() {
		d, _ := fleet(3)
		req := open(d, true)
		d.Next(start, req)
		step := d.Report(start, req, Report{Result: Lost, Retryable: true})
		So(step.Code, ShouldEqual, resultcode.Code(0))
		for step.Code == 0 {
			step = d.Report(start, req, Report{Result: Refused, Wait: time.Second, Retryable: true})
		}
		So(step.Code, ShouldEqual, resultcode.AttemptLost)
	})
}

// Guards against more upstreams than the route allows, and against retries beyond the budget.
func TestRetryBounds(t *testing.T) {
	Convey("A request is sent to two upstreams at most", t, func() {
		d, _ := fleet(5)
		req := open(d, true)
		d.Next(start, req)
		So(d.Report(start, req, Report{Result: Lost, Retryable: true}).Code, ShouldEqual, resultcode.Code(0))
		So(d.Report(start, req, Report{Result: Lost, Retryable: true}).Code, ShouldEqual, resultcode.AttemptLost)
		So(req.Sent(), ShouldEqual, 2)
	})
	Convey("Retries stay within this daemon's part of the budget", t, func() {
		d, _ := fleet(5)
		retries := 0
		for range 200 {
			req := open(d, true)
			d.Next(start, req)
			if d.Report(start, req, Report{Result: Failed, Retryable: true}).Code == 0 && req.Asked() == 2 {
				retries++
			}
		}
		So(retries, ShouldBeBetween, 5, int(budgetShare*(0.2*200+100.0/5))+1)
	})
}

// Guards against a budget that is spent on retries that are not made.
func TestBudgetWithoutUpstream(t *testing.T) {
	Convey("Failures without another upstream leave the budget to later requests", t, func() {
		d, dir := fleet(1)
		for range 100 {
			req := open(d, true)
			d.Next(start, req)
			So(d.Report(start, req, Report{Result: Failed, Retryable: true}).Deliver, ShouldBeTrue)
		}
		dir.Put(directory.Upstream{ID: "u1", Service: "s", Address: "1:1", Zone: "a", Slots: 10})
		req := open(d, true)
		first := d.Next(start, req).Upstream.ID
		step := d.Report(start, req, Report{Result: Failed, Retryable: true})
		So(step.Deliver, ShouldBeFalse)
		So(step.Upstream.ID, ShouldNotEqual, first)
	})
}

// Guards against traffic between zones while the own zone has free slots, and against staying
// in the own zone when it has none.
func TestZones(t *testing.T) {
	Convey("Given three upstreams in three zones", t, func() {
		d, _ := fleet(3)
		count := map[string]int{}
		ask := func() *OutgoingRequest {
			req := open(d, true)
			count[d.Next(start, req).Upstream.ID]++
			return req
		}
		Convey("requests stay in the own zone while it has free slots", func() {
			for range 300 {
				d.Report(start, ask(), Report{Result: Answered, Elapsed: 10 * time.Millisecond})
			}
			So(count["u0"], ShouldBeGreaterThan, 270)
		})
		Convey("requests go to other zones when its slots are in use", func() {
			for range 30 {
				ask()
			}
			So(count["u0"], ShouldBeBetween, 9, 13)
			So(count["u1"], ShouldBeGreaterThan, 5)
		})
		Convey("an upstream that fails more often than the others is avoided", func() {
			for range 300 {
				req := ask()
				r := Report{Result: Answered, Elapsed: 10 * time.Millisecond}
				if req.target == "u0" {
					r.Result = Failed
				}
				d.Report(start, req, r)
			}
			So(count["u0"], ShouldBeLessThan, 60)
		})
		Convey("failures of all upstreams alike do not change the zone", func() {
			for range 300 {
				d.Report(start, ask(), Report{Result: Failed, Elapsed: 10 * time.Millisecond})
			}
			So(count["u0"], ShouldBeGreaterThan, 200)
		})
	})
}

// Guards against queueing at a full upstream while another one has a free slot, and against a
// refusal by all upstreams without having queued.
func TestFullUpstreams(t *testing.T) {
	Convey("Full upstreams are asked for a free slot first and to queue the request last", t, func() {
		d, _ := fleet(3)
		req := open(d, true)
		step, asked := d.Next(start, req), map[string]int{}
		for range 3 {
			So(step.MayQueue, ShouldBeFalse)
			asked[step.Upstream.ID]++
			step = d.Report(start, req, Report{Result: Refused, HasLoad: true, Retryable: true,
				Load: slots.Load{Running: 10, Limit: 10, Run: 50 * time.Millisecond}, Wait: 5 * time.Millisecond})
		}
		So(asked, ShouldHaveLength, 3)
		So(step.MayQueue, ShouldBeTrue)
		last := d.Report(start, req, Report{Result: Refused, Wait: time.Second})
		So(last.Code, ShouldEqual, resultcode.Shed)
		So(last.RetryAfter, ShouldBeGreaterThan, 0)
	})
}

// Guards against asking an upstream again for each request after it replied that it takes no
// new work, or that another upstream is at its address.
func TestAvoided(t *testing.T) {
	for name, result := range map[string]Result{"leaves": Leaving, "has been replaced": WrongUpstream} {
		Convey("An upstream that "+name+" is avoided, unless it is the only one", t, func() {
			d, dir := fleet(3)
			req := open(d, false)
			avoided := d.Next(start, req).Upstream.ID
			d.Report(start, req, Report{Result: result, Retryable: true})
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

// Guards against asking an upstream for every request although it does not reply, and against
// never trying it again.
func TestNoReply(t *testing.T) {
	Convey("An upstream that does not reply is avoided for a limited time", t, func() {
		d, _ := fleet(2)
		req := open(d, false)
		unresponsive := d.Next(start, req).Upstream.ID
		d.Report(start, req, Report{Result: NoReply, Retryable: true})
		for range 20 {
			So(d.Next(start, open(d, true)).Upstream.ID, ShouldNotEqual, unresponsive)
		}
		later, askedAgain := start.Add(maxAvoidTime), 0
		for range 100 {
			laterReq := open(d, true)
			laterReq.Deadline, laterReq.Objective = later.Add(time.Second), later.Add(time.Second)
			if d.Next(later, laterReq).Upstream.ID == unresponsive {
				askedAgain++
			}
		}
		So(askedAgain, ShouldBeGreaterThan, 0)
	})
}

// Guards against an attempt at an earlier incarnation of an upstream that is counted at the next
// one: as its end, as a missing reply, or not at all for the request.
func TestAttemptAtEarlierIncarnation(t *testing.T) {
	Convey("Given an attempt at an upstream that has started again since, with one under way there", t, func() {
		d, dir := fleet(1)
		earlier := open(d, true)
		first := d.Next(start, earlier).Upstream
		next := first
		next.Incarnation++
		dir.Put(next)
		later := open(d, true)
		So(d.Next(start, later).Upstream.Incarnation, ShouldEqual, next.Incarnation)
		state := d.states[first.ID]
		Convey("its loss counts for the request only", func() {
			So(d.Report(start, earlier, Report{Result: Lost, Retryable: true}).Code, ShouldEqual, resultcode.AttemptLost)
			So(earlier.Sent(), ShouldEqual, 1)
			So(state.inFlight, ShouldEqual, 1)
			So(state.avoided(start), ShouldBeFalse)
			So(state.failing, ShouldEqual, 0)
		})
		Convey("its abandonment does not end the other attempt", func() {
			d.Abandon(earlier)
			So(state.inFlight, ShouldEqual, 1)
			d.Abandon(later)
			So(state.inFlight, ShouldEqual, 0)
		})
		Convey("it counts for the request when nothing is known of the upstream any more", func() {
			d.Abandon(later)
			dir.Remove(start, first.ID)
			d.Prune()
			d.Report(start, earlier, Report{Result: Lost, Retryable: true})
			So(earlier.Sent(), ShouldEqual, 1)
		})
	})
}

// Guards against requests that lose their connection when a daemon stops although they have not
// run, and against a refusal in place of an answer that an upstream has given.
func TestClosedDispatcher(t *testing.T) {
	Convey("Given a closed dispatcher", t, func() {
		d, _ := fleet(3)
		req := open(d, true)
		d.Next(start, req)
		d.Close()
		Convey("a request that has not run is refused", func() {
			for _, r := range []Result{Refused, Leaving, NoReply, WrongUpstream} {
				step := d.Report(start, req, Report{Result: r, Retryable: true})
				So(step.Code, ShouldEqual, resultcode.Leaving)
			}
			So(d.Next(start, open(d, false)).Code, ShouldEqual, resultcode.Leaving)
		})
		Convey("a request that the backend server refused is refused", func() {
			step := d.Report(start, req, Report{Result: Rejected, Retryable: true})
			So(step.Code.Kind(), ShouldEqual, resultcode.NotRun)
		})
		Convey("a lost answer ends the request with AttemptLost", func() {
			So(d.Report(start, req, Report{Result: Lost, Retryable: true}).Code, ShouldEqual, resultcode.AttemptLost)
		})
		Convey("answers are delivered, also failed ones", func() {
			So(d.Report(start, req, Report{Result: Failed, Retryable: true}).Deliver, ShouldBeTrue)
			So(d.Report(start, req, Report{Result: Answered}).Deliver, ShouldBeTrue)
		})
	})
}

// Guards against starting what a stopping daemon can't finish.
func TestRequestsBeforeAStop(t *testing.T) {
	Convey("Given a dispatcher that stops in 800 ms, and runs of 1 s", t, func() {
		d, _ := fleet(3)
		before := open(d, false)
		d.Next(start, before)
		d.Report(start, before, Report{Result: Answered, Elapsed: time.Second})
		earlier := open(d, false)
		d.StopBy(start.Add(800 * time.Millisecond))
		Convey("a request that is opened now is refused as not run", func() {
			So(d.Next(start, open(d, false)).Code, ShouldEqual, resultcode.Leaving)
		})
		Convey("a shorter one is sent and ends before the stop", func() {
			for range 100 {
				d.longestRun("r").record(start.Add(2*longestRunWindow), 100*time.Millisecond)
			}
			d.longestRun("r").start = start
			req := open(d, false)
			So(d.Next(start, req).Code, ShouldEqual, resultcode.Code(0))
			So(req.Deadline, ShouldEqual, start.Add(800*time.Millisecond))
		})
		Convey("a request that was opened before is sent", func() {
			So(d.Next(start, earlier).Code, ShouldEqual, resultcode.Code(0))
		})
		Convey("a request of a route of which no run is known is refused as not run", func() {
			delete(d.longestRuns, "r")
			So(d.Next(start, open(d, false)).Code, ShouldEqual, resultcode.Leaving)
		})
	})
}

// Guards against ending a run that a stopping daemon has accepted, because it takes longer than the average.
func TestAcceptedRunsEndBeforeTheStop(t *testing.T) {
	Convey("Given runs of 0.4 to 1.2 s and requests during the last 3 s before the stop", t, func() {
		random := rand.New(rand.NewPCG(1, 2))
		run := func() time.Duration { return time.Duration(400+random.IntN(801)) * time.Millisecond }
		accepted, refused, cut := 0, 0, 0
		for range 20 {
			d, _ := fleet(3)
			for range 200 {
				req := open(d, false)
				d.Next(start, req)
				d.Report(start, req, Report{Result: Answered, Elapsed: run()})
			}
			stop := start.Add(3 * time.Second)
			d.StopBy(stop)
			for at := start; at.Before(stop); at = at.Add(20 * time.Millisecond) {
				req := d.Open(at, &routing.Route{Name: "r", Timeout: 10 * time.Second, MaxUpstreams: 2}, "s", 8*time.Second, 0)
				step := d.Next(at, req)
				if step.Code != 0 {
					So(step.Code, ShouldEqual, resultcode.Leaving)
					refused++
					continue
				}
				accepted++
				took := run()
				So(step.LeastLeft, ShouldBeBetween, 1100*time.Millisecond, 1600*time.Millisecond)
				if at.Add(took).After(stop) {
					cut++
				}
				d.Report(at, req, Report{Result: Answered, Elapsed: took})
			}
		}
		So(cut, ShouldEqual, 0)
		So(accepted, ShouldBeGreaterThan, refused) // 1.5 of 3 s, or more, are left for them
	})
}

// Guards against a bound on run times that a few runs or an old one determine.
func TestLongestRun(t *testing.T) {
	Convey("The bound is the longest recent run with a margin that shrinks with their number", t, func() {
		var l longestRun
		_, known := l.bound(start)
		So(known, ShouldBeFalse)
		l.record(start, time.Second)
		bound, known := l.bound(start)
		So(known, ShouldBeTrue)
		So(bound, ShouldEqual, 17*time.Second)
		for range 99 {
			l.record(start.Add(longestRunWindow), 100*time.Millisecond)
		}
		bound, _ = l.bound(start.Add(longestRunWindow))
		So(bound, ShouldEqual, 1250*time.Millisecond)
		bound, _ = l.bound(start.Add(2 * longestRunWindow))
		So(bound, ShouldEqual, 125*time.Millisecond)
		_, known = l.bound(start.Add(4 * longestRunWindow))
		So(known, ShouldBeFalse)
	})
}

// Guards against sending a request that crashes upstreams once more, and against a refusal that
// says that it has not run although it may have.
func TestQuarantinedRequests(t *testing.T) {
	Convey("Given a request", t, func() {
		d, _ := fleet(3)
		req := open(d, true)
		d.Next(start, req)
		Convey("a refusal for quarantine ends it, with the time until the quarantine ends", func() {
			step := d.Report(start, req, Report{Result: Quarantined, Wait: time.Minute, Retryable: true})
			So(step.Code, ShouldEqual, resultcode.Quarantined)
			So(step.RetryAfter, ShouldEqual, time.Minute)
		})
		Convey("a lost attempt is not repeated once the request is quarantined", func() {
			step := d.Report(start, req, Report{Result: Lost, Quarantined: true, Retryable: true})
			So(step.Code, ShouldEqual, resultcode.AttemptLost)
		})
		Convey("a refusal after a lost attempt says that it may have run", func() {
			d.Report(start, req, Report{Result: Lost, Retryable: true})
			step := d.Report(start, req, Report{Result: Quarantined, Wait: time.Minute, Retryable: true})
			So(step.Code, ShouldEqual, resultcode.AttemptLost)
			So(step.RetryAfter, ShouldEqual, 0)
		})
	})
}

// Guards against daemons that send copies of a suspect to different upstreams at the same time.
func TestOrderOfSuspects(t *testing.T) {
	Convey("Daemons of all zones ask the upstreams for a suspect in one order, and may queue", t, func() {
		orders, firsts := map[string]bool{}, map[string]bool{}
		for key := range 20 {
			clear(orders)
			for zone := range 3 {
				d, _ := fleet(6)
				d.cfg.Zone, d.cfg.Rand = string(rune('a'+zone)), rand.New(rand.NewPCG(uint64(zone), 7))
				req := open(d, true)
				req.Suspect = fmt.Sprint("key-", key)
				step := d.Next(start, req)
				order := ""
				for range 3 {
					So(step.Code, ShouldEqual, resultcode.Code(0))
					So(step.MayQueue, ShouldBeTrue)
					order += step.Upstream.ID
					step = d.Report(start, req, Report{Result: Refused, Wait: time.Second, Retryable: true})
				}
				orders[order], firsts[order[:2]] = true, true
			}
			So(orders, ShouldHaveLength, 1)
		}
		So(len(firsts), ShouldBeGreaterThan, 3)
	})
	Convey("A suspect that no upstream takes is refused, and one that is cleared is sent as any other", t, func() {
		d, _ := fleet(2)
		req := open(d, true)
		req.Suspect = "key"
		step := d.Next(start, req)
		first := step.Upstream.ID
		for range maxAsked {
			if step.Code == 0 {
				step = d.Report(start, req, Report{Result: Refused, Wait: time.Second, Retryable: true})
			}
		}
		So(step.Code, ShouldEqual, resultcode.Shed)
		cleared := open(d, true)
		cleared.Suspect = "key"
		So(d.Next(start, cleared).Upstream.ID, ShouldEqual, first)
		cleared.Suspect = ""
		So(d.Report(start, cleared, Report{Result: NoReply, Retryable: true}).Upstream.ID, ShouldNotEqual, first)
	})
}
