package slots

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var start = time.Unix(1000, 0)

func ticket(id uint64, rank int, queue bool) Ticket {
	return Ticket{ID: id, Kind: "k", Rank: rank, Objective: start.Add(time.Second), Deadline: start.Add(4 * time.Second), MayQueue: queue}
}

func trained(slots int, run time.Duration) *Station {
	s := New(slots)
	for i := range uint64(50) {
		s.Arrive(start.Add(-time.Minute), ticket(1000+i, 0, false))
		s.Done(start.Add(-time.Minute), 1000+i, Outcome{Elapsed: run})
	}
	return s
}

// Guards against more runs than slots, and against a caller that is kept waiting although
// it said that it has other places to go to.
func TestSlots(t *testing.T) {
	Convey("Given a server with 4 slots that are in use", t, func() {
		s := trained(4, 100*time.Millisecond)
		limit := s.Load().Limit
		for i := range limit {
			So(s.Arrive(start, ticket(uint64(i), 0, true)).Verdict, ShouldEqual, Start)
		}
		So(s.Arrive(start, ticket(50, 0, false)).Reason, ShouldEqual, NoRoom)
		So(s.Arrive(start, ticket(51, 2, true)).Verdict, ShouldEqual, Wait)
		So(s.Arrive(start, ticket(52, 1, true)).Verdict, ShouldEqual, Wait)
		Convey("the most important waiting request starts first", func() {
			events := s.Done(start, 0, Outcome{Elapsed: 100 * time.Millisecond})
			So(events, ShouldHaveLength, 1)
			So(events[0].ID, ShouldEqual, 52)
			So(s.Load().Running, ShouldEqual, limit)
		})
		Convey("a slot that was granted and not used is handed on", func() {
			So(s.Cancelled(start, 1)[0].ID, ShouldEqual, 52)
		})
		Convey("a canceled request never starts", func() {
			s.Cancel(52)
			So(s.Done(start, 0, Outcome{})[0].ID, ShouldEqual, 51)
		})
	})
}

// Guards against requests that stay in line at a server that is leaving.
func TestEvict(t *testing.T) {
	Convey("All waiting requests are refused, and running ones go on", t, func() {
		s := trained(4, 100*time.Millisecond)
		limit := s.Load().Limit
		for i := range limit + 2 {
			s.Arrive(start, ticket(uint64(i), 0, true))
		}
		events := s.Evict()
		So(events, ShouldHaveLength, 2)
		So(events[0].Decision, ShouldResemble, Decision{Verdict: Refuse, Reason: Closed})
		So(s.Load().Running, ShouldEqual, limit)
		So(s.Done(start, 0, Outcome{}), ShouldBeEmpty)
	})
}

// Guards against keeping a request until its time is over when it could have been refused at
// once, and against letting one wait that is pushed back by more important ones.
func TestHopelessWaits(t *testing.T) {
	Convey("Given a server with 2 slots and runs of 1 s", t, func() {
		s := trained(2, time.Second)
		s.Arrive(start, ticket(1, 2, true))
		So(s.Arrive(start, ticket(2, 2, true)).Reason, ShouldEqual, TooLong)
		late := ticket(3, 2, true)
		late.Deadline = start.Add(10 * time.Second)
		So(s.Arrive(start, late).Verdict, ShouldEqual, Wait)
		for i := range uint64(5) {
			more := ticket(10+i, 0, true)
			more.Objective, more.Deadline = start.Add(30*time.Second), start.Add(30*time.Second)
			So(s.Arrive(start, more).Verdict, ShouldEqual, Wait)
		}
		events := s.Tick(start)
		So(events, ShouldHaveLength, 1)
		So(events[0].ID, ShouldEqual, 3)
		So(events[0].Decision.Reason, ShouldEqual, TooLong)
	})
	Convey("A request with less time than it needs is refused", t, func() {
		s := trained(2, time.Second)
		short := ticket(1, 0, true)
		short.Deadline = start.Add(100 * time.Millisecond)
		So(s.Arrive(start, short).Reason, ShouldEqual, TooLate)
	})
}

// Plays twice the load that a server with 20 slots can take, a half of it important, and
// checks what callers get: the important half is answered, and whoever is refused learns it
// within an eighth of the objective.
func TestTwiceTheLoad(t *testing.T) {
	Convey("The important half is served in time", t, func() {
		const run, objective = 100 * time.Millisecond, 500 * time.Millisecond
		s, random := trained(20, run), rand.New(rand.NewPCG(1, 2))
		capacity := float64(s.Load().Limit) / run.Seconds()
		gap := time.Duration(float64(time.Second) / (2 * capacity))
		type ending struct {
			at time.Time
			id uint64
		}
		var ends []ending
		arrived, started, refusedLate := map[uint64]time.Time{}, map[uint64]bool{}, 0
		begin := func(now time.Time, id uint64) {
			started[id] = now.Add(run).Sub(arrived[id]) <= objective
			ends = append(ends, ending{now.Add(time.Duration((0.5 + random.Float64()) * float64(run))), id})
			sort.Slice(ends, func(i, j int) bool { return ends[i].at.Before(ends[j].at) })
		}
		take := func(now time.Time, events []Event) {
			for _, e := range events {
				if e.Decision.Verdict == Start {
					begin(now, e.ID)
				} else if now.Sub(arrived[e.ID]) > objective/8 {
					refusedLate++
				}
			}
		}
		now, offered, inTime := start, [2]int{}, [2]int{}
		for id := uint64(1); id <= 8000; id++ {
			now = now.Add(gap)
			for len(ends) > 0 && !ends[0].at.After(now) {
				e := ends[0]
				ends = ends[1:]
				take(e.at, s.Done(e.at, e.id, Outcome{Elapsed: run}))
			}
			if id%40 == 0 {
				take(now, s.Tick(now))
			}
			rank := int(id % 2)
			arrived[id] = now
			offered[rank]++
			d := s.Arrive(now, Ticket{ID: id, Kind: "k", Rank: rank, Objective: now.Add(objective), Deadline: now.Add(time.Second), MayQueue: true})
			if d.Verdict == Start {
				begin(now, id)
			}
		}
		for id, ok := range started {
			if ok {
				inTime[id%2]++
			}
		}
		So(float64(inTime[0])/float64(offered[0]), ShouldBeGreaterThan, 0.9)
		So(float64(refusedLate)/8000, ShouldBeLessThan, 0.05)
	})
}
