package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
)

const readRank = 8 * callmeta.LevelsPerRank

// addInterval adds one interval with perLevel arrivals at each level of the read rank
// that lies below the priority given, and with a number of completions.
func addInterval(t *threshold, now *time.Time, belowPriority, perLevel, completed int, o occupancy) {
	for level := range callmeta.LevelsPerRank {
		if readRank+level < belowPriority {
			for range perLevel {
				t.arrive(readRank + level)
			}
		}
	}
	t.completed = completed
	*now = now.Add(updateInterval)
	t.update(*now, o)
}

// Guards against a threshold that oscillates between refusing and admitting
// everything: one long queue must not lower it to 0, and a drop in arrivals because
// callers refuse requests early must not be taken for the end of the overload.
func TestThresholdUnderReads(t *testing.T) {
	Convey("With four times as many reads arriving as complete", t, func() {
		th, now := threshold{value: callmeta.MaxPriority}, time.Unix(1000, 0)
		th.intervalStart = now
		full := occupancy{limit: 32, queued: 16, targetQueued: 8}
		for range 40 {
			addInterval(&th, &now, callmeta.MaxPriority, 4, callmeta.LevelsPerRank, full)
		}
		steadyValue := th.value
		So(steadyValue, ShouldBeBetween, readRank, readRank+callmeta.LevelsPerRank/2)

		Convey("a queue that is full for one interval leaves at least half of the completing reads admitted", func() {
			addInterval(&th, &now, th.value, 4, callmeta.LevelsPerRank, occupancy{limit: 32, queued: 64, targetQueued: 8})
			So(th.value, ShouldBeGreaterThanOrEqualTo, readRank+callmeta.LevelsPerRank/8-1)
		})
		Convey("early refusals by callers leave the threshold in the same range", func() {
			for range 20 {
				addInterval(&th, &now, steadyValue, 4, callmeta.LevelsPerRank, occupancy{limit: 32, queued: 8, targetQueued: 8})
			}
			So(th.value, ShouldBeBetween, readRank, readRank+callmeta.LevelsPerRank/2)
		})
		Convey("the threshold admits all priorities within a second after the overload", func() {
			for range int(time.Second / updateInterval) {
				addInterval(&th, &now, readRank+4, 1, 4, occupancy{limit: 32, free: 30, targetQueued: 8})
			}
			So(th.value, ShouldEqual, callmeta.MaxPriority)
		})
	})
}
