package watchers

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a number of reads that is as large as that of changes while a fleet starts, and against
// a change that is delayed beyond a small part of the time in which it must be in force.
func TestPausesOfStartingFleet(t *testing.T) {
	Convey("Given a watch from which a change comes every 100 ms for 10 s, then one after a quiet time", t, func() {
		var pauses Pauses
		reads, latest := 0, time.Duration(0)
		now := start
		for next := start; next.Before(start.Add(10 * time.Second)); {
			if now.Before(next) {
				now = next // the watch returns with the next change
			}
			reads++
			latest = max(latest, now.Sub(next))
			for !next.After(now) {
				next = next.Add(100 * time.Millisecond)
			}
			now = now.Add(pauses.Next(now))
		}
		Convey("less than a third of the changes are read by themselves", func() {
			So(reads, ShouldBeLessThan, 33)
		})
		Convey("none waits longer than the largest pause, and the first of the next group is read at once", func() {
			So(latest, ShouldBeLessThanOrEqualTo, maxPause)
			So(pauses.Next(now.Add(time.Second)), ShouldEqual, minPause)
		})
	})
}
