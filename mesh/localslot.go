package mesh

import (
	"time"

	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/core/quarantine"
	"github.com/hawthornpoint/hawthornpoint/core/slots"
)

// recordQueueTime records the end of a wait for a slot.
func (d *Daemon) recordQueueTime(a *localAttempt, elapsed time.Duration, decision slots.Decision) {
	if decision.Verdict == slots.Start {
		d.metrics.Count(metricSlots, "start")
		d.metrics.Observe(metricQueueTime, elapsed, a.kind, "start")
		return
	}
	d.metrics.Count(metricSlots, string(decision.Reason))
	d.metrics.Observe(metricQueueTime, elapsed, a.kind, "refused")
	d.log.Info(eventSlotRefused, zap.String("id", a.requestID), zap.String("kind", a.kind), zap.String("origin", a.origin), zap.String("tenant", a.tenant),
		zap.Duration("waited", elapsed), zap.Duration("wait", decision.Wait), zap.String("reason", string(decision.Reason)))
}

// requestSlot requests a slot from the limiter. An outcome other than 0 refuses the attempt.
func (d *Daemon) requestSlot(a *localAttempt, args *AskArgs) (slots.Decision, Outcome) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	local, known := d.dir.At(d.settings.BackendAddress)
	if d.stopping || a.withdrawn || known && local.ID == args.Instance && local.Draining {
		return slots.Decision{Reason: slots.Closed}, OutcomeLeaving
	}
	if d.replacement.Refuses(now, args.Instance) {
		return slots.Decision{Reason: "other_instance"}, OutcomeLeaving
	}
	d.mergeReports(args.Reports)
	verdict := d.crashes.Check(d.timeOfDay(), args.Fingerprint)
	if verdict == quarantine.Refuse {
		return d.quarantined(a), OutcomeQuarantined
	}
	d.adoptRate(now, a, local, args.Rate)
	d.callGraph.Observe(args.Kind, args.CallerService)
	d.lastID++
	a.id = d.lastID
	decision := d.limiter.Admit(now, slots.Request{
		ID: a.id, Kind: args.Kind, Rank: args.Rank, Tenant: args.Tenant, MayQueue: args.MayQueue,
		Objective: now.Add(args.UntilObjective), Deadline: now.Add(args.Left),
		Isolated: verdict == quarantine.Isolate, Fingerprint: args.Fingerprint,
	})
	switch decision.Verdict {
	case slots.Refuse:
		return decision, OutcomeRefused
	case slots.Start:
		d.metrics.Count(metricSlots, "start")
		d.metrics.Observe(metricQueueTime, 0, args.Kind, "start")
	case slots.Wait:
		a.decisions = make(chan slots.Decision, 1)
		d.waiting[a.id] = a
	}
	return decision, 0
}

func (d *Daemon) awaitSlot(a *localAttempt, left time.Duration) slots.Decision {
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case decision := <-a.decisions:
		return decision
	case <-a.ctx.Done():
	case <-timer.C:
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case decision := <-a.decisions:
		return decision
	default:
	}
	delete(d.waiting, a.id)
	d.limiter.Cancel(a.id)
	return slots.Decision{Verdict: slots.Refuse, Reason: slots.TooLate}
}

// deliverDecisions passes the limiter's decisions to the queued attempts. d.mu is held.
func (d *Daemon) deliverDecisions(events []slots.Event) {
	for _, e := range events {
		if a := d.waiting[e.ID]; a != nil {
			delete(d.waiting, e.ID)
			a.decisions <- e.Decision
		}
	}
}

// withdrawWaiting refuses an attempt if it waits for a slot or has not requested one.
func (d *Daemon) withdrawWaiting(a *localAttempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a.withdrawn = true
	if d.waiting[a.id] == a {
		d.limiter.Cancel(a.id)
		d.deliverDecisions([]slots.Event{{ID: a.id, Decision: slots.Decision{Verdict: slots.Refuse, Reason: slots.Closed}}})
	}
}

// releaseSlot releases the slot of a run that ended with the outcome.
func (d *Daemon) releaseSlot(a *localAttempt, outcome slots.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !outcome.Rejected && !outcome.Failed {
		d.dependence.RunEnded(a.kind, outcome.Elapsed)
	}
	d.deliverDecisions(d.limiter.Done(time.Now(), a.id, outcome))
}

// withdrawGrant releases a granted slot that was not used.
func (d *Daemon) withdrawGrant(a *localAttempt, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliverDecisions(d.limiter.Release(time.Now(), a.id))
	d.log.Info(eventWithdrawn, zap.String("id", a.requestID), zap.String("kind", a.kind), zap.String("reason", reason))
}

// claim takes a granted slot for a run. It returns false if the slot was released already.
func (a *localAttempt) claim() bool {
	releaseTimer := a.releaseTimer.Load()
	return releaseTimer != nil && releaseTimer.Stop()
}
