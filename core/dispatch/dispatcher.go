package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/hawthornpoint/hawthornpoint/codes"
	"github.com/hawthornpoint/hawthornpoint/core/directory"
	"github.com/hawthornpoint/hawthornpoint/core/retry"
	"github.com/hawthornpoint/hawthornpoint/core/routing"
)

const (
	// maxAsked bounds the upstreams that are asked for a slot for one request.
	maxAsked = 6
	// askedForRoom is how many upstreams are asked for a free slot before the best one is
	// asked to let the request wait.
	askedForRoom = 3
	// exploreOneIn is the share of requests that ignore zone and latency, so that other
	// upstreams are known before they are needed and new ones get work.
	exploreOneIn = 48
	// nearShare is the share of the time to the objective that the nearest upstream may
	// be expected to need before others are considered.
	nearShare = 0.7
	// zoneCharge is what an upstream of another zone is charged, in usual run times. When
	// all are full, distance does not help and traffic between zones is dear.
	zoneCharge = 0.5
	// failureCharge multiplies the cost of an upstream by its share of failed runs.
	failureCharge = 8
	// minSendTime is the shortest time left with which a request is sent.
	minSendTime = 10 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound what refused callers are told. Below the
	// first, callers meet the same queue; above the second they have given up.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// absentRetryAfter is told when no upstream of the service is usable. Upstreams and
	// daemons that restart are back in about this time.
	absentRetryAfter = time.Second
	// budgetShare is the part of the fleet's retry budget that repeats towards one service
	// use. A repeated run makes its calls again, which count as repeats too: with calls
	// several levels deep, the shares of all levels add up at the lowest.
	budgetShare = 0.2
)

// Config describes the daemon and the bounds that it keeps.
type Config struct {
	// Zone is where the daemon runs.
	Zone string
	// BudgetRatio, BudgetSlack and BudgetWindow bound the repeats towards each service,
	// summed over the whole fleet.
	BudgetRatio, BudgetSlack float64
	BudgetWindow             time.Duration
	Rand                     *rand.Rand
}

// Dispatcher places the requests of one daemon.
type Dispatcher struct {
	cfg     Config
	dir     *directory.Directory
	beliefs map[string]*belief
	budgets map[string]*retry.WindowBudget
	usual   map[string]time.Duration // average latency by kind
}

// New returns a dispatcher over a directory, which the caller keeps up to date.
func New(cfg Config, dir *directory.Directory) *Dispatcher {
	return &Dispatcher{
		cfg: cfg, dir: dir,
		beliefs: make(map[string]*belief),
		budgets: make(map[string]*retry.WindowBudget),
		usual:   make(map[string]time.Duration),
	}
}

// Open starts a flight for a request with the given time left. repeated is the probability
// that the request is made by a run that is itself a repeat; it then counts as one.
func (d *Dispatcher) Open(now time.Time, r *routing.Route, service string, left time.Duration, repeated float64) *Flight {
	f := &Flight{
		Route: r, Service: service, Arrived: now,
		Objective: now.Add(r.LatencyObjective), Deadline: now.Add(min(left, r.Timeout)),
	}
	budget := d.budget(service)
	budget.RecordRequest(now)
	budget.Charge(now, repeated)
	return f
}

func (d *Dispatcher) budget(service string) *retry.WindowBudget {
	b := d.budgets[service]
	if b == nil {
		b = retry.NewWindowBudget(budgetShare*d.cfg.BudgetRatio, 0, d.cfg.BudgetWindow)
		d.budgets[service] = b
	}
	b.SetBounds(budgetShare*d.cfg.BudgetRatio, budgetShare*d.cfg.BudgetSlack/float64(max(d.dir.Len(), 1)))
	return b
}

// SetBudget changes the bounds of repeats; the window stays as it is.
func (d *Dispatcher) SetBudget(ratio, slack float64) {
	d.cfg.BudgetRatio, d.cfg.BudgetSlack = ratio, slack
}

// belief returns what is known of an upstream. A new incarnation is unknown.
func (d *Dispatcher) belief(u directory.Upstream) *belief {
	b := d.beliefs[u.ID]
	if b == nil || b.upstream.Incarnation != u.Incarnation {
		b = &belief{}
		d.beliefs[u.ID] = b
	}
	b.upstream = u
	return b
}

// Forget drops what is known of upstreams that are no longer listed.
func (d *Dispatcher) Forget() {
	for _, u := range d.dir.All() {
		if b := d.beliefs[u.ID]; b != nil {
			b.seen = true
		}
	}
	for id, b := range d.beliefs {
		if !b.seen && b.inFlight == 0 {
			delete(d.beliefs, id)
		}
		b.seen = false
	}
}

// Next returns the first or next step of a flight. Upstreams that are believed to have
// room are asked first, and do not keep the request waiting; then the best one may.
func (d *Dispatcher) Next(now time.Time, f *Flight) Step {
	if f.Deadline.Sub(now) < minSendTime {
		return d.refuse(f, codes.DeadlineTooShort, 0, "time_left")
	}
	if f.asked >= maxAsked {
		return d.refuse(f, codes.Shed, f.minWait, "all_asked")
	}
	usable := d.candidates(now, f)
	if f.refusals > 0 && (len(usable) == 0 || f.refusals >= askedForRoom) {
		f.tried = nil
		usable = d.candidates(now, f)
		f.mayQueue = true
	}
	if len(usable) == 0 {
		return d.refuse(f, codes.NoUpstream, absentRetryAfter, "none_usable")
	}
	b, room := d.choose(now, f, usable)
	f.mayQueue = f.mayQueue || !room
	f.asked++
	f.target = b.upstream.ID
	age := b.loadAge(now)
	b.inFlight++
	b.placed++
	return Step{Upstream: b.upstream, MayQueue: f.mayQueue, LoadAge: age}
}

// refuse ends a flight that is not under way. It never claims that a request has not run
// when an earlier attempt was lost.
func (d *Dispatcher) refuse(f *Flight, code codes.Code, wait time.Duration, reason string) Step {
	if f.lost {
		return Step{Code: codes.AttemptLost, Reason: reason}
	}
	spread := 1 + 0.25*d.cfg.Rand.Float64() // keeps refused callers from returning together
	after := time.Duration(spread * float64(wait))
	return Step{Code: code, RetryAfter: min(max(after, minRetryAfter), maxRetryAfter), Reason: reason}
}

// choose returns the upstream to ask next, and whether it is believed to have room.
func (d *Dispatcher) choose(now time.Time, f *Flight, usable []*belief) (*belief, bool) {
	tolerable := lowestFailures(now, usable) + excessFailures
	if f.asked == 0 && d.cfg.Rand.IntN(exploreOneIn) == 0 {
		if b := usable[d.cfg.Rand.IntN(len(usable))]; b.hasRoom(now) && b.failureShare(now) <= tolerable {
			return b, true
		}
	}
	if b := d.best(now, f, usable, true); b != nil && b.hasRoom(now) && b.failureShare(now) <= tolerable && d.meets(now, f, b) {
		return b, true
	}
	b := d.best(now, f, usable, false)
	return b, b.hasRoom(now)
}

func lowestFailures(now time.Time, usable []*belief) float64 {
	lowest := 1.0
	for _, b := range usable {
		lowest = min(lowest, b.failureShare(now))
	}
	return lowest
}

// candidates returns the upstreams that may be asked: those that have not refused, without
// the suspect ones if there are others.
func (d *Dispatcher) candidates(now time.Time, f *Flight) []*belief {
	var sound, suspect []*belief
	for _, u := range d.dir.Serving(f.Service) {
		if f.tried[u.ID] || f.ran[u.ID] {
			continue
		}
		b := d.belief(u)
		if b.suspect(now) {
			suspect = append(suspect, b)
		} else {
			sound = append(sound, b)
		}
	}
	if len(sound) > 0 {
		return sound
	}
	return suspect
}

// meets reports whether an upstream is expected to answer well before the objective.
func (d *Dispatcher) meets(now time.Time, f *Flight, b *belief) bool {
	expected := b.wait(now) + d.expected(f, b)
	return expected == 0 || float64(expected) <= nearShare*float64(f.Objective.Sub(now))
}

// expected returns the usual latency of the flight's kind at an upstream.
func (d *Dispatcher) expected(f *Flight, b *belief) time.Duration {
	if l, known := b.byKind[f.Route.Name]; known {
		return l
	}
	return d.usual[f.Route.Name]
}

// best returns the upstream with the lowest cost, of the own zone only if near is set.
func (d *Dispatcher) best(now time.Time, f *Flight, usable []*belief, near bool) *belief {
	var best *belief
	lowest, ties := 0.0, 0
	for _, b := range usable {
		if near && b.upstream.Zone != d.cfg.Zone {
			continue
		}
		cost := d.cost(now, f, b)
		switch {
		case best == nil || cost < lowest:
			best, lowest, ties = b, cost, 1
		case cost == lowest:
			ties++
			if d.cfg.Rand.IntN(ties) == 0 {
				best = b
			}
		}
	}
	return best
}

// cost compares upstreams: the expected time to the answer, raised by load and failures.
func (d *Dispatcher) cost(now time.Time, f *Flight, b *belief) float64 {
	expected := max(d.expected(f, b), time.Millisecond)
	load := float64(b.occupied(now)) / float64(b.limit(now))
	cost := float64(b.wait(now)) + float64(expected)*(1+load)
	if b.upstream.Zone != d.cfg.Zone {
		cost += zoneCharge * float64(expected)
	}
	return cost * (1 + failureCharge*b.failureShare(now))
}

// Report takes the outcome of the attempt that is under way and returns the next step.
func (d *Dispatcher) Report(now time.Time, f *Flight, r Report) Step {
	b := d.settle(now, f, r)
	step := d.follow(now, f, b, r)
	step.Suspect = max(b.until.Sub(now), 0)
	return step
}

// follow decides what follows an attempt.
func (d *Dispatcher) follow(now time.Time, f *Flight, b *belief, r Report) Step {
	switch r.Result {
	case Answered:
		return Step{Deliver: true}
	case Refused:
		d.exclude(f)
		f.refusals++
		if f.minWait == 0 || r.Wait < f.minWait {
			f.minWait = r.Wait
		}
		if f.mayQueue {
			return d.refuse(f, codes.Shed, f.minWait, "wait_too_long")
		}
		return d.Next(now, f)
	case Leaving, Silent, Misplaced:
		d.exclude(f)
		return d.Next(now, f)
	case Unsent:
		return d.refuse(f, codes.QueueTimeout, f.minWait, "time_over")
	case Expired:
		f.lost = true
		return Step{Code: codes.DeadlineExceeded, Reason: "time_over"}
	}
	return d.afterFailure(now, f, b, r)
}

// settle updates what is known of the upstream.
func (d *Dispatcher) settle(now time.Time, f *Flight, r Report) *belief {
	b := d.beliefs[f.target]
	if b == nil {
		return &belief{}
	}
	b.inFlight = max(b.inFlight-1, 0)
	if r.HasLoad {
		b.reported(now, r.Load)
	}
	switch r.Result {
	case Silent, Misplaced:
		b.silent(now)
	case Leaving:
		b.leaving(now)
	case Answered:
		b.replied()
		b.result(now, false)
		d.learnLatency(f, b, r.Elapsed)
	case Failed, Rejected:
		b.replied()
		b.result(now, true)
	case Lost:
		b.silent(now)
		b.result(now, true)
	case Refused:
		b.replied()
	}
	if r.Result.Sent() {
		f.sent++
		if f.ran == nil {
			f.ran = make(map[string]bool)
		}
		f.ran[f.target] = true
	}
	return b
}

func (d *Dispatcher) learnLatency(f *Flight, b *belief, l time.Duration) {
	b.latency(f.Route.Name, l)
	have, known := d.usual[f.Route.Name]
	if !known {
		have = l
	}
	d.usual[f.Route.Name] = have + time.Duration(averageWeight*float64(l-have))
}

func (d *Dispatcher) exclude(f *Flight) {
	if f.tried == nil {
		f.tried = make(map[string]bool)
	}
	f.tried[f.target] = true
}

// afterFailure decides whether a request that was sent is sent again.
func (d *Dispatcher) afterFailure(now time.Time, f *Flight, b *belief, r Report) Step {
	if r.Result == Lost {
		f.lost = true
	}
	reason, again := d.mayRepeat(now, f, r)
	if again {
		if step := d.Next(now, f); step.Code == 0 {
			step.Reason = reason
			return step
		}
	}
	switch r.Result {
	case Failed:
		return Step{Deliver: true, Reason: reason}
	case Rejected:
		if !f.lost {
			return d.refuse(f, codes.BackendRefused, max(r.Wait, b.load.Run), reason)
		}
	}
	return Step{Code: codes.AttemptLost, Reason: reason}
}

// mayRepeat returns the deciding input, and whether the request may be sent again.
func (d *Dispatcher) mayRepeat(now time.Time, f *Flight, r Report) (string, bool) {
	left := f.Deadline.Sub(now)
	switch {
	case !r.Repeatable:
		return "body_spent", false
	case !f.Route.Idempotent && r.Result != Rejected:
		return "not_idempotent", false
	case f.sent >= f.Route.MaxUpstreams:
		return "attempts_spent", false
	case left < d.usual[f.Route.Name]:
		return "time_left", false
	case !d.budget(f.Service).Allow(now):
		return "budget_spent", false
	}
	return "repeat", true
}

// Abandon ends a flight whose caller has gone while an attempt was under way.
func (d *Dispatcher) Abandon(f *Flight) {
	if b := d.beliefs[f.target]; b != nil {
		b.inFlight = max(b.inFlight-1, 0)
	}
}
