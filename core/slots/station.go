package slots

import (
	"math"
	"sort"
	"time"
)

const (
	// headroom is the share of the published slots that is left free. Backend servers
	// become slower when all of their slots are in use.
	headroom = 0.05
	// initialRun stands in for the run time until a run has ended.
	initialRun = 50 * time.Millisecond
	// averageWeight is the weight of a new sample in an average.
	averageWeight = 0.1
	// lateShare is the share of the time left that a request may spend waiting when its
	// objective can no longer be met.
	lateShare = 0.25
	// evictFactor is how far the expected wait of a queued request must exceed what it
	// was admitted with before it is refused; estimates vary by about half.
	evictFactor = 1.5
	// demandSpan is the time over which the demand of each rank is averaged. It spans many
	// short runs, and follows a burst within a second.
	demandSpan = time.Second
	// leastShare is the share of the slots that a rank is taken to get however much more
	// important ranks ask for: their demand is an estimate.
	leastShare = 0.05
	// maxKinds bounds the kinds with a run time of their own.
	maxKinds = 256
)

// Ticket is one request that asks for a slot.
type Ticket struct {
	// ID identifies the request until its end.
	ID uint64
	// Kind selects the usual run time.
	Kind string
	// Rank orders waiting requests; lower ranks start first.
	Rank int
	// Objective is when the answer should be there, Deadline when nobody waits any more.
	Objective, Deadline time.Time
	// MayQueue says that the caller has no better place to go to.
	MayQueue bool
}

// Verdict is the answer to a ticket.
type Verdict uint8

// Verdicts of a Decision.
const (
	// Start means that the request runs now.
	Start Verdict = iota + 1
	// Wait means that an Event follows.
	Wait
	// Refuse means that the request does not run.
	Refuse
)

// Reason says why a request was refused.
type Reason string

// Reasons of refusals.
const (
	// NoRoom: all slots are in use and the ticket may not wait.
	NoRoom Reason = "no_room"
	// TooLong: the expected wait is longer than the request can afford.
	TooLong Reason = "wait_too_long"
	// TooLate: the time left is shorter than the usual run time.
	TooLate Reason = "too_late"
	// Closed: the station takes no new work.
	Closed Reason = "closed"
)

// Decision is the answer to a ticket.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// Wait is the expected time until a slot is free for a request of this rank.
	Wait time.Duration
}

// Event tells what became of a waiting request.
type Event struct {
	ID       uint64
	Decision Decision
}

// Outcome is the end of a run.
type Outcome struct {
	// Elapsed is the time for which the slot was held.
	Elapsed time.Duration
	// Rejected says that the backend server did not run the request.
	Rejected bool
	// Failed says that it answered with an error of its own, or not at all.
	Failed bool
}

// Load describes the state of a station to those who choose between several.
type Load struct {
	Running, Waiting, Limit int
	// Run is the average run time, 0 if unknown.
	Run time.Duration
	// Failing is the recent share of runs that failed or were rejected.
	Failing float64
}

// Station hands out the slots of one backend server.
type Station struct {
	limit   int
	closed  bool
	running map[uint64]string
	queue   []waiting // by rank, then by arrival
	run     average
	byKind  map[string]*average
	failing float64
	demand  map[int]*demand // by rank
}

// demand is the run time that arrives for one rank, as a decaying sum over demandSpan.
type demand struct {
	sum time.Duration
	at  time.Time
}

func (d *demand) now(now time.Time) time.Duration {
	return time.Duration(float64(d.sum) * math.Exp(-float64(now.Sub(d.at))/float64(demandSpan)))
}

func (d *demand) add(now time.Time, run time.Duration) {
	d.sum, d.at = d.now(now)+run, now
}

type waiting struct {
	Ticket
	// startBy is the latest start that was thought useful at arrival.
	startBy time.Time
}

// average is an exponentially weighted average.
type average struct {
	value time.Duration
	known bool
}

func (a *average) add(d time.Duration) {
	if !a.known {
		a.value, a.known = d, true
		return
	}
	a.value += time.Duration(averageWeight * float64(d-a.value))
}

// New returns an open station for a backend server with the given number of slots.
func New(slots int) *Station {
	s := &Station{running: make(map[uint64]string), byKind: make(map[string]*average), demand: make(map[int]*demand)}
	s.SetSlots(slots)
	return s
}

// SetSlots changes the published number of slots. The next Tick starts what fits.
func (s *Station) SetSlots(slots int) {
	s.limit = max(int(float64(slots)*(1-headroom)), 1)
}

// Close refuses all further tickets. Waiting and running requests go on.
func (s *Station) Close() { s.closed = true }

// Evict refuses all waiting requests, so that they can go elsewhere.
func (s *Station) Evict() []Event {
	var events []Event
	for _, w := range s.queue {
		events = append(events, Event{ID: w.ID, Decision: Decision{Verdict: Refuse, Reason: Closed}})
	}
	s.queue = nil
	return events
}

// Arrive decides about a ticket.
func (s *Station) Arrive(now time.Time, t Ticket) Decision {
	if s.closed {
		return Decision{Verdict: Refuse, Reason: Closed}
	}
	usual := s.Usual(t.Kind)
	if t.Deadline.Sub(now) < usual/2 {
		return Decision{Verdict: Refuse, Reason: TooLate}
	}
	s.addDemand(now, t.Rank, usual)
	at := s.position(t.Rank)
	wait := s.expectedWait(now, at, t.Rank)
	switch {
	case wait == 0:
		s.running[t.ID] = t.Kind
		return Decision{Verdict: Start}
	case !t.MayQueue:
		return Decision{Verdict: Refuse, Reason: NoRoom, Wait: wait}
	}
	startBy := latestStart(now, t, usual)
	if now.Add(wait).After(startBy) {
		return Decision{Verdict: Refuse, Reason: TooLong, Wait: wait}
	}
	s.queue = append(s.queue, waiting{})
	copy(s.queue[at+1:], s.queue[at:])
	s.queue[at] = waiting{Ticket: t, startBy: startBy}
	return Decision{Verdict: Wait, Wait: wait}
}

// latestStart returns the time by which a request should start. It meets the objective
// if it can, and else spends a part of the time left.
func latestStart(now time.Time, t Ticket, usual time.Duration) time.Time {
	inTime := t.Objective.Add(-usual)
	late := now.Add(time.Duration(lateShare * float64(t.Deadline.Sub(now)-usual)))
	if late.After(inTime) {
		return late
	}
	return inTime
}

// position returns the place in the queue of a new request with the rank.
func (s *Station) position(rank int) int {
	return sort.Search(len(s.queue), func(i int) bool { return s.queue[i].Rank > rank })
}

func (s *Station) addDemand(now time.Time, rank int, usual time.Duration) {
	d := s.demand[rank]
	if d == nil {
		d = &demand{at: now}
		s.demand[rank] = d
	}
	d.add(now, usual)
}

// shareFor returns the share of the slots that more important ranks leave to a rank.
func (s *Station) shareFor(now time.Time, rank int) float64 {
	taken := time.Duration(0)
	for other, d := range s.demand {
		if other < rank {
			taken += d.now(now)
		}
	}
	return max(1-float64(taken)/(float64(s.limit)*float64(demandSpan)), leastShare)
}

// expectedWait returns the time until a request of a rank with so many others ahead starts.
// More important requests that arrive meanwhile start before it.
func (s *Station) expectedWait(now time.Time, ahead, rank int) time.Duration {
	if len(s.running) < s.limit && ahead == 0 {
		return 0
	}
	run := s.run.value
	if !s.run.known {
		run = initialRun
	}
	return time.Duration(float64(run) * float64(ahead+1) / (float64(s.limit) * s.shareFor(now, rank)))
}

// Usual returns the usual run time of a kind, 0 if unknown.
func (s *Station) Usual(kind string) time.Duration {
	if a := s.byKind[kind]; a != nil {
		return a.value
	}
	return 0
}

// Done ends a run and returns what becomes of waiting requests.
func (s *Station) Done(now time.Time, id uint64, o Outcome) []Event {
	kind, ok := s.running[id]
	if !ok {
		return nil
	}
	delete(s.running, id)
	s.learn(kind, o)
	return s.fill(now, nil)
}

func (s *Station) learn(kind string, o Outcome) {
	failed := 0.0
	if o.Rejected || o.Failed {
		failed = 1
	}
	s.failing += averageWeight * (failed - s.failing)
	if o.Rejected || o.Failed {
		return
	}
	s.run.add(o.Elapsed)
	a := s.byKind[kind]
	if a == nil {
		if len(s.byKind) >= maxKinds {
			clear(s.byKind)
		}
		a = new(average)
		s.byKind[kind] = a
	}
	a.add(o.Elapsed)
}

// Cancel takes a waiting request out. It does nothing to a running one.
func (s *Station) Cancel(id uint64) {
	for i := range s.queue {
		if s.queue[i].ID == id {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

// Tick starts what fits and refuses waiting requests that have become hopeless.
func (s *Station) Tick(now time.Time) []Event {
	events := s.fill(now, nil)
	kept := s.queue[:0]
	for _, w := range s.queue {
		wait := s.expectedWait(now, len(kept), w.Rank)
		if now.After(w.startBy) || now.Add(wait).After(now.Add(time.Duration(evictFactor*float64(w.startBy.Sub(now))))) {
			events = append(events, Event{ID: w.ID, Decision: Decision{Verdict: Refuse, Reason: TooLong, Wait: wait}})
			continue
		}
		kept = append(kept, w)
	}
	s.queue = kept
	return events
}

func (s *Station) fill(now time.Time, events []Event) []Event {
	for len(s.queue) > 0 && len(s.running) < s.limit {
		next := s.queue[0]
		s.queue = append(s.queue[:0], s.queue[1:]...)
		if next.Deadline.Sub(now) < s.Usual(next.Kind)/2 {
			events = append(events, Event{ID: next.ID, Decision: Decision{Verdict: Refuse, Reason: TooLate}})
			continue
		}
		s.running[next.ID] = next.Kind
		events = append(events, Event{ID: next.ID, Decision: Decision{Verdict: Start}})
	}
	return events
}

// Load returns the current load.
func (s *Station) Load() Load {
	return Load{Running: len(s.running), Waiting: len(s.queue), Limit: s.limit, Run: s.run.value, Failing: s.failing}
}

// Cancelled gives back the slot of a request that was started but not used.
func (s *Station) Cancelled(now time.Time, id uint64) []Event {
	delete(s.running, id)
	return s.fill(now, nil)
}
