package workgroup

import (
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a goroutine that is started concurrently with Cancel and that Wait does not
// wait for.
func TestNothingStartsAfterCancel(t *testing.T) {
	Convey("After Wait, all goroutines have returned and no more are started", t, func() {
		for range 50 {
			g := New()
			var running, started atomic.Int32
			var callers sync.WaitGroup
			for range 8 {
				callers.Go(func() {
					g.Go(func() {
						started.Add(1)
						running.Add(1)
						<-g.Context().Done()
						running.Add(-1)
					})
				})
			}
			g.Cancel()
			g.Wait()
			So(running.Load(), ShouldEqual, 0)
			before := started.Load()
			callers.Wait()
			g.Go(func() { started.Add(1) })
			So(started.Load(), ShouldEqual, before)
		}
	})
}
