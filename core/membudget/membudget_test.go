package membudget

import (
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func isGranted(w *Waiter) bool {
	select {
	case <-w.Granted():
		return true
	default:
		return false
	}
}

// Guards against bodies and pipelined requests that take the room of small requests.
func TestPrioritiesKeepRoom(t *testing.T) {
	Convey("Each priority is granted up to its share", t, func() {
		b := New(100)
		So(b.TryReserve(Requests, Pipelined, 50), ShouldBeTrue)
		So(b.TryReserve(Requests, Pipelined, 1), ShouldBeFalse)
		So(b.TryReserve(Bodies, Large, 10), ShouldBeTrue)
		So(b.TryReserve(Bodies, Large, 1), ShouldBeFalse)
		So(b.HasRoom(Accepted, 30), ShouldBeTrue)
		So(b.HasRoom(Accepted, 31), ShouldBeFalse)
		So(b.HasRoom(NewConnection, 20), ShouldBeTrue)
		So(b.HasRoom(NewConnection, 21), ShouldBeFalse)
		So(b.TryReserve(Requests, First, 40), ShouldBeTrue)
		So(b.TryReserve(Requests, First, 1), ShouldBeFalse)
		So([]int64{b.Used(), b.Held(Requests), b.Held(Bodies), b.Refused()}, ShouldResemble, []int64{100, 90, 10, 5})
	})
	Convey("A nil budget and one without a limit grant everything", t, func() {
		var none *Budget
		So(none.TryReserve(Bodies, Large, 1<<40), ShouldBeTrue)
		So(isGranted(none.Wait(Bodies, Large, 1)), ShouldBeTrue)
		none.Release(Bodies, 1)
		So(New(0).TryReserve(Bodies, Pipelined, 1<<40), ShouldBeTrue)
	})
}

// Guards against a reservation that waits for ever, or that is passed by a later one of its priority.
func TestWaitersAreGrantedInOrder(t *testing.T) {
	Convey("Given two that wait behind a full budget", t, func() {
		b := New(100)
		So(b.TryReserve(Requests, First, 100), ShouldBeTrue)
		large, small := b.Wait(Bodies, Large, 50), b.Wait(Bodies, Large, 1)
		Convey("the first is granted before the second, and a later one does not pass them", func() {
			b.Release(Requests, 60)
			So([]bool{isGranted(large), isGranted(small)}, ShouldResemble, []bool{false, false})
			So(b.TryReserve(Bodies, Large, 1), ShouldBeFalse)
			b.Release(Requests, 39)
			So([]bool{isGranted(large), isGranted(small)}, ShouldResemble, []bool{true, true})
			So(b.Waiting(), ShouldEqual, 0)
		})
		Convey("the second is granted when the first gives up", func() {
			b.Release(Requests, 60)
			So(large.Cancel(), ShouldBeTrue)
			So(isGranted(small), ShouldBeTrue)
			So(small.Cancel(), ShouldBeFalse)
		})
	})
}

// Guards against units that are lost or granted twice by concurrent holders.
func TestConcurrentHoldersLeaveNothing(t *testing.T) {
	Convey("The budget is never exceeded, and empty in the end", t, func() {
		b := New(1000)
		var wg sync.WaitGroup
		for i := range 64 {
			wg.Go(func() {
				n := int64(i%7)*50 + 1
				for range 200 {
					if w := b.Wait(Bodies, First, n); !isGranted(w) && w.Cancel() {
						continue
					}
					if b.Used() > 1000 {
						t.Error("exceeded")
					}
					b.Release(Bodies, n)
				}
			})
		}
		wg.Wait()
		So([]int64{b.Used(), b.Held(Bodies), b.Waiting()}, ShouldResemble, []int64{0, 0, 0})
	})
}

// Guards against clients inside the limits of the deployment that are taken for slow ones.
func TestPaceOfClientsInsideTheLimits(t *testing.T) {
	p := Pace{Bytes: 16384, Time: 3 * time.Second}
	for _, c := range []struct {
		elapsed, silent time.Duration
		bytes           int64
		missed          bool
	}{
		{2999 * time.Millisecond, 2999 * time.Millisecond, 0, false},
		{3 * time.Second, 3 * time.Second, 16384, true},
		{3 * time.Second, time.Second, 16384, false},
		{6 * time.Second, time.Second, 32767, true},
		{6 * time.Second, time.Second, 32768, false},
	} {
		Convey("After "+c.elapsed.String()+" with "+c.silent.String()+" of silence", t, func() {
			So(p.Missed(c.elapsed, c.silent, c.bytes), ShouldEqual, c.missed)
		})
	}
	Convey("Without limits there is no pace", t, func() { So(Pace{}.Missed(time.Hour, time.Hour, 0), ShouldBeFalse) })
}
