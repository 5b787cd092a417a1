package balancer

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// Guards against suspects that each daemon sends to another upstream, and against one that is refused
// although an upstream would take it.
func TestOrderOfSuspects(t *testing.T) {
	Convey("Suspects are sent to the upstreams in one order, and upstreams that refuse them are left out", t, func() {
		f := newFleet(4)
		exclude := map[string]bool{}
		for range 4 {
			first, code := f.picker.PickSuspect(f.now, "key", "", exclude, 0)
			So(code, ShouldEqual, resultcode.OK)
			So(exclude[first], ShouldBeFalse)
			for range 10 {
				again, _ := f.picker.PickSuspect(f.now, "key", "", exclude, 0)
				So(again, ShouldEqual, first)
			}
			exclude[first] = true
		}
		_, code := f.picker.PickSuspect(f.now, "key", "", exclude, 0)
		So(code, ShouldEqual, resultcode.NoUpstream)

		first, _ := f.picker.PickSuspect(f.now, "key", "", nil, 10)
		f.picker.Started(f.now, first)
		f.picker.Done(f.now, first, Result{Code: resultcode.Shed, Threshold: 5, Incarnation: f.upstreams[first].endpoint.Incarnation})
		second, _ := f.picker.PickSuspect(f.now, "key", "", nil, 10)
		So(second, ShouldNotEqual, first)
		important, _ := f.picker.PickSuspect(f.now, "key", "", nil, 4)
		So(important, ShouldEqual, first)
	})
}
