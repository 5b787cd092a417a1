package mesh

import (
	"net"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// maxMessageBytes bounds a message between daemons. The longest are complete states of the store: some
// hundred bytes an upstream, and a configuration of up to 1 MB. A part of a body has maxPartBytes.
const maxMessageBytes = 16 << 20

// errMessageTooLong ends a connection to a peer.
var errMessageTooLong = errors.New("the peer sent a message that is too long")

// messageLimitConn bounds the messages that are read from a peer. net/rpc itself reads messages of up to
// 1 GB into memory. It follows the framing of encoding/gob: a message is preceded by its length, one byte
// below 128, or the negated number of bytes that follow with the length, the most significant first.
type messageLimitConn struct {
	net.Conn
	onTooLong   func()
	left        uint64 // what is left of the current message
	lengthBytes int    // how many bytes of its length are still to be read
}

// limitMessages bounds the messages that are read from a connection of a peer.
func (d *Daemon) limitMessages(c net.Conn) net.Conn {
	return &messageLimitConn{Conn: c, onTooLong: func() {
		d.log.Warn(eventPeerMessageLong, zap.Stringer("peer", c.RemoteAddr()), zap.Int("limit", maxMessageBytes))
	}}
}

// Read implements net.Conn. It returns errMessageTooLong when a message exceeds maxMessageBytes.
func (c *messageLimitConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for rest := p[:n]; len(rest) > 0; {
		if c.lengthBytes == 0 && c.left > 0 {
			skip := min(c.left, uint64(len(rest)))
			c.left -= skip
			rest = rest[skip:]
			continue
		}
		if !c.readLength(rest[0]) {
			c.onTooLong()
			return 0, errMessageTooLong
		}
		rest = rest[1:]
	}
	return n, err
}

// readLength reads one byte of the length of a message. It returns false if the message is too long.
func (c *messageLimitConn) readLength(b byte) bool {
	switch {
	case c.lengthBytes > 0:
		c.lengthBytes--
		c.left = c.left<<8 | uint64(b)
	case b < 128:
		c.left = uint64(b)
	default:
		c.lengthBytes = -int(int8(b))
	}
	return c.lengthBytes <= 8 && c.left <= maxMessageBytes
}
