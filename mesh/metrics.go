package mesh

import (
	"net/http"
	"sort"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/internal/telemetry"
)

// Metrics of a daemon. docs/metrics.md lists them.
var (
	metricRequests = counter("requests_total", "Requests of callers on this VM that have ended.", "kind", "outcome")
	metricRefusals = counter("refusals_total", "Final answers of the daemon's own, by result code and deciding input.", "code", "reason")
	metricAttempts = counter("attempts_total", "Attempts at upstreams by their result, in the own zone (near) or another (far).", "result", "zone")
	metricRepeats  = counter("repeats_total", "Decisions after a failed attempt: repeat, or why not.", "reason")
	metricSuspects = counter("suspicions_total", "Upstreams that are avoided for a time because they gave no reply.")
	metricSlots    = counter("slot_decisions_total", "Decisions about requests that ask for a slot of the local backend server.", "decision")
	metricBackend  = counter("backend_connections_total", "Connections to the local backend server by what became of them.", "event")
	metricForeign  = counter("foreign_answers_total", "Answers of the local backend server that belong to no waiting request.")
	metricBroken   = counter("requests_unreadable_total", "Requests of callers that are no HTTP or exceed a limit.")
	metricReads    = counter("store_reads_total", "Reads of the store by their result.", "result")
	metricSources  = counter("sources_failed_total", "Daemons that were to pass on changes of the store and did not.")
	metricItems    = counter("items_unreadable_total", "Items of the store that can't be decoded.")
	metricConfigs  = counter("configurations_total", "Configurations that were put in force or refused.", "result")
	metricSyncs    = counter("peer_syncs_total", "Exchanges with a peer that holds newer changes.", "result")
	metricNotices  = counter("peer_notices_failed_total", "Notices of changes that did not reach a peer.")
	metricDropped  = counter("log_lines_dropped_total", "Log lines that were dropped, by event.", "event")

	metricRequestTime = histogram("request_seconds", "Time from a caller's request to its final answer.", "kind", "outcome")
	metricQueueTime   = histogram("queue_seconds", "Time for which a request waited for a slot of the local backend server.", "kind", "outcome")
	metricBackendTime = histogram("backend_seconds", "Time of an exchange with the local backend server.", "kind", "outcome")

	metricRunning   = gauge("running", "Requests that the local backend server runs.")
	metricWaiting   = gauge("waiting", "Requests that wait for a slot.")
	metricLimit     = gauge("slots", "Slots of the local backend server that are used.")
	metricUpstreams = gauge("upstreams", "Upstreams that are known.")
	metricVersion   = gauge("configuration_version", "Version of the configuration in force; 0 for none.")
	metricRevision  = gauge("store_revision", "Revision of the store that is in force.")
	metricGated     = gauge("gated_services", "Services for which new requests are refused at the entry.")
)

var declared []*telemetry.Metric

func declare(m telemetry.Metric) *telemetry.Metric {
	m.Name = telemetry.Prefix + m.Name
	declared = append(declared, &m)
	return &m
}

func counter(name, help string, labels ...string) *telemetry.Metric {
	return declare(telemetry.Metric{Name: name, Type: telemetry.Counter, Labels: labels, Help: help})
}

func gauge(name, help string) *telemetry.Metric {
	return declare(telemetry.Metric{Name: name, Type: telemetry.Gauge, Help: help})
}

func histogram(name, help string, labels ...string) *telemetry.Metric {
	return declare(telemetry.Metric{Name: name, Type: telemetry.Histogram, Labels: labels, Help: help})
}

// Metrics returns all metrics that a daemon has, in the order of their declaration.
func Metrics() []*telemetry.Metric { return declared }

// DroppedLine counts a log line that was dropped. It suits logqueue.Options.
func DroppedLine(r *telemetry.Registry) func(event string) {
	return func(event string) { r.Count(metricDropped, event) }
}

// outcome of a request of a caller, as label and in log lines.
type requestOutcome string

const (
	outcomeAnswered requestOutcome = "answered" // by the backend server, with success
	outcomeFailed   requestOutcome = "failed"   // by the backend server, with an error of its own
	outcomeRefused  requestOutcome = "refused"  // not run
	outcomeUnknown  requestOutcome = "unknown"  // may have run
	outcomeGone     requestOutcome = "gone"     // the caller left
	outcomeBroken   requestOutcome = "broken"   // the answer broke off
)

// ended counts the end of a request.
func (d *Daemon) ended(c *callerRequest, o requestOutcome) {
	kind := "none"
	if c.route != nil {
		kind = c.route.Name
	}
	d.metrics.Count(metricRequests, kind, string(o))
	d.metrics.Observe(metricRequestTime, time.Since(c.arrived), kind, string(o))
}

func (d *Daemon) declareGauges() {
	load := func(f func() int) func() float64 {
		return func() float64 {
			d.mu.Lock()
			defer d.mu.Unlock()
			return float64(f())
		}
	}
	d.metrics.Gauge(metricRunning, load(func() int { return d.station.Load().Running }))
	d.metrics.Gauge(metricWaiting, load(func() int { return d.station.Load().Waiting }))
	d.metrics.Gauge(metricLimit, load(func() int { return d.station.Load().Limit }))
	d.metrics.Gauge(metricUpstreams, load(func() int { return d.dir.Len() }))
	d.metrics.Gauge(metricRevision, load(func() int { return int(d.replica.AsOf()) }))
	d.metrics.Gauge(metricGated, load(func() int { return len(d.gate.Levels()) }))
	d.metrics.Gauge(metricVersion, func() float64 {
		if t := d.table(); t != nil {
			return float64(t.Config().Version)
		}
		return 0
	})
}

// serveMetrics prints all metrics as text.
func (d *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	d.metrics.Write(w)
}

// summaryInterval is how often the counters are logged.
const summaryInterval = 10 * time.Second

// summaryLoop logs what has been counted since the last summary. Most requests that are
// answered without any trouble appear in the log only here.
func (d *Daemon) summaryLoop() {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	last := make(map[string]uint64)
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
		}
		var fields []zap.Field
		changes := d.metrics.Changes(last)
		sort.Slice(changes, func(i, j int) bool { return changes[i].Name < changes[j].Name })
		for _, c := range changes {
			fields = append(fields, zap.String(c.Name, strconv.FormatUint(c.By, 10)))
		}
		d.log.Info(eventSummary, fields...)
	}
}
