package retry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against more retries in any window than the ratio of its requests plus the slack.
func TestWindowBudget(t *testing.T) {
	Convey("A ratio of 0.2 and a slack of 3 over 10 s bound the retries", t, func() {
		b, now := NewWindowBudget(0.2, 3, 10*time.Second), time.Unix(1000, 0)
		allowed := 0
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			b.RecordRequest(now)
			if b.Allow(now) {
				allowed++
			}
		}
		So(allowed, ShouldBeBetween, 20, 24)
		Convey("requests and retries older than the window are not counted", func() {
			now = now.Add(20 * time.Second)
			So([]bool{b.Allow(now), b.Allow(now), b.Allow(now), b.Allow(now)}, ShouldResemble, []bool{true, true, true, false})
		})
		Convey("charged retries use up the budget", func() {
			b.Charge(now, 5)
			So(b.Allow(now), ShouldBeFalse)
		})
	})
}
