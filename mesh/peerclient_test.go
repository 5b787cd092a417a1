package mesh

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a connection that stays in use although its peer answers nothing, because each call ends
// before the peer counts as silent.
func TestPeerThatAnswersNoShortCall(t *testing.T) {
	Convey("A new connection is opened to a peer that answers none of several short calls", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		var accepted atomic.Int32
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				accepted.Add(1)
			}
		}()
		d := New(Options{HeaderConvention: conventionStub{}})
		defer d.Close()
		for end := time.Now().Add(4 * time.Second); accepted.Load() < 2 && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			_, err := callPeer[PingReply](ctx, d.peer(l.Addr().String()), "Ping", &PingArgs{})
			cancel()
			So(err, ShouldNotBeNil)
		}
		So(accepted.Load(), ShouldEqual, 2)
	})
}
