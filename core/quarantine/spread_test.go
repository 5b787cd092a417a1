package quarantine

import (
	"math/rand/v2"
	"testing"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a cost for each daemon that grows with the fleet, and against daemons that do not
// learn of a crash within seconds.
func TestSpreadOfReports(t *testing.T) {
	// As mesh sends them. Six exchanges take 3 s, after which the runs of a request count.
	const fanOut, exchanged = 4, 64
	Convey("Each daemon sends a crash to four peers at most, and all know it after a few exchanges", t, func() {
		for _, size := range []int{12, 100, 720} {
			random := rand.New(rand.NewPCG(uint64(size), 1))
			trackers := make([]*Tracker, size)
			for i := range trackers {
				trackers[i] = New(Config{})
			}
			sent, hops := make([]int, size), 0
			pending := map[int][]Report{0: crashWith(trackers[0], atSecond(1), 5, 6, 7)}
			for ; len(pending) > 0; hops++ {
				next := map[int][]Report{}
				for from, reports := range pending {
					for range fanOut {
						sent[from]++
						to := random.IntN(size)
						if added := trackers[to].Merge(atSecond(1), reports); len(added) > 0 {
							next[to] = append(next[to], added...)
						}
					}
				}
				pending = next
			}
			known := func() (n int) {
				for _, tracker := range trackers {
					if tracker.Check(atSecond(1), 5) == Isolate {
						n++
					}
				}
				return n
			}
			pushed, rounds := known(), 0
			for ; known() < size && rounds < 10; rounds++ {
				for i, tracker := range trackers {
					if tracker.Len() > 0 {
						peer := trackers[random.IntN(size)]
						own := tracker.Reports(atSecond(1), exchanged)
						trackers[i].Merge(atSecond(1), peer.Reports(atSecond(1), exchanged))
						peer.Merge(atSecond(1), own)
					}
				}
			}
			most := 0
			for _, n := range sent {
				most = max(most, n)
			}
			t.Logf("%d daemons: %d know after %d hops, all after %d exchanges more; at most %d messages sent by one", size, pushed, hops, rounds, most)
			So(most, ShouldBeLessThanOrEqualTo, fanOut)
			So(float64(pushed), ShouldBeGreaterThan, 0.9*float64(size))
			So(rounds, ShouldBeLessThanOrEqualTo, 6)
		}
	})
}

func BenchmarkMerge(b *testing.B) {
	tracker := New(Config{})
	b.ReportAllocs()
	for i := range b.N {
		incarnation := uuid.New()
		reports := make([]Report, 0, 36)
		for fp := range uint64(36) {
			reports = append(reports, Report{Fingerprint: uint64(i)*36 + fp, Incarnation: incarnation, At: atSecond(1), Suspects: 36})
		}
		tracker.Merge(atSecond(1), reports)
	}
}
