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

	"github.com/hawthornpoint/hawthornpoint/call"
)

const (
	// latencyTarget is the time that may be added to 99 calls in 100.
	latencyTarget = 340 * time.Microsecond
	// latencyRounds alternate between the direct path and the path through two
	// daemons, so that both meet the same state of the machine.
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
// 110 calls/s, the rate of one daemon at the size in two years.
func TestMeasureAddedLatency(t *testing.T) {
	measuring(t)
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

// addedLatency prints the medians over all rounds and returns what was added at p99.
func (f *fleet) addedLatency(t *testing.T, c measuredCall, rate int) time.Duration {
	entry, target := f.places[f.upstream(entryService, 0)], f.places[f.upstream(targetService, 0)]
	direct := "http://" + target.set.Backend + c.path
	through := "http://" + entry.set.Listeners.Callers + "/" + targetService + c.path
	span := time.Duration(max(1, 330/rate)) * time.Second
	f.openLoop(t, c, direct, rate, span/2)
	f.openLoop(t, c, through, rate, span/2)
	values := make(map[string][]time.Duration)
	for range latencyRounds {
		d := f.openLoop(t, c, direct, rate, span)
		before := entry.daemon.processorTime(t) + target.daemon.processorTime(t)
		h := f.openLoop(t, c, through, rate, span)
		used := entry.daemon.processorTime(t) + target.daemon.processorTime(t) - before
		for name, v := range map[string]time.Duration{
			"direct50": at(d, 50), "direct99": at(d, 99), "through50": at(h, 50), "through99": at(h, 99),
			"added50": at(h, 50) - at(d, 50), "added99": at(h, 99) - at(d, 99),
			"processor": used / time.Duration(h.TotalCount()),
		} {
			values[name] = append(values[name], v)
		}
	}
	for _, list := range values {
		median(list)
	}
	mid := func(name string) time.Duration { return values[name][latencyRounds/2] }
	added := values["added99"]
	t.Logf("p50 direct %v through %v added %v; p99 direct %v through %v added %v (%v..%v); both daemons use %v of a core per call",
		mid("direct50"), mid("through50"), mid("added50"), mid("direct99"), mid("through99"), mid("added99"),
		added[0], added[len(added)-1], mid("processor"))
	return mid("added99")
}

func at(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percentile)) * time.Microsecond
}

// openLoop sends calls at fixed times whether or not earlier ones were answered.
func (f *fleet) openLoop(t *testing.T, c measuredCall, url string, rate int, span time.Duration) *hdrhistogram.Histogram {
	t.Helper()
	h := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var open sync.WaitGroup
	var failed atomic.Int64
	count := int(span.Seconds() * float64(rate))
	started := time.Now()
	for i := range count {
		time.Sleep(time.Until(started.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		open.Go(func() {
			took, err := f.timed(c, url)
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
	open.Wait()
	if n := failed.Load(); n > 0 {
		t.Errorf("%d of %d calls to %s failed", n, count, url)
	}
	return h
}

// timed sends one call and returns the time until its whole answer was read.
func (f *fleet) timed(c measuredCall, url string) (time.Duration, error) {
	var body io.Reader
	if c.body != "" {
		body = bytes.NewReader([]byte(c.body))
	}
	req, err := http.NewRequest(c.method, url, body)
	if err != nil {
		return 0, err
	}
	if c.keyed {
		req.Header.Set(call.HeaderKey, newKey())
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
		err = fmt.Errorf("status %d, %s", resp.StatusCode, resp.Header.Get(call.HeaderResult))
	}
	return took, err
}
