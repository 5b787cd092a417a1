package telemetry

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var (
	requests   = &Metric{Name: Prefix + "requests_total", Type: Counter, Labels: []string{"kind", "outcome"}}
	unlabelled = &Metric{Name: Prefix + "plain_total", Type: Counter}
	latency    = &Metric{Name: Prefix + "request_seconds", Type: Histogram, Labels: []string{"kind"}}
	running    = &Metric{Name: Prefix + "running", Type: Gauge}
)

func printed(r *Registry) string {
	var b strings.Builder
	r.Write(&b)
	return b.String()
}

// Guards against counts that are lost in concurrent use, and series under wrong names.
func TestRegistry(t *testing.T) {
	Convey("Counters, gauges and histograms are written", t, func() {
		r := New()
		r.Gauge(running, func() float64 { return 7 })
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				for range 100 {
					r.Count(requests, "browse", "answered")
					r.Count(unlabelled)
					r.Observe(latency, 30*time.Millisecond, "browse")
				}
			})
		}
		group.Wait()
		text := printed(r)
		So(text, ShouldContainSubstring, `hawthornpoint_requests_total{kind="browse",outcome="answered"} 800`)
		So(text, ShouldContainSubstring, "hawthornpoint_plain_total 800")
		So(text, ShouldContainSubstring, "hawthornpoint_running 7")
		So(text, ShouldContainSubstring, `hawthornpoint_request_seconds_bucket{kind="browse",le="0.05"} 800`)
		So(text, ShouldContainSubstring, `hawthornpoint_request_seconds_bucket{kind="browse",le="0.025"} 0`)
		Convey("and each increase of a counter is returned once", func() {
			last := make(map[string]uint64)
			So(r.Changes(last), ShouldHaveLength, 2)
			So(r.Changes(last), ShouldBeEmpty)
			r.Add(requests, 3, "browse", "answered")
			So(r.Changes(last), ShouldResemble, []Change{{Name: "requests_browse_answered", Increase: 3}})
		})
	})
}

// Guards against memory use that grows with the number of names in a configuration.
func TestSeriesAreBounded(t *testing.T) {
	Convey("Kinds beyond maxSeries are counted together", t, func() {
		r := New()
		for i := range 3 * maxSeries {
			r.Count(requests, fmt.Sprint("kind", i), "answered")
			r.Observe(latency, time.Second, fmt.Sprint("kind", i))
		}
		So(len(r.counters), ShouldEqual, maxSeries+1)
		So(len(r.histograms), ShouldEqual, maxSeries+1)
		So(printed(r), ShouldContainSubstring, fmt.Sprintf(`hawthornpoint_requests_total{kind="other",outcome="answered"} %d`, 2*maxSeries))
	})
}
