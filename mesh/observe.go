package mesh

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/codes"
	"github.com/hawthornpoint/hawthornpoint/core/dispatch"
)

// counters are the counters of one daemon, by name. They are safe for concurrent use.
type counters struct {
	mu     sync.Mutex
	values map[string]int64
}

func newCounters() *counters { return &counters{values: make(map[string]int64)} }

func (c *counters) add(name string) { c.addN(name, 1) }

func (c *counters) addN(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.values[name] += n
}

func (c *counters) refused(code codes.Code) { c.add("refused_" + code.String()) }

func (c *counters) answered(d time.Duration) {
	c.add("answered")
	c.addN("answered_us", d.Microseconds())
}

func (c *counters) backendConnection(reused bool) {
	if reused {
		c.add("backend_connections_reused")
	} else {
		c.add("backend_connections_opened")
	}
}

// summaryInterval is how often the counters are logged.
const summaryInterval = 10 * time.Second

// summaryLoop logs what has been counted since the last summary. Requests that are answered
// without any trouble appear in the log only here.
func (d *Daemon) summaryLoop() {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	last := make(map[string]int64)
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
		}
		d.log.Info("summary", d.counters.changes(last)...)
	}
}

// changes returns what was added since last, and updates last.
func (c *counters) changes(last map[string]int64) []zap.Field {
	c.mu.Lock()
	defer c.mu.Unlock()
	var fields []zap.Field
	for name, value := range c.values {
		if value != last[name] {
			fields = append(fields, zap.Int64(name, value-last[name]))
			last[name] = value
		}
	}
	sort.Slice(fields, func(i, j int) bool { return fields[i].Key < fields[j].Key })
	return fields
}

// serveMetrics prints all counters as lines of a name and a value.
func (d *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	d.mu.Lock()
	load := d.station.Load()
	d.mu.Unlock()
	d.counters.mu.Lock()
	defer d.counters.mu.Unlock()
	names := make([]string, 0, len(d.counters.values))
	for name := range d.counters.values {
		names = append(names, name)
	}
	sort.Strings(names)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, name := range names {
		fmt.Fprintf(w, "hawthornpoint_%s %d\n", name, d.counters.values[name])
	}
	fmt.Fprintf(w, "hawthornpoint_running %d\nhawthornpoint_waiting %d\nhawthornpoint_limit %d\n", load.Running, load.Waiting, load.Limit)
}

// logStep logs a decision that went against a request or that sent it once more.
func (d *Daemon) logStep(c *callerRequest, step dispatch.Step, r dispatch.Report, next dispatch.Step) {
	if r.Result == dispatch.Answered {
		return
	}
	d.counters.add("attempt_" + r.Result.String())
	d.log.Info("attempt", zap.String("id", c.head.ID), zap.String("route", c.route.Name), zap.String("service", c.flight.Service),
		zap.String("upstream", step.Upstream.ID), zap.Bool("may_queue", step.MayQueue), zap.Stringer("result", r.Result),
		zap.Duration("wait", r.Wait), zap.Int("running", r.Load.Running), zap.Int("waiting", r.Load.Waiting), zap.Int("limit", r.Load.Limit),
		zap.Duration("left", time.Until(c.flight.Deadline)), zap.String("reason", next.Reason), zap.String("next", next.Upstream.ID))
}

func (d *Daemon) logRefusal(c *callerRequest, code codes.Code, status int, after time.Duration, reason string) {
	fields := []zap.Field{zap.String("id", c.head.ID), zap.String("code", code.String()), zap.Int("status", status),
		zap.String("reason", reason), zap.Duration("retry_after", after), zap.Duration("held", time.Since(c.arrived))}
	if t := d.table(); t != nil {
		fields = append(fields, zap.Uint64("config", t.Config().Version))
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", c.route.Name))
	} else {
		fields = append(fields, zap.String("host", c.r.Host), zap.String("path", c.r.URL.Path))
	}
	if c.flight != nil {
		fields = append(fields, zap.String("service", c.flight.Service), zap.Int("asked", c.flight.Asked()), zap.Int("sent", c.flight.Sent()))
	}
	d.log.Info("refused", fields...)
}

// errorField names an error without its stack: one line for each event.
func errorField(err error) zap.Field { return zap.String("error", err.Error()) }
