package mesh

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/codes"
	"github.com/hawthornpoint/hawthornpoint/core/pressure"
	"github.com/hawthornpoint/hawthornpoint/core/routing"
)

const (
	// leastReturn and returnSpan give the time after which a request that was refused at
	// the entry may come back: the higher the level, the longer.
	leastReturn = 300 * time.Millisecond
	returnSpan  = 1200 * time.Millisecond
)

// enter chooses the service of a new request and decides whether it is let in. Calls of
// the local backend server always are: the work of the run that makes them would be lost.
func (d *Daemon) enter(now time.Time, r *routing.Route) (string, *pressure.Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	service := d.splitter.Next(r)
	if d.calls[r.Name] {
		return service, nil
	}
	return service, d.gate.Admit(now, service, r.Rank)
}

func (c *callerRequest) refuseEarly(service string, r *pressure.Refusal) {
	c.daemon.log.Info(eventNotLetIn, zap.String("id", c.head.ID), zap.String("service", service),
		zap.String("blocked", r.Service), zap.Float64("level", r.Level), zap.Int("rank", c.route.Rank))
	after := leastReturn + time.Duration(float64(returnSpan)*min(r.Level, 1))
	c.refuse(codes.ShedEarly, after, "blocked_below")
}

// learnPressure takes what a reply says about calls and blocked services.
func (d *Daemon) learnPressure(r *routing.Route, service string, reply *Reply) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.calls[r.Name] != reply.Call {
		d.calls[r.Name] = reply.Call
	}
	if len(reply.Blocked) == 0 {
		return
	}
	if !reply.Call {
		d.gate.Observe(now, service, reply.Blocked)
		return
	}
	for _, share := range reply.Blocked {
		d.meter.Observe(now, share)
	}
}

// countCall measures what becomes of the calls of the local backend server, and of new
// requests. Refusals of an upstream that has room, and failures, are no sign of too many
// requests.
func (d *Daemon) countCall(r *routing.Route, service string, code codes.Code) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if !d.calls[r.Name] {
		switch code {
		case codes.OK:
			d.entered.Count(now, service, false)
		case codes.Shed, codes.QueueTimeout, codes.DeadlineTooShort:
			d.entered.Count(now, service, true)
		}
		return
	}
	switch code {
	case codes.OK:
		d.meter.Count(now, service, false)
	case codes.Shed, codes.NoUpstream, codes.QueueTimeout, codes.DeadlineTooShort, codes.DeadlineExceeded:
		d.meter.Count(now, service, true)
	}
}

// tickGate adjusts the gate when it is due. d.mu is held.
func (d *Daemon) tickGate(now time.Time) {
	if now.Sub(d.gateTicked) < pressure.TickInterval {
		return
	}
	d.gateTicked = now
	// New requests that a service has no room for count as well: calls go before them, so
	// that requests of the same rank would fare differently by the way they come.
	for _, share := range d.entered.Shares(now) {
		d.gate.Observe(now, share.Service, []pressure.Share{share})
	}
	before := len(d.gate.Levels())
	d.gate.Tick(now)
	if levels := d.gate.Levels(); len(levels) != before {
		d.log.Info(eventGate, zap.String("levels", fmt.Sprint(levels)))
	}
}

// setFleet tells the observer of calls which VMs send requests here: those of the own zone,
// which prefer this upstream. d.mu is held.
func (d *Daemon) setFleet() {
	vms := make(map[string]int)
	for _, u := range d.dir.All() {
		if u.Zone == d.set.Zone {
			vms[u.Service]++
		}
	}
	d.graph.SetOriginVMs(vms)
}
