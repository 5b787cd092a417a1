package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"

	"golang.org/x/sync/semaphore"
)

// limitListener accepts a limited number of connections at a time. Unlike those of netutil.LimitListener, they can be reset.
type limitListener struct {
	net.Listener
	room *semaphore.Weighted
	// closed ends when the listener is closed.
	closed context.Context
	cancel context.CancelFunc
}

func newLimitListener(l net.Listener, limit int) *limitListener {
	closed, cancel := context.WithCancel(context.Background())
	return &limitListener{Listener: l, room: semaphore.NewWeighted(int64(limit)), closed: closed, cancel: cancel}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	if l.room.Acquire(l.closed, 1) != nil {
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		l.room.Release(1)
		return nil, err
	}
	return &limitedConn{Conn: c, release: sync.OnceFunc(func() { l.room.Release(1) })}, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.cancel()
	return l.Listener.Close()
}

// limitedConn is a connection of a limitListener.
type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// resetOnClose makes the connection end with a reset, if it has a socket.
func (c *limitedConn) resetOnClose() {
	if socket, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = socket.SetLinger(0)
	}
}

type connKey struct{}

// withConn makes the connection of a request available to resetAborted.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// resetAborted resets the connection when a handler aborts the answer to a request of HTTP/1.0. The orderly end of the connection,
// with which net/http closes it, would be that of a complete answer there.
func resetAborted(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		completed := false
		defer func() {
			if c, ok := r.Context().Value(connKey{}).(*limitedConn); ok && !completed && !r.ProtoAtLeast(1, 1) {
				c.resetOnClose()
			}
		}()
		handler.ServeHTTP(w, r)
		completed = true
	})
}
