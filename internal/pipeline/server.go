package pipeline

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// BodyAhead is the part of a body that is read before the handler is called, in bytes.
	BodyAhead = 128 << 10
	// maxSideBySide bounds the requests of one connection that are handled at once.
	maxSideBySide = 16
	// lingerTime is how long a closed connection is read on, so that the answer is not lost
	// by the reset that unread bytes would cause.
	lingerTime = time.Second
	// bodyTimeout bounds the time without any progress while a body is read.
	bodyTimeout = 10 * time.Second
)

// Limits bound what a caller may send. Zero values select no bound.
type Limits struct {
	// HeaderBytes bounds the request line and the header.
	HeaderBytes int64
	// HeaderTimeout bounds the time from the first byte to the end of the header, and
	// IdleTimeout the time without a request.
	HeaderTimeout, IdleTimeout time.Duration
}

// Server serves connections. Fields must be set before Serve.
type Server struct {
	// Handler handles each request. It may panic with http.ErrAbortHandler to close the
	// connection without an answer.
	Handler http.Handler
	// Limits is asked before each request.
	Limits func() Limits
	// Reject is called for what can't be parsed, with the status that is answered.
	Reject func(remote net.Addr, status int, err error)

	mu       sync.Mutex
	conns    map[*conn]bool
	stopping bool
	handlers sync.WaitGroup
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		s.start(c)
	}
}

func (s *Server) start(raw net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{server: s, raw: raw, ctx: ctx, cancel: cancel, turn: make(chan struct{}, 1)}
	c.limited = &limitedReader{conn: raw}
	c.reader = bufio.NewReaderSize(c.limited, 4<<10)
	c.writer = bufio.NewWriterSize(raw, 4<<10)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[*conn]bool)
	}
	s.conns[c] = true
	s.handlers.Add(1)
	go func() {
		defer s.handlers.Done()
		c.serve()
	}()
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Stop makes each further answer close its connection. Idle connections stay open, so that
// a request that is on its way is still answered.
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

// CloseIdle closes the connections on which no request is under way.
func (s *Server) CloseIdle() {
	for _, c := range s.open() {
		c.closeIfIdle()
	}
}

// Close closes all connections and waits for their handlers.
func (s *Server) Close() {
	for _, c := range s.open() {
		c.close()
	}
	s.handlers.Wait()
}

func (s *Server) open() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}
