package membership

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	configTarget  = 5 * time.Second
	leavingTarget = 2 * time.Second
	// bytesTarget is the control traffic that the design allows per daemon.
	bytesTarget = 3 * 1024
	testSeed    = 20300101
)

// Guards against changes that spread too slowly, and against control traffic that grows
// with the fleet, at any planned fleet size.
func TestChangesSpreadInTime(t *testing.T) {
	Convey("A configuration and a leaving record spread within their targets", t, func() {
		for _, n := range []int{12, 48, 144, 720} {
			f := newFleet(n, testSeed)
			f.run(2*time.Second, func() bool { return false })
			messages, traffic := f.measureIdle(3 * time.Second)
			configTime, leavingTime := f.measureSpread()
			t.Logf("seed=%d daemons=%d config_s=%.2f leaving_s=%.2f messages_per_daemon_s=%.1f bytes_per_daemon_s=%.0f bytes_per_message=%.0f type_bytes_per_connection=%d",
				testSeed, n, configTime.Seconds(), leavingTime.Seconds(), messages, traffic, traffic/messages, typeSize)
			So(configTime, ShouldBeLessThan, configTarget)
			So(leavingTime, ShouldBeLessThan, leavingTarget)
			So(traffic, ShouldBeLessThan, bytesTarget)
		}
	})
}

// measureSpread puts a configuration in force at one daemon, then makes another leave.
// It returns how long the configuration took to reach all daemons and the leaving
// record to reach all callers.
func (f *fleet) measureSpread() (configTime, leavingTime time.Duration) {
	n := len(f.daemons)
	first, leaver := f.rng.IntN(n), f.rng.IntN(n)
	f.applyConfig(f.daemons[first], 2)
	configTime = f.run(time.Minute, f.allHaveVersion(2))
	f.leave(leaver)
	return configTime, f.run(time.Minute, f.callersSeeLeaving(leaver))
}

// Guards against dissemination that fails when single messages are lost.
func TestChangesSpreadUnderLoss(t *testing.T) {
	Convey("With 30% of messages lost both targets are still met", t, func() {
		for _, n := range []int{12, 48, 144, 720} {
			f := newFleet(n, testSeed+1)
			f.lossRate = 0.3
			f.run(3*time.Second, func() bool { return false })
			configTime, leavingTime := f.measureSpread()
			t.Logf("seed=%d loss=0.3 daemons=%d config_s=%.2f leaving_s=%.2f", testSeed+1, n, configTime.Seconds(), leavingTime.Seconds())
			So(configTime, ShouldBeLessThan, configTarget)
			So(leavingTime, ShouldBeLessThan, leavingTarget)
		}
	})
}

// Guards against daemons that do not learn of a change after a partition has healed,
// and against records that expire everywhere while the parts are disconnected.
func TestChangesSpreadAfterPartition(t *testing.T) {
	Convey("After a partition heals, the changes known to one side reach all daemons", t, func() {
		for _, n := range []int{12, 48, 144, 720} {
			f := newFleet(n, testSeed+2)
			f.partitioned = true
			f.applyConfig(f.daemons[0], 2)
			f.leave(1)
			// Longer than GracePeriod where that does not take long under the race detector.
			length := map[int]time.Duration{12: 5 * time.Minute, 48: 90 * time.Second, 144: 10 * time.Second, 720: 3 * time.Second}[n]
			f.run(length, func() bool { return false })
			So(f.allHaveVersion(2)(), ShouldBeFalse)
			f.partitioned = false
			configTime := f.run(time.Minute, f.allHaveVersion(2))
			leavingTime := configTime + f.run(time.Minute, f.callersSeeLeaving(1))
			t.Logf("seed=%d partition=%s daemons=%d config_s=%.2f leaving_at_most_s=%.2f", testSeed+2, length, n, configTime.Seconds(), leavingTime.Seconds())
			So(configTime, ShouldBeLessThan, configTarget)
			So(leavingTime, ShouldBeLessThan, configTarget)
		}
	})
}

// Guards against live VMs that expire when the list is missing for longer than
// GracePeriod, because peers do not refresh their records often enough.
func TestRecordsKeptWithoutList(t *testing.T) {
	Convey("With an empty list the records of all called daemons are kept", t, func() {
		f := newFleet(48, testSeed+3)
		for _, d := range f.daemons {
			d.view.MergeList(f.now, nil)
		}
		_, traffic := f.measureIdle(GracePeriod + 20*time.Second)
		t.Logf("seed=%d daemons=48 list=empty bytes_per_daemon_s=%.0f", testSeed+3, traffic)
		for _, d := range f.daemons {
			for _, service := range d.calls {
				So(d.view.Endpoints(service), ShouldHaveLength, 6)
			}
		}
	})
}
