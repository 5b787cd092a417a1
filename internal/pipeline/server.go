package pipeline

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/core/membudget"
	"github.com/hawthornpoint/hawthornpoint/internal/acceptloop"
	"github.com/hawthornpoint/hawthornpoint/internal/headlimit"
	"github.com/hawthornpoint/hawthornpoint/internal/sockread"
)

const (
	// BodyBufferSize is the number of bytes of a body that are read before the handler is
	// called.
	BodyBufferSize = 128 << 10
	// maxInFlight bounds the requests of one connection that are handled concurrently.
	maxInFlight = 16
	// bodyTimeout bounds each wait for further bytes of a body.
	bodyTimeout = 10 * time.Second
	// retireTimeout bounds the time for the rest of a header, and of the first part of a body, once Drain
	// has begun. Without it a caller that sends a part of a request could hold a drain to its deadline.
	retireTimeout = time.Second
	// drainInterval is how often Drain closes the connections that have become idle.
	drainInterval = 5 * time.Millisecond
)

// ErrClosed is the cause of the end of a request's context when Close cuts the request.
var ErrClosed = errors.New("server closed")

// Limits bound the requests of callers. Zero means no bound.
type Limits struct {
	// HeaderBytes bounds the size of the request line and the header.
	HeaderBytes int64
	// HeaderTimeout bounds the time from the first byte to the end of the header, and
	// IdleTimeout the time in which no request is received or handled.
	HeaderTimeout, IdleTimeout time.Duration
	// BodyTimeout bounds the time in which the first BodyBufferSize bytes of a body, or all of a
	// shorter one, are received.
	BodyTimeout time.Duration
	// BodyPace is the least number of bytes per second at which bodies are sent while a budget is pressed;
	// 0 means HeaderBytes within HeaderTimeout. Without HeaderTimeout there is no least pace.
	BodyPace int64
}

// Server serves HTTP/1.1 connections. All fields must be set before Serve is called.
// Stop, Finished, Drain and Close may be called while Serve is running.
type Server struct {
	// Handler handles the requests, those of one connection concurrently. It may panic with
	// http.ErrAbortHandler to close the connection without a response.
	Handler http.Handler
	// Limits returns the limits that are in force. It is called when a request begins, and for the idle
	// timeout while none does.
	Limits func() Limits
	// Reject is called for a request that can't be parsed, with the status of the response.
	Reject func(remote net.Addr, status int, err error)
	// Unread is called when a connection has ended of which bytes were received that belong to no handled
	// request, as those of requests behind the last response. It may be nil.
	Unread func(remote net.Addr, bytes int64)
	// Memory and Descriptors are reserved from before a connection is accepted or read on. Nil bounds nothing.
	Memory, Descriptors *membudget.Budget
	// Panicked is called with the value of a panic while a connection is read or in a handler,
	// and the connection is closed. If it is nil, the panic goes on.
	Panicked func(value any)

	mu       sync.Mutex
	conns    map[*conn]bool
	stopping bool
	closed   bool
	handlers sync.WaitGroup

	lastEviction atomic.Int64 // time of the latest search for callers that send too slowly, in ns
}

// Serve accepts connections until the loop or its listener is closed. acceptFailed is called for the first
// of a series of failed attempts to accept one.
func (s *Server) Serve(l *acceptloop.Loop, acceptFailed func(error)) {
	l.AwaitRoom = s.awaitRoom
	l.Run(s.startConn, acceptFailed)
}

func (s *Server) startConn(netConn net.Conn) {
	ctx, cancel := context.WithCancelCause(context.Background())
	c := &conn{server: s, netConn: netConn, ctx: ctx, cancel: cancel, exchangeEnded: make(chan struct{}, 1)}
	c.opened = time.Now()
	c.growing = &growingHead{source: sockread.NewReader(netConn), conn: c}
	c.heads = headlimit.NewReader(c.growing)
	c.reader = bufio.NewReaderSize(c.heads, 4<<10)
	c.writer = bufio.NewWriterSize(timeoutWriter{netConn}, 4<<10)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		cancel(nil)
		_ = netConn.Close()
		return
	}
	if s.conns == nil {
		s.conns = make(map[*conn]bool)
	}
	s.conns[c] = true
	s.Memory.Force(membudget.Connections, connBytes)
	s.Descriptors.Force(membudget.Connections, 1)
	s.handlers.Add(1)
	go func() {
		defer s.handlers.Done()
		c.serve()
	}()
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.Memory.Release(membudget.Connections, connBytes)
	s.Descriptors.Release(membudget.Connections, 1)
}

// Stop makes each connection close after its next response that no request is waiting behind.
// Idle connections stay open, so that a request that has already been sent is still answered.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// Finished reports whether all requests that were read before t have been answered, and their
// responses written. Later ones, which may be refusals without an end, do not count.
func (s *Server) Finished(t time.Time) bool {
	return !slices.ContainsFunc(s.openConns(), func(c *conn) bool { return !c.finished(t) })
}

// Drain closes each connection as soon as no request on it is being read, handled or answered,
// and waits until all are closed or the deadline is over. Requests of which a part has arrived
// must arrive within retireTimeout. It does not stop Serve, so the loop
// must be closed first.
func (s *Server) Drain(deadline time.Time) {
	for !s.closeIfUnused() {
		for _, c := range s.openConns() {
			c.retire()
		}
		if !time.Now().Before(deadline) {
			return
		}
		time.Sleep(drainInterval)
	}
}

// closeIfUnused makes Serve close the connections that it still accepts, if none is open.
func (s *Server) closeIfUnused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = s.closed || len(s.conns) == 0
	return s.closed
}

// Close closes all connections and waits until their handlers have returned. It does not stop
// Serve, which closes each connection that it still accepts.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, c := range s.openConns() {
		c.close(ErrClosed)
	}
	s.handlers.Wait()
}

func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

func (s *Server) panicked(value any) {
	if s.Panicked == nil {
		panic(value)
	}
	s.Panicked(value)
}
