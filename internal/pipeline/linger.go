package pipeline

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/hawthornpoint/hawthornpoint/internal/sockread"
)

const (
	// lingerTime is how long a connection is still read after its last response. Closing
	// it with unread bytes would reset it, and the caller could lose the response.
	lingerTime = time.Second
	// lingerCheck is how often it is checked after that whether the caller has received the response.
	lingerCheck = 100 * time.Millisecond
)

// linger waits for the last response, closes the sending direction and discards what the caller sends
// until lingerTime after that response, and until the caller's system has received all of it. What the
// caller sends after the close resets the connection, and what has not been received is lost then. A
// caller that receives nothing for writeTimeout is given up, as one that blocks a write is.
func (c *conn) linger() {
	c.mu.Lock()
	latest := c.latest
	c.mu.Unlock()
	if latest != nil {
		c.awaitEnd(latest)
	}
	if tcp, ok := c.netConn.(interface{ CloseWrite() error }); ok {
		_ = tcp.CloseWrite()
	}
	c.mu.Lock()
	ended := c.ended
	c.mu.Unlock()
	left, progress := unreceived(c.netConn), ended
	for until := ended.Add(lingerTime); ; until = time.Now().Add(lingerCheck) {
		_ = c.netConn.SetReadDeadline(until)
		_, err := io.Copy(io.Discard, c.netConn)
		n := unreceived(c.netConn)
		if n < left {
			left, progress = n, time.Now()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || n == 0 || time.Since(progress) >= writeTimeout {
			return
		}
	}
}

// unreceived returns the number of sent bytes that the other end of a connection has not acknowledged,
// its end included. It is 0 if the connection has failed and where the system does not tell.
func unreceived(netConn net.Conn) int64 {
	socket, ok := netConn.(syscall.Conn)
	if !ok {
		return 0
	}
	n, err := sockread.Unacknowledged(socket)
	if err != nil {
		return 0
	}
	return n
}
