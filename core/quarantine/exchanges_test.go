package quarantine

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against reports that stay on a daemon whose exchanges fail for a time.
func TestExchangesThatFail(t *testing.T) {
	Convey("Exchanges are due until enough have been answered", t, func() {
		var e Exchanges
		So(e.Due(), ShouldBeTrue)
		So(e.Interval(), ShouldEqual, 100*time.Millisecond)
		e.Answered()
		So(e.Due(), ShouldBeFalse)
		So(e.Interval(), ShouldEqual, 500*time.Millisecond)
		e.ReportsAdded()
		for range exchangesAfterReport {
			So(e.Due(), ShouldBeTrue)
			e.Answered()
		}
		So(e.Due(), ShouldBeFalse)
	})
}
