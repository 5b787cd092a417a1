package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestDownstreamTime guards against a concurrency limit that is lowered because a
// downstream service is slow: the wait for open downstream calls must not count as
// latency of the local backend server, and overlapping calls must not count twice.
func TestDownstreamTime(t *testing.T) {
	Convey("Only the time with an open downstream call counts", t, func() {
		start := time.Unix(0, 0)
		at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
		r := new(run)
		r.childOpened(at(10))
		r.childOpened(at(20))
		r.childEnded(at(30))
		So(r.downstream(at(35)), ShouldEqual, 25*time.Millisecond)
		r.childEnded(at(40))
		So(r.downstream(at(90)), ShouldEqual, 30*time.Millisecond)
		r.childOpened(at(100))
		r.childEnded(at(105))
		So(r.downstream(at(200)), ShouldEqual, 35*time.Millisecond)
	})
}
