package fleetclock

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a daemon with a wrong clock that disagrees with the others, or misleads them.
func TestNow(t *testing.T) {
	Convey("Given four daemons, one of which is 5 minutes ahead", t, func() {
		start, right := time.Now(), time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
		ahead := right.Add(5 * time.Minute)
		Convey("it follows the others", func() {
			var c Clock
			So(c.Now(start, ahead), ShouldEqual, ahead)
			for i := range 3 {
				c.Observe(fmt.Sprint(i), start, right)
			}
			later := 90 * time.Second
			So(c.Now(start.Add(later), ahead.Add(later)), ShouldEqual, right.Add(later))
			Convey("also when its own clock is set", func() {
				So(c.Now(start.Add(later), right.Add(-time.Hour)), ShouldEqual, right.Add(later))
			})
			Convey("and forgets them when they have not stated a time for long", func() {
				So(c.Now(start.Add(maxAge+1), ahead), ShouldEqual, ahead)
			})
		})
		Convey("the others don't follow it", func() {
			var c Clock
			c.Observe("ahead", start, ahead)
			c.Observe("right", start, right)
			So(c.Now(start, right), ShouldEqual, right)
			Convey("however often it states its time", func() {
				for range 2 * maxSources {
					c.Observe("ahead", start, ahead)
				}
				So(c.Now(start, right), ShouldEqual, right)
				So(c.samples, ShouldHaveLength, 2)
			})
		})
		Convey("two daemons agree on the middle", func() {
			var a, b Clock
			a.Observe("b", start, ahead)
			b.Observe("a", start, right)
			So(a.Now(start, right), ShouldEqual, b.Now(start, ahead))
		})
		Convey("the clocks of a large fleet are bounded", func() {
			var c Clock
			for i := range 1000 {
				c.Observe(fmt.Sprint(i), start, right)
			}
			So(c.samples, ShouldHaveLength, maxSources)
		})
	})
}
