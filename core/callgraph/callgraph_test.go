package callgraph

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against taking requests of clients for calls, and calls for requests of clients.
func TestIsCall(t *testing.T) {
	Convey("Given clients on the VMs of four services, and a call from one of them", t, func() {
		o, random := New(), rand.New(rand.NewPCG(1, 2))
		o.SetFleet(map[string]int{"a": 3, "b": 3, "c": 3, "d": 3})
		services := []string{"a", "b", "c", "d"}
		for range 200 {
			o.Observe("client", services[random.IntN(4)])
			o.Observe("call", "b")
		}
		So(o.IsCall("client"), ShouldBeFalse)
		So(o.IsCall("call"), ShouldBeTrue)
		Convey("too few requests say nothing", func() {
			o.Observe("new", "a")
			So(o.IsCall("new"), ShouldBeFalse)
		})
		Convey("a service without VMs here is not missed", func() {
			o.SetFleet(map[string]int{"b": 3})
			So(o.IsCall("call"), ShouldBeFalse)
		})
	})
}
