package slots

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func isolatedRequest(id uint64, mayQueue bool) Request {
	r := request(id, 1, mayQueue)
	r.Isolated, r.Fingerprint = true, id
	return r
}

// Guards against two suspects of a crash that run at once, and against requests that wait for a
// suspect although slots are free.
func TestIsolatedRequests(t *testing.T) {
	Convey("Given a server with 10 slots of which one runs an isolated request", t, func() {
		l := limiterWithRuns(10, 100*time.Millisecond)
		So(l.Admit(start, isolatedRequest(1, false)).Verdict, ShouldEqual, Start)
		So(l.Admit(start, isolatedRequest(2, false)).Reason, ShouldEqual, NoRoom)
		So(l.Admit(start, isolatedRequest(3, true)), ShouldResemble, Decision{Verdict: Wait, Wait: 100 * time.Millisecond})
		So(l.Admit(start, isolatedRequest(4, true)), ShouldResemble, Decision{Verdict: Wait, Wait: 200 * time.Millisecond})
		Convey("copies of a request are expected to wait for one run, and start when they are no longer isolated", func() {
			for id := uint64(20); id < 40; id++ {
				r := isolatedRequest(id, true)
				r.Fingerprint = 1
				So(l.Admit(start, r), ShouldResemble, Decision{Verdict: Wait, Wait: 300 * time.Millisecond})
			}
			l.IsolateWaiting(func(fingerprint uint64) bool { return fingerprint != 1 })
			So(l.Tick(start), ShouldHaveLength, 8) // the other slots
		})
		Convey("less important requests start beside it and before queued isolated ones", func() {
			So(l.Admit(start, request(5, 2, false)).Verdict, ShouldEqual, Start)
			So(l.Tick(start), ShouldBeEmpty)
		})
		Convey("its end starts the next isolated request only", func() {
			events := l.Done(start, 1, Outcome{Elapsed: 100 * time.Millisecond})
			So(events, ShouldHaveLength, 1)
			So(events[0].ID, ShouldEqual, 3)
			So(events[0].Decision.Verdict, ShouldEqual, Start)
			l.Cancel(4)
			So(l.Release(start, 3), ShouldBeEmpty)
			So(l.Admit(start, isolatedRequest(6, false)).Verdict, ShouldEqual, Start)
		})
		Convey("a queued request that becomes a suspect waits for it", func() {
			for i := range uint64(20) {
				l.Admit(start, request(100+i, 0, false))
			}
			suspect := request(7, 0, true)
			suspect.Fingerprint = 7
			So(l.Admit(start, suspect).Verdict, ShouldEqual, Wait)
			l.IsolateWaiting(func(fingerprint uint64) bool { return fingerprint > 0 })
			So(l.Done(start, 100, Outcome{Elapsed: 100 * time.Millisecond}), ShouldBeEmpty)
			So(l.Done(start, 1, Outcome{Elapsed: 100 * time.Millisecond})[0].ID, ShouldEqual, 7)
		})
	})
}
