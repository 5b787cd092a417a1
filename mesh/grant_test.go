package mesh

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against attempts that a connection of a peer keeps for its whole life, and calls that
// wait for them, because the grant of a slot was not used in time.
func TestUnusedGrant(t *testing.T) {
	Convey("Given a peer that was granted a slot and does not use it", t, func() {
		d := New(Options{HeaderConvention: conventionStub{}})
		c := &PeerConn{daemon: d, ctx: t.Context(), attempts: make(map[uint64]*localAttempt)}
		var reply Reply
		So(c.Ask(&AskArgs{ID: 1, Left: time.Minute, UntilObjective: time.Second}, &reply), ShouldBeNil)
		So(reply.Outcome, ShouldEqual, OutcomeGranted)
		chunk := make(chan error, 1)
		go func() { chunk <- c.Chunk(&ChunkArgs{ID: 1, Data: []byte("part")}, new(PingReply)) }()
		time.Sleep(grantTimeout + 100*time.Millisecond)
		Convey("the attempt is removed, a part of its body is refused, and a late request is not run", func() {
			So(c.findAttempt(1), ShouldBeNil)
			var err error
			select {
			case err = <-chunk:
			case <-time.After(time.Second):
			}
			So(err, ShouldNotBeNil)
			So(c.Run(&RunArgs{ID: 1}, &reply), ShouldBeNil)
			So(reply.Outcome, ShouldEqual, OutcomeUnsent)
			So(d.load().Running, ShouldEqual, 0)
		})
	})
}
