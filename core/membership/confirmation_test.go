package membership

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a confirmation by fewer peers than needed, and against one that a small
// or a large fleet can never reach.
func TestConfirmationNeedsMostPeers(t *testing.T) {
	Convey("Most peers, or Fanout of them, have to answer what was sent after the pause", t, func() {
		for livePeers, needed := range map[int]int{0: 1, 1: 1, 2: 2, 3: 2, 4: 3, 5: 3, 6: 4, 720: Fanout} {
			var c Confirmation
			c.Answered(t0, "x")
			So(c.Enough(livePeers), ShouldBeFalse)
			c.Restart(t0)
			c.Answered(t0.Add(-time.Millisecond), "y")
			for i := range needed {
				So(c.Enough(livePeers), ShouldBeFalse)
				c.Answered(t0, string(rune('a'+i)))
				c.Answered(t0, string(rune('a'+i)))
			}
			So(c.Enough(livePeers), ShouldBeTrue)
			c.Restart(t0.Add(time.Second))
			So(c.Enough(livePeers), ShouldBeFalse)
		}
	})
}
