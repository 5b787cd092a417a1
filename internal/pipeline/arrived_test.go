package pipeline

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/internal/acceptloop"
)

// heldListener accepts connections whose reads are held: each sends to begun and goes on after a value of
// resume, until released is closed.
type heldListener struct {
	net.Listener
	begun, resume, released chan struct{}
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return heldConn{c.(*net.TCPConn), l}, nil
}

type heldConn struct {
	*net.TCPConn
	listener *heldListener
}

// Read implements net.Conn.
func (c heldConn) Read(p []byte) (int, error) {
	select {
	case <-c.listener.released:
	case c.listener.begun <- struct{}{}:
		select {
		case <-c.listener.resume:
		case <-c.listener.released:
		}
	}
	return c.TCPConn.Read(p)
}

// startHeld starts a server whose reads are held and returns a connection to it.
func startHeld(t *testing.T, limits func() Limits) (*Server, *heldListener, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := &heldListener{Listener: l, begun: make(chan struct{}), resume: make(chan struct{}), released: make(chan struct{})}
	s := &Server{Handler: &recorder{}, Limits: limits, Reject: func(net.Addr, int, error) {}}
	go s.Serve(acceptloop.New(held), func(error) {})
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Close()
		_ = l.Close()
		s.Close()
	})
	return s, held, c
}

// Guards against a request that is given up for time although it has arrived: the process got no
// processor time to read it, or ended its wait to close the connection.
func TestRequestArrivedBeforeDeadline(t *testing.T) {
	const limit = 50 * time.Millisecond
	get := "GET /a" + versionAndHost + "\r\n"
	post := "POST /a" + versionAndHost + fmt.Sprintf("Content-Length: %d\r\n\r\n", 20<<10) + strings.Repeat("x", 20<<10)
	for _, c := range []struct {
		name   string
		limits Limits
		pieces []string
	}{
		{"the idle time", Limits{IdleTimeout: limit}, []string{get}},
		{"the time for a header", Limits{HeaderTimeout: limit}, []string{get[:9], get[9:]}},
		{"the time for a body", Limits{BodyTimeout: limit}, []string{post[:200], post[200:]}},
	} {
		Convey("A request that arrives within "+c.name+" is answered, though it is read later", t, func() {
			_, held, conn := startHeld(t, func() Limits { return c.limits })
			for i, piece := range c.pieces {
				<-held.begun
				_, err := io.WriteString(conn, piece)
				So(err, ShouldBeNil)
				time.Sleep(2 * limit)
				if i < len(c.pieces)-1 {
					held.resume <- struct{}{}
				}
			}
			close(held.released)
			bodies, _ := readAll(conn)
			So(bodies, ShouldHaveLength, 1)
			So(bodies[0], ShouldStartWith, "/a ")
		})
	}
	Convey("So is one that has arrived when idle connections are closed", t, func() {
		s, held, conn := startHeld(t, func() Limits { return Limits{} })
		<-held.begun
		_, _ = io.WriteString(conn, get)
		time.Sleep(limit)
		s.Stop()
		s.Drain(time.Now())
		close(held.released)
		bodies, closed := readAll(conn)
		So(bodies, ShouldResemble, []string{"/a "})
		So(closed, ShouldBeTrue)
	})
	for name, limits := range map[string]Limits{"the idle time ends": {IdleTimeout: limit}, "idle connections are closed": {}} {
		Convey("So is one that has arrived when "+name+" before the reader waits for it", t, func() {
			begun, resume := make(chan struct{}), make(chan struct{})
			var calls atomic.Int32
			s, held, conn := startHeld(t, func() Limits {
				if calls.Add(1) == 1 {
					close(begun)
					<-resume
				}
				return limits
			})
			close(held.released)
			<-begun
			_, _ = io.WriteString(conn, get)
			time.Sleep(2 * limit)
			s.Stop()
			if limits.IdleTimeout == 0 {
				s.Drain(time.Now())
			}
			close(resume)
			bodies, closed := readAll(conn)
			So(bodies, ShouldResemble, []string{"/a "})
			So(closed, ShouldBeTrue)
		})
	}
}
