package exchange

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// trafficLimit is the control traffic, sent and received together, that the design page
// allows per daemon, in bytes per second.
const trafficLimit = 3000

// Guards against control traffic above the limit of the design page, from digests or
// from the framing of new connections, with and without a list of VMs.
func TestTrafficPerDaemon(t *testing.T) {
	Convey("Traffic stays below the limit on real connections", t, func() {
		for _, test := range []struct {
			daemons  int
			withList bool
		}{{12, true}, {48, false}} {
			c := newClock()
			f := newFleet(t, test.daemons, c.now)
			f.withList()
			f.run(c, time.Second, never)
			if !test.withList {
				for _, e := range f.endpoints {
					e.node.SetVMs(f.now(), nil)
				}
			}
			f.run(c, 31*time.Second, never) // changes have priority in digests for 30 s
			f.sent.Store(0)
			length := 10 * time.Second
			f.run(c, length, never)
			perSecond := float64(f.sent.Load()) / length.Seconds() / float64(test.daemons)
			t.Logf("daemons=%d list=%v sent_bytes_per_daemon_s=%.0f", test.daemons, test.withList, perSecond)
			So(2*perSecond, ShouldBeLessThan, trafficLimit)
			f.close()
		}
	})
}
