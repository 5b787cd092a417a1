package admission

import (
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a slow recovery after a pause of the process: runs that were in
// progress look as long as the pause, which cut the limit and refused requests as
// too late, and the arrivals that queued up lowered the threshold.
func TestResumeAfterPause(t *testing.T) {
	Convey("After a pause of 5 s with all slots in use", t, func() {
		now := time.Unix(1000, 0)
		c := New(Config{Slots: 32})
		start := func() []uuid.UUID {
			var ids []uuid.UUID
			for range 32 {
				id := uuid.New()
				if d := c.Arrive(now, Request{ID: id, Kind: "read", Priority: readRank}); d.Verdict == Start {
					ids = append(ids, id)
				}
			}
			return ids
		}
		for range 20 {
			ids := start()
			now = now.Add(20 * time.Millisecond)
			for _, id := range ids {
				c.Done(now, id, Outcome{Latency: 20 * time.Millisecond})
			}
		}
		ids := start()
		now = now.Add(5 * time.Second)
		c.ResumeAfterPause(now)
		for _, id := range ids {
			c.Done(now, id, Outcome{Latency: 5 * time.Second})
		}
		for range 400 {
			c.Arrive(now, Request{ID: uuid.New(), Kind: "read", Priority: readRank})
		}
		Convey("the limit and the typical run time are those from before the pause", func() {
			So(c.Stats().Limit, ShouldEqual, 32)
			d := c.Arrive(now, Request{ID: uuid.New(), Kind: "read", Priority: 0, Deadline: now.Add(time.Second)})
			So(d.Code, ShouldEqual, 0)
		})
		Convey("the burst is not counted in the arrival rates", func() {
			c.Tick(now.Add(updateInterval))
			So(c.threshold.arrivalRates[readRank], ShouldBeLessThan, 100)
		})
	})
}
