package trial

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// Report is the result of a trial.
type Report struct {
	Deployment string       `json:"deployment"`
	Kinds      []KindReport `json:"kinds"`
	// Goodput is the share of requests that got a complete and correct 2xx answer.
	Goodput float64 `json:"goodput"`
	// RetriesMaxPerRequest is the highest number of retries of one send of a request.
	RetriesMaxPerRequest int `json:"retries_max_per_request"`
	// Doubled counts idempotency keys whose request ran more than once.
	Doubled int `json:"doubled"`
	// ToldNotRunButRan counts the sends that were answered "not run" although
	// their request ran, and the keyed requests whose last send was answered "not
	// run" although a request with their key ran.
	ToldNotRunButRan int `json:"told_not_run_but_ran"`
	// WrongAnswers counts answers that differ from the expected bytes or have no
	// valid metadata.
	WrongAnswers int `json:"wrong_answers"`
	// InvariantViolations counts failed assertions of the daemons, and sends that
	// used more retries than their kind allows.
	InvariantViolations int `json:"invariant_violations"`
	// CutAtStop counts graceful stops that ended with requests still in flight. A
	// trial has one graceful stop.
	CutAtStop int `json:"cut_at_stop"`
	// AddedLatency compares calls through daemons with direct calls.
	AddedLatency AddedLatency `json:"added_latency"`
}

// AddedLatency is the latency of a read without downstream calls, sent one at a time
// directly and through an entry daemon and the upstream's daemon.
type AddedLatency struct {
	DirectP50MS float64 `json:"direct_p50_ms"`
	DirectP99MS float64 `json:"direct_p99_ms"`
	DaemonP50MS float64 `json:"daemon_p50_ms"`
	DaemonP99MS float64 `json:"daemon_p99_ms"`
}

// KindReport is the result for one request kind. It counts the last send of each
// request.
type KindReport struct {
	Service  string `json:"service"`
	Kind     string `json:"kind"`
	Sent     int    `json:"sent"`
	Answered int    `json:"answered"`
	// Failed counts complete answers of the backend server other than 2xx.
	Failed  int            `json:"failed"`
	Refused map[string]int `json:"refused"`
	Unknown map[string]int `json:"unknown"`
	Retries int            `json:"retries"`
	P50MS   float64        `json:"p50_ms"`
	P99MS   float64        `json:"p99_ms"`

	latency *hdrhistogram.Histogram
}

// OK reports whether no invariant was violated.
func (r *Report) OK() bool {
	return r.Doubled == 0 && r.ToldNotRunButRan == 0 && r.WrongAnswers == 0 &&
		r.InvariantViolations == 0 && r.CutAtStop == 0
}

// maxLatency is the highest latency that a histogram records.
const maxLatency = 10 * time.Minute

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 3)
}

func quantileMS(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func (k *KindReport) add(s send) {
	k.Retries += s.reply.RetriesUsed
	switch s.reply.Code.Kind() {
	case resultcode.Answered:
		if s.status/100 != 2 {
			k.Failed++
			return
		}
		k.Answered++
		_ = k.latency.RecordValue(s.latency.Microseconds())
	case resultcode.NotRun:
		k.Refused[s.reply.Code.String()]++
	default:
		k.Unknown[s.reply.Code.String()]++
	}
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteTable writes the report as a text table.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "service\tkind\tsent\tanswered\tfailed\trefused\tunknown\tretries\tp50 ms\tp99 ms")
	for _, k := range r.Kinds {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%s\t%s\t%d\t%.1f\t%.1f\n", k.Service, k.Kind, k.Sent, k.Answered,
			k.Failed, counts(k.Refused), counts(k.Unknown), k.Retries, k.P50MS, k.P99MS)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, `
goodput of whole requests     %.4f
most retries of one request   %d
doubled runs                  %d
told not run, but ran         %d
wrong answers                 %d
cut by the graceful stop      %d
invariant violations          %d
latency of one read           direct p50 %.3f ms, p99 %.3f ms; through two daemons p50 %.3f ms, p99 %.3f ms
`, r.Goodput, r.RetriesMaxPerRequest, r.Doubled, r.ToldNotRunButRan, r.WrongAnswers, r.CutAtStop,
		r.InvariantViolations, r.AddedLatency.DirectP50MS, r.AddedLatency.DirectP99MS, r.AddedLatency.DaemonP50MS, r.AddedLatency.DaemonP99MS)
	return err
}

func counts(m map[string]int) string {
	if len(m) == 0 {
		return "0"
	}
	parts := make([]string, 0, len(m))
	for name, n := range m {
		parts = append(parts, fmt.Sprintf("%d %s", n, name))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}
