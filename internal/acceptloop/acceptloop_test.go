package acceptloop

import (
	"net"
	"syscall"
	"testing"

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
