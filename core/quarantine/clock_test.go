package quarantine

import (
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against reports that count as too old until a clock that was ahead has been reached again.
func TestTimeThatWasWrong(t *testing.T) {
	Convey("A tracker whose time was 20 minutes ahead accepts reports after it is corrected", t, func() {
		now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
		tracker := New(Config{})
		So(tracker.Check(now.Add(20*time.Minute), 1), ShouldEqual, Allow)
		report := Report{Fingerprint: 1, Incarnation: uuid.New(), At: now, Suspects: 1}
		So(tracker.Merge(now, []Report{report}), ShouldHaveLength, 1)
		So(tracker.Check(now, 1), ShouldEqual, Isolate)
	})
}
