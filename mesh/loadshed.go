package mesh

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/core/loadshed"
	"github.com/hawthornpoint/hawthornpoint/core/routing"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

const (
	// minShedRetryAfter and shedRetryAfterSpan determine the time after which a caller may
	// retry a request that the gate refused: minShedRetryAfter, plus shedRetryAfterSpan times
	// the shedding level, which counts as 1 at most.
	minShedRetryAfter  = 300 * time.Millisecond
	shedRetryAfterSpan = 1200 * time.Millisecond
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
	return service, d.gate.Admit(now, service, rank)
}

// refuseShed refuses a request that the gate did not admit.
func (c *callerRequest) refuseShed(service string, refusal *loadshed.Refusal) {
	c.daemon.log.Info(eventNotAdmitted, zap.String("id", c.head.ID), zap.String("service", service),
		zap.String("blocked", refusal.Service), zap.Float64("level", refusal.Level), zap.Int("rank", c.rank()))
	retryAfter := minShedRetryAfter + time.Duration(float64(shedRetryAfterSpan)*min(refusal.Level, 1))
	c.refuse(resultcode.ShedEarly, retryAfter, "blocked_below")
}

// recordBlocked records whether requests of the route are calls, and the blocked shares, as a
// reply of an upstream of the service reports them.
func (d *Daemon) recordBlocked(route *routing.Route, service string, reply *Reply) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !reply.CallUnknown && d.callRoutes[route.Name] != reply.Call {
		d.callRoutes[route.Name] = reply.Call
	}
	if len(reply.Blocked) == 0 {
		return
	}
	if !d.callRoutes[route.Name] {
		d.gate.Observe(now, service, reply.Blocked)
		return
	}
	for _, share := range reply.Blocked {
		d.callMeter.Observe(now, share)
	}
}

// countEnd records whether a call of the local backend server, or a new request, was blocked.
// Refusals by an upstream that has free slots, and failures, do not indicate an overload and
// are not counted.
func (d *Daemon) countEnd(route *routing.Route, service string, code resultcode.Code) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if !d.callRoutes[route.Name] {
		switch code {
		case resultcode.OK:
			d.entryMeter.Count(now, service, false)
		case resultcode.Shed, resultcode.QueueTimeout, resultcode.DeadlineTooShort:
			d.entryMeter.Count(now, service, true)
		}
		return
	}
	switch code {
	case resultcode.OK:
		d.callMeter.Count(now, service, false)
	case resultcode.Shed, resultcode.NoUpstream, resultcode.QueueTimeout, resultcode.DeadlineTooShort, resultcode.DeadlineExceeded:
		d.callMeter.Count(now, service, true)
	}
}

// tickGate adjusts the gate once in each loadshed.TickInterval. d.mu is held.
func (d *Daemon) tickGate(now time.Time) {
	if now.Sub(d.lastGateTick) < loadshed.TickInterval {
		return
	}
	d.lastGateTick = now
	d.callMeter.Refresh(d.serviceUnavailable)
	d.entryMeter.Refresh(d.serviceUnavailable)
	// The blocked shares of new requests count as well. Calls are always admitted, so that
	// requests of the same rank would otherwise be treated differently depending on whether
	// they reach the service directly or through calls.
	for _, share := range d.entryMeter.Shares(now) {
		d.gate.Observe(now, share.Service, []loadshed.Share{share})
	}
	before := len(d.gate.Levels())
	d.gate.Tick(now, d.serviceUnavailable)
	if levels := d.gate.Levels(); len(levels) != before {
		d.log.Info(eventGate, zap.String("levels", fmt.Sprint(levels)))
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
