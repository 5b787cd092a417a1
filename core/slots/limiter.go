package slots

import (
	"math"
	"sort"
	"time"
)

const (
	// headroom is the share of the published slots that is kept free. Backend servers
	// become slower when all of their slots are in use.
	headroom = 0.05
	// initialRun is the run time that is assumed until a run has ended.
	initialRun = 50 * time.Millisecond
	// averageWeight is the weight of a new sample in an exponentially weighted average.
	averageWeight = 0.1
	// lateWaitShare is the share of the time left beyond the run time that a request may spend
	// in the queue when its objective can no longer be met.
	lateWaitShare = 0.25
	// maxWaitFactor bounds the expected wait of a queued request, as a multiple of the time
	// until its latest useful start; above that it is refused. Estimates of the wait vary by
	// about half.
	maxWaitFactor = 1.5
	// demandTimeConstant is the time constant with which the demand of each rank decays. It
	// spans many short runs, and follows a burst within a second.
	demandTimeConstant = time.Second
	// minRankShare is the share of the slots that a rank is assumed to get whatever the
	// demand of more important ranks, because that demand is an estimate.
	minRankShare = 0.05
	// maxKinds bounds the number of kinds for which a run time is kept.
	maxKinds = 256
	// maxRanks bounds the number of ranks for which the demand is kept, and minDemand the demand
	// below which a rank is dropped. Ranks come from other daemons.
	maxRanks  = 256
	minDemand = time.Microsecond
)

// Request is one request for a slot.
type Request struct {
	// ID identifies the request until its end.
	ID uint64
	// Kind selects the average run time that is assumed for the request.
	Kind string
	// Rank orders queued requests; lower ranks start first.
	Rank int
	// Tenant is the name of the request's tenant, empty for none. Queued requests of one rank share the
	// slots among tenants by the run time that they ask for.
	Tenant string
	// Objective is when the answer should be available, Deadline when the caller gives up.
	Objective, Deadline time.Time
	// MayQueue allows the request to be queued: the caller has no better server to ask.
	MayQueue bool
	// Isolated marks requests of which at most one runs at a time.
	Isolated bool
	// Fingerprint is equal for copies of one request. The first copy that runs decides whether the
	// others have to wait any longer.
	Fingerprint uint64
}

// Verdict says what happens to a request.
type Verdict uint8

// Verdicts of a Decision.
const (
	// Start means that the request starts at once.
	Start Verdict = iota + 1
	// Wait means that the request is queued; an Event reports its Start or Refuse.
	Wait
	// Refuse means that the request does not run.
	Refuse
)

// Reason says why a request was refused.
type Reason string

// Reasons of refusals.
const (
	// NoRoom: all slots are in use and the request may not be queued.
	NoRoom Reason = "no_room"
	// WaitTooLong: the expected wait is longer than the request can afford, or the request has
	// waited that long.
	WaitTooLong Reason = "wait_too_long"
	// TooLate: less than half of the average run time is left.
	TooLate Reason = "too_late"
	// Closed: the limiter admits no new requests, or has evicted its queue.
	Closed Reason = "closed"
)

// Decision is the answer to a request.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// Wait is the expected time until a slot is free for a request of this rank.
	Wait time.Duration
}

// Event is the decision about a queued request.
type Event struct {
	ID       uint64
	Decision Decision
}

// Outcome describes how a run ended.
type Outcome struct {
	// Elapsed is the time for which the slot was held.
	Elapsed time.Duration
	// Rejected says that the backend server did not run the request.
	Rejected bool
	// Failed says that the backend server answered with an error of its own, or not at all.
	Failed bool
}

// Load is the load of one backend server. Daemons compare it when they choose an upstream.
type Load struct {
	// Running and Waiting count the requests that run and that are queued; Limit is the
	// largest number that runs at once, or that runs on average under a rate limit.
	Running, Waiting, Limit int
	// Run is the average run time, 0 if unknown.
	Run time.Duration
	// KindRun is the average run time of the kind for which the load is reported, 0 if unknown. Between
	// upstreams of a service it tells their speeds apart, which Run does not: Run depends on the mix of
	// kinds too.
	KindRun time.Duration
	// Failing is the recent share of runs that failed or were rejected.
	Failing float64
	// Rate is the limit on starts per second, 0 for none.
	Rate float64
}

// Limiter admits requests to the slots of one backend server. It is not safe for concurrent
// use.
type Limiter struct {
	limit   int
	heard   bool // the backend server has answered, and would have stated a rate
	closed  bool
	running map[uint64]activeRun // by request ID
	queue   []waitingRequest     // by rank, then by tag, then by arrival
	fair    fairOrder
	// isolatedRuns and isolatedWaiting count the isolated requests that run and that are queued.
	isolatedRuns, isolatedWaiting int
	rate                          rateLimit
	run                           average // over all kinds
	byKind                        map[string]*average
	failing                       float64
	demand                        map[int]*demand // by rank
	offered                       offeredWork
	offeredByKind                 map[string]*offeredWork
	// sharingKinds counts the kinds that share the slots, and smallKindsFit says that those that ask for little
	// ask for little together, as of the latest Tick.
	sharingKinds  int
	smallKindsFit bool
}

// demand is the run time requested by one rank, as an exponentially decaying sum with
// demandTimeConstant.
type demand struct {
	sum       time.Duration
	updatedAt time.Time
}

func (d *demand) now(now time.Time) time.Duration {
	return time.Duration(float64(d.sum) * math.Exp(-float64(now.Sub(d.updatedAt))/float64(demandTimeConstant)))
}

func (d *demand) add(now time.Time, run time.Duration) {
	d.sum, d.updatedAt = d.now(now)+run, now
}

// activeRun is one running request.
type activeRun struct {
	kind     string
	isolated bool
}

type waitingRequest struct {
	Request
	// startBy is the latest useful start, as computed at arrival.
	startBy time.Time
	// tag is the place in the fair order, and charge what its flow was charged for it.
	tag, charge time.Duration
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

// New returns an open limiter for a backend server with the given number of slots.
func New(slots int) *Limiter {
	l := &Limiter{running: make(map[uint64]activeRun), byKind: make(map[string]*average), demand: make(map[int]*demand), offeredByKind: make(map[string]*offeredWork), fair: newFairOrder()}
	l.SetSlots(slots)
	return l
}

// SetSlots changes the published number of slots. Queued requests that fit start at the
// next Tick or end of a run.
func (l *Limiter) SetSlots(slots int) {
	l.limit = max(int(float64(slots)*(1-headroom)), 1)
}

// Close refuses all further requests. Queued and running requests are not affected.
func (l *Limiter) Close() { l.closed = true }

// Evict refuses all queued requests, so that their callers can try other servers. Running
// requests are not affected.
func (l *Limiter) Evict() []Event {
	var events []Event
	for _, w := range l.queue {
		events = append(events, Event{ID: w.ID, Decision: Decision{Verdict: Refuse, Reason: Closed}})
	}
	l.queue, l.isolatedWaiting = nil, 0
	l.fair.forgetIdle(0)
	return events
}

// Admit starts, queues or refuses a request. Every request adds to the demand of its rank
// unless the limiter is closed or the request is too late.
func (l *Limiter) Admit(now time.Time, r Request) Decision {
	if l.closed {
		return Decision{Verdict: Refuse, Reason: Closed}
	}
	run := l.AverageRun(r.Kind)
	if r.Deadline.Sub(now) < run/2 {
		return Decision{Verdict: Refuse, Reason: TooLate}
	}
	l.addDemand(now, r.Rank, run)
	tag, cost := l.fair.tag(&r), run
	if cost <= 0 {
		cost = l.averageRun()
	}
	position := l.queuePosition(r.Rank, tag)
	wait := l.expectedWait(now, position, r)
	if wait == 0 || r.MayQueue {
		l.offer(now, r.Kind, cost)
	}
	switch {
	case wait == 0:
		l.fair.add(&r, tag, cost)
		l.fair.started(&r, tag)
		l.start(r)
		return Decision{Verdict: Start}
	case !r.MayQueue:
		return Decision{Verdict: Refuse, Reason: NoRoom, Wait: wait}
	}
	startBy := latestStart(now, r, run)
	if now.Add(wait).After(startBy) {
		return Decision{Verdict: Refuse, Reason: WaitTooLong, Wait: wait}
	}
	l.queue = append(l.queue, waitingRequest{})
	copy(l.queue[position+1:], l.queue[position:])
	l.queue[position] = waitingRequest{Request: r, startBy: startBy, tag: tag, charge: l.fair.add(&r, tag, cost)}
	if r.Isolated {
		l.isolatedWaiting++
	}
	return Decision{Verdict: Wait, Wait: wait}
}

func (l *Limiter) start(r Request) {
	l.running[r.ID] = activeRun{kind: r.Kind, isolated: r.Isolated}
	l.rate.take()
	if r.Isolated {
		l.isolatedRuns++
	}
}

// end removes a running request and returns its kind, and false if it is not running.
func (l *Limiter) end(id uint64) (kind string, ok bool) {
	r, ok := l.running[id]
	delete(l.running, id)
	if r.isolated {
		l.isolatedRuns--
	}
	return r.kind, ok
}

// dequeue removes the request at a position of the queue.
func (l *Limiter) dequeue(position int) waitingRequest {
	w := l.queue[position]
	l.queue = append(l.queue[:position], l.queue[position+1:]...)
	if w.Isolated {
		l.isolatedWaiting--
	}
	return w
}

// latestStart returns the time by which a request must start: early enough to meet its
// objective, or within lateWaitShare of the time left beyond its run, whichever is later.
func latestStart(now time.Time, r Request, run time.Duration) time.Time {
	objectiveStart := r.Objective.Add(-run)
	lateStart := now.Add(time.Duration(lateWaitShare * float64(r.Deadline.Sub(now)-run)))
	if lateStart.After(objectiveStart) {
		return lateStart
	}
	return objectiveStart
}

// queuePosition returns the position in the queue of a new request of a rank with a tag.
func (l *Limiter) queuePosition(rank int, tag time.Duration) int {
	return sort.Search(len(l.queue), func(i int) bool {
		w := &l.queue[i]
		return w.Rank > rank || w.Rank == rank && w.tag > tag
	})
}

func (l *Limiter) addDemand(now time.Time, rank int, run time.Duration) {
	d := l.demand[rank]
	if d == nil {
		if len(l.demand) >= maxRanks {
			l.dropLowestDemand(now)
		}
		d = &demand{updatedAt: now}
		l.demand[rank] = d
	}
	d.add(now, run)
}

func (l *Limiter) dropLowestDemand(now time.Time) {
	lowest, found := 0, false
	for rank, d := range l.demand {
		if !found || d.now(now) < l.demand[lowest].now(now) {
			lowest, found = rank, true
		}
	}
	delete(l.demand, lowest)
}

// dropIdleRanks drops the ranks that have hardly any demand left.
func (l *Limiter) dropIdleRanks(now time.Time) {
	for rank, d := range l.demand {
		if d.now(now) < minDemand {
			delete(l.demand, rank)
		}
	}
}

// slotShare returns the share of the slots that more important ranks leave to a rank.
func (l *Limiter) slotShare(now time.Time, rank int) float64 {
	demanded := time.Duration(0)
	for other, d := range l.demand {
		if other < rank {
			demanded += d.now(now)
		}
	}
	return max(1-float64(demanded)/(l.concurrency()*float64(demandTimeConstant)), minRankShare)
}

// expectedWait returns the expected time until a request starts, given its position in the queue.
// It allows for more important requests that arrive meanwhile and start before it.
func (l *Limiter) expectedWait(now time.Time, position int, r Request) time.Duration {
	run := l.averageRun()
	wait := time.Duration(0)
	if ahead := l.unblockedAhead(position); len(l.running) >= l.limit || ahead > 0 || !l.rate.allows(now) {
		wait = time.Duration(float64(run) * float64(ahead+1) / (l.concurrency() * l.slotShare(now, r.Rank)))
	}
	if l.blocked(r) {
		wait = max(wait, run*time.Duration(l.fingerprintsAhead(position, r.Fingerprint)+1))
	}
	return wait
}

// averageRun returns the average run time over all kinds.
func (l *Limiter) averageRun() time.Duration {
	if !l.run.known || l.run.value <= 0 {
		return initialRun
	}
	return l.run.value
}

// AverageRun returns the average run time of a kind, 0 if unknown.
func (l *Limiter) AverageRun(kind string) time.Duration {
	if a := l.byKind[kind]; a != nil {
		return a.value
	}
	return 0
}

// Done ends a run, records its outcome, and returns the decisions about queued requests. It
// does nothing if no request with the ID is running.
func (l *Limiter) Done(now time.Time, id uint64, outcome Outcome) []Event {
	kind, ok := l.end(id)
	if !ok {
		return nil
	}
	l.recordOutcome(kind, outcome)
	return l.startWaiting(now, nil)
}

func (l *Limiter) recordOutcome(kind string, outcome Outcome) {
	failed := 0.0
	if outcome.Rejected || outcome.Failed {
		failed = 1
	}
	l.failing += averageWeight * (failed - l.failing)
	if outcome.Rejected || outcome.Failed {
		return
	}
	l.run.add(outcome.Elapsed)
	a := l.byKind[kind]
	if a == nil {
		if len(l.byKind) >= maxKinds {
			clear(l.byKind)
		}
		a = new(average)
		l.byKind[kind] = a
	}
	a.add(outcome.Elapsed)
}

// Cancel removes a request from the queue. It does nothing to a running one.
func (l *Limiter) Cancel(id uint64) {
	for i := range l.queue {
		if l.queue[i].ID == id {
			w := l.dequeue(i)
			l.fair.remove(&w.Request, w.charge)
			return
		}
	}
}

// Tick starts queued requests while slots are free, and refuses those that can no longer
// be expected to start in time.
func (l *Limiter) Tick(now time.Time) []Event {
	l.dropIdleRanks(now)
	l.countKinds(now)
	events := l.startWaiting(now, nil)
	remaining := l.queue[:0]
	for _, w := range l.queue {
		wait := l.expectedWait(now, len(remaining), w.Request)
		if now.After(w.startBy) || now.Add(wait).After(now.Add(time.Duration(maxWaitFactor*float64(w.startBy.Sub(now))))) {
			events = append(events, Event{ID: w.ID, Decision: Decision{Verdict: Refuse, Reason: WaitTooLong, Wait: wait}})
			if w.Isolated {
				l.isolatedWaiting--
			}
			l.fair.remove(&w.Request, w.charge)
			continue
		}
		remaining = append(remaining, w)
	}
	l.queue = remaining
	l.fair.forgetIdle(len(l.queue))
	return events
}

func (l *Limiter) startWaiting(now time.Time, events []Event) []Event {
	for position := 0; position < len(l.queue) && len(l.running) < l.limit && l.rate.allows(now); {
		if l.blocked(l.queue[position].Request) {
			position++
			continue
		}
		next := l.dequeue(position)
		if next.Deadline.Sub(now) < l.AverageRun(next.Kind)/2 {
			l.fair.remove(&next.Request, next.charge)
			events = append(events, Event{ID: next.ID, Decision: Decision{Verdict: Refuse, Reason: TooLate}})
			continue
		}
		l.fair.started(&next.Request, next.tag)
		l.start(next.Request)
		events = append(events, Event{ID: next.ID, Decision: Decision{Verdict: Start}})
	}
	return events
}

// Load returns the load that is reported to other daemons.
func (l *Limiter) Load() Load {
	limit := max(int(math.Round(l.concurrency())), 1)
	return Load{Running: len(l.running), Waiting: len(l.queue), Limit: limit, Run: l.run.value, Failing: l.failing, Rate: l.rate.perSecond}
}

// LoadFor returns the load that is reported with a reply to a request of a kind.
func (l *Limiter) LoadFor(kind string) Load {
	load := l.Load()
	load.KindRun = l.AverageRun(kind)
	return load
}

// Release frees the slot of a request that was started but whose slot was not used, without
// recording an outcome. It returns the decisions about queued requests.
func (l *Limiter) Release(now time.Time, id uint64) []Event {
	if _, ok := l.end(id); ok {
		l.rate.put()
	}
	return l.startWaiting(now, nil)
}
