package mesh

import (
	"strconv"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/hawthornpoint/hawthornpoint/core/dispatch"
	"github.com/hawthornpoint/hawthornpoint/core/replica"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// One in answeredLogInterval requests that are answered at the first attempt is logged, as an
// example.
const answeredLogInterval = 100

// logAttempt counts an attempt. Unless the attempt was answered, it logs the next step, and the
// input that decided it.
func (d *Daemon) logAttempt(c *callerRequest, report dispatch.Report, next dispatch.Step) {
	zone := "far"
	if c.step.Upstream.Zone == d.settings.Zone {
		zone = "near"
	}
	d.metrics.Count(metricAttempts, report.Result.String(), zone)
	d.metrics.Count(metricPlacements, string(c.step.Placement))
	if report.Result == dispatch.Answered {
		return
	}
	if next.Reason != "" && report.Result.Sent() {
		d.metrics.Count(metricRetryDecisions, next.Reason)
	}
	fields := append(c.attemptFields(), zap.Duration("left", time.Until(c.outgoing.Deadline)),
		zap.String("reason", next.Reason), zap.String("next", next.Upstream.ID))
	if next.AvoidFor > 0 {
		d.metrics.Count(metricAvoided)
		fields = append(fields, zap.Duration("suspect_for", next.AvoidFor))
	}
	d.log.Info(eventAttempt, fields...)
}

// attemptFields returns the log fields of the latest attempt: the upstream, the age of the load
// report on which its choice was based, the reason of the choice and the expected speed, the result, and the load that came with the reply.
func (c *callerRequest) attemptFields() []zap.Field {
	report := c.lastReport
	fields := []zap.Field{
		zap.String("id", c.head.ID), zap.String("route", c.route.Name), zap.String("service", c.outgoing.Service),
		zap.String("upstream", c.step.Upstream.ID), zap.String("zone", c.step.Upstream.Zone),
		fingerprintField(c.fingerprint), zap.Duration("load_age", c.step.LoadAge), zap.Bool("may_queue", c.step.MayQueue),
		zap.String("placement", string(c.step.Placement)), zap.Float64("relative_run", c.step.RelativeRun),
		zap.Stringer("result", report.Result),
	}
	if report.HasLoad {
		fields = append(fields, zap.Duration("wait", report.Wait), zap.Int("running", report.Load.Running),
			zap.Int("waiting", report.Load.Waiting), zap.Int("limit", report.Load.Limit), zap.Duration("kind_run", report.Load.KindRun))
	}
	return fields
}

// logRefusal counts and logs a final answer of the daemon itself.
func (d *Daemon) logRefusal(c *callerRequest, code resultcode.Code, status int, retryAfter time.Duration, reason string) {
	d.metrics.Count(metricRefusals, code.String(), reason)
	d.recordOutcome(c, refusalOutcome(code))
	var fields []zap.Field
	switch {
	case c.lastReport.Result != 0:
		fields = c.attemptFields()
	case c.route != nil:
		fields = []zap.Field{zap.String("id", c.head.ID), zap.String("route", c.route.Name), fingerprintField(c.fingerprint)}
	default:
		fields = []zap.Field{zap.String("id", c.head.ID), zap.String("host", c.r.Host), zap.String("path", c.r.URL.Path)}
	}
	fields = append(fields, zap.String("code", code.String()), zap.Int("status", status), zap.String("reason", reason),
		zap.Duration("retry_after", retryAfter), zap.Duration("held", time.Since(c.arrived)), positionField(d.position()))
	if t := d.table(); t != nil {
		fields = append(fields, zap.Uint64("config", t.Config().Version))
	}
	if code == resultcode.ConfigurationStale {
		fields = append(fields, d.statedProof()...)
	}
	if c.tenant != nil {
		fields = append(fields, zap.String("tenant", c.tenant.Name))
	}
	if c.outgoing != nil {
		fields = append(fields, zap.Int("asked", c.outgoing.Asked()), zap.Int("sent", c.outgoing.Sent()))
	}
	d.log.Info(eventRefused, fields...)
}

func refusalOutcome(code resultcode.Code) requestOutcome {
	if code.Kind() == resultcode.OutcomeUnknown {
		return outcomeUnknown
	}
	return outcomeRefused
}

// logAnswered logs an answer of a backend server if it is a failure or did not come from the
// first upstream asked, and one in answeredLogInterval of the others.
func (d *Daemon) logAnswered(c *callerRequest, failed bool) {
	if !failed && c.outgoing.Asked() == 1 && c.daemon.nextAnswer()%answeredLogInterval != 0 {
		return
	}
	d.log.Info(eventAnswered, append(c.attemptFields(), zap.Bool("failed", failed), zap.Duration("held", time.Since(c.arrived)),
		zap.Int("asked", c.outgoing.Asked()), zap.Int("sent", c.outgoing.Sent()))...)
}

// positionField returns a log field with a position of the store, as its era and its revision.
func positionField(p replica.Position) zap.Field {
	return zap.Inline(zapcore.ObjectMarshalerFunc(func(enc zapcore.ObjectEncoder) error {
		enc.AddInt64("era", p.Era)
		enc.AddInt64("revision", p.Revision)
		return nil
	}))
}

// fingerprintField returns a log field with the fingerprint of a request.
func fingerprintField(fp uint64) zap.Field {
	return zap.String("fingerprint", strconv.FormatUint(fp, 16))
}

// errorField returns a log field with an error but without its stack, to keep it on one line.
func errorField(err error) zap.Field { return zap.String("error", err.Error()) }
