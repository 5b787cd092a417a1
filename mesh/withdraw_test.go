package mesh

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a request that waits for a slot until its connection is cut, because the peer
// handles the withdrawal of the stopping daemon before the request itself.
func TestWithdrawalBeforeAsk(t *testing.T) {
	Convey("Given a daemon without free slots", t, func() {
		d := New(Options{HeaderConvention: conventionStub{}})
		c := &PeerConn{daemon: d, ctx: t.Context(), attempts: make(map[uint64]*localAttempt)}
		ask := func(id uint64) Outcome {
			var reply Reply
			So(c.Ask(&AskArgs{ID: id, Kind: "k", Left: 2 * time.Second, UntilObjective: time.Second, MayQueue: true}, &reply), ShouldBeNil)
			return reply.Outcome
		}
		d.limiter.SetSlots(1)
		So(ask(1), ShouldEqual, OutcomeGranted)
		Convey("a request whose withdrawal came first is refused at once", func() {
			So(c.Withdraw(&CallID{ID: 2}, new(PingReply)), ShouldBeNil)
			began := time.Now()
			So(ask(2), ShouldEqual, OutcomeLeaving)
			So(time.Since(began), ShouldBeLessThan, 100*time.Millisecond)
		})
	})
}
