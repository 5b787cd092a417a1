package pipeline

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/internal/acceptloop"
)

// hastyListener accepts connections whose writes fail after hastyWrite.
type hastyListener struct{ net.Listener }

const hastyWrite = 100 * time.Millisecond

// Accept implements net.Listener.
func (l hastyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return hastyConn{c}, err
}

type hastyConn struct{ net.Conn }

// SetWriteDeadline implements net.Conn.
func (c hastyConn) SetWriteDeadline(t time.Time) error {
	return c.Conn.SetWriteDeadline(t.Add(hastyWrite/(writeTimeout/writeInterval) - writeInterval))
}

// Guards against a response that is cut although its caller reads it, because it takes longer than the
// deadline of one write.
func TestResponseReadSlowly(t *testing.T) {
	Convey("A caller that reads a long response slowly gets all of it, one that does not read is cut off", t, func() {
		const size = 16 << 20
		writeErr := make(chan error, 2)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		s := &Server{Limits: func() Limits { return Limits{} }, Reject: func(net.Addr, int, error) {}, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(size))
			_, err := w.Write(make([]byte, size))
			writeErr <- err
		})}
		go s.Serve(acceptloop.New(hastyListener{l}), func(error) {})
		defer s.Close()
		defer l.Close()
		c, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer c.Close()
		So(c.(*net.TCPConn).SetReadBuffer(128<<10), ShouldBeNil) // otherwise the kernel may take all of a response
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		_, _ = io.WriteString(c, "GET /a"+versionAndHost+"\r\n")
		r, err := http.ReadResponse(bufio.NewReaderSize(c, 128<<10), nil)
		So(err, ShouldBeNil)
		received, piece := 0, make([]byte, 128<<10)
		for started := time.Now(); err == nil; {
			var n int
			n, err = r.Body.Read(piece)
			received += n
			if time.Since(started) < 5*hastyWrite {
				time.Sleep(hastyWrite / 10)
			}
		}
		So(received, ShouldEqual, size)
		So(<-writeErr, ShouldBeNil)
		_, _ = io.WriteString(c, "GET /b"+versionAndHost+"\r\n")
		So(<-writeErr, ShouldNotBeNil)
	})
}
