package retry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against more repeats in any window than the share of its requests and the slack.
func TestWindowBudget(t *testing.T) {
	Convey("Given a budget of a fifth and a slack of 3 over 10 s", t, func() {
		b, now := NewWindowBudget(0.2, 3, 10*time.Second), time.Unix(1000, 0)
		allowed := 0
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			b.Request(now)
			if b.Allow(now) {
				allowed++
			}
		}
		So(allowed, ShouldBeBetween, 20, 24)
		Convey("old requests and repeats leave the window", func() {
			now = now.Add(20 * time.Second)
			So([]bool{b.Allow(now), b.Allow(now), b.Allow(now), b.Allow(now)}, ShouldResemble, []bool{true, true, true, false})
		})
		Convey("charged repeats use it up", func() {
			b.Charge(now, 5)
			So(b.Allow(now), ShouldBeFalse)
		})
	})
}
