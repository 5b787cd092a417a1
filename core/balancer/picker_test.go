package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// Guards against a slow upstream that keeps a third of the calls because its health
// check still succeeds.
func TestSlowUpstreamLosesPicks(t *testing.T) {
	Convey("An upstream that is 10x slower gets less than 5% of the picks", t, func() {
		run := func(random bool) *fleet {
			f := newFleet(3)
			f.random = random
			f.upstreams["up-001"].latency *= 10
			f.run(20*time.Second, 200)
			return f
		}
		picked, random := run(false), run(true)
		fmt.Printf("\nslow 10x: share %.3f, mean %.1f ms; random choice: share %.3f, mean %.1f ms (seed %d)\n",
			picked.share("up-001"), picked.meanMS(), random.share("up-001"), random.meanMS(), seed)
		So(picked.share("up-001"), ShouldBeLessThan, 0.05)
		So(picked.meanMS(), ShouldBeLessThan, 0.5*random.meanMS())
	})
}

// Guards against an upstream that refuses connections immediately, thus looks idle
// and attracts picks, also when it cannot be ejected because a third of the service
// already is; and against one that gets no more picks after its return.
func TestKilledUpstream(t *testing.T) {
	Convey("An upstream that is killed loses its picks and regains them as the same incarnation", t, func() {
		f := newFleet(3)
		f.run(2*time.Second, 200)
		f.upstreams["up-001"].down = true
		f.run(10*time.Second, 200)
		failed := f.codes[resultcode.ConnectFailed]
		fmt.Printf("\nkilled: %d of %d picks in 10 s failed (seed %d)\n", failed, failed+f.codes[resultcode.OK], seed)
		So(f.state("up-001").State, ShouldBeIn, stateEjected, stateProbing)
		So(float64(failed), ShouldBeLessThan, 0.01*float64(f.codes[resultcode.OK]))
		f.upstreams["up-001"].down = false
		f.run(maxEjection*5/4+returnRampTime, 200)
		f.run(2*time.Second, 200)
		fmt.Printf("killed: share after return %.3f\n", f.share("up-001"))
		So(f.share("up-001"), ShouldBeGreaterThan, 0.25)

		f.upstreams["up-001"].down, f.upstreams["up-002"].down = true, true
		f.run(10*time.Second, 200)
		failed = f.codes[resultcode.ConnectFailed]
		fmt.Printf("two killed: %d of %d picks in 10 s failed\n", failed, failed+f.codes[resultcode.OK])
		So(float64(failed), ShouldBeLessThan, 0.05*float64(f.codes[resultcode.OK]))
	})
}

// Guards against sending the full load to a backend server whose caches are still
// cold after a restart.
func TestColdRestartStartsSlowly(t *testing.T) {
	Convey("A restarted upstream, as fast as before or 10x slower for 2 s, starts slowly", t, func() {
		for _, cold := range []time.Duration{0, 2 * time.Second} {
			f := newFleet(3)
			f.run(2*time.Second, 200)
			u := f.upstreams["up-001"]
			u.endpoint.Incarnation = uuid.New()
			u.coldUntil = f.now.Add(cold)
			f.update()
			So(f.state("up-001").State, ShouldEqual, stateCold)
			f.run(time.Second, 200)
			first := f.share("up-001")
			f.run(7*time.Second, 200)
			f.run(5*time.Second, 200)
			fmt.Printf("\nrestart, slow for %v: share %.3f in the first second, %.3f after 8 s (seed %d)\n",
				cold, first, f.share("up-001"), seed)
			So(first, ShouldBeBetween, 0, 0.15)
			So(f.share("up-001"), ShouldBeGreaterThan, 0.25)
			So(f.state("up-001").State, ShouldEqual, stateHealthy)
		}
	})
}

// Guards invariant 6: a leaving upstream gets no new attempts, whether a list, a
// reply or a result code reported it as leaving, and also when an outdated list
// follows.
func TestLeavingUpstreamGetsNothing(t *testing.T) {
	Convey("A leaving upstream gets no picks until a new incarnation is listed", t, func() {
		for _, how := range []string{"list", "reply", "code", "dropped and listed again"} {
			f := newFleet(3)
			f.run(time.Second, 200)
			u := f.upstreams["up-001"]
			switch how {
			case "reply":
				f.picker.Started(f.now, "up-001")
				f.picker.Done(f.now, "up-001", Result{Code: resultcode.OK, Incarnation: u.endpoint.Incarnation, Leaving: true, Threshold: callmeta.MaxPriority})
			case "code":
				f.picker.Started(f.now, "up-001")
				f.picker.Done(f.now, "up-001", Result{Code: resultcode.Leaving})
			default:
				u.endpoint.Leaving = true
				f.update()
			}
			if how == "dropped and listed again" {
				f.picker.Update(f.now, []Endpoint{f.upstreams["up-000"].endpoint})
			}
			u.endpoint.Leaving = false // the list is outdated
			f.update()
			f.run(5*time.Second, 200)
			fmt.Printf("\nleaving by %s: %d picks in 5 s\n", how, u.pickCount)
			So(u.pickCount, ShouldEqual, 0)
			So(f.picker.Violations(), ShouldEqual, 0)

			old := u.endpoint
			u.endpoint.Incarnation = uuid.New()
			f.update()
			f.picker.Update(f.now, []Endpoint{f.upstreams["up-000"].endpoint, old, f.upstreams["up-002"].endpoint})
			f.run(10*time.Second, 200)
			So(u.pickCount, ShouldBeGreaterThan, 0)
		}
	})
}

// Guards against unnecessary traffic between zones or regions, unnecessary new
// connections, and a full or slow zone that keeps its traffic.
func TestDistance(t *testing.T) {
	Convey("With nine upstreams, the daemon in zone a and zone c in another region, local upstreams with room are preferred", t, func() {
		shares := func(perSecond float64, prepare func(u *fakeUpstream)) (zone, region, other float64) {
			f := newFleet(9)
			f.picker.local = Locality{Zone: "a", Region: "r"}
			for _, u := range f.upstreams {
				switch u.endpoint.Zone {
				case "a":
					prepare(u)
				case "c":
					u.endpoint.Region = "s"
				}
			}
			f.update()
			f.run(5*time.Second, perSecond)
			return f.share("up-000", "up-003", "up-006"), f.share("up-001", "up-004", "up-007"), f.share("up-002", "up-005", "up-008")
		}
		room, _, _ := shares(500, func(*fakeUpstream) {})
		full, region, other := shares(1000, func(u *fakeUpstream) { u.endpoint.Slots = 1 })
		slow, _, _ := shares(500, func(u *fakeUpstream) { u.latency *= 3 })
		fmt.Printf("\nshare of the local zone: %.3f with room, %.3f with 3 slots for 10 calls (rest of the region %.3f, other region %.3f), %.3f when 3x slower (seed %d)\n",
			room, full, region, other, slow, seed)
		So(room, ShouldBeGreaterThan, 0.95)
		So(full, ShouldBeLessThan, 0.5)
		So(region, ShouldBeGreaterThan, 0.5)
		So(other, ShouldBeLessThan, 0.05)
		So(slow, ShouldBeLessThan, 0.5)
	})
	Convey("Of two idle upstreams, the one with an open connection is picked", t, func() {
		f := newFleet(2)
		f.picker.SetConnections("up-000", 0)
		f.picker.SetConnections("up-001", 1)
		for range 100 {
			name, _ := f.picker.Pick(f.now, nil, 0)
			So(name, ShouldEqual, "up-001")
		}
	})
}

// Guards against a late reply that restores the state of a process that has been
// replaced, and against ignoring the process that actually answers.
func TestRepliesOfOtherIncarnations(t *testing.T) {
	Convey("A late reply of a replaced incarnation is ignored; a reply to a later attempt restores it unless it is leaving", t, func() {
		f := newFleet(2)
		u := f.upstreams["up-001"]
		old := u.endpoint.Incarnation
		f.picker.Started(f.now, "up-001")
		u.endpoint.Incarnation = uuid.New()
		f.now = f.now.Add(time.Second)
		f.update()
		late := Result{Code: resultcode.OK, Incarnation: old, Latency: time.Second}
		f.picker.Done(f.now, "up-001", late)
		So(f.state("up-001").Incarnation, ShouldEqual, u.endpoint.Incarnation)
		So(f.state("up-001").Threshold, ShouldEqual, callmeta.MaxPriority)

		f.now = f.now.Add(time.Second)
		late.Latency, late.Leaving = 0, true
		for _, want := range []uuid.UUID{u.endpoint.Incarnation, old} {
			f.picker.Started(f.now, "up-001")
			f.picker.Done(f.now, "up-001", late)
			So(f.state("up-001").Incarnation, ShouldEqual, want)
			So(f.state("up-001").State, ShouldNotEqual, stateLeaving)
			late.Leaving = false
		}
	})
}

// Guards against a low threshold that is never raised again because no call reaches
// the upstreams, and against so many probes that shedding has no effect.
func TestStaleThresholdRecovers(t *testing.T) {
	Convey("When all upstreams refuse a priority and then admit it, probes raise the threshold", t, func() {
		f := newFleet(3)
		for _, u := range f.upstreams {
			u.threshold = 0
		}
		f.run(5*time.Second, 2000)
		early, shed := f.codes[resultcode.ShedEarly], f.codes[resultcode.Shed]
		passed := float64(shed) / float64(early+shed)
		So(passed, ShouldBeBetween, 0.01, 0.04)
		So(f.picker.Threshold(), ShouldEqual, 0)
		for _, u := range f.upstreams {
			u.threshold = callmeta.MaxPriority
		}
		start := f.now
		for f.picker.ThresholdOf(f.now, "") == 0 {
			f.run(time.Millisecond, 2000)
		}
		fmt.Printf("\nthreshold 0: %.3f of picks pass as probes; raised again after %v (seed %d)\n", passed, f.now.Sub(start), seed)
		So(f.now.Sub(start), ShouldBeLessThan, thresholdMaxAge)
		So(f.call(0), ShouldEqual, resultcode.OK)
	})
	Convey("An upstream that refuses a priority for one kind is still picked for another kind", t, func() {
		f := newFleet(3)
		inc := f.upstreams["up-000"].endpoint.Incarnation
		f.picker.Started(f.now, "up-000")
		f.picker.Done(f.now, "up-000", Result{Code: resultcode.Shed, Incarnation: inc, Kind: "stock", Threshold: 64})
		seen := map[string]map[string]int{"stock": {}, "sheets": {}}
		for range 300 {
			for kind, count := range seen {
				name, code := f.picker.PickFor(f.now, kind, nil, 64)
				So(code, ShouldEqual, resultcode.OK)
				count[name]++
			}
		}
		So(seen["stock"]["up-000"], ShouldEqual, 0)
		So(seen["sheets"]["up-000"], ShouldBeGreaterThan, 0)
		So(f.picker.ThresholdOf(f.now, "stock"), ShouldEqual, callmeta.MaxPriority)
		f.now = f.now.Add(thresholdMaxAge + 1) // the threshold has expired
		_, code := f.picker.PickFor(f.now, "stock", map[string]bool{"up-001": true, "up-002": true}, 64)
		So(code, ShouldEqual, resultcode.OK)
		for i := range 100 {
			f.picker.kinds.add(fmt.Sprint(i))
		}
		So(len(f.picker.kinds.index), ShouldEqual, maxKinds)
	})
}
