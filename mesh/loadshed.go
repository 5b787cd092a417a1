package mesh

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/core/loadshed"
	"github.com/hawthornpoint/hawthornpoint/core/routing"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// admitNew chooses the service of a new request and decides whether the request is admitted.
// Calls of the local backend server always are, because the work of the run that makes them
// would be lost otherwise.
func (d *Daemon) admitNew(now time.Time, route *routing.Route, rank int) (string, *loadshed.Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	service := d.splitter.Next(route)
	if d.callRoutes[route.Name] {
		return service, nil
	}
	return service, d.gate.Admit(now, route.Name, rank)
}

// refuseShed refuses a request that the gate did not admit.
func (c *callerRequest) refuseShed(service string, refusal *loadshed.Refusal) {
	c.daemon.log.Info(eventNotAdmitted, zap.String("id", c.head.ID), zap.String("service", service),
		zap.String("blocked", refusal.Service), zap.Float64("share", refusal.Share), zap.Int("rank", c.rank()))
	c.refuse(resultcode.ShedEarly, refusal.RetryAfter(c.daemon.objectiveSlack(c.route)), "blocked_below")
}

// objectiveSlack returns the time until a request that arrives now must be sent to be answered within its objective.
func (d *Daemon) objectiveSlack(route *routing.Route) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return route.LatencyObjective - d.dispatcher.AverageLatency(route.Name)
}

// recordOverload records whether requests of the route are calls, and which services are overloaded, as a
// reply states.
func (d *Daemon) recordOverload(route *routing.Route, reply *Reply) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !reply.CallUnknown && d.callRoutes[route.Name] != reply.Call {
		d.callRoutes[route.Name] = reply.Call
	}
	if d.callRoutes[route.Name] {
		d.callMeter.Observe(now, route.Name, reply.Overloaded)
		return
	}
	d.gate.Observe(now, route.Name, reply.Overloaded)
}

// overloaded returns what a reply to a request of a kind states: how far the local backend server is overloaded and, if
// the request may make calls, the services further down. d.mu is held.
func (d *Daemon) overloaded(now time.Time, kind string) []loadshed.Share {
	var shares []loadshed.Share
	if !d.dependence.CallFree(kind) {
		shares = d.callMeter.Shares(now)
	}
	local, known := d.dir.At(d.settings.BackendAddress)
	own := loadshed.Share{Service: local.Service, Demand: d.limiter.DemandFor(now, kind)}
	if known && own.Demand > 0 {
		shares = append(shares, own)
	}
	return shares
}

// countEnd records how a call of the local backend server ended, after the given time. Refusals by an upstream that
// has free slots, failures and runs that took too long do not indicate an overload and are not counted.
func (d *Daemon) countEnd(route *routing.Route, service string, code resultcode.Code, latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.callRoutes[route.Name] {
		return
	}
	switch code {
	case resultcode.OK:
		d.callMeter.Count(time.Now(), service, false)
		d.dependence.CallEnded(latency)
	case resultcode.Shed, resultcode.NoUpstream, resultcode.QueueTimeout, resultcode.DeadlineTooShort:
		d.callMeter.Count(time.Now(), service, true)
	}
}

// tickGate adjusts the gate once in each loadshed.TickInterval. d.mu is held.
func (d *Daemon) tickGate(now time.Time) {
	if now.Sub(d.lastGateTick) < loadshed.TickInterval {
		return
	}
	d.lastGateTick = now
	d.callMeter.Refresh(now, d.serviceUnavailable)
	before := len(d.gate.Refused())
	d.gate.Tick(now, d.serviceUnavailable)
	if refused := d.gate.Refused(); len(refused) != before {
		d.log.Info(eventGate, zap.String("refused", fmt.Sprint(refused)))
	}
}

// serviceUnavailable reports whether a service has no upstream that takes new work. d.mu is held.
func (d *Daemon) serviceUnavailable(service string) bool { return len(d.dir.Serving(service)) == 0 }

// setOriginVMs updates the number of VMs of each service that send requests here: those of the
// own zone, which prefer this upstream. d.mu is held.
func (d *Daemon) setOriginVMs() {
	vms := make(map[string]int)
	for _, u := range d.dir.All() {
		if u.Zone == d.settings.Zone {
			vms[u.Service]++
		}
	}
	d.callGraph.SetOriginVMs(vms)
}
