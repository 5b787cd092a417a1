// Package sockread reads what has arrived on a connection although its read deadline is over, and tells how
// much of what was written has not arrived at the other end.
//
// A read of package net fails when the deadline is over, without a look at the socket's buffer. A process
// that got no processor time, or that sets a deadline of now to end a wait, would then give up bytes that
// had arrived before. There is one further look for each read, so a deadline still ends a wait.
package sockread

import (
	"io"
	"net"
	"os"
	"syscall"

	"github.com/go-faster/errors"
)

// Reader reads a connection. Like a connection, it may be used while other goroutines set deadlines.
type Reader struct {
	conn net.Conn
	raw  syscall.RawConn // nil if the connection has no socket
}

// NewReader returns a Reader of a connection. If that has no socket, the deadline alone decides.
func NewReader(c net.Conn) *Reader {
	r := &Reader{conn: c}
	if socket, ok := c.(syscall.Conn); ok {
		r.raw, _ = socket.SyscallConn() // fails only if the connection is closed, as all reads do then
	}
	return r
}

// Read implements io.Reader. It fails with os.ErrDeadlineExceeded only if no byte has arrived.
func (r *Reader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	if n > 0 || r.raw == nil || len(p) == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if n, closed := r.readArrived(p); n > 0 {
		return n, nil
	} else if closed {
		return 0, io.EOF
	}
	return 0, err
}

// readArrived reads without waiting. With n == 0 it reports whether the other end has closed the
// connection; a failed connection fails at the next read.
func (r *Reader) readArrived(p []byte) (n int, closed bool) {
	err := r.raw.Control(func(fd uintptr) {
		var err error
		for err = error(syscall.EINTR); errors.Is(err, syscall.EINTR); {
			n, _, err = syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT)
		}
		closed = err == nil && n == 0
	})
	if err != nil || n < 0 {
		return 0, false
	}
	return n, closed
}
