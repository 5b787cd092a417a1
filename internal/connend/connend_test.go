package connend

import (
	"io"
	"net"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// connect returns a Conn and its other end.
func connect(t *testing.T) (*Conn, *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	other, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Close()
		_ = other.Close()
	})
	return New(c), other.(*net.TCPConn)
}

// writeUntilError writes until a write fails.
func writeUntilError(c net.Conn) {
	data := make([]byte, 16<<10)
	for err := error(nil); err == nil; {
		_, err = c.Write(data)
	}
}

// Guards against a failed connection that is taken for one that was closed in order, and the reverse.
func TestEndOfConnection(t *testing.T) {
	Convey("After a reset that a write was told of, what arrived is read and then ErrFailed", t, func() {
		c, other := connect(t)
		_, _ = io.WriteString(other, "a part")
		_ = other.SetLinger(0)
		_ = other.Close()
		writeUntilError(c)
		data, err := io.ReadAll(c)
		So(err, ShouldWrap, ErrFailed)
		So(err.Error(), ShouldContainSubstring, "reset")
		So(string(data), ShouldEqual, "a part")
	})
	Convey("It is ErrFailed also if the connection was closed here meanwhile", t, func() {
		c, other := connect(t)
		_ = other.SetLinger(0)
		_ = other.Close()
		writeUntilError(c)
		_ = c.Close()
		_, err := io.ReadAll(c)
		So(err, ShouldWrap, ErrFailed)
	})
	Convey("After an orderly close, a reset that follows is no failure", t, func() {
		c, other := connect(t)
		_, _ = io.WriteString(other, "all of it")
		_ = other.Close()
		writeUntilError(c)
		data, err := io.ReadAll(c)
		So(err, ShouldBeNil)
		So(string(data), ShouldEqual, "all of it")
	})
	Convey("An orderly close is reported while a write is blocked, and ends it", t, func() {
		c, other := connect(t)
		_, _ = io.WriteString(other, strings.Repeat("x", 1<<10))
		_ = other.CloseWrite()
		written := make(chan struct{})
		go func() {
			defer close(written)
			writeUntilError(c)
		}()
		data, err := io.ReadAll(c)
		So(err, ShouldBeNil)
		So(data, ShouldHaveLength, 1<<10)
		<-written
	})
	Convey("A connection that was closed here ends with an error of its own", t, func() {
		c, _ := connect(t)
		_ = c.Close()
		_, err := c.Read(make([]byte, 1))
		So(err, ShouldWrap, net.ErrClosed)
	})
}
