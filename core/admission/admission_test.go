package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

const ms = time.Millisecond

// newRequest returns a request of a rank; number is its ID and its level in the rank.
func newRequest(number byte, rank int, remaining time.Duration) Request {
	return Request{
		ID:       uuid.UUID{15: number},
		Priority: rank*callmeta.LevelsPerRank + int(number)%callmeta.LevelsPerRank,
		Deadline: simStart.Add(remaining),
		Kind:     "read",
	}
}

func startEvent(number byte) Event { return Event{ID: uuid.UUID{15: number}, Start: true} }
func dropEvent(number byte, code resultcode.Code) Event {
	return Event{ID: uuid.UUID{15: number}, Code: code}
}
func (c *Controller) endRun(number byte) []Event {
	return c.Done(simStart, uuid.UUID{15: number}, Outcome{Failed: true})
}
func (c *Controller) arrive(number byte, rank int) Decision {
	return c.Arrive(simStart, newRequest(number, rank, time.Minute))
}

// Guards against starting, evicting or refusing requests out of order of importance.
func TestQueueOrder(t *testing.T) {
	Convey("With one slot and a queue of two", t, func() {
		c := New(Config{Slots: 1, QueueLimit: 2, OnViolation: func(msg string) { t.Error(msg) }})
		So(c.arrive(1, 8).Verdict, ShouldEqual, Start)
		So(c.arrive(2, 9).Verdict, ShouldEqual, Queue)
		So(c.arrive(3, 8).Verdict, ShouldEqual, Queue)
		Convey("a more important arrival evicts the least important entry", func() {
			d := c.arrive(4, 0)
			So(d.Verdict, ShouldEqual, Queue)
			So(d.Evicted, ShouldResemble, []Refusal{{ID: uuid.UUID{15: 2}, Code: resultcode.QueueFull}})
			So(c.Threshold(), ShouldEqual, 9*callmeta.LevelsPerRank+2+1)
			So(c.endRun(1), ShouldResemble, []Event{startEvent(4)})
			So(c.endRun(4), ShouldResemble, []Event{startEvent(3)})
		})
		Convey("a less important arrival is refused and lowers the threshold at once", func() {
			So(c.arrive(5, 10).Code, ShouldEqual, resultcode.QueueFull)
			So(c.Threshold(), ShouldBeLessThanOrEqualTo, 9*callmeta.LevelsPerRank+3)
			So(c.arrive(6, 11).Code, ShouldEqual, resultcode.Shed)
		})
		Convey("a request that is already queued or running is a bad request", func() {
			So(c.arrive(1, 8).Code, ShouldEqual, resultcode.BadRequest)
			So(c.arrive(2, 9).Code, ShouldEqual, resultcode.BadRequest)
		})
	})
}

// Guards against a broken-off answer or a second answer: Cancel must not affect
// running requests.
func TestCancel(t *testing.T) {
	Convey("Cancel removes queued requests and does not affect running ones", t, func() {
		c := New(Config{Slots: 1})
		c.arrive(1, 8)
		c.arrive(2, 8)
		So(c.Cancel(simStart, uuid.UUID{15: 1}), ShouldBeEmpty)
		So(c.Stats().Running, ShouldEqual, 1)
		So(c.Cancel(simStart, uuid.UUID{15: 2}), ShouldResemble, []Event{dropEvent(2, resultcode.CanceledBeforeStart)})
		So(c.Cancel(simStart, uuid.UUID{15: 2}), ShouldBeEmpty)
		So(c.endRun(1), ShouldBeEmpty)
	})
}

// Guards against running requests whose callers no longer wait, and against a typical
// run time that is never corrected and so refuses every request of its kind.
func TestDeadlines(t *testing.T) {
	Convey("With a typical run time of 20 ms", t, func() {
		c := New(Config{Slots: 1})
		for range minSamples {
			c.arrive(1, 8)
			c.Done(simStart, uuid.UUID{15: 1}, Outcome{Latency: 20 * ms})
		}
		So(c.Arrive(simStart, newRequest(2, 8, 19*ms)).Code, ShouldEqual, resultcode.DeadlineTooShort)
		So(c.Arrive(simStart, newRequest(2, 8, 0)).Code, ShouldEqual, resultcode.QueueTimeout)
		So(c.arrive(1, 8).Verdict, ShouldEqual, Start)
		c.Arrive(simStart, newRequest(2, 8, 30*ms))
		Convey("a queued request is dropped when too little time is left", func() {
			So(c.NextTick(), ShouldEqual, simStart.Add(10*ms))
			So(c.Tick(simStart.Add(10*ms)), ShouldBeEmpty)
			So(c.Tick(c.NextTick()), ShouldResemble, []Event{dropEvent(2, resultcode.DeadlineTooShort)})
		})
		Convey("a tick after the deadline reports a queue timeout", func() {
			So(c.Tick(simStart.Add(31*ms)), ShouldResemble, []Event{dropEvent(2, resultcode.QueueTimeout)})
		})
		Convey("a free slot is not given to a request with too little time left", func() {
			events := c.Done(simStart.Add(15*ms), uuid.UUID{15: 1}, Outcome{Failed: true})
			So(events, ShouldResemble, []Event{dropEvent(2, resultcode.DeadlineTooShort)})
		})
		Convey("after a time without runs of the kind it is admitted again", func() {
			So(c.endRun(1), ShouldResemble, []Event{startEvent(2)})
			So(c.endRun(2), ShouldBeEmpty)
			later := newRequest(3, 8, 3*time.Second+5*ms)
			So(c.Arrive(simStart.Add(3*time.Second), later).Verdict, ShouldEqual, Start)
		})
	})
}

// Guards against running two requests suspected of a crash at the same time, and
// against a queued one that blocks other requests.
func TestIsolated(t *testing.T) {
	Convey("At most one isolated request runs", t, func() {
		c := New(Config{Slots: 2})
		isolated := func(number byte) Decision {
			r := newRequest(number, 0, time.Minute)
			r.Isolated = true
			return c.Arrive(simStart, r)
		}
		So(isolated(1).Verdict, ShouldEqual, Start)
		So(isolated(2).Verdict, ShouldEqual, Queue)
		So(c.arrive(3, 8).Verdict, ShouldEqual, Start)
		So(c.arrive(4, 8).Verdict, ShouldEqual, Queue)
		So(c.endRun(3), ShouldResemble, []Event{startEvent(4)})
		So(c.endRun(1), ShouldResemble, []Event{startEvent(2)})
	})
}

// Guards against violated invariants that are not reported.
func TestViolations(t *testing.T) {
	Convey("Violations are reported to OnViolation and counted", t, func() {
		var got []string
		c := New(Config{Slots: 1, OnViolation: func(msg string) { got = append(got, msg) }})
		c.endRun(9)
		c.checkOverloadRefusal(newRequest(1, 0, time.Minute))
		So(len(got), ShouldEqual, 2)
		So(c.Stats().Violations, ShouldEqual, 2)
	})
}

// Guards, in random sequences of calls, against refusing rank 0 while less important
// requests are admitted, lost or repeated answers, isolated requests that run at the
// same time, and a NextTick that Tick does not advance.
func TestRandomCalls(t *testing.T) {
	Convey("Every request gets exactly one final answer", t, func() {
		for seed := range uint64(20) {
			m := &model{c: New(Config{Slots: 4, QueueLimit: 6, OnViolation: func(msg string) { t.Errorf("seed %d: %s", seed, msg) }})}
			m.run(rand.New(rand.NewPCG(seed, 3)))
			So(m.problem, ShouldBeEmpty)
		}
	})
}

// model tracks the answers of a controller and the requests without a final answer.
type model struct {
	c       *Controller
	now     time.Time
	waiting map[uuid.UUID]Request
	running []Request
	problem string
}

func (m *model) run(rng *rand.Rand) {
	m.now, m.waiting = simStart, make(map[uuid.UUID]Request)
	for n := range 20000 {
		m.now = m.now.Add(time.Duration(rng.ExpFloat64() * float64(2*ms)))
		switch {
		case rng.IntN(3) > 0:
			m.arrive(rng, n)
		case rng.IntN(4) > 0 && len(m.running) > 0:
			m.end(rng)
		case rng.IntN(20) == 0:
			m.c.SetSlots(1 + rng.IntN(6))
		case rng.IntN(200) == 0:
			m.c.ResumeAfterPause(m.now)
			m.apply(m.c.Tick(m.now))
		default:
			for id := range m.waiting {
				m.apply(m.c.Cancel(m.now, id))
				break
			}
		}
		for ticks := 0; !m.c.NextTick().IsZero() && !m.c.NextTick().After(m.now); ticks++ {
			m.apply(m.c.Tick(m.now))
			if ticks > 2 {
				m.problem = "Tick does not advance NextTick"
				return
			}
		}
		m.check()
	}
}

func (m *model) arrive(rng *rand.Rand, n int) {
	r := Request{
		ID: uuid.UUID{0: byte(n >> 16), 1: byte(n >> 8), 2: byte(n)}, Kind: "k",
		Priority: rng.IntN(3*callmeta.LevelsPerRank) * rng.IntN(2),
		Deadline: m.now.Add(time.Duration(rng.IntN(100)) * ms), Isolated: rng.IntN(8) == 0,
	}
	d := m.c.Arrive(m.now, r)
	for _, e := range d.Evicted {
		m.answer(Event{ID: e.ID, Code: e.Code})
	}
	switch d.Verdict {
	case Start:
		m.running = append(m.running, r)
	case Queue:
		m.waiting[r.ID] = r
	}
}

func (m *model) end(rng *rand.Rand) {
	i := rng.IntN(len(m.running))
	r := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	m.apply(m.c.Done(m.now, r.ID, Outcome{Latency: 20 * ms, Dropped: rng.IntN(10) == 0, Failed: rng.IntN(10) == 0}))
}

func (m *model) apply(events []Event) {
	for _, e := range events {
		m.answer(e)
	}
}

func (m *model) answer(e Event) {
	r, ok := m.waiting[e.ID]
	if !ok {
		m.problem = "answer for a request that is not queued"
	}
	if e.Start {
		m.running = append(m.running, r)
	}
	delete(m.waiting, e.ID)
}

func (m *model) check() {
	isolated := 0
	for _, r := range m.running {
		if r.Isolated {
			isolated++
		}
	}
	s := m.c.Stats()
	if isolated > 1 || s.Queued != len(m.waiting) || s.Running != len(m.running) {
		m.problem = "the counts of the controller and the model differ, or two isolated requests run"
	}
}
