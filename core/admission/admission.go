package admission

import (
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/core/limit"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// Controller admits, queues or refuses the requests of one backend server. It is
// not safe for concurrent use.
type Controller struct {
	cfg       Config
	limiter   *limit.Limiter
	threshold threshold
	queue     queue
	queued    map[uuid.UUID]*entry
	running   map[uuid.UUID]run
	isolated  bool // an isolated request is running
	typical   runTimes
	resumedAt time.Time // end of the last pause; latencies of runs that started earlier are not recorded
	now       time.Time // latest time passed to advance
	stats     Stats
}

// run is one running request.
type run struct {
	kind     string
	isolated bool
}

// New returns a controller whose limit is the published slots and whose threshold
// admits every priority.
func New(cfg Config) *Controller {
	cfg.Slots = max(cfg.Slots, 1)
	if cfg.QueueLimit <= 0 {
		cfg.QueueLimit = max(DefaultQueuePerSlot*cfg.Slots, minQueueLimit)
	}
	if cfg.QueueDelayTarget <= 0 {
		cfg.QueueDelayTarget = DefaultQueueDelayTarget
	}
	return &Controller{
		cfg:       cfg,
		limiter:   limit.New(cfg.Slots),
		threshold: threshold{value: callmeta.MaxPriority},
		queue:     newQueue(),
		queued:    make(map[uuid.UUID]*entry),
		running:   make(map[uuid.UUID]run),
		typical:   make(runTimes),
	}
}

// Arrive starts, queues or refuses one arriving request. Priorities outside
// 0..MaxPriority-1 are moved to the nearest valid one. A request whose ID is queued or
// running is refused as a bad request.
func (c *Controller) Arrive(now time.Time, r Request) Decision {
	r.Priority = min(max(r.Priority, 0), callmeta.MaxPriority-1)
	c.advance(now)
	if c.inProgress(r.ID) {
		return Decision{Verdict: Refuse, Code: resultcode.BadRequest}
	}
	if code, tooLate := c.tooLate(now, r); tooLate {
		c.countCode(code)
		return Decision{Verdict: Refuse, Code: code}
	}
	c.threshold.arrive(r.Priority)
	if c.sheds(r) {
		return c.refuse(r, resultcode.Shed)
	}
	if c.canStart(r) {
		c.start(r)
		return Decision{Verdict: Start}
	}
	return c.enqueue(now, r)
}

// inProgress reports whether a request is running or queued.
func (c *Controller) inProgress(id uuid.UUID) bool {
	_, isRunning := c.running[id]
	_, isQueued := c.queued[id]
	return isRunning || isQueued
}

// tooLate reports whether r can't be answered before its deadline, and the code of its
// refusal.
func (c *Controller) tooLate(now time.Time, r Request) (resultcode.Code, bool) {
	if r.Deadline.IsZero() {
		return 0, false
	}
	remaining := r.Deadline.Sub(now)
	switch {
	case remaining <= 0:
		return resultcode.QueueTimeout, true
	case remaining < c.typical.typical(now, r.Kind):
		return resultcode.DeadlineTooShort, true
	default:
		return 0, false
	}
}

// sheds reports whether the threshold refuses r. Requests of rank 0 pass while a
// slot is free or a less important rank is queued.
func (c *Controller) sheds(r Request) bool {
	if r.Priority < c.threshold.value {
		return false
	}
	return rank(r.Priority) > 0 || !c.canStart(r) && !c.lessImportantQueued()
}

func (c *Controller) lessImportantQueued() bool {
	leastImportant := c.queue.leastImportant.first()
	return leastImportant != nil && rank(leastImportant.Priority) > 0
}

// canStart reports whether r starts without being queued: a slot is free and no
// queued request that may start is at least as important.
func (c *Controller) canStart(r Request) bool {
	if c.free() <= 0 || r.Isolated && c.isolated {
		return false
	}
	next := c.queue.next(c.isolated)
	return next == nil || r.Priority < next.Priority
}

func (c *Controller) free() int { return c.limiter.Limit() - len(c.running) }

func (c *Controller) start(r Request) {
	c.running[r.ID] = run{kind: r.Kind, isolated: r.Isolated}
	c.isolated = c.isolated || r.Isolated
	c.stats.Started++
}

// enqueue queues r. If the queue is full, r evicts the least important entry or, if
// it is not more important, is refused.
func (c *Controller) enqueue(now time.Time, r Request) Decision {
	d := Decision{Verdict: Queue}
	if c.queue.len() >= c.cfg.QueueLimit {
		leastImportant := c.queue.leastImportant.first()
		c.threshold.lowerTo(leastImportant.Priority)
		if leastImportant.Priority <= r.Priority {
			return c.refuse(r, resultcode.QueueFull)
		}
		c.unqueue(leastImportant)
		c.stats.Evicted++
		d.Evicted = []Refusal{{ID: leastImportant.ID, Code: resultcode.QueueFull}}
		defer c.checkOverloadRefusal(leastImportant.Request)
	}
	c.queued[r.ID] = c.queue.add(r, c.expiry(now, r))
	if c.queue.len() > c.cfg.QueueLimit {
		c.violation("queue holds %d requests, limit %d", c.queue.len(), c.cfg.QueueLimit)
	}
	return d
}

func (c *Controller) unqueue(e *entry) {
	c.queue.remove(e)
	delete(c.queued, e.ID)
}

// expiry returns the time after which r can no longer be answered before its
// deadline; zero if it has none.
func (c *Controller) expiry(now time.Time, r Request) time.Time {
	if r.Deadline.IsZero() {
		return time.Time{}
	}
	return r.Deadline.Add(-c.typical.typical(now, r.Kind))
}

func (c *Controller) refuse(r Request, code resultcode.Code) Decision {
	c.countCode(code)
	c.checkOverloadRefusal(r)
	return Decision{Verdict: Refuse, Code: code}
}

// checkOverloadRefusal asserts that a request of rank 0 is refused for overload
// only when no less important rank is admitted or queued.
func (c *Controller) checkOverloadRefusal(r Request) {
	if rank(r.Priority) > 0 {
		return
	}
	if c.threshold.value > callmeta.LevelsPerRank {
		c.violation("request %s of rank 0 refused at threshold %d", r.ID, c.threshold.value)
	}
	if c.lessImportantQueued() {
		c.violation("request %s of rank 0 refused while a less important rank is queued", r.ID)
	}
}

func rank(priority int) int { return priority / callmeta.LevelsPerRank }

func (c *Controller) violation(format string, args ...any) {
	c.stats.Violations++
	if c.cfg.OnViolation != nil {
		c.cfg.OnViolation(fmt.Sprintf(format, args...))
	}
}

// Done ends the run of a request and returns the queued requests that start or are
// dropped as a result.
func (c *Controller) Done(now time.Time, id uuid.UUID, o Outcome) []Event {
	r, ok := c.running[id]
	if !ok {
		c.violation("end of request %s, which is not running", id)
		return nil
	}
	c.record(now, r, o)
	delete(c.running, id)
	if r.isolated {
		c.isolated = false
	}
	c.advance(now)
	return c.startQueued(now, nil)
}

// record passes the result of a run to the limiter, the threshold and the typical run
// times.
func (c *Controller) record(now time.Time, r run, o Outcome) {
	if !o.Dropped {
		c.threshold.completed++
	}
	if o.Failed && !o.Dropped || now.Add(-o.Latency).Before(c.resumedAt) {
		return
	}
	c.limiter.Observe(now, limit.Sample{
		Kind: r.kind, Latency: max(o.Latency-o.Downstream, 0), Elapsed: o.Latency,
		InFlight: len(c.running), Dropped: o.Dropped,
	})
	if !o.Dropped {
		c.typical.observe(now, r.kind, o.Latency)
	}
}

// startQueued starts queued requests while slots are free, drops those that can no
// longer be answered before their deadline, and appends both to events.
func (c *Controller) startQueued(now time.Time, events []Event) []Event {
	for c.free() > 0 {
		e := c.queue.next(c.isolated)
		if e == nil {
			break
		}
		c.unqueue(e)
		if code, tooLate := c.tooLate(now, e.Request); tooLate {
			events = c.drop(events, e, code)
			continue
		}
		c.start(e.Request)
		events = append(events, Event{ID: e.ID, Start: true})
	}
	return events
}

func (c *Controller) drop(events []Event, e *entry, code resultcode.Code) []Event {
	c.countCode(code)
	return append(events, Event{ID: e.ID, Code: code})
}

// Cancel removes a queued request and returns the requests that start or are
// dropped, including the cancelled one. It does nothing to a running request, which
// ends with Done.
func (c *Controller) Cancel(now time.Time, id uuid.UUID) []Event {
	e, ok := c.queued[id]
	if !ok {
		return nil
	}
	c.unqueue(e)
	c.advance(now)
	return c.startQueued(now, c.drop(nil, e, resultcode.CanceledBeforeStart))
}

// Tick drops queued requests that can no longer be answered before their deadline,
// updates the threshold when it is due and starts queued requests while slots are
// free.
func (c *Controller) Tick(now time.Time) []Event {
	events := c.expire(now)
	c.advance(now)
	return c.startQueued(now, events)
}

// expire drops the queued requests whose check is due and that can no longer be
// answered before their deadline, and sets the next check of the others.
func (c *Controller) expire(now time.Time) []Event {
	var events []Event
	for {
		e := c.queue.checks.first()
		if e == nil || e.checkAt.After(now) {
			return events
		}
		if code, tooLate := c.tooLate(now, e.Request); tooLate {
			c.unqueue(e)
			events = c.drop(events, e, code)
			continue
		}
		c.queue.postpone(e, c.nextCheck(now, e.Request))
	}
}

// nextCheck returns the next time to check the deadline of r, which is after now.
func (c *Controller) nextCheck(now time.Time, r Request) time.Time {
	at := c.expiry(now, r)
	if !at.After(now) {
		// The remaining time equals the typical run time exactly.
		at = now.Add(time.Millisecond)
	}
	return at
}

// advance records the current time and updates the threshold when it is due.
func (c *Controller) advance(now time.Time) {
	c.now = now
	if c.threshold.intervalStart.IsZero() || c.threshold.idle() && now.Sub(c.threshold.intervalStart) >= updateInterval {
		c.threshold.intervalStart = now
		return
	}
	if now.Before(c.threshold.due()) {
		return
	}
	c.threshold.update(now, occupancy{
		limit:        c.limiter.Limit(),
		free:         max(c.free(), 0),
		queued:       c.queue.len(),
		targetQueued: c.queueTarget(),
		minThreshold: c.lowestThreshold(),
	})
}

// lowestThreshold admits all of rank 0 unless at least half the queue is in use and
// holds nothing less important. The smoothed rates lag behind a server that slows
// down, and would otherwise refuse rank 0 although it fits.
func (c *Controller) lowestThreshold() int {
	if c.queue.len() >= c.cfg.QueueLimit/2 && !c.lessImportantQueued() {
		return 0
	}
	return callmeta.LevelsPerRank
}

// queueTarget returns the number of requests that complete within the targeted
// queuing delay, at least 1 and at most half the queue limit.
func (c *Controller) queueTarget() int {
	n := int(c.threshold.capacity * float64(c.cfg.QueueDelayTarget) / float64(updateInterval))
	return max(min(n, c.cfg.QueueLimit/2), 1)
}

// NextTick returns the time of the next Tick that can have an effect; zero means
// that no Tick is needed before the next call of another method.
func (c *Controller) NextTick() time.Time {
	if c.free() > 0 && c.queue.next(c.isolated) != nil {
		return c.now
	}
	var at time.Time
	if !c.threshold.intervalStart.IsZero() && !c.threshold.idle() {
		at = c.threshold.due()
	}
	if e := c.queue.checks.first(); e != nil && (at.IsZero() || e.checkAt.Before(at)) {
		at = e.checkAt
	}
	return at
}

// Threshold returns the admission threshold: priorities at or above it are
// refused. callmeta.MaxPriority admits everything.
func (c *Controller) Threshold() int { return c.threshold.value }

// ResumeAfterPause must be called after a pause of the process. The run times of
// requests that ran during the pause include it and are not recorded, nor are the
// arrivals that queued up in the meantime. The next Tick drops queued requests that
// can no longer be answered before their deadline.
func (c *Controller) ResumeAfterPause(now time.Time) {
	c.resumedAt = now
	c.limiter.ResumeAfterPause(now)
	c.threshold.skipInterval(now)
}

// SetSlots changes the published slots; values below 1 count as 1. The next Tick
// starts queued requests if the change frees slots.
func (c *Controller) SetSlots(n int) {
	c.cfg.Slots = max(n, 1)
	c.limiter.SetSlots(c.cfg.Slots)
}

// Stats returns a snapshot of the state and of the counters since New.
func (c *Controller) Stats() Stats {
	s := c.stats
	s.Running, s.Queued = len(c.running), c.queue.len()
	s.Limit, s.Threshold = c.limiter.Limit(), c.threshold.value
	return s
}

// countCode adds a final answer to the counter of its code.
func (c *Controller) countCode(code resultcode.Code) {
	switch code {
	case resultcode.Shed:
		c.stats.Shed++
	case resultcode.QueueFull:
		c.stats.QueueFull++
	case resultcode.QueueTimeout:
		c.stats.QueueTimeout++
	case resultcode.DeadlineTooShort:
		c.stats.DeadlineTooShort++
	case resultcode.CanceledBeforeStart:
		c.stats.Canceled++
	}
}
