package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/hawthornpoint/hawthornpoint/core/directory"
	"github.com/hawthornpoint/hawthornpoint/core/retry"
	"github.com/hawthornpoint/hawthornpoint/core/routing"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

const (
	// maxAsked bounds the upstreams that are asked for a slot for one request.
	maxAsked = 6
	// askedBeforeQueueing is how many upstreams are asked for a free slot before the best one
	// is asked to queue the request.
	askedBeforeQueueing = 3
	// One in exploreOneIn requests ignores zone and latency, so that the state of other
	// upstreams is known before they are needed and new ones get work.
	exploreOneIn = 48
	// localObjectiveShare is the share of the time left to the objective within which a run at the best
	// upstream of the own zone must be expected to end; otherwise those of other zones are considered too.
	localObjectiveShare = 0.7
	// remoteZonePenalty is what an upstream of another zone costs more, in units of the average latency
	// of the route. Bytes between zones are expensive.
	remoteZonePenalty = 1.0
	// loadExponent is how steeply the cost of an upstream rises with the requests that it runs and queues
	// over its limit. With a steep rise, queues of equal length form rather than equal waits: what does
	// not fit is refused by the slow upstreams at once, and the fast ones still answer within the
	// objective.
	loadExponent = 3
	// failurePenalty raises the cost of an upstream with its share of failed runs: the cost is
	// multiplied by 1 + failurePenalty * share.
	failurePenalty = 8
	// minSendTime is the shortest time left with which a request is sent.
	minSendTime = 10 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time after which refused callers may retry.
	// Callers that retry before minRetryAfter find the same queue; after maxRetryAfter they
	// have given up.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// noUpstreamRetryAfter is the time after which callers may retry when no upstream of the
	// service is usable. Upstreams and daemons that restart are back in about this time.
	noUpstreamRetryAfter = time.Second
	// budgetShare is the part of the fleet's retry budget that retries to one service may
	// use. A retried run makes its calls again, and these count as retries too: with calls
	// several levels deep, the shares of all levels add up at the lowest level.
	budgetShare = 0.2
	// bodySpent is the reason for ending a request that can't be sent again, because part of its
	// body was sent.
	bodySpent = "body_spent"
	// mayOutliveStop is the reason for refusing a request whose run may not end before the daemon has stopped.
	mayOutliveStop = "may_outlive_stop"
	// quarantined is the reason for ending a request that crashes upstreams.
	quarantined = "quarantined"
)

// Config holds the settings of a Dispatcher.
type Config struct {
	// Zone is the availability zone of the daemon.
	Zone string
	// BudgetRatio, BudgetSlack and BudgetWindow bound the retries to each service, summed over
	// the whole fleet.
	BudgetRatio, BudgetSlack float64
	BudgetWindow             time.Duration
	Rand                     *rand.Rand
}

// Dispatcher chooses the upstreams of the requests of one daemon. It is not safe for
// concurrent use.
type Dispatcher struct {
	cfg            Config
	dir            *directory.Directory
	states         map[string]*upstreamState      // by ID of the upstream
	budgets        map[string]*retry.WindowBudget // by name of the service
	averageLatency map[string]time.Duration       // by name of the route, over all upstreams
	referenceRun   map[string]time.Duration       // by name of the route: average of the reported run times
	longestRuns    map[string]*longestRun         // by name of the route
	closed         bool
	stopBy         time.Time // when requests that are opened from now on must have ended; zero if never
}

// New returns a dispatcher over the upstreams in a directory, which the caller keeps up to
// date.
func New(cfg Config, dir *directory.Directory) *Dispatcher {
	return &Dispatcher{
		cfg: cfg, dir: dir,
		states:         make(map[string]*upstreamState),
		budgets:        make(map[string]*retry.WindowBudget),
		averageLatency: make(map[string]time.Duration),
		referenceRun:   make(map[string]time.Duration),
		longestRuns:    make(map[string]*longestRun),
	}
}

// Close ends the starting of attempts. Requests that wait for one are refused if they have not
// run; attempts under way are not affected.
func (d *Dispatcher) Close() { d.closed = true }

// StopBy sets when requests that are opened from now on must have ended, because the daemon stops.
// One that has more time than that is refused unless all recent runs of its route would have ended by
// then, with a margin: once it is sent, ending it early would waste the run and leave its caller in doubt.
func (d *Dispatcher) StopBy(at time.Time) { d.stopBy = at }

// Open returns a new request with the given time left. retryShare is the probability that
// the request is made by a run that is itself a retry; that fraction is charged to the budget.
func (d *Dispatcher) Open(now time.Time, route *routing.Route, service string, left time.Duration, retryShare float64) *OutgoingRequest {
	req := &OutgoingRequest{
		Route: route, Service: service, Arrived: now,
		Objective: now.Add(route.LatencyObjective), Deadline: now.Add(min(left, route.Timeout)),
	}
	if !d.stopBy.IsZero() && d.stopBy.Before(req.Deadline) {
		req.Deadline, req.stopping = d.stopBy, true
	}
	budget := d.budget(service)
	budget.RecordRequest(now)
	budget.Charge(now, retryShare)
	return req
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

// SetBudget changes the ratio and the slack of the retry budget. The window stays as it is.
func (d *Dispatcher) SetBudget(ratio, slack float64) {
	d.cfg.BudgetRatio, d.cfg.BudgetSlack = ratio, slack
}

// upstreamState returns what is known of an upstream. A new incarnation starts with an empty state.
func (d *Dispatcher) upstreamState(u directory.Upstream) *upstreamState {
	s := d.states[u.ID]
	if s == nil || s.upstream.Incarnation != u.Incarnation {
		s = &upstreamState{}
		d.states[u.ID] = s
	}
	s.upstream = u
	return s
}

// Prune drops the state of upstreams that are not in the directory and have no attempt under
// way.
func (d *Dispatcher) Prune() {
	for _, u := range d.dir.All() {
		if s := d.states[u.ID]; s != nil {
			s.listed = true
		}
	}
	for id, s := range d.states {
		if !s.listed && s.inFlight == 0 {
			delete(d.states, id)
		}
		s.listed = false
	}
}

// Next returns the first or next step of a request. Upstreams that are expected to have a free
// slot are asked first, without queueing. After that, the best one may queue the request.
func (d *Dispatcher) Next(now time.Time, req *OutgoingRequest) Step {
	if d.closed {
		return d.refuse(req, resultcode.Leaving, noUpstreamRetryAfter, "stopping")
	}
	leastLeft := time.Duration(0)
	if req.stopping {
		run, known := d.longestRun(req.Route.Name).bound(now)
		if !known || req.Deadline.Sub(now) < run {
			return d.refuse(req, resultcode.Leaving, noUpstreamRetryAfter, mayOutliveStop)
		}
		leastLeft = run
	}
	if req.Deadline.Sub(now) < minSendTime {
		return d.refuse(req, resultcode.DeadlineTooShort, 0, "time_left")
	}
	if req.asked >= maxAsked {
		return d.refuse(req, resultcode.Shed, req.minWait, "all_asked")
	}
	usable := d.candidates(now, req)
	if req.refusals > 0 && (len(usable) == 0 || req.refusals >= askedBeforeQueueing) {
		req.tried = nil
		usable = d.candidates(now, req)
		req.mayQueue = true
	}
	if len(usable) == 0 {
		return d.refuse(req, resultcode.NoUpstream, noUpstreamRetryAfter, "none_usable")
	}
	s, placement := d.pick(now, req, usable)
	req.asked++
	req.target, req.incarnation = s.upstream.ID, s.upstream.Incarnation
	age := s.loadAge(now)
	s.inFlight++
	s.attemptsSinceLoad++
	req.asking = now
	return Step{Upstream: s.upstream, LeastLeft: leastLeft, MayQueue: req.mayQueue || req.Suspect != "", LoadAge: age, Rate: s.load.Rate, Placement: placement, RelativeRun: s.relativeRun(now)}
}

// refuse ends a request that has no attempt under way. If an earlier attempt was lost it
// returns AttemptLost, because the request may have run.
func (d *Dispatcher) refuse(req *OutgoingRequest, code resultcode.Code, wait time.Duration, reason string) Step {
	if req.lost {
		return Step{Code: resultcode.AttemptLost, Reason: reason}
	}
	jitter := 1 + 0.25*d.cfg.Rand.Float64() // keeps refused callers from retrying together
	after := time.Duration(jitter * float64(wait))
	return Step{Code: code, RetryAfter: min(max(after, minRetryAfter), maxRetryAfter), Reason: reason}
}

// refuseQuarantined ends a request that crashes upstreams. Callers may retry when the quarantine
// ends, after the given time, which is usually later than they wait.
func (d *Dispatcher) refuseQuarantined(req *OutgoingRequest, left time.Duration) Step {
	step := d.refuse(req, resultcode.Quarantined, 0, quarantined)
	if step.Code == resultcode.Quarantined {
		step.RetryAfter = left
	}
	return step
}

// Report records the outcome of the attempt under way and returns the next step.
func (d *Dispatcher) Report(now time.Time, req *OutgoingRequest, report Report) Step {
	s := d.recordOutcome(now, req, report)
	step := d.afterAttempt(now, req, s, report)
	step.AvoidFor = max(s.avoidUntil.Sub(now), 0)
	return step
}

// afterAttempt decides what follows an attempt.
func (d *Dispatcher) afterAttempt(now time.Time, req *OutgoingRequest, s *upstreamState, report Report) Step {
	switch report.Result {
	case Answered:
		return Step{Deliver: true}
	case Refused:
		d.exclude(req)
		req.refusals++
		if req.minWait == 0 || report.Wait < req.minWait {
			req.minWait = report.Wait
		}
		switch {
		case !report.Retryable:
			return d.refuse(req, resultcode.Shed, req.minWait, bodySpent)
		case req.mayQueue:
			return d.refuse(req, resultcode.Shed, req.minWait, "wait_too_long")
		}
		return d.Next(now, req)
	case Leaving, NoReply:
		d.exclude(req)
		if !report.Retryable {
			return d.refuse(req, resultcode.BackendRefused, 0, bodySpent)
		}
		return d.Next(now, req)
	case WrongUpstream:
		d.exclude(req)
		return d.afterMisdirection(now, req, report)
	case Quarantined:
		return d.refuseQuarantined(req, report.Wait)
	case Unsent:
		return d.refuse(req, resultcode.QueueTimeout, req.minWait, "time_over")
	case Expired:
		req.lost = true
		return Step{Code: resultcode.DeadlineExceeded, Reason: "time_over"}
	}
	return d.afterFailure(now, req, s, report)
}

// attemptState returns the state of the upstream of the latest attempt. If another incarnation has
// replaced that upstream, it returns a state that is not kept.
func (d *Dispatcher) attemptState(req *OutgoingRequest) *upstreamState {
	if s := d.states[req.target]; s != nil && s.upstream.Incarnation == req.incarnation {
		return s
	}
	return &upstreamState{}
}

// recordOutcome updates the state of the upstream and of the request after an attempt.
func (d *Dispatcher) recordOutcome(now time.Time, req *OutgoingRequest, report Report) *upstreamState {
	s := d.attemptState(req)
	s.inFlight = max(s.inFlight-1, 0)
	if report.HasLoad {
		s.recordLoad(now, report.Load)
		d.recordReportedRun(now, req.Route.Name, s)
	}
	switch report.Result {
	case NoReply, WrongUpstream:
		s.recordNoReply(now)
	case Leaving:
		s.recordLeaving(now)
	case Answered:
		s.recordReply()
		s.recordResult(now, false)
		d.updateLatency(now, req.Route.Name, s, report.Elapsed)
		d.longestRun(req.Route.Name).record(now, report.Elapsed)
	case Failed, Rejected:
		s.recordReply()
		s.recordResult(now, true)
	case Lost:
		s.recordNoReply(now)
		s.recordResult(now, true)
	case Expired:
		d.longestRun(req.Route.Name).record(now, now.Sub(req.asking))
	case Refused:
		s.recordReply()
	}
	if report.Result.Sent() {
		req.sent++
		if req.mayHaveRun == nil {
			req.mayHaveRun = make(map[string]bool)
		}
		req.mayHaveRun[req.target] = true
	}
	return s
}

// updateLatency records the time of a run. It tells the speed of the upstream if the daemon there
// does not report run times.
func (d *Dispatcher) updateLatency(now time.Time, route string, s *upstreamState, latency time.Duration) {
	average, known := d.averageLatency[route]
	if !known {
		average = latency
	}
	average += time.Duration(latencyWeight * float64(latency-average))
	d.averageLatency[route] = average
	if s.load.KindRun == 0 && average > 0 {
		s.recordRun(now, float64(latency)/float64(average), latencyWeight)
	}
}

// recordReportedRun records the speed of an upstream from the run time that it last reported for a route.
func (d *Dispatcher) recordReportedRun(now time.Time, route string, s *upstreamState) {
	run := s.load.KindRun
	if run <= 0 {
		return
	}
	reference, known := d.referenceRun[route]
	if !known {
		reference = run
	}
	reference += time.Duration(referenceWeight * float64(run-reference))
	d.referenceRun[route] = reference
	if reference > 0 {
		s.recordRun(now, float64(run)/float64(reference), reportedRunWeight)
	}
}

func (d *Dispatcher) longestRun(route string) *longestRun {
	l := d.longestRuns[route]
	if l == nil {
		l = &longestRun{}
		d.longestRuns[route] = l
	}
	return l
}

// RecordDelivered records the time from the attempt's question to the end of an answer of several parts, of
// which Report.Elapsed covers the first.
func (d *Dispatcher) RecordDelivered(now time.Time, req *OutgoingRequest) {
	d.longestRun(req.Route.Name).record(now, now.Sub(req.asking))
}

// AverageLatency returns the average time from sending a request of a route to its answer, 0 if unknown.
func (d *Dispatcher) AverageLatency(route string) time.Duration { return d.averageLatency[route] }

func (d *Dispatcher) exclude(req *OutgoingRequest) {
	if req.tried == nil {
		req.tried = make(map[string]bool)
	}
	req.tried[req.target] = true
}

// afterFailure decides whether a request that was sent is sent again.
func (d *Dispatcher) afterFailure(now time.Time, req *OutgoingRequest, s *upstreamState, report Report) Step {
	if report.Result == Lost {
		req.lost = true
	}
	reason, allowed := d.mayRetry(now, req, report, req.sent)
	if allowed {
		if step := d.Next(now, req); step.Code == 0 {
			if !req.reserved {
				d.budget(req.Service).Charge(now, 1)
			}
			req.reserved = false
			step.Reason = reason
			return step
		}
	}
	switch report.Result {
	case Failed:
		return Step{Deliver: true, Reason: reason}
	case Rejected:
		if !req.lost {
			return d.refuse(req, resultcode.BackendRefused, max(report.Wait, s.load.Run), reason)
		}
	}
	return Step{Code: resultcode.AttemptLost, Reason: reason}
}

// afterMisdirection decides what follows an attempt that reached another upstream at the address. That
// one counts it as an arrival, so that the next one is a retry.
func (d *Dispatcher) afterMisdirection(now time.Time, req *OutgoingRequest, report Report) Step {
	switch {
	case !report.Retryable:
		return d.refuse(req, resultcode.BackendRefused, 0, bodySpent)
	case !d.budget(req.Service).Available(now):
		return d.refuse(req, resultcode.NoUpstream, noUpstreamRetryAfter, "budget_spent")
	}
	step := d.Next(now, req)
	if step.Code == 0 {
		d.budget(req.Service).Charge(now, 1)
	}
	return step
}

// Abandon ends a request whose caller has disconnected while an attempt was under way.
func (d *Dispatcher) Abandon(req *OutgoingRequest) {
	s := d.attemptState(req)
	s.inFlight = max(s.inFlight-1, 0)
}
