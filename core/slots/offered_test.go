package slots

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a demand that is limited by what the slots can do, and against refusing kinds that ask for little.
func TestDemand(t *testing.T) {
	Convey("Given a server of 100 slots with runs of 50 ms", t, func() {
		l, now, id := New(100), time.Unix(1000, 0), uint64(0)
		type run struct {
			id  uint64
			end time.Time
		}
		var running []run
		play := func(duration time.Duration, perStep map[string]int) {
			for end := now.Add(duration); now.Before(end); now = now.Add(5 * time.Millisecond) {
				for len(running) > 0 && !running[0].end.After(now) {
					for _, e := range l.Done(now, running[0].id, Outcome{Elapsed: 50 * time.Millisecond}) {
						if e.Decision.Verdict == Start {
							running = append(running, run{e.ID, now.Add(50 * time.Millisecond)})
						}
					}
					running = running[1:]
				}
				for kind, n := range perStep {
					for range n {
						id++
						d := l.Admit(now, Request{ID: id, Kind: kind, MayQueue: true, Objective: now.Add(300 * time.Millisecond), Deadline: now.Add(700 * time.Millisecond)})
						if d.Verdict == Start {
							running = append(running, run{id, now.Add(50 * time.Millisecond)})
						}
					}
				}
				l.Tick(now)
			}
		}
		Convey("half of what fits is a demand of about a half", func() {
			play(2*time.Second, map[string]int{"a": 5})
			So(l.DemandFor(now, "a"), ShouldBeBetween, 0.4, 0.65)
		})
		Convey("twice of what fits is a demand of at least two, with what waits", func() {
			play(2*time.Second, map[string]int{"a": 20})
			So(l.DemandFor(now, "a"), ShouldBeGreaterThan, 2)
		})
		Convey("the demand is at most what runs while nothing waits", func() {
			for range 2000 {
				id, now = id+1, now.Add(time.Millisecond)
				if l.Admit(now, Request{ID: id, Kind: "fails", MayQueue: true, Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}).Verdict == Start {
					l.Done(now, id, Outcome{Elapsed: time.Millisecond, Failed: true})
				}
			}
			So(l.DemandFor(now, "fails"), ShouldBeLessThan, 0.1)
		})
		Convey("a kind that asks for little does not see the demand of others, until it asks for more", func() {
			play(2*time.Second, map[string]int{"a": 15, "b": 1})
			So(l.DemandFor(now, "a"), ShouldBeGreaterThan, 1.4)
			So(l.DemandFor(now, "b"), ShouldEqual, 0)
			play(2*time.Second, map[string]int{"a": 15, "b": 8})
			So(l.DemandFor(now, "b"), ShouldBeGreaterThan, 1.4)
		})
	})
}
