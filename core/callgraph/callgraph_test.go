package callgraph

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against classifying requests of clients as calls, and calls as requests of clients.
func TestIsCall(t *testing.T) {
	Convey("Given clients on the VMs of four services and a call from one of them, only the call is detected", t, func() {
		o, random := New(), rand.New(rand.NewPCG(1, 2))
		o.SetOriginVMs(map[string]int{"a": 3, "b": 3, "c": 3, "d": 3})
		services := []string{"a", "b", "c", "d"}
		for range 200 {
			o.Observe("client", services[random.IntN(4)])
			o.Observe("call", "b")
		}
		So(o.Classify("client"), ShouldEqual, Client)
		So(o.Classify("call"), ShouldEqual, Call)
		Convey("a kind with too few requests is neither", func() {
			o.Observe("new", "a")
			So(o.Classify("new"), ShouldEqual, Unknown)
			So(o.Classify("never seen"), ShouldEqual, Unknown)
		})
		Convey("a service without VMs is not expected to send requests", func() {
			o.SetOriginVMs(map[string]int{"b": 3})
			So(o.Classify("call"), ShouldEqual, Client)
		})
	})
}
