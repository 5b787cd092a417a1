package mesh

import (
	"context"
	"net"
	"os"
	"sync"
	"time"
)

// readAheadLimit bounds the bytes that are read from a connection before the server asks
// for them.
const readAheadLimit = 64 << 10

// aheadConn reads from a connection at all times, so that its end is noticed while further
// requests lie unread before it: net/http looks for the end only when it has read all that
// came before. It is safe for the use that net/http makes of a connection.
type aheadConn struct {
	net.Conn
	gone func() // called once when the peer has closed

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at each change
	buf      []byte
	err      error
	deadline time.Time
}

func newAheadConn(c net.Conn) *aheadConn {
	return &aheadConn{Conn: c, changed: make(chan struct{})}
}

// signal wakes all that wait. a.mu is held.
func (a *aheadConn) signal() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *aheadConn) pump() {
	chunk := make([]byte, 4<<10)
	for {
		a.awaitSpace()
		n, err := a.Conn.Read(chunk)
		a.mu.Lock()
		a.buf = append(a.buf, chunk[:n]...)
		a.err = err
		a.signal()
		a.mu.Unlock()
		if err != nil {
			a.gone()
			return
		}
	}
}

func (a *aheadConn) awaitSpace() {
	a.mu.Lock()
	for len(a.buf) >= readAheadLimit {
		changed := a.changed
		a.mu.Unlock()
		<-changed
		a.mu.Lock()
	}
	a.mu.Unlock()
}

// Read implements net.Conn.
func (a *aheadConn) Read(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		left := time.Until(a.deadline)
		switch {
		case !a.deadline.IsZero() && left <= 0:
			return 0, os.ErrDeadlineExceeded
		case len(a.buf) > 0:
			n := copy(p, a.buf)
			a.buf = a.buf[n:]
			if len(a.buf) == 0 {
				a.buf = nil
			}
			a.signal()
			return n, nil
		case a.err != nil:
			return 0, a.err
		}
		a.await(left)
	}
}

// await waits for a change or the deadline. a.mu is held, but not meanwhile.
func (a *aheadConn) await(left time.Duration) {
	changed := a.changed
	var expired <-chan time.Time
	if !a.deadline.IsZero() {
		timer := time.NewTimer(left)
		defer timer.Stop()
		expired = timer.C
	}
	a.mu.Unlock()
	select {
	case <-changed:
	case <-expired:
	}
	a.mu.Lock()
}

// SetReadDeadline implements net.Conn.
func (a *aheadConn) SetReadDeadline(t time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deadline = t
	a.signal()
	return nil
}

// SetDeadline implements net.Conn.
func (a *aheadConn) SetDeadline(t time.Time) error {
	_ = a.SetReadDeadline(t)
	return a.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (a *aheadConn) Close() error {
	err := a.Conn.Close()
	a.mu.Lock()
	a.buf = nil
	a.signal()
	a.mu.Unlock()
	return err
}

// connContext gives a server's connection a context that ends with it.
func connContext(ctx context.Context, c net.Conn) context.Context {
	a, ok := c.(*aheadConn)
	if !ok {
		return ctx
	}
	ctx, a.gone = context.WithCancel(ctx)
	go a.pump()
	return ctx
}

// aheadListener accepts connections that read ahead. The server must use connContext.
type aheadListener struct{ net.Listener }

// Accept implements net.Listener.
func (l aheadListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newAheadConn(c), nil
}
