package admission

import (
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/call"
	"github.com/hawthornpoint/hawthornpoint/codes"
	"github.com/hawthornpoint/hawthornpoint/core/limit"
)

// Controller decides for one backend server.
type Controller struct {
	cfg       Config
	limiter   *limit.Limiter
	threshold threshold
	queue     queue
	queued    map[uuid.UUID]*entry
	running   map[uuid.UUID]run
	isolated  bool // an isolated request runs
	usual     runTimes
	resumed   time.Time // latencies of runs that started earlier are not learned
	now       time.Time // latest time seen
	stats     Stats
}

// run is one running request.
type run struct {
	kind     string
	isolated bool
}

// New returns a controller that admits everything and starts at the published slots.
func New(cfg Config) *Controller {
	cfg.Slots = max(cfg.Slots, 1)
	if cfg.QueueLimit <= 0 {
		cfg.QueueLimit = max(DefaultQueuePerSlot*cfg.Slots, minQueueLimit)
	}
	if cfg.Target <= 0 {
		cfg.Target = DefaultTarget
	}
	return &Controller{
		cfg:       cfg,
		limiter:   limit.New(cfg.Slots),
		threshold: threshold{value: call.MaxPriority},
		queue:     newQueue(),
		queued:    make(map[uuid.UUID]*entry),
		running:   make(map[uuid.UUID]run),
		usual:     make(runTimes),
	}
}

// Arrive decides about one arriving request. Priorities outside 0..MaxPriority-1
// are moved to the nearest valid one. A request whose ID is queued or running is
// refused as a bad request.
func (c *Controller) Arrive(now time.Time, r Request) Decision {
	r.Priority = min(max(r.Priority, 0), call.MaxPriority-1)
	c.advance(now)
	if c.holds(r.ID) {
		return Decision{Verdict: Refuse, Code: codes.BadRequest}
	}
	if code, late := c.late(now, r); late {
		c.count(code)
		return Decision{Verdict: Refuse, Code: code}
	}
	c.threshold.arrive(r.Priority)
	if c.sheds(r) {
		return c.refuse(r, codes.Shed)
	}
	if c.startsNow(r) {
		c.start(r)
		return Decision{Verdict: Start}
	}
	return c.enqueue(now, r)
}

func (c *Controller) holds(id uuid.UUID) bool {
	_, runs := c.running[id]
	_, waits := c.queued[id]
	return runs || waits
}

// late reports whether r can't be answered in time, and the code that says so.
func (c *Controller) late(now time.Time, r Request) (codes.Code, bool) {
	if r.Deadline.IsZero() {
		return 0, false
	}
	remaining := r.Deadline.Sub(now)
	switch {
	case remaining <= 0:
		return codes.QueueTimeout, true
	case remaining < c.usual.usual(now, r.Kind):
		return codes.DeadlineTooShort, true
	default:
		return 0, false
	}
}

// sheds reports whether the threshold refuses r. Requests of rank 0 pass while a
// slot is free or a less important rank waits.
func (c *Controller) sheds(r Request) bool {
	if r.Priority < c.threshold.value {
		return false
	}
	return rank(r.Priority) > 0 || !c.startsNow(r) && !c.lessImportantWaits()
}

func (c *Controller) lessImportantWaits() bool {
	worst := c.queue.worst.first()
	return worst != nil && rank(worst.Priority) > 0
}

// startsNow reports whether r runs without waiting: a slot is free and nothing
// that may start is at least as important.
func (c *Controller) startsNow(r Request) bool {
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

// enqueue queues r, in place of the least important entry if the queue is full.
func (c *Controller) enqueue(now time.Time, r Request) Decision {
	d := Decision{Verdict: Queue}
	if c.queue.len() >= c.cfg.QueueLimit {
		worst := c.queue.worst.first()
		c.threshold.limitTo(worst.Priority)
		if worst.Priority <= r.Priority {
			return c.refuse(r, codes.QueueFull)
		}
		c.unqueue(worst)
		c.stats.Evicted++
		d.Evicted = []Refusal{{ID: worst.ID, Code: codes.QueueFull}}
		defer c.checkOverloadRefusal(worst.Request)
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

// expiry returns the time at which r can no longer be answered in time.
func (c *Controller) expiry(now time.Time, r Request) time.Time {
	if r.Deadline.IsZero() {
		return time.Time{}
	}
	return r.Deadline.Add(-c.usual.usual(now, r.Kind))
}

func (c *Controller) refuse(r Request, code codes.Code) Decision {
	c.count(code)
	c.checkOverloadRefusal(r)
	return Decision{Verdict: Refuse, Code: code}
}

// checkOverloadRefusal asserts that a request of rank 0 is refused for overload
// only when no less important rank is admitted or queued.
func (c *Controller) checkOverloadRefusal(r Request) {
	if rank(r.Priority) > 0 {
		return
	}
	if c.threshold.value > call.LevelsPerRank {
		c.violation("request %s of rank 0 refused at threshold %d", r.ID, c.threshold.value)
	}
	if c.lessImportantWaits() {
		c.violation("request %s of rank 0 refused while a less important rank is queued", r.ID)
	}
}

func rank(priority int) int { return priority / call.LevelsPerRank }

func (c *Controller) violation(format string, args ...any) {
	c.stats.Violations++
	if c.cfg.OnViolation != nil {
		c.cfg.OnViolation(fmt.Sprintf(format, args...))
	}
}

// Done ends the run of a request and returns what becomes of queued ones.
func (c *Controller) Done(now time.Time, id uuid.UUID, o Outcome) []Event {
	r, ok := c.running[id]
	if !ok {
		c.violation("end of request %s, which does not run", id)
		return nil
	}
	c.learn(now, r, o)
	delete(c.running, id)
	if r.isolated {
		c.isolated = false
	}
	c.advance(now)
	return c.fill(now, nil)
}

func (c *Controller) learn(now time.Time, r run, o Outcome) {
	if !o.Dropped {
		c.threshold.completed++
	}
	if o.Failed && !o.Dropped || now.Add(-o.Latency).Before(c.resumed) {
		return
	}
	c.limiter.Observe(now, limit.Sample{
		Kind: r.kind, Latency: max(o.Latency-o.Downstream, 0), Elapsed: o.Latency,
		InFlight: len(c.running), Dropped: o.Dropped,
	})
	if !o.Dropped {
		c.usual.observe(now, r.kind, o.Latency)
	}
}

// fill starts queued requests while slots are free.
func (c *Controller) fill(now time.Time, events []Event) []Event {
	for c.free() > 0 {
		e := c.queue.next(c.isolated)
		if e == nil {
			break
		}
		c.unqueue(e)
		if code, late := c.late(now, e.Request); late {
			events = c.drop(events, e, code)
			continue
		}
		c.start(e.Request)
		events = append(events, Event{ID: e.ID, Start: true})
	}
	return events
}

func (c *Controller) drop(events []Event, e *entry, code codes.Code) []Event {
	c.count(code)
	return append(events, Event{ID: e.ID, Code: code})
}

// Cancel removes a queued request and returns what becomes of it and of others. It
// does nothing to a running request, which ends with Done.
func (c *Controller) Cancel(now time.Time, id uuid.UUID) []Event {
	e, ok := c.queued[id]
	if !ok {
		return nil
	}
	c.unqueue(e)
	c.advance(now)
	return c.fill(now, c.drop(nil, e, codes.CanceledBeforeStart))
}

// Tick drops queued requests that can no longer be answered in time, updates the
// threshold when it is due and starts what fits.
func (c *Controller) Tick(now time.Time) []Event {
	events := c.expire(now)
	c.advance(now)
	return c.fill(now, events)
}

func (c *Controller) expire(now time.Time) []Event {
	var events []Event
	for {
		e := c.queue.expiry.first()
		if e == nil || e.expires.After(now) {
			return events
		}
		if code, late := c.late(now, e.Request); late {
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
		// The remaining time equals the usual run time exactly.
		at = now.Add(time.Millisecond)
	}
	return at
}

// advance updates the threshold when it is due.
func (c *Controller) advance(now time.Time) {
	c.now = now
	if c.threshold.since.IsZero() || c.threshold.idle() && now.Sub(c.threshold.since) >= interval {
		c.threshold.since = now
		return
	}
	if now.Before(c.threshold.due()) {
		return
	}
	c.threshold.update(now, room{
		limit:  c.limiter.Limit(),
		free:   max(c.free(), 0),
		queued: c.queue.len(),
		target: c.queueTarget(),
		lowest: c.lowestThreshold(),
	})
}

// lowestThreshold admits all of rank 0 unless at least half the queue is in use and
// holds nothing less important. The smoothed rates lag behind a server that slows
// down, and would otherwise refuse rank 0 although it fits.
func (c *Controller) lowestThreshold() int {
	if c.queue.len() >= c.cfg.QueueLimit/2 && !c.lessImportantWaits() {
		return 0
	}
	return call.LevelsPerRank
}

// queueTarget is the number of requests that complete within the queuing delay
// aimed at, at most half the queue.
func (c *Controller) queueTarget() int {
	n := int(c.threshold.capacity * float64(c.cfg.Target) / float64(interval))
	return max(min(n, c.cfg.QueueLimit/2), 1)
}

// NextTick returns the time of the next Tick that can have an effect; zero means
// that none is needed before another call.
func (c *Controller) NextTick() time.Time {
	if c.free() > 0 && c.queue.next(c.isolated) != nil {
		return c.now
	}
	var at time.Time
	if !c.threshold.since.IsZero() && !c.threshold.idle() {
		at = c.threshold.due()
	}
	if e := c.queue.expiry.first(); e != nil && (at.IsZero() || e.expires.Before(at)) {
		at = e.expires
	}
	return at
}

// Threshold returns the admission threshold: priorities at or above it are
// refused. call.MaxPriority admits everything.
func (c *Controller) Threshold() int { return c.threshold.value }

// Forget is called after a pause of the process. The run times of requests that
// ran during the pause include it and are not learned, nor are the arrivals that
// queued up meanwhile. The next Tick drops what waited too long.
func (c *Controller) Forget(now time.Time) {
	c.resumed = now
	c.limiter.Forget(now)
	c.threshold.forget(now)
}

// SetSlots changes the published slots. The next Tick starts what fits.
func (c *Controller) SetSlots(n int) {
	c.cfg.Slots = max(n, 1)
	c.limiter.SetSlots(c.cfg.Slots)
}

// Stats returns a snapshot.
func (c *Controller) Stats() Stats {
	s := c.stats
	s.Running, s.Queued = len(c.running), c.queue.len()
	s.Limit, s.Threshold = c.limiter.Limit(), c.threshold.value
	return s
}

func (c *Controller) count(code codes.Code) {
	switch code {
	case codes.Shed:
		c.stats.Shed++
	case codes.QueueFull:
		c.stats.QueueFull++
	case codes.QueueTimeout:
		c.stats.QueueTimeout++
	case codes.DeadlineTooShort:
		c.stats.DeadlineTooShort++
	case codes.CanceledBeforeStart:
		c.stats.Canceled++
	}
}
