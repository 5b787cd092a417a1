package mesh

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"os"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/internal/sockread"
)

// ackCheckInterval is how often a connection that closes is checked for unacknowledged replies.
const ackCheckInterval = 5 * time.Millisecond

// attemptMethods are the calls about attempts whose replies carry an outcome or an answer. A stop waits
// until these replies have been written.
var attemptMethods = map[string]bool{
	peerService + ".Ask": true, peerService + ".Run": true, peerService + ".Chunk": true, peerService + ".More": true,
}

// peerCodec implements rpc.ServerCodec with the encoding of net/rpc's own clients. It counts the calls
// about attempts until their replies have been written, and closes the connection only when the peer's
// system has acknowledged these replies. net/rpc calls WriteResponse for each call of which
// ReadRequestHeader has returned the header, one at a time, and Close after the last one.
type peerCodec struct {
	daemon *Daemon
	conn   net.Conn // the connection itself
	dec    *gob.Decoder
	buf    *bufio.Writer
	enc    *gob.Encoder
	// written is the number of bytes written, and repliesEnd what it was after the latest reply about an
	// attempt.
	written, repliesEnd int64
	// failed is set when a reply could not be written.
	failed bool
}

func newPeerCodec(d *Daemon, conn net.Conn, reader io.Reader) *peerCodec {
	c := &peerCodec{daemon: d, conn: conn, dec: gob.NewDecoder(reader)}
	c.buf = bufio.NewWriter(writerFunc(c.write))
	c.enc = gob.NewEncoder(c.buf)
	return c
}

type writerFunc func(p []byte) (int, error)

// Write implements io.Writer.
func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

func (c *peerCodec) write(p []byte) (int, error) {
	n, err := c.conn.Write(p)
	c.written += int64(n)
	return n, err
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *peerCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.dec.Decode(r); err != nil {
		return err
	}
	if attemptMethods[r.ServiceMethod] {
		c.daemon.peerCalls.Add(1)
	}
	return nil
}

// ReadRequestBody implements rpc.ServerCodec. net/rpc calls the method for each body that is read.
func (c *peerCodec) ReadRequestBody(body any) error {
	if err := c.dec.Decode(body); err != nil {
		return err
	}
	c.daemon.reserveForPeer(body)
	return nil
}

// WriteResponse implements rpc.ServerCodec.
func (c *peerCodec) WriteResponse(r *rpc.Response, body any) error {
	aboutAttempt := attemptMethods[r.ServiceMethod]
	if aboutAttempt {
		defer c.daemon.peerCalls.Add(-1)
	}
	err := c.encode(r, body)
	switch {
	case err == nil && aboutAttempt:
		c.repliesEnd = c.written
	case err != nil:
		if aboutAttempt {
			c.daemon.log.Info(eventPeerReplyUnwritten, zap.Stringer("peer", c.conn.RemoteAddr()), zap.String("method", r.ServiceMethod), errorField(err))
		}
		c.failed = true
		_ = c.conn.Close() // a reply that is written in part can't be followed by another one
	}
	return err
}

func (c *peerCodec) encode(r *rpc.Response, body any) error {
	if err := c.enc.Encode(r); err != nil {
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		return err
	}
	return c.buf.Flush()
}

// Close implements rpc.ServerCodec. When the daemon closes, it waits until the peer's system has
// acknowledged the replies about attempts. What arrives meanwhile is discarded: a connection that is
// closed with unread bytes is reset, which discards the replies that are still to be sent.
func (c *peerCodec) Close() error {
	if c.daemon.ctx.Err() == nil || c.failed {
		return c.conn.Close()
	}
	if err := c.awaitAcknowledgement(c.daemon.linksCloseBy()); err != nil {
		c.daemon.log.Info(eventPeerReplyUnwritten, zap.Stringer("peer", c.conn.RemoteAddr()), errorField(err))
	}
	return c.conn.Close()
}

// awaitAcknowledgement returns nil when the replies about attempts have been acknowledged, and at once if
// there are none or the connection is not of a kind that tells.
func (c *peerCodec) awaitAcknowledgement(deadline time.Time) error {
	conn, ok := c.conn.(interface {
		syscall.Conn
		CloseWrite() error
	})
	if !ok || c.repliesEnd == 0 {
		return nil
	}
	if err := conn.CloseWrite(); err != nil {
		return err
	}
	discarded, closing, ended := make([]byte, 4<<10), time.Now(), false
	for {
		now := time.Now()
		unacked, err := sockread.Unacknowledged(conn)
		switch {
		case errors.Is(err, sockread.ErrUnknown):
			if ended || now.Sub(closing) > peerCloseTimeout {
				return nil
			}
		case err != nil:
			return err
		case c.written+1-unacked >= c.repliesEnd: // the end of the stream counts as one byte
			return nil
		}
		if !now.Before(deadline) {
			return errors.Errorf("%d bytes not acknowledged", unacked)
		}
		_ = c.conn.SetReadDeadline(now.Add(ackCheckInterval))
		if _, err := c.conn.Read(discarded); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			ended = true // the peer sends nothing more
			time.Sleep(ackCheckInterval)
		}
	}
}
