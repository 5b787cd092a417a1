package node

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// quitoNode returns the daemon of batch-order-a, which knows all upstreams.
func quitoNode(now time.Time) *Node {
	data, err := os.ReadFile("../../examples/quito/descriptions.jsonc")
	So(err, ShouldBeNil)
	d, problems := config.ParseDescriptions("quito", data)
	So(problems, ShouldBeEmpty)
	conf, problems := config.Merge(d, nil)
	So(problems, ShouldBeEmpty)
	envelope, err := config.Seal(conf)
	So(err, ShouldBeNil)
	var list []membership.Record
	for _, s := range conf.Services {
		for _, u := range s.Upstreams {
			list = append(list, membership.Record{
				Name: u.Name, Service: s.Name, State: membership.Live, PeerAddress: u.Name, Zone: u.Zone, Region: u.Region,
			})
		}
	}
	self := membership.Record{Name: "batch-order-a", Service: "batch-order", Incarnation: uuid.New(), State: membership.Live}
	n := New(Config{Self: self, Started: now, Rand: rand.New(rand.NewPCG(1, 1))})
	verdict, err := n.Offer(now, envelope)
	So(err, ShouldBeNil)
	So(verdict, ShouldEqual, config.Accepted)
	n.SetVMs(now, list)
	n.Ready()
	return n
}

// TestRefusedDownstream guards against wasted runs: a confirmation took a slot
// although every workshop had just refused its priority.
func TestRefusedDownstream(t *testing.T) {
	Convey("When all upstreams of a downstream service refuse rank 0", t, func() {
		now := time.Unix(1000, 0)
		n := quitoNode(now)
		for range 60 {
			o, step := n.Open(now, OpenRequest{Service: "workshop", Method: "POST", Path: "/assignments"})
			if step.Action == Send {
				reply := callmeta.Reply{Code: resultcode.Shed, Incarnation: uuid.NewSHA1(uuid.Nil, []byte(step.Upstream))}
				step = n.Report(now, o, AttemptResult{Code: resultcode.Shed, Reply: &reply})
			}
			if step.Action == Wait {
				n.Abandon(now, o)
			}
		}
		countRuns := func() (count int) {
			for range 100 {
				m := callmeta.Meta{
					RequestID: uuid.New(), CallID: uuid.New(), Service: "batch-order", Kind: "confirm",
					Deadline: now.Add(5 * time.Second),
				}
				a := n.Arrive(now, m)
				if a.Verdict == Run {
					count++
					n.Done(now, m.CallID, Outcome{Code: resultcode.OK})
				} else {
					So(a.Reply.Code, ShouldEqual, resultcode.ShedEarly)
				}
			}
			return count
		}
		Convey("calls that need it are refused before they run, except for a few probes", func() {
			So(countRuns(), ShouldBeLessThan, 10)
		})
		Convey("they run again when the thresholds are outdated", func() {
			now = now.Add(900 * time.Millisecond)
			n.Tick(now)
			now = now.Add(200 * time.Millisecond)
			So(countRuns(), ShouldEqual, 100)
		})
	})
}
