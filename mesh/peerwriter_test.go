package mesh

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against bytes that are lost, doubled or out of order when a connection takes them in parts, and
// against a write that blocks.
func TestPeerWriterKeepsOrder(t *testing.T) {
	Convey("All bytes arrive in order at a receiver that reads late", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		sender, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer sender.Close()
		So(sender.(*net.TCPConn).SetWriteBuffer(8<<10), ShouldBeNil)
		receiver, err := l.Accept()
		So(err, ShouldBeNil)
		defer receiver.Close()
		for _, conn := range []net.Conn{sender, struct{ net.Conn }{sender}} { // the second has no socket
			w := newPeerWriter(conn, func(f func()) { go f() }, func(error) {})
			var want, got bytes.Buffer
			started := time.Now()
			for i := range 2000 {
				message := bytes.Repeat([]byte{byte(i), byte(i >> 8)}, 1+i%997)
				want.Write(message)
				n, err := w.Write(message)
				if n != len(message) || err != nil {
					t.Fatal(n, err)
				}
			}
			So(time.Since(started), ShouldBeLessThan, time.Second)
			So(w.queuedBytes(), ShouldBeGreaterThan, 0)
			_, err = io.CopyN(&got, receiver, int64(want.Len()))
			So(err, ShouldBeNil)
			So(bytes.Equal(got.Bytes(), want.Bytes()), ShouldBeTrue)
			for w.queuedBytes() > 0 {
				time.Sleep(time.Millisecond)
			}
		}
	})
}
