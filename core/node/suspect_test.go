package node

import (
	"testing"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/core/quarantine"
)

// Guards against copies of a call that crashes backend servers and come to several of them at once.
func TestCopiesOfSuspectCall(t *testing.T) {
	Convey("All daemons send the copies of a suspect to one upstream", t, func() {
		nodes := []*fixture{newFixture("order-a", "order"), newFixture("order-b", "order"), newFixture("stock-b", "stock")}
		report := quarantine.Report{Incarnation: uuid.New(), At: at(0), Suspects: 20}
		for fp := range uint64(20) {
			report.Fingerprint = fp
			for _, f := range nodes {
				f.Receive(at(0), Digest{Reports: []quarantine.Report{report}, Clock: at(0)})
			}
		}
		firsts := map[string]bool{}
		for fp := range uint64(20) {
			upstreams := map[string]bool{}
			for n := range 12 {
				request := OpenRequest{Service: "stock", Method: "GET", Path: "/check", Fingerprint: fp}
				_, step := nodes[n%len(nodes)].Open(at(n), request)
				So(step.Action, ShouldEqual, Send)
				upstreams[step.Upstream], firsts[step.Upstream] = true, true
			}
			So(upstreams, ShouldHaveLength, 1)
		}
		So(firsts, ShouldHaveLength, 2)
	})
}
