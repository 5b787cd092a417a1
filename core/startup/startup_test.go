package startup

import (
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a start that is given up at once or never, and against a log line for each attempt.
func TestStep(t *testing.T) {
	Convey("A step is given up after the limit, and an error counts as new only if it has changed", t, func() {
		first, second := errors.New("file missing"), errors.New("field missing")
		now := time.Unix(1000, 0)
		var s Step
		check := func(after time.Duration, err error, wantChanged, wantOver bool) {
			changed, over := s.Failed(now.Add(after), err)
			So(changed, ShouldEqual, wantChanged)
			So(over, ShouldEqual, wantOver)
		}
		check(0, first, true, false)
		check(Interval, first, false, false)
		check(2*Interval, second, true, false)
		check(Limit-1, first, true, false)
		check(Limit, first, false, true)
	})
}
