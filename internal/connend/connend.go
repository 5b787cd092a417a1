// Package connend tells a connection that the other side has closed in order from one that has failed.
//
// The system reports the failure of a connection, such as a reset, to one call only. If that is a write, reads get
// what has arrived and then a plain end, as after an orderly close. A message without a length, whose end is that of the
// connection, would then seem complete although a part of it is lost.
package connend

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// ErrFailed is returned by Read in place of io.EOF when the connection has failed.
var ErrFailed = errors.New("the connection failed before its end")

// Conn is a connection that is read by one goroutine and written by another. Reads and writes must go through it
// alone: a failure that another call on the socket is told of is not noticed.
type Conn struct {
	net.Conn

	writing sync.Mutex // held during a write
	failure error      // with which the first write failed; guarded by writing
}

// New returns a Conn that uses c.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.failure == nil && isFailure(err) {
		c.failure = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the other side has closed the connection in order, and ErrFailed
// if a write has been told of a failure, also if the connection was closed here after that. At the end of the connection a write
// that is under way ends and further ones fail: nothing depends on what is still written.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF && !errors.Is(err, net.ErrClosed) {
		return n, err
	}
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock() // a write that has been told of the failure may not have returned yet
	defer c.writing.Unlock()
	if c.failure != nil {
		return n, errors.Wrap(ErrFailed, c.failure.Error())
	}
	return n, err
}

// isFailure reports whether the error of a write says that the connection failed while the other side had not closed
// it. EPIPE says that it had: the system reports a reset as EPIPE if the end of the other side's bytes had arrived before it
// (tcp_reset of Linux), and as ECONNRESET otherwise.
func isFailure(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}
