package mesh

import (
	"time"

	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/codes"
	"github.com/hawthornpoint/hawthornpoint/core/dispatch"
)

// answeredOneIn is the share of requests answered without trouble that have a line of their
// own, as examples of how requests fare.
const answeredOneIn = 100

// logStep logs what follows an attempt that went wrong, with what decided it.
func (d *Daemon) logStep(c *callerRequest, r dispatch.Report, next dispatch.Step) {
	zone := "far"
	if c.step.Upstream.Zone == d.set.Zone {
		zone = "near"
	}
	d.metrics.Count(metricAttempts, r.Result.String(), zone)
	if r.Result == dispatch.Answered {
		return
	}
	if next.Reason != "" && r.Result.Sent() {
		d.metrics.Count(metricRepeats, next.Reason)
	}
	fields := append(c.decided(), zap.Duration("left", time.Until(c.flight.Deadline)),
		zap.String("reason", next.Reason), zap.String("next", next.Upstream.ID))
	if next.AvoidFor > 0 {
		d.metrics.Count(metricSuspects)
		fields = append(fields, zap.Duration("suspect_for", next.AvoidFor))
	}
	d.log.Info(eventAttempt, fields...)
}

// decided returns what the latest attempt was decided by and what became of it: the upstream
// with the age of what was believed of its load, and the load that came with the reply.
func (c *callerRequest) decided() []zap.Field {
	r := c.last
	fields := []zap.Field{
		zap.String("id", c.head.ID), zap.String("route", c.route.Name), zap.String("service", c.flight.Service),
		zap.String("upstream", c.step.Upstream.ID), zap.String("zone", c.step.Upstream.Zone),
		zap.Duration("load_age", c.step.LoadAge), zap.Bool("may_queue", c.step.MayQueue),
		zap.Stringer("result", r.Result),
	}
	if r.HasLoad {
		fields = append(fields, zap.Duration("wait", r.Wait), zap.Int("running", r.Load.Running),
			zap.Int("waiting", r.Load.Waiting), zap.Int("limit", r.Load.Limit))
	}
	return fields
}

// logRefusal logs a final answer of the daemon's own.
func (d *Daemon) logRefusal(c *callerRequest, code codes.Code, status int, after time.Duration, reason string) {
	d.metrics.Count(metricRefusals, code.String(), reason)
	d.ended(c, refusalOutcome(code))
	var fields []zap.Field
	switch {
	case c.last.Result != 0:
		fields = c.decided()
	case c.route != nil:
		fields = []zap.Field{zap.String("id", c.head.ID), zap.String("route", c.route.Name)}
	default:
		fields = []zap.Field{zap.String("id", c.head.ID), zap.String("host", c.r.Host), zap.String("path", c.r.URL.Path)}
	}
	fields = append(fields, zap.String("code", code.String()), zap.Int("status", status), zap.String("reason", reason),
		zap.Duration("retry_after", after), zap.Duration("held", time.Since(c.arrived)), zap.Int64("revision", d.asOf()))
	if t := d.table(); t != nil {
		fields = append(fields, zap.Uint64("config", t.Config().Version))
	}
	if c.flight != nil {
		fields = append(fields, zap.Int("asked", c.flight.Asked()), zap.Int("sent", c.flight.Sent()))
	}
	d.log.Info(eventRefused, fields...)
}

func refusalOutcome(code codes.Code) requestOutcome {
	if code.Kind() == codes.Unknown {
		return outcomeUnknown
	}
	return outcomeRefused
}

// logAnswered logs an answer of the backend server: each that follows trouble or is a
// failure, and some of the others.
func (d *Daemon) logAnswered(c *callerRequest, failed bool) {
	if !failed && c.flight.Asked() == 1 && c.daemon.nextAnswer()%answeredOneIn != 0 {
		return
	}
	d.log.Info(eventAnswered, append(c.decided(), zap.Bool("failed", failed), zap.Duration("held", time.Since(c.arrived)),
		zap.Int("asked", c.flight.Asked()), zap.Int("sent", c.flight.Sent()))...)
}

// errorField names an error without its stack: one line for each event.
func errorField(err error) zap.Field { return zap.String("error", err.Error()) }
