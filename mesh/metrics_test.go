package mesh

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const metricsPage = "../docs/metrics.md"

// Guards against a page that lists metrics that do not exist, or lacks some.
func TestMetricsPage(t *testing.T) {
	Convey("The page lists the metrics of a daemon as they are declared", t, func() {
		page, err := os.ReadFile(metricsPage)
		So(err, ShouldBeNil)
		var listed, have []string
		for _, line := range strings.Split(string(page), "\n") {
			if strings.HasPrefix(line, "| `") {
				listed = append(listed, line)
			}
		}
		for _, m := range Metrics() {
			have = append(have, fmt.Sprintf("| `%s` | %s | %s | %s |", m.Name, m.Type, strings.Join(m.Labels, ", "), m.Help))
		}
		So(strings.Join(listed, "\n"), ShouldEqual, strings.Join(have, "\n"))
	})
}

// Guards against an event that is dropped first although nothing else tells of it.
func TestOrdinaryEvents(t *testing.T) {
	Convey("Ends of requests, beliefs and dependencies are among the last to be dropped", t, func() {
		for _, event := range []string{eventRefused, eventNotLetIn, eventBroken, eventLeft, eventExchange, eventUnreadable,
			eventStoreLost, eventStoreBack, eventSource, eventConfig, eventNoConfig, eventListed, eventRemoved, eventGone,
			eventStarted, eventStopping, eventStopped, eventSummary} {
			So(ordinary[event], ShouldBeFalse)
		}
	})
}
