package exchange

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// trafficLimit is the control traffic that the design page allows per daemon, in
// bytes per second. It is taken as the sum of what is sent and received.
const trafficLimit = 3000

// Guards against digests, or framing of connections that are opened anew, that
// cost more than the page allows, with and without a list of VMs.
func TestTrafficPerDaemon(t *testing.T) {
	Convey("Traffic stays below the limit on real connections", t, func() {
		for _, test := range []struct {
			daemons int
			listed  bool
		}{{12, true}, {48, false}} {
			c := newClock()
			f := newFleet(t, test.daemons, c.now)
			f.listed()
			f.run(c, time.Second, never)
			if !test.listed {
				for _, e := range f.endpoints {
					e.node.SetVMs(f.now(), nil)
				}
			}
			f.run(c, 31*time.Second, never) // changes are news for 30 s
			f.sent.Store(0)
			length := 10 * time.Second
			f.run(c, length, never)
			perSecond := float64(f.sent.Load()) / length.Seconds() / float64(test.daemons)
			t.Logf("daemons=%d list=%v sent_bytes_per_daemon_s=%.0f", test.daemons, test.listed, perSecond)
			So(2*perSecond, ShouldBeLessThan, trafficLimit)
			f.close()
		}
	})
}
