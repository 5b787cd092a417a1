package quarantine

import (
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"
)

var testStart = time.UnixMilli(1_700_000_000_000)

func atSecond(n int) time.Time { return testStart.Add(time.Duration(n) * time.Second) }

// crashWith starts a call of each fingerprint and reports that the backend server
// died while they ran.
func crashWith(tracker *Tracker, at time.Time, fps ...uint64) []Report {
	for _, fp := range fps {
		tracker.CallStarted(fp, uuid.New())
	}
	return tracker.BackendCrashed(at, uuid.New())
}

// Guards against counting one crash twice, which would refuse a request early.
func TestReportsAreASet(t *testing.T) {
	Convey("Three crashes of distinct incarnations lead to a refusal, repeated reports of one crash do not", t, func() {
		tracker, peer := New(Config{}), New(Config{})
		So(tracker.Check(atSecond(0), 5), ShouldEqual, Allow)
		reports := crashWith(tracker, atSecond(1), 5, 6)
		So(reports, ShouldHaveLength, 2)
		for range 5 {
			peer.Merge(atSecond(1), reports)
		}
		So(peer.Merge(atSecond(1), reports), ShouldBeEmpty)
		So(tracker.Merge(atSecond(1), reports), ShouldBeEmpty)
		So(peer.Check(atSecond(1), 5), ShouldEqual, Isolate)
		crashWith(tracker, atSecond(2), 5)
		So(tracker.Check(atSecond(2), 5), ShouldEqual, Isolate)
		crashWith(tracker, atSecond(3), 5)
		So(tracker.Check(atSecond(3), 5), ShouldEqual, Refuse)
		peer.Merge(atSecond(3), tracker.Reports(atSecond(3), 16))
		So(peer.Check(atSecond(3), 5), ShouldEqual, Refuse)
		So(peer.Check(atSecond(3), 6), ShouldEqual, Isolate)
	})
}

// Guards against refusing a harmless request that only ran at the same time as the
// cause of a crash.
func TestHarmlessRequestsAreNotRefused(t *testing.T) {
	Convey("A request that ran at the same time as two causes is not refused", t, func() {
		tracker := New(Config{})
		for n := range 4 {
			crashWith(tracker, atSecond(n), 5, uint64(6+n%2))
		}
		So(tracker.Check(atSecond(4), 5), ShouldEqual, Isolate)
	})
	Convey("A refusal is accepted without its evidence, and a newer clearance voids it", t, func() {
		peer := New(Config{})
		refusal := Report{Fingerprint: 5, At: atSecond(3), Refused: true}
		So(peer.Merge(atSecond(4), []Report{refusal, refusal}), ShouldHaveLength, 1)
		So(peer.Check(atSecond(4), 5), ShouldEqual, Refuse)
		peer.Merge(atSecond(5), []Report{{Fingerprint: 5, At: atSecond(5), Cleared: true}, refusal})
		So(peer.Check(atSecond(5), 5), ShouldEqual, Allow)
	})
	Convey("Suspects of the same crashes are only isolated until a crash with one of them alone", t, func() {
		tracker, peer := New(Config{}), New(Config{})
		for n := range 3 {
			crashWith(tracker, atSecond(n), 5, 6)
		}
		So(tracker.Check(atSecond(3), 5), ShouldEqual, Isolate)
		So(tracker.Check(atSecond(3), 6), ShouldEqual, Isolate)
		crashWith(tracker, atSecond(4), 5)
		So(tracker.Check(atSecond(4), 5), ShouldEqual, Refuse)
		So(tracker.Check(atSecond(4), 6), ShouldEqual, Isolate)
		Convey("also at a daemon that has no reports of the cause", func() {
			for _, r := range tracker.Reports(atSecond(4), 100) {
				if r.Fingerprint == 6 {
					peer.Merge(atSecond(4), []Report{r})
				}
			}
			So(peer.Check(atSecond(4), 6), ShouldEqual, Isolate)
		})
	})
}

// Guards against a harmless request that stays isolated, or becomes a suspect
// again, because a peer still sends the reports that an answered run has voided.
func TestAnswerClears(t *testing.T) {
	Convey("A clearance voids older reports, whichever of them arrives first", t, func() {
		tracker, peer, late := New(Config{}), New(Config{}), New(Config{})
		reports := crashWith(tracker, atSecond(1), 5)
		peer.Merge(atSecond(1), reports)
		call := uuid.New()
		peer.Check(atSecond(2), 5)
		peer.CallStarted(5, call)
		clearance := peer.CallEnded(call, true)
		So(clearance, ShouldHaveLength, 1)
		So(peer.Check(atSecond(2), 5), ShouldEqual, Allow)
		peer.Merge(atSecond(3), reports)
		So(peer.Check(atSecond(3), 5), ShouldEqual, Allow)
		So(tracker.Merge(atSecond(3), clearance), ShouldHaveLength, 1)
		So(tracker.Check(atSecond(3), 5), ShouldEqual, Allow)
		late.Merge(atSecond(3), clearance)
		late.Merge(atSecond(3), reports)
		So(late.Check(atSecond(3), 5), ShouldEqual, Allow)
		crashWith(late, atSecond(4), 5)
		So(late.Check(atSecond(4), 5), ShouldEqual, Isolate)
	})
	Convey("A run that ended without an answer does not clear its fingerprint", t, func() {
		tracker := New(Config{})
		crashWith(tracker, atSecond(1), 5)
		call := uuid.New()
		tracker.CallStarted(5, call)
		So(tracker.CallEnded(call, false), ShouldBeEmpty)
		So(tracker.Check(atSecond(2), 5), ShouldEqual, Isolate)
	})
	Convey("A clearance from the far future is not accepted", t, func() {
		tracker := New(Config{})
		So(tracker.Merge(atSecond(1), []Report{{Fingerprint: 5, At: atSecond(3600), Cleared: true}}), ShouldBeEmpty)
		crashWith(tracker, atSecond(1), 5)
		So(tracker.Check(atSecond(1), 5), ShouldEqual, Isolate)
	})
}

// Guards against unbounded memory, and against a caller that gets a quarantined
// request out of the table by sending many others.
func TestBounds(t *testing.T) {
	Convey("Many suspects do not evict a refused fingerprint", t, func() {
		tracker := New(Config{MaxEntries: 40})
		for n := range 3 {
			crashWith(tracker, atSecond(n), 5)
		}
		So(tracker.Check(atSecond(3), 5), ShouldEqual, Refuse)
		for fp := uint64(100); fp < 1000; fp++ {
			crashWith(tracker, atSecond(4), fp, fp+5000, fp+9000)
			crashWith(tracker, atSecond(4), fp)
		}
		So(tracker.Len(), ShouldEqual, 40)
		So(tracker.crashes.arrivalOrder.Len(), ShouldEqual, 10)
		So(tracker.Check(atSecond(4), 5), ShouldEqual, Refuse)
	})
	Convey("A table full of refused fingerprints accepts no others", t, func() {
		tracker := New(Config{MaxEntries: 2})
		for n := range 6 {
			crashWith(tracker, atSecond(n), uint64(5+n/3))
		}
		So(tracker.Check(atSecond(6), 5), ShouldEqual, Refuse)
		crashWith(tracker, atSecond(7), 100)
		So(tracker.Check(atSecond(7), 100), ShouldEqual, Allow)
		So(tracker.Check(atSecond(7), 5), ShouldEqual, Refuse)
		So(tracker.Check(atSecond(7), 6), ShouldEqual, Refuse)
	})
	Convey("Reports of crashes with unknown suspects make room for crashes whose suspects are known", t, func() {
		tracker := New(Config{})
		for n := range 20 {
			tracker.Merge(atSecond(n), []Report{{Fingerprint: 5, Incarnation: uuid.New(), At: atSecond(n), Suspects: 9, Repeated: n > 0}})
		}
		So(tracker.Check(atSecond(20), 5), ShouldEqual, Isolate)
		crashWith(tracker, atSecond(21), 5)
		So(tracker.Check(atSecond(21), 5), ShouldEqual, Refuse)
	})
	Convey("Entries and crashes expire", t, func() {
		tracker := New(Config{TTL: time.Minute})
		for n := range 3 {
			crashWith(tracker, atSecond(n), 5, uint64(10+n))
		}
		So(tracker.Check(atSecond(61), 5), ShouldEqual, Refuse)
		So(tracker.Check(atSecond(63), 5), ShouldEqual, Allow)
		So(tracker.Len(), ShouldEqual, 0)
		So(tracker.Reports(atSecond(63), 16), ShouldBeEmpty)
		So(tracker.crashes.arrivalOrder.Len(), ShouldEqual, 0)
	})
	Convey("Repeated calls of Reports return all entries", t, func() {
		tracker := New(Config{})
		for fp := range uint64(40) {
			crashWith(tracker, atSecond(1), fp)
		}
		seen := map[uint64]bool{}
		for range 3 {
			for _, r := range tracker.Reports(atSecond(2), 16) {
				seen[r.Fingerprint] = true
			}
		}
		So(seen, ShouldHaveLength, 40)
	})
}

func BenchmarkCheck(b *testing.B) {
	tracker := New(Config{})
	for n := range 3 {
		for fp := range uint64(1000) {
			tracker.CallStarted(fp*uint64(n+1), uuid.New())
		}
		tracker.BackendCrashed(atSecond(n), uuid.New())
	}
	now := atSecond(4)
	b.ReportAllocs()
	for i := range b.N {
		tracker.Check(now, uint64(i)%4000)
	}
}

// Guards against refusing a popular request because several servers that ran it were lost at once.
func TestServersLostAtOnce(t *testing.T) {
	Convey("Given four servers that crash at the same time while they run request 5 and others", t, func() {
		trackers := []*Tracker{New(Config{}), New(Config{}), New(Config{}), New(Config{})}
		var reports []Report
		for i, tracker := range trackers {
			tracker.CallStarted(5, uuid.New())
			tracker.CallStarted(uint64(100+i), uuid.New())
		}
		for _, tracker := range trackers {
			reports = append(reports, tracker.BackendCrashed(atSecond(1), uuid.New())...)
		}
		for _, tracker := range trackers {
			tracker.Merge(atSecond(1), reports)
		}
		Convey("the request runs alone and is not refused", func() {
			So(trackers[0].Check(atSecond(2), 5), ShouldEqual, Isolate)
		})
		Convey("it is refused after two further crashes, each under a run that started as a suspect", func() {
			for i, expected := range []Verdict{Isolate, Refuse} {
				at := atSecond(2 + i)
				trackers[i].CallStarted(5, uuid.New())
				reports := trackers[i].BackendCrashed(at, uuid.New())
				for _, tracker := range trackers {
					tracker.Merge(at, reports)
					So(tracker.Check(at, 5), ShouldEqual, expected)
				}
			}
		})
	})
}

// Guards against overlooking a call that crashes the backend server after its caller has left, and
// against suspecting one that can no longer run.
func TestAbandonedCalls(t *testing.T) {
	Convey("An abandoned call is a suspect until its time is over", t, func() {
		tracker := New(Config{})
		for fp := range uint64(3) {
			id := uuid.New()
			tracker.CallStarted(fp, id)
			tracker.CallAbandoned(atSecond(0), id, atSecond(int(3-fp)))
		}
		reports := tracker.BackendCrashed(atSecond(2), uuid.New())
		So(reports, ShouldHaveLength, 1)
		So(reports[0].Fingerprint, ShouldEqual, 0)
		So(tracker.BackendCrashed(atSecond(2), uuid.New()), ShouldBeEmpty)
	})
	Convey("Abandoned calls are bounded, and forgotten after their time", t, func() {
		tracker := New(Config{})
		for fp := range uint64(3 * maxAbandoned) {
			id := uuid.New()
			tracker.CallStarted(fp, id)
			tracker.CallAbandoned(atSecond(0), id, atSecond(1))
		}
		So(tracker.running, ShouldHaveLength, maxAbandoned)
		for range maxAbandoned/expirePerCall + 1 {
			tracker.Check(atSecond(1), 1)
		}
		So(tracker.running, ShouldBeEmpty)
	})
}

// Guards against a cause that is never refused because it ran beside another one at many servers
// before any crash was known, and beside requests that are not sent again after that.
func TestCausesThatRanTogether(t *testing.T) {
	Convey("Each of two causes is refused after its first crashes and two more", t, func() {
		for servers := 1; servers <= 30; servers++ {
			tracker := New(Config{})
			var first []Report
			for range servers {
				first = append(first, crashWith(New(Config{}), atSecond(1), 5, 6)...)
			}
			tracker.Merge(atSecond(1), first)
			for n, fp := range []uint64{5, 6, 5, 6} {
				So(tracker.Check(atSecond(2+n), fp), ShouldEqual, Isolate)
				crashWith(tracker, atSecond(2+n), fp, uint64(100+n))
			}
			So(tracker.Check(atSecond(9), 5), ShouldEqual, Refuse)
			So(tracker.Check(atSecond(9), 6), ShouldEqual, Refuse)
			So(tracker.Check(atSecond(9), 100), ShouldEqual, Isolate)
		}
	})
}

func BenchmarkRefusalDecision(b *testing.B) {
	tracker := New(Config{})
	unique := uint64(1000)
	for n := range reportsPerThreshold * DefaultThreshold {
		suspects := []uint64{5, 6}
		for range 34 {
			unique++
			suspects = append(suspects, unique)
		}
		crashWith(tracker, atSecond(n), suspects...)
	}
	b.ReportAllocs()
	for range b.N {
		tracker.evidenceVersion++
		tracker.Check(atSecond(20), 5)
	}
}
