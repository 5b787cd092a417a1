package sockread

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against bytes that are given up because they are read after the deadline, and against a read
// that does not end at its deadline.
func TestReadAfterDeadline(t *testing.T) {
	Convey("Given a connection whose read deadline is over", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		sender, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer sender.Close()
		conn, err := l.Accept()
		So(err, ShouldBeNil)
		defer conn.Close()
		So(conn.SetReadDeadline(time.Now()), ShouldBeNil)
		r := NewReader(conn)
		data := make([]byte, 8)
		Convey("a read returns what has arrived, then fails, and reports the end", func() {
			_, err := io.WriteString(sender, "bytes")
			So(err, ShouldBeNil)
			time.Sleep(20 * time.Millisecond)
			n, err := r.Read(data)
			So(err, ShouldBeNil)
			So(string(data[:n]), ShouldEqual, "bytes")
			_, err = r.Read(data)
			So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeTrue)
			So(sender.Close(), ShouldBeNil)
			time.Sleep(20 * time.Millisecond)
			_, err = r.Read(data)
			So(err, ShouldEqual, io.EOF)
		})
	})
}
