package exchange

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// idleTimeout is the time after which a connection is closed if nothing arrives.
	idleTimeout = 2 * time.Minute
	// writeTimeout bounds a write to a peer that does not read. It suffices for a
	// configuration of 1 MB on a slow link.
	writeTimeout = 5 * time.Second
	// maxDigestMessage and maxEnvelopeMessage bound the bytes that are read between
	// two writes. net/rpc alone would buffer messages of up to 1 GB. Compression
	// adds at most a few bytes to content that does not compress.
	maxDigestMessage   = maxDigestBytes
	maxEnvelopeMessage = maxEnvelopeBytes + 64<<10
)

var errMessageTooLong = errors.New("peer sent more bytes than one message may have")

// boundedConn closes idle connections and limits the bytes that are read between
// two writes. Both sides of net/rpc write once per message.
type boundedConn struct {
	net.Conn
	limit     int64
	remaining atomic.Int64
}

func newBoundedConn(conn net.Conn, limit int64) *boundedConn {
	c := &boundedConn{Conn: conn, limit: limit}
	c.remaining.Store(limit)
	return c
}

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	remaining := c.remaining.Load()
	if remaining <= 0 {
		return 0, errMessageTooLong
	}
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), remaining)])
	c.remaining.Add(-int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *boundedConn) Write(p []byte) (int, error) {
	c.remaining.Store(c.limit)
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
