// Package telemetry counts events and measures latencies, and writes both in the text
// exposition format of Prometheus.
//
// Metrics are declared once, as package variables of the packages that use them, with their
// labels and a help text. A Registry holds the values of one process. The number of series of a
// metric is bounded: values of the first label beyond the bound are counted together as "other".
package telemetry

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Type is the type of a metric.
type Type string

// Types of metrics.
const (
	// Counter is a value that only increases.
	Counter Type = "counter"
	// Gauge is a current value, which may increase and decrease.
	Gauge Type = "gauge"
	// Histogram counts latencies, in seconds, in buckets with upper bounds.
	Histogram Type = "histogram"
)

// Metric declares a metric with at most two labels.
type Metric struct {
	Name   string
	Type   Type
	Labels []string
	// Help describes in one sentence what is counted.
	Help string
}

const (
	// maxSeries bounds the series of one metric. The values of the label "kind" are the
	// routes of the configuration, whose number is not limited.
	maxSeries = 256
	// otherValue replaces the first label value of series beyond maxSeries.
	otherValue = "other"
)

// latencyBounds are the upper bounds of histogram buckets in seconds. They range from one hop
// of a call inside a zone to the longest time limits.
var latencyBounds = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30}

type series struct {
	metric                  *Metric
	firstValue, secondValue string
}

func (s series) name() string {
	switch len(s.metric.Labels) {
	case 0:
		return s.metric.Name
	case 1:
		return fmt.Sprintf("%s{%s=%q}", s.metric.Name, s.metric.Labels[0], s.firstValue)
	}
	return fmt.Sprintf("%s{%s=%q,%s=%q}", s.metric.Name, s.metric.Labels[0], s.firstValue, s.metric.Labels[1], s.secondValue)
}

// logName returns the name of the series in log lines.
func (s series) logName() string {
	parts := []string{strings.TrimSuffix(strings.TrimPrefix(s.metric.Name, Prefix), "_total")}
	for _, label := range []string{s.firstValue, s.secondValue} {
		if label != "" {
			parts = append(parts, label)
		}
	}
	return strings.Join(parts, "_")
}

// Prefix is the prefix of the names of all metrics.
const Prefix = "hawthornpoint_"

// Registry holds the values of one process. It is safe for concurrent use.
type Registry struct {
	set *metrics.Set

	mu           sync.RWMutex
	counters     map[series]*metrics.Counter
	histograms   map[series]*metrics.PrometheusHistogram
	seriesCounts map[*Metric]int
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		set: metrics.NewSet(), counters: make(map[series]*metrics.Counter),
		histograms: make(map[series]*metrics.PrometheusHistogram), seriesCounts: make(map[*Metric]int),
	}
}

// Count adds one to a counter.
func (r *Registry) Count(m *Metric, labels ...string) { r.Add(m, 1, labels...) }

// Add adds n to a counter.
func (r *Registry) Add(m *Metric, n int, labels ...string) {
	c := getOrCreate(r, r.counters, seriesOf(m, labels), r.set.NewCounter)
	c.Add(n)
}

// Observe adds a latency to a histogram.
func (r *Registry) Observe(m *Metric, d time.Duration, labels ...string) {
	h := getOrCreate(r, r.histograms, seriesOf(m, labels), func(name string) *metrics.PrometheusHistogram {
		return r.set.NewPrometheusHistogramExt(name, latencyBounds)
	})
	h.Update(d.Seconds())
}

// getOrCreate returns the counter or histogram of a series and creates it if it does not exist.
func getOrCreate[T any](r *Registry, values map[series]*T, s series, create func(name string) *T) *T {
	r.mu.RLock()
	v := values[s]
	r.mu.RUnlock()
	if v != nil {
		return v
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s = r.limitSeries(s)
	if v = values[s]; v == nil {
		v = create(s.name())
		values[s] = v
		r.seriesCounts[s.metric]++
	}
	return v
}

// Gauge registers a gauge whose value f returns. f must be safe for concurrent use.
func (r *Registry) Gauge(m *Metric, f func() float64) { r.set.NewGauge(m.Name, f) }

func seriesOf(m *Metric, labels []string) series {
	s := series{metric: m}
	if len(labels) > 0 {
		s.firstValue = labels[0]
	}
	if len(labels) > 1 {
		s.secondValue = labels[1]
	}
	return s
}

// limitSeries replaces the first label value of a new series by otherValue if the metric has
// maxSeries series. r.mu must be held.
func (r *Registry) limitSeries(s series) series {
	if r.counters[s] != nil || r.histograms[s] != nil || r.seriesCounts[s.metric] < maxSeries || len(s.metric.Labels) == 0 {
		return s
	}
	s.firstValue = otherValue
	return s
}

// Write writes all metrics to w in the text exposition format of Prometheus.
func (r *Registry) Write(w io.Writer) { r.set.WritePrometheus(w) }

// Change is the increase of a counter.
type Change struct {
	// Name is the name of the metric without Prefix and the suffix _total, joined with its label
	// values by underscores.
	Name     string
	Increase uint64
}

// Changes returns the counters that have increased since the values in last, which are keyed
// by Change.Name, in no particular order. It updates last.
func (r *Registry) Changes(last map[string]uint64) []Change {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var changes []Change
	for s, c := range r.counters {
		name, value := s.logName(), c.Get()
		if value != last[name] {
			changes = append(changes, Change{Name: name, Increase: value - last[name]})
			last[name] = value
		}
	}
	return changes
}
