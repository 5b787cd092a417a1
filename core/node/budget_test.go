package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/balancer"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// TestBudgetFollowsSheet guards against a retry budget that ignores the sheet until
// the next plan, up to 30 s after its first use, and against a forecast that is
// compared with slots instead of calls per second.
func TestBudgetFollowsSheet(t *testing.T) {
	Convey("A budget begins with the ratio of the sheet in force", t, func() {
		now := time.Date(2026, 2, 16, 12, 0, 0, 0, time.UTC)
		n := quitoNode(now)
		allowed := func(service string) (count int) {
			b := n.budget(now, service)
			for range 1000 {
				b.RecordSuccess(now)
			}
			for b.Allow(now) {
				count++
			}
			return count
		}
		// 120 slots at 20 ms answer 6,000 calls/s.
		answerAll := func(service string) {
			p := n.picker(now, service)
			for name := range n.endpoint[service] {
				p.Started(now, name)
				p.Done(now.Add(20*time.Millisecond), name, balancer.Result{Code: resultcode.OK, Latency: 20 * time.Millisecond})
			}
			now = now.Add(20 * time.Millisecond)
		}
		forecast := func(service string, rate float64) {
			n.conf.Sheet = config.Sheet{Days: []config.Day{{
				Date:    "2026-02-16",
				Windows: []config.Window{{Start: "00:00", End: "24:00", Service: service, CallsPerSecond: rate}},
			}}}
		}
		forecast("catalogue", 1e6)
		So(allowed("catalogue"), ShouldEqual, 100) // no latency known yet
		answerAll("stock")
		forecast("stock", 1e6)
		So(allowed("stock"), ShouldEqual, 20)
		answerAll("workshop")
		forecast("workshop", 100)
		So(allowed("workshop"), ShouldEqual, 100)
	})
}
