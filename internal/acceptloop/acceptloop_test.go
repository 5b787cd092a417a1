package acceptloop

import (
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// listener fails with the errors in turn, then accepts one connection, fails again and is closed.
type listener struct {
	net.Listener
	results []error
}

func (l *listener) Accept() (net.Conn, error) {
	err := l.results[0]
	l.results = l.results[1:]
	if err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: err}
	}
	return &net.TCPConn{}, nil
}

// Guards against a server that accepts nothing any more after an attempt has failed.
func TestFailedAttempts(t *testing.T) {
	Convey("Connections are accepted after failed attempts, and each series is reported once", t, func() {
		l := &listener{results: []error{syscall.EMFILE, syscall.ENFILE, nil, syscall.ECONNABORTED, nil, nil, net.ErrClosed}}
		accepted, reported := 0, 0
		Run(l, func(net.Conn) { accepted++ }, func(error) { reported++ })
		So(accepted, ShouldEqual, 3)
		So(reported, ShouldEqual, 2)
	})
}

// slowListener calls before ahead of each attempt to accept a connection, which may fail.
type slowListener struct {
	*net.TCPListener
	before func() error
}

// Accept implements net.Listener.
func (l slowListener) Accept() (net.Conn, error) {
	if err := l.before(); err != nil {
		return nil, err
	}
	return l.TCPListener.Accept()
}

// Guards against connections with requests that are reset because the listener is closed before they are
// accepted.
func TestCloseAcceptsWaitingConnections(t *testing.T) {
	const callers = 5
	resume, attempts := make(chan struct{}), atomic.Int32{}
	for name, before := range map[string]func() error{
		"the loop gets no processor time": func() error {
			<-resume
			return nil
		},
		"the loop pauses after failed attempts": func() error {
			if attempts.Add(1) < 10 {
				return syscall.EMFILE
			}
			return nil
		},
	} {
		Convey("Connections that wait when the loop is closed are accepted, if "+name, t, func() {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			var accepted atomic.Int32
			loop := New(slowListener{listener.(*net.TCPListener), before})
			go loop.Run(func(c net.Conn) {
				accepted.Add(1)
				_ = c.Close()
			}, func(error) {})
			for range callers {
				c, err := net.Dial("tcp", listener.Addr().String())
				So(err, ShouldBeNil)
				defer c.Close()
			}
			if strings.Contains(name, "pauses") {
				for attempts.Load() < 8 {
					time.Sleep(time.Millisecond)
				}
			} else {
				time.AfterFunc(50*time.Millisecond, func() { close(resume) })
			}
			loop.Close(time.Now().Add(10 * time.Second))
			So(accepted.Load(), ShouldEqual, callers)
			_, err = net.Dial("tcp", listener.Addr().String())
			So(err, ShouldNotBeNil)
		})
	}
}
