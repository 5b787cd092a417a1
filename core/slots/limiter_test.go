package slots

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var start = time.Unix(1000, 0)

func request(id uint64, rank int, mayQueue bool) Request {
	return Request{ID: id, Kind: "k", Rank: rank, Objective: start.Add(time.Second), Deadline: start.Add(4 * time.Second), MayQueue: mayQueue}
}

func limiterWithRuns(slots int, run time.Duration) *Limiter {
	l := New(slots)
	for i := range uint64(50) {
		l.Admit(start.Add(-time.Minute), request(1000+i, 0, false))
		l.Done(start.Add(-time.Minute), 1000+i, Outcome{Elapsed: run})
	}
	return l
}

// Guards against more runs than slots, and against queueing a request whose caller has other
// servers to ask.
func TestSlots(t *testing.T) {
	Convey("Given a server with 4 slots that are in use", t, func() {
		l := limiterWithRuns(4, 100*time.Millisecond)
		limit := l.Load().Limit
		for i := range limit {
			So(l.Admit(start, request(uint64(i), 0, true)).Verdict, ShouldEqual, Start)
		}
		So(l.Admit(start, request(50, 0, false)).Reason, ShouldEqual, NoRoom)
		So(l.Admit(start, request(51, 2, true)).Verdict, ShouldEqual, Wait)
		So(l.Admit(start, request(52, 1, true)).Verdict, ShouldEqual, Wait)
		Convey("the queued request with the lowest rank starts first", func() {
			events := l.Done(start, 0, Outcome{Elapsed: 100 * time.Millisecond})
			So(events, ShouldHaveLength, 1)
			So(events[0].ID, ShouldEqual, 52)
			So(l.Load().Running, ShouldEqual, limit)
		})
		Convey("a released slot goes to the next queued request", func() {
			So(l.Release(start, 1)[0].ID, ShouldEqual, 52)
		})
		Convey("a cancelled request does not start", func() {
			l.Cancel(52)
			So(l.Done(start, 0, Outcome{})[0].ID, ShouldEqual, 51)
		})
	})
}

// Guards against requests that stay queued at a server that is leaving.
func TestEvict(t *testing.T) {
	Convey("Evict refuses all queued requests and leaves running ones alone", t, func() {
		l := limiterWithRuns(4, 100*time.Millisecond)
		limit := l.Load().Limit
		for i := range limit + 2 {
			l.Admit(start, request(uint64(i), 0, true))
		}
		events := l.Evict()
		So(events, ShouldHaveLength, 2)
		So(events[0].Decision, ShouldResemble, Decision{Verdict: Refuse, Reason: Closed})
		So(l.Load().Running, ShouldEqual, limit)
		So(l.Done(start, 0, Outcome{}), ShouldBeEmpty)
	})
}

// Guards against queueing a request until its deadline when it could have been refused at
// once, and against keeping one in the queue that more important arrivals have delayed too far.
func TestExcessiveWaits(t *testing.T) {
	Convey("Requests that cannot start in time are refused by a server with 2 slots and runs of 1 s", t, func() {
		l := limiterWithRuns(2, time.Second)
		l.Admit(start, request(1, 2, true))
		So(l.Admit(start, request(2, 2, true)).Reason, ShouldEqual, WaitTooLong)
		longDeadline := request(3, 2, true)
		longDeadline.Deadline = start.Add(10 * time.Second)
		So(l.Admit(start, longDeadline).Verdict, ShouldEqual, Wait)
		for i := range uint64(5) {
			important := request(10+i, 0, true)
			important.Objective, important.Deadline = start.Add(30*time.Second), start.Add(30*time.Second)
			So(l.Admit(start, important).Verdict, ShouldEqual, Wait)
		}
		events := l.Tick(start)
		So(events, ShouldHaveLength, 1)
		So(events[0].ID, ShouldEqual, 3)
		So(events[0].Decision.Reason, ShouldEqual, WaitTooLong)
	})
	Convey("A request with less time left than it needs is refused", t, func() {
		l := limiterWithRuns(2, time.Second)
		shortDeadline := request(1, 0, true)
		shortDeadline.Deadline = start.Add(100 * time.Millisecond)
		So(l.Admit(start, shortDeadline).Reason, ShouldEqual, TooLate)
	})
}

// Simulates twice the load that a server with 20 slots can take, half of it important. More
// than 90% of the important half must be answered in time, and less than 5% of all requests
// may be refused later than an eighth of the objective after they arrived.
func TestTwiceTheLoad(t *testing.T) {
	Convey("At twice the capacity, the important half is answered in time", t, func() {
		const run, objective = 100 * time.Millisecond, 500 * time.Millisecond
		l, random := limiterWithRuns(20, run), rand.New(rand.NewPCG(1, 2))
		capacity := float64(l.Load().Limit) / run.Seconds()
		gap := time.Duration(float64(time.Second) / (2 * capacity))
		type runEnd struct {
			at time.Time
			id uint64
		}
		var runEnds []runEnd
		arrivedAt, startedInTime, refusedLate := map[uint64]time.Time{}, map[uint64]bool{}, 0
		startRun := func(now time.Time, id uint64) {
			startedInTime[id] = now.Add(run).Sub(arrivedAt[id]) <= objective
			runEnds = append(runEnds, runEnd{now.Add(time.Duration((0.5 + random.Float64()) * float64(run))), id})
			sort.Slice(runEnds, func(i, j int) bool { return runEnds[i].at.Before(runEnds[j].at) })
		}
		handle := func(now time.Time, events []Event) {
			for _, e := range events {
				if e.Decision.Verdict == Start {
					startRun(now, e.ID)
				} else if now.Sub(arrivedAt[e.ID]) > objective/8 {
					refusedLate++
				}
			}
		}
		now, offered, inTime := start, [2]int{}, [2]int{}
		for id := uint64(1); id <= 8000; id++ {
			now = now.Add(gap)
			for len(runEnds) > 0 && !runEnds[0].at.After(now) {
				e := runEnds[0]
				runEnds = runEnds[1:]
				handle(e.at, l.Done(e.at, e.id, Outcome{Elapsed: run}))
			}
			if id%40 == 0 {
				handle(now, l.Tick(now))
			}
			rank := int(id % 2)
			arrivedAt[id] = now
			offered[rank]++
			d := l.Admit(now, Request{ID: id, Kind: "k", Rank: rank, Objective: now.Add(objective), Deadline: now.Add(time.Second), MayQueue: true})
			if d.Verdict == Start {
				startRun(now, id)
			}
		}
		for id, ok := range startedInTime {
			if ok {
				inTime[id%2]++
			}
		}
		So(float64(inTime[0])/float64(offered[0]), ShouldBeGreaterThan, 0.9)
		So(float64(refusedLate)/8000, ShouldBeLessThan, 0.05)
	})
}

// Guards against memory that grows with the ranks that peers send.
func TestManyRanks(t *testing.T) {
	Convey("Given requests of a rank in use and of many ranks that come once", t, func() {
		l, now := limiterWithRuns(4, 100*time.Millisecond), start
		for i := range uint64(1000) {
			now = now.Add(time.Millisecond)
			for _, rank := range []int{0, int(i) + 1} {
				r := request(i, rank, false)
				r.Deadline = now.Add(4 * time.Second)
				l.Admit(now, r)
			}
		}
		So(len(l.demand), ShouldBeLessThanOrEqualTo, maxRanks)
		Convey("ranks without demand are dropped, and the demand of the one in use is kept", func() {
			inUse := l.demand[0].now(now)
			l.Tick(now)
			So(l.demand[0].now(now), ShouldEqual, inUse)
			l.Tick(now.Add(time.Minute))
			So(l.demand, ShouldBeEmpty)
		})
	})
}
