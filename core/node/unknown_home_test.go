package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// Guards against a starting daemon that refuses a keyed call at once because its first
// read of the list of VMs failed and no peer has named the home yet.
func TestStartingDaemonWaitsForTheAddressOfAHome(t *testing.T) {
	startedAt := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	record := func(name string) membership.Record {
		return newFixture(name, name[:5]).Self()
	}
	Convey("Given a daemon that started without a list and knows one of two upstreams", t, func() {
		f := newUnlistedFixture("stock-a", "stock")
		f.Receive(startedAt(10), Digest{Sender: record("order-b"), Clock: startedAt(10)})
		o, step := f.Open(startedAt(100), confirmRequest(homeKey("order-a", startedAt(100))))
		So(step.Action, ShouldEqual, Wait)
		So(step.Until, ShouldHappenAfter, startedAt(100))
		Convey("the call is sent as soon as a peer has named the home", func() {
			f.Receive(startedAt(110), Digest{Sender: record("order-a"), Clock: startedAt(110)})
			step = f.Resume(step.Until, o)
			So(step.Action, ShouldEqual, Send)
			So(step.Upstream, ShouldEqual, "order-a")
		})
		Convey("the call is refused when a list does not name the home", func() {
			f.SetVMs(startedAt(110), []membership.Record{record("order-b")})
			step = f.Resume(step.Until, o)
			So(step.Reply.Code, ShouldEqual, resultcode.HomeNotAsked)
			So(step.Reply.Cause, ShouldEqual, resultcode.HomeUnavailable)
		})
		Convey("the call is refused when the time to learn the home has passed", func() {
			for step.Action == Wait {
				So(step.Until, ShouldHappenBefore, startedAt(100).Add(homeDiscoveryTime))
				step = f.Resume(step.Until, o)
			}
			So(step.Reply.Cause, ShouldEqual, resultcode.HomeUnavailable)
			_, step = f.Open(start.Add(homeDiscoveryTime), confirmRequest(homeKey("order-a", startedAt(100))))
			So(step.Reply.Cause, ShouldEqual, resultcode.HomeUnavailable)
		})
		Convey("the call is refused before its deadline passes", func() {
			request := confirmRequest(homeKey("order-a", startedAt(100)))
			request.Timeout = 120 * time.Millisecond
			o, step := f.Open(startedAt(100), request)
			for step.Action == Wait {
				So(step.Until, ShouldHappenBefore, startedAt(220))
				step = f.Resume(step.Until, o)
			}
			So(step.Reply.Cause, ShouldEqual, resultcode.HomeUnavailable)
		})
	})
}
