package mesh

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const metricsPage = "../docs/metrics.md"

// Guards against a page that lists metrics that do not exist or omits some.
func TestMetricsPage(t *testing.T) {
	Convey("The page lists the metrics of a daemon as they are declared", t, func() {
		page, err := os.ReadFile(metricsPage)
		So(err, ShouldBeNil)
		var pageLines, declaredLines []string
		for _, line := range strings.Split(string(page), "\n") {
			if strings.HasPrefix(line, "| `") {
				pageLines = append(pageLines, line)
			}
		}
		for _, m := range Metrics() {
			declaredLines = append(declaredLines, fmt.Sprintf("| `%s` | %s | %s | %s |", m.Name, m.Type, strings.Join(m.Labels, ", "), m.Help))
		}
		So(strings.Join(pageLines, "\n"), ShouldEqual, strings.Join(declaredLines, "\n"))
	})
}

// Guards against an event that is dropped first although no other log line reports it.
func TestLowPriorityEvents(t *testing.T) {
	Convey("Events about the ends of requests, the store, upstreams and the configuration are among the last to be dropped", t, func() {
		for _, event := range []string{eventRefused, eventNotAdmitted, eventTruncated, eventCallerLeft, eventCut, eventExchangeFailed, eventNotParsed, eventUnread,
			eventStoreLost, eventStoreRecovered, eventSourceFailed, eventConfig, eventConfigRefused, eventListed, eventRemoved, eventExpired,
			eventBackendCrashed, eventStarted, eventStopping, eventStopped, eventSummary} {
			So(lowPriority[event], ShouldBeFalse)
		}
	})
}
