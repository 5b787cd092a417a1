package node

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// Guards against a second run of a key by a paused home that takes a list of VMs which
// names its replacement, or no longer names it, as a proof that it was not replaced.
func TestListOfAnotherVMDoesNotConfirmAPausedHome(t *testing.T) {
	own := membership.Record{Name: "order-a", Service: "order", State: membership.Live, PeerAddress: "order-a", ControlAddress: "order-a"}
	other, leaving := own, own
	other.PeerAddress, other.ControlAddress = "order-a-2", "order-a-2"
	leaving.State = membership.Leaving
	codeAfter := func(list ...membership.Record) resultcode.Code {
		f := newUnlistedFixture("order-a", "order")
		f.Tick(at(-1000))
		f.Tick(at(4000))
		f.SetVMs(at(4010), list)
		f.ConfirmIncarnation(at(4005))
		return f.Arrive(at(4010), incomingCall(f, "confirm", false, homeKey("order-a", at(4010)))).Reply.Code
	}
	Convey("After a pause, keys are refused until a list names this VM and no other for the home", t, func() {
		So(codeAfter(other), ShouldEqual, resultcode.HomeUnavailable)
		So(codeAfter(own, other), ShouldEqual, resultcode.HomeUnavailable)
		So(codeAfter(other, own), ShouldEqual, resultcode.HomeUnavailable)
		So(codeAfter(leaving), ShouldEqual, resultcode.HomeUnavailable)
		So(codeAfter(), ShouldEqual, resultcode.HomeUnavailable)
		So(codeAfter(own), ShouldEqual, resultcode.Code(0))
	})
}

// Guards against a second run of a key by a paused home that trusts a list of VMs which
// lags: it still names the home although peers know the replacement.
func TestLaggingListDoesNotConfirmAPausedHome(t *testing.T) {
	own := membership.Record{Name: "order-a", Service: "order", State: membership.Live, PeerAddress: "order-a", ControlAddress: "order-a"}
	Convey("A list that names the home does not speak for the peers, unless there are none", t, func() {
		codeAfter := func(f *fixture) resultcode.Code {
			f.Tick(at(-1000))
			f.Tick(at(4000))
			f.SetVMs(at(4010), []membership.Record{own})
			f.ConfirmIncarnation(at(4005))
			return f.Arrive(at(4010), incomingCall(f, "confirm", false, homeKey("order-a", at(4010)))).Reply.Code
		}
		So(codeAfter(newFixture("order-a", "order")), ShouldEqual, resultcode.HomeUnavailable)
		So(codeAfter(newUnlistedFixture("order-a", "order")), ShouldEqual, resultcode.Code(0))
	})
}

// Guards against a second run of a key by a paused home that takes the word of a peer
// which is cut off and does not know of the replacement.
func TestOnePeerDoesNotConfirmAPausedHome(t *testing.T) {
	Convey("Given a home with three peers that was paused", t, func() {
		f, replacement := newFixture("order-a", "order"), newFixture("order-a", "order").Self()
		replacement.Started, replacement.Seq = at(0), 1
		f.Tick(at(-1000))
		f.Tick(at(4000))
		answer := func(ms int, name string, knows bool) {
			peer := newFixture(name, name[:5])
			if knows {
				peer.Receive(at(1000), Digest{Sender: replacement, Clock: at(1000)})
			}
			f.Answered(at(ms), at(4005), 1, peer.DigestFor(at(ms), f.Self()))
		}
		arrive := func(ms int) ArrivalDecision {
			return f.Arrive(at(ms), incomingCall(f, "confirm", false, homeKey("order-a", at(ms))))
		}
		answer(4010, "stock-b", false)
		answer(4011, "stock-b", false)
		So(arrive(4012).Reply.Code, ShouldEqual, resultcode.HomeUnavailable)
		Convey("keys are refused when another peer names the replacement", func() {
			answer(4020, "stock-a", true)
			So(arrive(4021).Reply.Code, ShouldEqual, resultcode.NotHome)
		})
		Convey("keys run once most peers have answered", func() {
			answer(4020, "stock-a", false)
			So(arrive(4021).Verdict, ShouldEqual, Run)
		})
		Convey("answers from before the next pause do not count after it", func() {
			f.Tick(at(4500))
			f.Tick(at(6000))
			f.Answered(at(6010), at(6005), 2, newFixture("stock-a", "stock").DigestFor(at(6010), f.Self()))
			f.Answered(at(6010), at(4005), 2, newFixture("order-b", "order").DigestFor(at(6010), f.Self()))
			So(f.Arrive(at(6011), incomingCall(f, "confirm", false, homeKey("order-a", at(6011)))).Reply.Code, ShouldEqual, resultcode.HomeUnavailable)
		})
	})
}
