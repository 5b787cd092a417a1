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
		f := newFixture("order-a", "order")
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
