package admission

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
)

const (
	simSlots    = 40
	simService  = 20 * time.Millisecond
	simCapacity = float64(simSlots) / 0.020 // requests per second
	simTimeout  = 500 * time.Millisecond
)

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// admitter is the part of a Controller that the simulation calls; fifo implements it
// as the baseline.
type admitter interface {
	Arrive(now time.Time, r Request) Decision
	Done(now time.Time, id uuid.UUID, o Outcome) []Event
	Tick(now time.Time) []Event
	NextTick() time.Time
}

// fifo is the baseline: a fixed limit with an unbounded queue in order of arrival.
type fifo struct {
	running int
	waiting []uuid.UUID
}

func (f *fifo) Arrive(_ time.Time, r Request) Decision {
	if f.running < simSlots {
		f.running++
		return Decision{Verdict: Start}
	}
	f.waiting = append(f.waiting, r.ID)
	return Decision{Verdict: Queue}
}

func (f *fifo) Done(time.Time, uuid.UUID, Outcome) []Event {
	f.running--
	if len(f.waiting) == 0 {
		return nil
	}
	id := f.waiting[0]
	f.waiting = f.waiting[1:]
	f.running++
	return []Event{{ID: id, Start: true}}
}

func (f *fifo) Tick(time.Time) []Event { return nil }
func (f *fifo) NextTick() time.Time    { return time.Time{} }

// simRequest is one simulated request.
type simRequest struct {
	Request
	arrived, started time.Time
}

type simEvent struct {
	at  time.Time
	run func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// sim simulates, in virtual time, one admitter in front of one backend server, which
// runs up to slots requests at once and queues the rest.
type sim struct {
	admitter       admitter
	rng            *rand.Rand
	now            time.Time
	events         simEvents
	pending        map[uuid.UUID]*simRequest
	running        int
	serverQueue    []*simRequest // queue inside the backend server
	slots          int
	slowFactor     float64          // factor on run times
	rates          func() []float64 // arrivals per second by rank, indexed like simRanks
	answeredInTime [2]map[int]int   // answered in time, by simRanks index and 100 ms of arrival
	offered        [2]map[int]int
	onStep         func()
	nextTickAt     time.Time
}

var simRanks = [2]int{0, 8}

const simBin = 100 * time.Millisecond

func newSim(a admitter, seed uint64) *sim {
	s := &sim{admitter: a, rng: rand.New(rand.NewPCG(seed, 1)), now: simStart, slots: simSlots, slowFactor: 1}
	s.pending = make(map[uuid.UUID]*simRequest)
	for i := range simRanks {
		s.answeredInTime[i], s.offered[i] = make(map[int]int), make(map[int]int)
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	heap.Push(&s.events, simEvent{at: s.now.Add(d), run: run})
}

func (s *sim) bin() int { return int(s.now.Sub(simStart) / simBin) }

// runUntil runs the simulation until end, a time since its start.
func (s *sim) runUntil(end time.Duration) {
	for s.events.Len() > 0 && !s.events[0].at.After(simStart.Add(end)) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
		if s.onStep != nil {
			s.onStep()
		}
		s.scheduleTick()
	}
}

func (s *sim) scheduleTick() {
	at := s.admitter.NextTick()
	if at.IsZero() || !s.nextTickAt.IsZero() && !at.Before(s.nextTickAt) {
		return
	}
	s.nextTickAt = at
	s.after(at.Sub(s.now), func() {
		if s.nextTickAt.Equal(s.now) {
			s.nextTickAt = time.Time{}
			s.apply(s.admitter.Tick(s.now))
		}
	})
}

// generateArrivals generates arrivals of one rank as a Poisson process.
func (s *sim) generateArrivals(index int) {
	rate := s.rates()[index]
	if rate > 0 {
		s.arrive(index)
	}
	s.after(time.Duration(s.rng.ExpFloat64()/max(rate, 1)*float64(time.Second)), func() { s.generateArrivals(index) })
}

func (s *sim) id() uuid.UUID {
	var id uuid.UUID
	for i := range id {
		id[i] = byte(s.rng.Uint32())
	}
	return id
}

func (s *sim) arrive(index int) {
	r := &simRequest{arrived: s.now}
	r.Request = Request{ID: s.id(), Deadline: s.now.Add(simTimeout), Kind: [2]string{"confirm", "read"}[index]}
	r.Priority = callmeta.Meta{RequestID: r.ID, Rank: simRanks[index]}.Priority()
	s.offered[index][s.bin()]++
	s.pending[r.ID] = r
	d := s.admitter.Arrive(s.now, r.Request)
	for _, e := range d.Evicted {
		delete(s.pending, e.ID)
	}
	switch d.Verdict {
	case Start:
		s.start(r)
	case Refuse:
		delete(s.pending, r.ID)
	}
}

func (s *sim) apply(events []Event) {
	for _, e := range events {
		if !e.Start {
			delete(s.pending, e.ID)
			continue
		}
		s.start(s.pending[e.ID])
	}
}

// start sends r to the backend server.
func (s *sim) start(r *simRequest) {
	r.started = s.now
	s.serverQueue = append(s.serverQueue, r)
	s.serve()
}

// serve runs requests inside the backend server. Half of a run time is fixed and
// half is exponentially distributed.
func (s *sim) serve() {
	for s.running < s.slots && len(s.serverQueue) > 0 {
		r := s.serverQueue[0]
		s.serverQueue = s.serverQueue[1:]
		s.running++
		d := time.Duration(float64(simService) * (0.5 + 0.5*s.rng.ExpFloat64()) * s.slowFactor)
		s.after(d, func() { s.finish(r) })
	}
}

func (s *sim) finish(r *simRequest) {
	s.running--
	delete(s.pending, r.ID)
	if !s.now.After(r.Deadline) {
		index := 0
		if rank(r.Priority) > 0 {
			index = 1
		}
		s.answeredInTime[index][int(r.arrived.Sub(simStart)/simBin)]++
	}
	s.apply(s.admitter.Done(s.now, r.ID, Outcome{Latency: s.now.Sub(r.started)}))
	s.serve()
}

// sum returns the sum of the bins between two times since the start; the last bin is
// not included.
func sum(bins map[int]int, from, to time.Duration) float64 {
	n := 0
	for b := int(from / simBin); b < int(to/simBin); b++ {
		n += bins[b]
	}
	return float64(n)
}

// goodput returns the answers in time, per second, to requests that arrived in a
// period.
func (s *sim) goodput(from, to time.Duration) float64 {
	return (sum(s.answeredInTime[0], from, to) + sum(s.answeredInTime[1], from, to)) / (to - from).Seconds()
}

// rank0Answered returns the share of requests of rank 0 that arrived in a period and
// were answered in time.
func (s *sim) rank0Answered(from, to time.Duration) float64 {
	return sum(s.answeredInTime[0], from, to) / max(sum(s.offered[0], from, to), 1)
}

// offeredRate returns the arrivals per second in a period.
func (s *sim) offeredRate(from, to time.Duration) float64 {
	return (sum(s.offered[0], from, to) + sum(s.offered[1], from, to)) / (to - from).Seconds()
}
