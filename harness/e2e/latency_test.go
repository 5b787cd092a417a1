package e2e

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
)

const (
	// latencyTarget is the highest time that the daemons may add at the 99th
	// percentile.
	latencyTarget = 340 * time.Microsecond
	// latencyRounds is the number of rounds. Each round measures the direct path and
	// then the path through two daemons, so that both are measured under the same
	// load of the machine.
	latencyRounds = 5
)

// measuredCall is one kind of call of the latency measurement.
type measuredCall struct {
	name, method, path string
	keyed              bool
	body               string
}

var measuredCalls = []measuredCall{
	{name: "read", method: http.MethodGet, path: "/read/17"},
	{name: "search with body", method: http.MethodPost, path: "/search", body: strings.Repeat("x", 200)},
	{name: "confirm keyed with body", method: http.MethodPost, path: "/confirm", keyed: true, body: strings.Repeat("x", 200)},
}

// Measures the time that an entry daemon and the upstream's daemon add to a call.
// Guards against a data path that exceeds its limit: it fails above latencyTarget at
// 110 calls/s, the rate of one daemon at the size expected in two years.
func TestMeasureAddedLatency(t *testing.T) {
	requireMeasure(t)
	f := newMeasuredFleet(t, 12, 12, nil)
	for _, rate := range []int{110, 2000} {
		for _, c := range measuredCalls {
			t.Run(fmt.Sprintf("%d/%s", rate, c.name), func(t *testing.T) {
				added := f.addedLatency(t, c, rate)
				if rate == 110 && added > latencyTarget {
					t.Errorf("%v added at p99, the limit is %v", added, latencyTarget)
				}
			})
		}
	}
}

// addedLatency logs the medians over all rounds and returns the median of the
// latency that is added at p99.
func (f *fleet) addedLatency(t *testing.T, c measuredCall, rate int) time.Duration {
	entry, target := f.vms[f.upstream(entryService, 0)], f.vms[f.upstream(targetService, 0)]
	direct := "http://" + target.daemonSettings.Backend + c.path
	through := "http://" + entry.daemonSettings.Listeners.Callers + "/" + targetService + c.path
	span := time.Duration(max(1, 330/rate)) * time.Second
	f.openLoop(t, c, direct, rate, span/2)
	f.openLoop(t, c, through, rate, span/2)
	values := make(map[string][]time.Duration)
	for range latencyRounds {
		directTimes := f.openLoop(t, c, direct, rate, span)
		before := entry.daemon.processorTime(t) + target.daemon.processorTime(t)
		throughTimes := f.openLoop(t, c, through, rate, span)
		used := entry.daemon.processorTime(t) + target.daemon.processorTime(t) - before
		for name, v := range map[string]time.Duration{
			"direct50": quantile(directTimes, 50), "direct99": quantile(directTimes, 99), "through50": quantile(throughTimes, 50), "through99": quantile(throughTimes, 99),
			"added50": quantile(throughTimes, 50) - quantile(directTimes, 50), "added99": quantile(throughTimes, 99) - quantile(directTimes, 99),
			"processor": used / time.Duration(throughTimes.TotalCount()),
		} {
			values[name] = append(values[name], v)
		}
	}
	for _, list := range values {
		median(list)
	}
	medianOf := func(name string) time.Duration { return values[name][latencyRounds/2] }
	added := values["added99"]
	t.Logf("p50 direct %v through %v added %v; p99 direct %v through %v added %v (%v..%v); both daemons use %v of a core per call",
		medianOf("direct50"), medianOf("through50"), medianOf("added50"), medianOf("direct99"), medianOf("through99"), medianOf("added99"),
		added[0], added[len(added)-1], medianOf("processor"))
	return medianOf("added99")
}

func quantile(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percentile)) * time.Microsecond
}

// openLoop sends calls at a fixed rate during span, whether or not earlier ones were
// answered, and returns their latencies in microseconds.
func (f *fleet) openLoop(t *testing.T, c measuredCall, url string, rate int, span time.Duration) *hdrhistogram.Histogram {
	t.Helper()
	h := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var inFlight sync.WaitGroup
	var failed atomic.Int64
	count := int(span.Seconds() * float64(rate))
	started := time.Now()
	for i := range count {
		time.Sleep(time.Until(started.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		inFlight.Go(func() {
			took, err := f.timeCall(c, url)
			if err != nil {
				if failed.Add(1) == 1 {
					t.Log(err)
				}
				return
			}
			mu.Lock()
			defer mu.Unlock()
			_ = h.RecordValue(took.Microseconds())
		})
	}
	inFlight.Wait()
	if n := failed.Load(); n > 0 {
		t.Errorf("%d of %d calls to %s failed", n, count, url)
	}
	return h
}

// timeCall sends one call and returns the time until its complete answer was read.
func (f *fleet) timeCall(c measuredCall, url string) (time.Duration, error) {
	var body io.Reader
	if c.body != "" {
		body = bytes.NewReader([]byte(c.body))
	}
	req, err := http.NewRequest(c.method, url, body)
	if err != nil {
		return 0, err
	}
	if c.keyed {
		req.Header.Set(callmeta.HeaderKey, newKey())
	}
	started := time.Now()
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	took := time.Since(started)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d, %s", resp.StatusCode, resp.Header.Get(callmeta.HeaderResult))
	}
	return took, err
}
