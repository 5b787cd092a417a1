package slots

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against more starts than the backend server has stated that it takes.
func TestStatedRate(t *testing.T) {
	for _, rate := range []float64{0, 0.5, 3, 28.8, 500} {
		Convey("No window of 4 s has more starts than one and a half times the rate allows, and 5", t, func() {
			l := limiterWithRuns(40, 50*time.Millisecond)
			l.SetRate(start, rate)
			var starts []time.Duration
			id := uint64(0)
			note := func(at time.Duration, events []Event) {
				for _, e := range events {
					if e.Decision.Verdict == Start {
						starts = append(starts, at)
						l.Done(start.Add(at), e.ID, Outcome{Elapsed: time.Millisecond})
					}
				}
			}
			for at := time.Duration(0); at < 20*time.Second; at += time.Millisecond {
				now := start.Add(at)
				if at == 8*time.Second {
					l.SetRate(now, rate)
				}
				id++
				r := Request{ID: id, Kind: "k", Rank: 1, MayQueue: id%2 == 0, Objective: now.Add(time.Second), Deadline: now.Add(4 * time.Second)}
				if d := l.Admit(now, r); d.Verdict == Start {
					note(at, []Event{{ID: id, Decision: d}})
				}
				if at%(50*time.Millisecond) == 0 {
					note(at, l.Tick(now))
				}
			}
			most := 0
			for i, first := range starts {
				n := 0
				for _, s := range starts[i:] {
					if s-first < 4*time.Second {
						n++
					}
				}
				most = max(most, n)
			}
			t.Logf("rate %v: %d starts in 20 s, at most %d in 4 s", rate, len(starts), most)
			So(float64(most), ShouldBeLessThanOrEqualTo, 1.5*4*rate+5)
			So(float64(len(starts)), ShouldBeGreaterThanOrEqualTo, 0.9*20*rate)
		})
	}
}

// Guards against less important requests that take the starts of the most important ones.
func TestImportantRequestsUnderStatedRate(t *testing.T) {
	Convey("At a rate of 20 a second, 10 important requests a second all start in time beside 100 others", t, func() {
		l := limiterWithRuns(40, 50*time.Millisecond)
		l.SetRate(start, 20)
		started := map[int]int{}
		ranks := map[uint64]int{}
		note := func(now time.Time, events []Event) {
			for _, e := range events {
				if e.Decision.Verdict == Start {
					started[ranks[e.ID]]++
					l.Done(now, e.ID, Outcome{Elapsed: 50 * time.Millisecond})
				}
			}
		}
		important := 0
		for id := uint64(0); id < 1100; id++ {
			now := start.Add(time.Duration(id) * 10 * time.Second / 1100)
			ranks[id] = 2
			if id%11 == 0 {
				ranks[id] = 0
				important++
			}
			r := Request{ID: id, Kind: "k", Rank: ranks[id], MayQueue: true, Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}
			if d := l.Admit(now, r); d.Verdict == Start {
				note(now, []Event{{ID: id, Decision: d}})
			}
			note(now, l.Tick(now))
		}
		t.Logf("started by rank: %v of %d important ones", started, important)
		So(started[0], ShouldBeGreaterThanOrEqualTo, important-1)
		So(started[0]+started[2], ShouldBeBetween, 180, 215)
	})
}

// Guards against a limit that outlives its statement, and one that ends with an answer that was on
// its way when it was stated.
func TestEndOfStatedRate(t *testing.T) {
	Convey("Given a limiter with a stated rate", t, func() {
		l := limiterWithRuns(40, 50*time.Millisecond)
		l.SetRate(start, 20)
		So(l.Load().Limit, ShouldEqual, 1)
		Convey("an answer to a request from before the statement leaves it in force", func() {
			So(l.EndRate(start.Add(-time.Millisecond)), ShouldBeFalse)
			So(l.Rate(), ShouldEqual, 20)
		})
		Convey("an answer to a later request ends it", func() {
			So(l.EndRate(start.Add(time.Millisecond)), ShouldBeTrue)
			So(l.Load().Limit, ShouldEqual, 38)
		})
	})
}

// Guards against a burst beyond the rate by a daemon that has restarted, and against a rate that
// outlives its statement because other daemons still know it.
func TestAdoptedRate(t *testing.T) {
	Convey("A rate that other daemons know holds until the backend server has answered", t, func() {
		l := New(40)
		l.AdoptRate(start, 0)
		So(l.Rate(), ShouldEqual, 0)
		l.AdoptRate(start, 2.5)
		starts := 0
		for id := uint64(0); id < 1600; id++ {
			now := start.Add(time.Duration(id) * 4 * time.Second / 1600)
			l.AdoptRate(now, 2.5)
			r := Request{ID: id, Kind: "k", Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}
			if l.Admit(now, r).Verdict == Start {
				starts++
			}
		}
		So(starts, ShouldBeBetween, 9, 13)
		So(l.EndRate(start.Add(time.Second)), ShouldBeTrue)
		l.AdoptRate(start.Add(5*time.Second), 2.5)
		So(l.Rate(), ShouldEqual, 0)
		l.ResetRate()
		l.AdoptRate(start.Add(5*time.Second), 2.5)
		So(l.Rate(), ShouldEqual, 2.5)
	})
}
