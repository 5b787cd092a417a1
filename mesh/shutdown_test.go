package mesh

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a connection that a closing daemon accepts and leaves open: calls on it wait in vain, and
// count as possibly run.
func TestConnectionAcceptedWhileClosing(t *testing.T) {
	Convey("A connection of a peer that is accepted after the daemon has begun to close ends", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		d := New(Options{HeaderConvention: conventionStub{}})
		d.workers.Cancel()
		go d.servePeers(l)
		c, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer c.Close()
		So(c.SetReadDeadline(time.Now().Add(time.Second)), ShouldBeNil)
		_, err = c.Read(make([]byte, 1))
		So(err, ShouldEqual, io.EOF)
	})
}
