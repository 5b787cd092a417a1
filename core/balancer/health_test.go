package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// Guards against an upstream that hangs and receives calls until its first answer or
// timeout. It is the only upstream of the local zone and has 40 slots, so that
// neither distance nor its slots keep calls away.
func TestHangingUpstreamLosesPicks(t *testing.T) {
	Convey("An upstream that stops answering gets fewer than 20 picks in the first second", t, func() {
		f := newFleet(3)
		f.picker.local = Locality{Zone: "b", Region: "r"}
		f.update()
		f.run(2*time.Second, 200)
		f.upstreams["up-001"].latency = time.Hour
		f.run(time.Second, 200)
		fmt.Printf("\nhang in the local zone: %d picks in the first second, no answer yet (seed %d)\n", f.upstreams["up-001"].pickCount, seed)
		So(f.upstreams["up-001"].pickCount, ShouldBeLessThan, 20)
	})
}

// Guards against a slow upstream that keeps receiving calls because the others are
// busy.
func TestSlowUpstreamIsEjected(t *testing.T) {
	Convey("An upstream that becomes 10x slower at 100 calls in flight is ejected", t, func() {
		f := newFleet(3)
		f.run(time.Second, 10000)
		f.upstreams["up-001"].latency *= 10
		f.run(2*time.Second, 10000)
		f.run(2*time.Second, 10000)
		fmt.Printf("\nslow 10x at 10000/s: share %.4f after 2 s (seed %d)\n", f.share("up-001"), seed)
		So(f.state("up-001").State, ShouldBeIn, stateEjected, stateProbing)
		So(f.share("up-001"), ShouldBeLessThan, 0.005)
	})
}

func (f *fleet) fail(name string, code resultcode.Code, latency time.Duration, times int) {
	for range times {
		f.picker.Started(f.now, name)
		f.now = f.now.Add(latency)
		f.picker.Done(f.now, name, Result{Code: code, Latency: latency})
	}
}

// Guards against ejection because of refusals, which would reduce capacity in
// overload, and against failures that do not lead to ejection.
func TestWhatCountsAsFailure(t *testing.T) {
	Convey("Only connect failures, lost attempts, truncated answers, timeouts and crashes eject", t, func() {
		ejects := map[resultcode.Code]bool{
			resultcode.ConnectFailed: true, resultcode.BackendDown: true, resultcode.AttemptLost: true,
			resultcode.AnswerTruncated: true, resultcode.BackendCrashed: true, resultcode.DeadlineExceeded: true,
		}
		for _, info := range resultcode.All() {
			f := newFleet(3)
			f.fail("up-001", info.Code, time.Second, 3*failuresToEject)
			So(f.state("up-001").State == stateEjected, ShouldEqual, ejects[info.Code])
		}
	})
	Convey("A timeout below the median latency does not eject, since the caller's deadline was short", t, func() {
		f := newFleet(3)
		f.run(time.Second, 200)
		f.fail("up-001", resultcode.DeadlineExceeded, time.Millisecond, 2*failuresToEject)
		So(f.state("up-001").State, ShouldEqual, stateHealthy)
	})
}

// Guards against ejecting so many upstreams of a service that the others are
// overloaded.
func TestEjectionIsBounded(t *testing.T) {
	Convey("At most a third of the upstreams is ejected, or one of two", t, func() {
		for n, want := range map[int]int{1: 0, 2: 1, 3: 1, 5: 1, 6: 2, 9: 3} {
			f := newFleet(n)
			for _, name := range f.names {
				f.fail(name, resultcode.ConnectFailed, time.Second, 2*failuresToEject)
			}
			So(len(f.picker.ejected), ShouldEqual, want)
		}
	})
	Convey("Nine slow answers do not eject, nor does a slowdown of all upstreams", t, func() {
		f := newFleet(3)
		f.run(2*time.Second, 200)
		for range slowExcessToEject - 1 {
			f.picker.Started(f.now, "up-001")
			f.picker.Done(f.now, "up-001", Result{Code: resultcode.OK, Latency: time.Second})
		}
		f.run(time.Second, 200)
		for _, u := range f.upstreams {
			u.latency *= 10
		}
		f.run(10*time.Second, 200)
		for _, s := range f.picker.States() {
			So(s.Ejections, ShouldEqual, 0)
		}
	})
	Convey("When too few upstreams are usable, all that are not leaving are used", t, func() {
		f := newFleet(3)
		f.fail("up-001", resultcode.ConnectFailed, time.Second, failuresToEject)
		f.upstreams["up-000"].endpoint.Leaving, f.upstreams["up-002"].endpoint.Leaving = true, true
		f.update()
		name, code := f.picker.Pick(f.now, nil, 0)
		So(code, ShouldEqual, resultcode.OK)
		So(name, ShouldEqual, "up-001")
	})
	Convey("Repeated ejections last longer, and only one probe runs at a time", t, func() {
		f := newFleet(2)
		f.fail("up-001", resultcode.ConnectFailed, time.Second, failuresToEject)
		var last time.Duration
		for range 5 {
			e := f.picker.byName["up-001"].ejection
			So(e.until-e.ejectedAt, ShouldBeGreaterThan, last)
			last = (e.until - e.ejectedAt) * 4 / 3
			f.now = f.now.Add(maxEjection * 2)
			name, _ := f.picker.Pick(f.now, nil, 0)
			So(name, ShouldEqual, "up-000") // a due probe waits for a pick that is not of rank 0
			name, _ = f.picker.Pick(f.now, nil, callmeta.LevelsPerRank)
			So(name, ShouldEqual, "up-001")
			f.picker.Started(f.now, name)
			other, _ := f.picker.Pick(f.now, nil, callmeta.LevelsPerRank)
			So(other, ShouldEqual, "up-000")
			f.picker.Done(f.now, name, Result{Code: resultcode.ConnectFailed})
		}
	})
}

// Guards against measurements from before a pause of the daemon that cause refusals
// or ejections after it.
func TestResumeAfterPause(t *testing.T) {
	Convey("After a pause no call is refused and no upstream counts as slow", t, func() {
		f := newFleet(3)
		for _, u := range f.upstreams {
			u.threshold = 0
		}
		f.run(time.Second, 200)
		f.upstreams["up-002"].endpoint.Leaving = true
		f.update()
		f.fail("up-001", resultcode.ConnectFailed, time.Second, failuresToEject)
		f.picker.Started(f.now, "up-000")
		f.picker.Started(f.now, "up-001") // must not count as the probe
		running := f.state("up-000").InFlight
		f.now = f.now.Add(time.Minute)
		f.picker.ResumeAfterPause(f.now)
		So(f.picker.Threshold(), ShouldEqual, callmeta.MaxPriority)
		So(f.state("up-000").Latency, ShouldBeLessThan, 10*time.Millisecond)
		So(f.state("up-000").InFlight, ShouldEqual, running)
		name, code := f.picker.Pick(f.now, nil, 900)
		So(code, ShouldEqual, resultcode.OK)
		So(name, ShouldEqual, "up-001") // the ejected upstream is probed
		So(f.state("up-002").State, ShouldEqual, stateLeaving)
	})
}

// Guards the properties that hold for every order of events: no attempt goes to a
// leaving or excluded upstream, and running attempts are counted correctly.
func TestRandomEvents(t *testing.T) {
	all := resultcode.All()
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 7).Draw(t, "upstreams"))
		var running []string
		isLeaving := map[string]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom(f.names).Draw(t, "name")
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				f.upstreams[name].endpoint.Leaving, isLeaving[name] = true, true
				f.update()
			case 1:
				f.upstreams[name].endpoint.Leaving, isLeaving[name] = false, false
				f.upstreams[name].endpoint.Incarnation = uuid.New()
				f.update()
			case 2, 3, 4:
				got, code := f.picker.Pick(f.now, map[string]bool{name: true}, 0)
				if code != resultcode.OK {
					continue
				}
				if isLeaving[got] || got == name {
					t.Fatalf("picked %s (leaving: %v), excluded: %s", got, isLeaving[got], name)
				}
				f.picker.Started(f.now, got)
				running = append(running, got)
			default:
				if len(running) == 0 {
					continue
				}
				code := rapid.SampledFrom(all).Draw(t, "code").Code
				if code == resultcode.Leaving {
					isLeaving[running[0]] = true
				}
				f.picker.Done(f.now, running[0], Result{Code: code, Latency: time.Millisecond})
				running = running[1:]
			}
			inFlight := 0
			for _, s := range f.picker.States() {
				inFlight += s.InFlight
			}
			if inFlight != len(running) || f.picker.Violations() != 0 {
				t.Fatalf("attempts in flight: got %d, want %d; violations: %d", inFlight, len(running), f.picker.Violations())
			}
		}
	})
}

// Guards against a pick that allocates or whose cost grows with the number of
// upstreams, here 720.
func TestPickDoesNotAllocate(t *testing.T) {
	Convey("Pick, Started and Done do not allocate once the tables have grown", t, func() {
		f := newFleet(720)
		f.run(time.Second, 5000)
		So(testing.AllocsPerRun(1000, func() { step(f, 0) }), ShouldEqual, 0)
	})
}

func step(f *fleet, threshold int) {
	f.now = f.now.Add(100 * time.Microsecond)
	name, code := f.picker.Pick(f.now, nil, callmeta.MaxPriority-1)
	if code != resultcode.OK {
		return
	}
	f.picker.Started(f.now, name)
	f.now = f.now.Add(100 * time.Microsecond)
	f.picker.Done(f.now, name, Result{Code: resultcode.OK, Latency: 100 * time.Microsecond, Threshold: threshold, Incarnation: f.upstreams[name].endpoint.Incarnation})
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{3, 720} {
		for what, threshold := range map[string]int{"admit": callmeta.MaxPriority, "refuse": 0} {
			b.Run(fmt.Sprintf("%d/%s", n, what), func(b *testing.B) {
				f := newFleet(n)
				f.r = rand.New(rand.NewPCG(seed, 1))
				for range 100 * n {
					step(f, threshold)
				}
				b.ReportAllocs()
				for b.Loop() {
					step(f, threshold)
				}
			})
		}
	}
}
