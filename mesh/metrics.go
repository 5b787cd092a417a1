package mesh

import (
	"math"
	"net/http"
	"sort"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/core/membudget"
	"github.com/hawthornpoint/hawthornpoint/internal/telemetry"
)

// Metrics of a daemon. docs/metrics.md lists them.
var (
	metricRequests        = counter("requests_total", "Requests of callers on this VM that have ended.", "kind", "outcome")
	metricRefusals        = counter("refusals_total", "Final answers of the daemon's own, by result code and deciding input.", "code", "reason")
	metricAttempts        = counter("attempts_total", "Attempts at upstreams by their result, in the own zone (near) or another (far).", "result", "zone")
	metricRetryDecisions  = counter("repeats_total", "Decisions after a failed attempt: repeat, or why not.", "reason")
	metricPlacements      = counter("placements_total", "Attempts by the reason for which their upstream was chosen.", "reason")
	metricAvoided         = counter("suspicions_total", "Upstreams that are avoided for a time because they gave no reply.")
	metricSlots           = counter("slot_decisions_total", "Decisions about requests that ask for a slot of the local backend server.", "decision")
	metricBackend         = counter("backend_connections_total", "Connections to the local backend server by what became of them.", "event")
	metricCrashes         = counter("backend_crashes_total", "Crashes of the local backend server: its connections ended and new ones were refused.")
	metricReports         = counter("crash_reports_total", "Reports about requests that ran at a crash: made here, received, or not sent to peers.", "result")
	metricUnmatched       = counter("foreign_answers_total", "Answers of the local backend server that belong to no waiting request.")
	metricUnreadable      = counter("requests_unreadable_total", "Requests of callers that are no HTTP or exceed a limit.")
	metricUnread          = counter("connections_unread_total", "Connections of callers that ended with bytes of requests that were not handled.")
	metricReads           = counter("store_reads_total", "Reads of the store by their result.", "result")
	metricSourceFailures  = counter("sources_failed_total", "Daemons that were to pass on changes of the store and did not.")
	metricUnreadableItems = counter("items_unreadable_total", "Items of the store that can't be decoded.")
	metricConfigs         = counter("configurations_total", "Configurations that were put in force or refused.", "result")
	metricProofs          = counter("configuration_proofs_total", "Proofs that the configuration is the newest, by the way in which they came.", "way")
	metricSyncs           = counter("peer_syncs_total", "Exchanges with a peer that holds newer changes.", "result")
	metricFailedNotices   = counter("peer_notices_failed_total", "Notices of changes that did not reach a peer.")
	metricPanics          = counter("panics_total", "Panics that ended one request, by the part of its handling.", "where")
	metricDropped         = counter("log_lines_dropped_total", "Log lines that were dropped, by event.", "event")
	metricQuotaDecisions  = counter("quota_decisions_total", "Requests of tenants with a quota by the decision about them.", "decision")
	metricQuotaRefusals   = counter("quota_refusals_total", "Requests that were refused for the quota of their tenant.", "tenant", "reason")
	metricQuotaQuestions  = counter("quota_questions_total", "Questions to the owners of tenants by their result.", "result")

	metricRequestTime = histogram("request_seconds", "Time from a caller's request to its final answer.", "kind", "outcome")
	metricQueueTime   = histogram("queue_seconds", "Time for which a request waited for a slot of the local backend server.", "kind", "outcome")
	metricBackendTime = histogram("backend_seconds", "Time of an exchange with the local backend server.", "kind", "outcome")

	metricRunning   = gauge("running", "Requests that the local backend server runs.")
	metricWaiting   = gauge("waiting", "Requests that wait for a slot.")
	metricLimit     = gauge("slots", "Slots of the local backend server that are used.")
	metricRate      = gauge("backend_rate_limit", "Requests a second that the local backend server has stated as its limit, rounded up; 0 for none.")
	metricUpstreams = gauge("upstreams", "Upstreams that are known.")
	metricVersion   = gauge("configuration_version", "Version of the configuration in force; 0 for none.")
	metricProofAge  = gauge("configuration_proof_age_seconds", "Age of the latest proof that the configuration is the newest; -1 for none.")
	metricEra       = gauge("store_era", "Era of the store that is in force; it rises when the store is restored from a copy.")
	metricRevision  = gauge("store_revision", "Revision of the store that is in force.")
	metricSuspects  = gauge("crash_suspects", "Fingerprints of requests for which there is a crash report, a refusal or a clearance.")
	metricGated     = gauge("gated_services", "Services for which new requests are refused at the entry.")

	metricMemoryLimit      = gauge("memory_budget_bytes", "Memory budget for what is held because of callers; very large without a memory limit.")
	metricMemoryUsed       = gauge("memory_reserved_bytes", "Reserved bytes of the memory budget.")
	metricMemoryConns      = gauge("memory_connections_bytes", "Reserved bytes of the memory budget for open connections of callers.")
	metricMemoryRequests   = gauge("memory_requests_bytes", "Reserved bytes of the memory budget for requests of callers and their heads.")
	metricMemoryBodies     = gauge("memory_bodies_bytes", "Reserved bytes of the memory budget for first parts of callers' bodies.")
	metricMemoryAnswers    = gauge("memory_answers_bytes", "Reserved bytes of the memory budget for parts of answers that callers have not taken.")
	metricMemoryPeers      = gauge("memory_peers_bytes", "Reserved bytes of the memory budget for requests that other daemons have accepted and send here.")
	metricMemoryWaiting    = gauge("memory_waiting", "Reservations that wait for room in the memory budget.")
	metricDescriptorLimit  = gauge("descriptor_budget", "Descriptors for connections of callers and to the local backend server; very large without a limit.")
	metricDescriptorsUsed  = gauge("descriptors_reserved", "Reserved descriptors of the budget.")
	metricDescriptorsConns = gauge("descriptors_connections", "Reserved descriptors for connections of callers.")
	metricDescriptorsBack  = gauge("descriptors_backend", "Reserved descriptors for connections to the local backend server.")
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

// DroppedLine returns a function that counts dropped log lines by event in the registry. It can
// be used as logqueue.Options.OnDrop.
func DroppedLine(r *telemetry.Registry) func(event string) {
	return func(event string) { r.Count(metricDropped, event) }
}

// requestOutcome is the outcome of a request of a caller, as the value of a label.
type requestOutcome string

const (
	outcomeAnswered   requestOutcome = "answered" // by the backend server, with success
	outcomeFailed     requestOutcome = "failed"   // by the backend server, with an error of its own
	outcomeRefused    requestOutcome = "refused"  // not run
	outcomeUnknown    requestOutcome = "unknown"  // may have run
	outcomeCallerLeft requestOutcome = "gone"     // the caller left
	outcomeCut        requestOutcome = "cut"      // the daemon closed
	outcomeTruncated  requestOutcome = "broken"   // the answer was cut short while it was passed on
)

// recordOutcome counts a request that has ended and its time.
func (d *Daemon) recordOutcome(c *callerRequest, outcome requestOutcome) {
	kind := "none"
	if c.route != nil {
		kind = c.route.Name
	}
	d.metrics.Count(metricRequests, kind, string(outcome))
	d.metrics.Observe(metricRequestTime, time.Since(c.arrived), kind, string(outcome))
}

func (d *Daemon) declareGauges() {
	locked := func(value func() int) func() float64 {
		return func() float64 {
			d.mu.Lock()
			defer d.mu.Unlock()
			return float64(value())
		}
	}
	d.metrics.Gauge(metricRunning, locked(func() int { return d.limiter.Load().Running }))
	d.metrics.Gauge(metricWaiting, locked(func() int { return d.limiter.Load().Waiting }))
	d.metrics.Gauge(metricRate, locked(func() int { return int(math.Ceil(d.limiter.Rate())) }))
	d.metrics.Gauge(metricLimit, locked(func() int { return d.limiter.Load().Limit }))
	d.metrics.Gauge(metricUpstreams, locked(func() int { return d.dir.Len() }))
	d.metrics.Gauge(metricEra, locked(func() int { return int(d.replica.At().Era) }))
	d.metrics.Gauge(metricRevision, locked(func() int { return int(d.replica.At().Revision) }))
	d.metrics.Gauge(metricSuspects, locked(d.crashes.Len))
	d.metrics.Gauge(metricGated, locked(func() int { return len(d.gate.Refused()) }))
	d.metrics.Gauge(metricProofAge, d.proofAge)
	for metric, value := range map[*telemetry.Metric]func() int64{
		metricMemoryLimit: d.memory.Limit, metricMemoryUsed: d.memory.Used, metricMemoryWaiting: d.memory.Waiting,
		metricMemoryConns:     func() int64 { return d.memory.Held(membudget.Connections) },
		metricMemoryRequests:  func() int64 { return d.memory.Held(membudget.Requests) },
		metricMemoryBodies:    func() int64 { return d.memory.Held(membudget.Bodies) },
		metricMemoryAnswers:   func() int64 { return d.memory.Held(membudget.Answers) },
		metricMemoryPeers:     func() int64 { return d.memory.Held(membudget.Peers) },
		metricDescriptorLimit: d.descriptors.Limit, metricDescriptorsUsed: d.descriptors.Used,
		metricDescriptorsConns: func() int64 { return d.descriptors.Held(membudget.Connections) },
		metricDescriptorsBack:  func() int64 { return d.descriptors.Held(membudget.Backend) },
	} {
		d.metrics.Gauge(metric, func() float64 { return float64(value()) })
	}
	d.metrics.Gauge(metricVersion, func() float64 {
		if t := d.table(); t != nil {
			return float64(t.Config().Version)
		}
		return 0
	})
}

// serveMetrics writes all metrics as text.
func (d *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	d.metrics.Write(w)
}

// summaryInterval is how often the counters are logged.
const summaryInterval = 10 * time.Second

// summaryLoop logs the changes of the counters since the last summary. Most requests that are
// answered at the first attempt appear in the log only here.
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
			fields = append(fields, zap.String(c.Name, strconv.FormatUint(c.Increase, 10)))
		}
		d.log.Info(eventSummary, fields...)
	}
}
