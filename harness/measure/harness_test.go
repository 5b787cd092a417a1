package measure

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func shortCase(dep *Deployment, name string, length time.Duration) *Case {
	for _, c := range Cases(dep) {
		if c.Name == name {
			c.WarmUp, c.Length = 2*time.Second, length
			return c
		}
	}
	return nil
}

// TestSameSeed guards against figures that depend on the iteration order of a map or
// on an unseeded random source.
func TestSameSeed(t *testing.T) {
	Convey("Equal seeds give equal figures", t, func() {
		for _, dep := range Deployments() {
			data := descriptions(t, dep)
			for _, name := range []string{"load-2", "kill-one"} {
				run := func(seed uint64) Figures {
					c := shortCase(dep, name, time.Second)
					f, err := Run(Options{Deployment: dep, Case: c, Policy: PolicyFull, Seed: seed, Descriptions: data})
					So(err, ShouldBeNil)
					return f
				}
				first := run(7)
				So(run(7), ShouldResemble, first)
				So(run(8), ShouldNotResemble, first)
			}
		}
	})
}

// TestArrivals guards against policies that are measured under different demand, which
// happens if arrivals share a random source with draws that depend on the policy.
func TestArrivals(t *testing.T) {
	Convey("All policies receive the same number of requests", t, func() {
		dep := Deployments()[0]
		data := descriptions(t, dep)
		counts := make(map[int]bool)
		for _, policy := range []string{PolicyNone, PolicyStatic, PolicyFull} {
			f, err := Run(Options{
				Deployment: dep, Case: shortCase(dep, "load-1.5", time.Second), Policy: policy, Seed: 3, Descriptions: data,
			})
			So(err, ShouldBeNil)
			counts[f.Requests] = true
		}
		So(counts, ShouldHaveLength, 1)
	})
}

// TestCapacity guards against a wrong denominator of goodput.
func TestCapacity(t *testing.T) {
	Convey("The capacity of Quito follows from its call graph", t, func() {
		dep := Deployments()[0]
		conf, _, err := dep.load(descriptions(t, dep), nil)
		So(err, ShouldBeNil)
		// A cut sheet and an assignment each occupy a workshop slot for 20 ms of their
		// own, 20 ms of stock and 0.4 ms of network; 23% of the requests make one.
		slots := 3 * 8.0
		So(dep.capacity(conf, dep.Mix, healthy), ShouldAlmostEqual, slots/(0.23*0.0404), 0.01)
	})
}

// TestLoop guards against events that run out of order or after they were canceled.
func TestLoop(t *testing.T) {
	Convey("Events run in the order of time, then of scheduling", t, func() {
		start := time.Unix(0, 0)
		l := NewLoop(start)
		var got []int
		add := func(d time.Duration, n int) *Event { return l.After(d, func() { got = append(got, n) }) }
		add(2*time.Second, 3)
		add(time.Second, 1)
		add(time.Second, 2)
		add(time.Second, 9).Cancel()
		l.Run(start.Add(3 * time.Second))
		So(got, ShouldResemble, []int{1, 2, 3})
		So(l.Now(), ShouldEqual, start.Add(3*time.Second))
	})
}

// TestBaselinesFail guards against a harness that cannot detect the faults that the
// policy "full" prevents.
func TestBaselinesFail(t *testing.T) {
	Convey("Retries on every hop cause duplicate runs of non-idempotent calls under overload", t, func() {
		dep := Deployments()[0]
		f, err := Run(Options{
			Deployment: dep, Case: shortCase(dep, "load-2", time.Second), Policy: PolicyStatic, Seed: 1,
			Descriptions: descriptions(t, dep),
		})
		So(err, ShouldBeNil)
		So(f.Doubled, ShouldBeGreaterThan, 0)
		So(f.ToldNotRunButRan, ShouldBeGreaterThan, 0)
		So(f.MaxRetries, ShouldBeGreaterThan, 2)
	})
}

// TestNetwork guards against a partition that loses data permanently, which TCP does
// not, or that lets data pass.
func TestNetwork(t *testing.T) {
	Convey("Data sent to an isolated zone arrives once, after the partition has healed", t, func() {
		start := time.Unix(0, 0)
		l := NewLoop(start)
		n := &Network{loop: l, intraZone: time.Millisecond, interZone: 2 * time.Millisecond, isolatedZone: "a"}
		var got []time.Duration
		n.Send("b", "a", func() { got = append(got, l.Now().Sub(start)) })
		n.Send("a", "a", func() { got = append(got, l.Now().Sub(start)) })
		l.Run(start.Add(time.Second))
		n.isolatedZone = ""
		l.Run(start.Add(10 * time.Second))
		So(got, ShouldResemble, []time.Duration{time.Millisecond, 1402 * time.Millisecond})
	})
}
