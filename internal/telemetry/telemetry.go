// Package telemetry counts events and measures latencies, and prints both as text in the
// exposition format of Prometheus.
//
// Metrics are declared once, as package variables of those who use them, with their labels
// and what they say. A Registry holds the values of one process. The number of series of a
// metric is bounded: label values beyond the bound are counted together as "other".
package telemetry

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Type says how a metric behaves.
type Type string

// Types of metrics.
const (
	// Counter only rises.
	Counter Type = "counter"
	// Gauge is a present value.
	Gauge Type = "gauge"
	// Histogram counts latencies, in seconds, by upper bounds.
	Histogram Type = "histogram"
)

// Metric declares a metric. It has up to two labels.
type Metric struct {
	Name   string
	Type   Type
	Labels []string
	// Help says what is counted, in one sentence.
	Help string
}

const (
	// maxSeries bounds the series of one metric. Kinds of requests are routes of the
	// configuration, of which there may be any number.
	maxSeries = 256
	// otherValue is the label value of what is beyond maxSeries.
	otherValue = "other"
)

// latencyBounds are the upper bounds of histograms in seconds. They span the hop of a call
// inside a zone to the longest time limits.
var latencyBounds = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30}

type series struct {
	metric *Metric
	a, b   string
}

func (s series) name() string {
	switch len(s.metric.Labels) {
	case 0:
		return s.metric.Name
	case 1:
		return fmt.Sprintf("%s{%s=%q}", s.metric.Name, s.metric.Labels[0], s.a)
	}
	return fmt.Sprintf("%s{%s=%q,%s=%q}", s.metric.Name, s.metric.Labels[0], s.a, s.metric.Labels[1], s.b)
}

// short is the name in log lines.
func (s series) short() string {
	parts := []string{strings.TrimSuffix(strings.TrimPrefix(s.metric.Name, Prefix), "_total")}
	for _, label := range []string{s.a, s.b} {
		if label != "" {
			parts = append(parts, label)
		}
	}
	return strings.Join(parts, "_")
}

// Prefix begins the names of all metrics.
const Prefix = "hawthornpoint_"

// Registry holds the values of one process. It is safe for concurrent use.
type Registry struct {
	set *metrics.Set

	mu         sync.RWMutex
	counters   map[series]*metrics.Counter
	histograms map[series]*metrics.PrometheusHistogram
	perMetric  map[*Metric]int
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		set: metrics.NewSet(), counters: make(map[series]*metrics.Counter),
		histograms: make(map[series]*metrics.PrometheusHistogram), perMetric: make(map[*Metric]int),
	}
}

// Count adds one to a counter.
func (r *Registry) Count(m *Metric, labels ...string) { r.Add(m, 1, labels...) }

// Add adds n to a counter.
func (r *Registry) Add(m *Metric, n int, labels ...string) {
	c := find(r, r.counters, seriesOf(m, labels), r.set.NewCounter)
	c.Add(n)
}

// Observe adds a latency to a histogram.
func (r *Registry) Observe(m *Metric, d time.Duration, labels ...string) {
	h := find(r, r.histograms, seriesOf(m, labels), func(name string) *metrics.PrometheusHistogram {
		return r.set.NewPrometheusHistogramExt(name, latencyBounds)
	})
	h.Update(d.Seconds())
}

// find returns the values of a series, which it creates when there are none.
func find[T any](r *Registry, values map[series]*T, s series, create func(name string) *T) *T {
	r.mu.RLock()
	v := values[s]
	r.mu.RUnlock()
	if v != nil {
		return v
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s = r.bounded(s)
	if v = values[s]; v == nil {
		v = create(s.name())
		values[s] = v
		r.perMetric[s.metric]++
	}
	return v
}

// Gauge declares a gauge, whose value f returns. f must be safe for concurrent use.
func (r *Registry) Gauge(m *Metric, f func() float64) { r.set.NewGauge(m.Name, f) }

func seriesOf(m *Metric, labels []string) series {
	s := series{metric: m}
	if len(labels) > 0 {
		s.a = labels[0]
	}
	if len(labels) > 1 {
		s.b = labels[1]
	}
	return s
}

// bounded replaces the first label once a metric has many series. r.mu is held.
func (r *Registry) bounded(s series) series {
	if r.counters[s] != nil || r.histograms[s] != nil || r.perMetric[s.metric] < maxSeries || len(s.metric.Labels) == 0 {
		return s
	}
	s.a = otherValue
	return s
}

// Write prints all metrics.
func (r *Registry) Write(w io.Writer) { r.set.WritePrometheus(w) }

// Change is what a counter has gained.
type Change struct {
	// Name is the name of the series without prefix, its labels joined by underscores.
	Name string
	By   uint64
}

// Changes returns what counters have gained since last, and updates last.
func (r *Registry) Changes(last map[string]uint64) []Change {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var changes []Change
	for s, c := range r.counters {
		name, value := s.short(), c.Get()
		if value != last[name] {
			changes = append(changes, Change{Name: name, By: value - last[name]})
			last[name] = value
		}
	}
	return changes
}
