package directory

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against an upstream that is refused after one wrong answer, or for ever, and against more
// arrivals at the one that replaced it than one in each recheck.
func TestReplacement(t *testing.T) {
	Convey("Given an upstream that was misdirected once", t, func() {
		var r Replacement
		now := time.Unix(1000, 0)
		So(r.RecordMisdirected(now, "u"), ShouldBeFalse)
		So(r.Refuses(now, "u"), ShouldBeFalse)
		Convey("an answer in between starts anew", func() {
			r.RecordAnswered("u")
			So(r.RecordMisdirected(now, "u"), ShouldBeFalse)
			So(r.Refuses(now, "u"), ShouldBeFalse)
		})
		Convey("a second one refuses its requests, but for one in each recheck, and no others", func() {
			So(r.RecordMisdirected(now, "u"), ShouldBeTrue)
			So(r.Refuses(now, "u"), ShouldBeTrue)
			So(r.Refuses(now, "v"), ShouldBeFalse)
			later := now.Add(replacementRecheck)
			So(r.Refuses(later, "u"), ShouldBeFalse)
			So(r.Refuses(later, "u"), ShouldBeTrue)
			r.RecordAnswered("u")
			So(r.Refuses(later, "u"), ShouldBeFalse)
		})
	})
}
