package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"
)

// conn is one connection of a caller.
type conn struct {
	server  *Server
	raw     net.Conn
	ctx     context.Context
	cancel  context.CancelFunc
	limited *limitedReader
	reader  *bufio.Reader
	writer  *bufio.Writer
	turn    chan struct{} // wakes those that wait for room or for their turn

	mu       sync.Mutex
	last     *exchange // the latest request
	underWay int
	reading  bool // a request is being read
	closing  bool // an answer has closed the connection
}

// exchange is one request and its answer.
type exchange struct {
	conn    *conn
	request *http.Request
	// before is closed when all earlier answers were written, done when this one was.
	before, done chan struct{}
}

// errHeaderTooLarge is the error of a header that exceeds its limit.
var errHeaderTooLarge = errors.New("the header exceeds the limit")

// limitedReader bounds the bytes of a header.
type limitedReader struct {
	conn  net.Conn
	left  int64
	bound bool
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if !l.bound {
		return l.conn.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeaderTooLarge
	}
	if int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.conn.Read(p)
	l.left -= int64(n)
	return n, err
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.server.forget(c)
	defer c.raw.Close()
	defer c.cancel()
	for c.awaitRoom() {
		r, err := c.next()
		if err != nil {
			c.reject(err)
			return
		}
		if !c.handle(r) {
			break
		}
	}
	c.linger()
}

// awaitRoom waits until a further request may be handled. It reports false when the
// connection is closing.
func (c *conn) awaitRoom() bool {
	for {
		c.mu.Lock()
		full, closing := c.underWay >= maxSideBySide, c.closing
		c.mu.Unlock()
		if closing || c.ctx.Err() != nil {
			return false
		}
		if !full {
			return true
		}
		select {
		case <-c.turn:
		case <-c.ctx.Done():
		}
	}
}

// next reads the header of the next request.
func (c *conn) next() (*http.Request, error) {
	limits := c.server.Limits()
	c.limited.bound, c.limited.left = limits.HeaderBytes > 0, limits.HeaderBytes
	if err := c.awaitFirstByte(limits.IdleTimeout); err != nil {
		return nil, err
	}
	c.setReading(true)
	defer c.setReading(false)
	deadline := time.Time{}
	if limits.HeaderTimeout > 0 {
		deadline = time.Now().Add(limits.HeaderTimeout)
	}
	_ = c.raw.SetReadDeadline(deadline)
	r, err := http.ReadRequest(c.reader)
	if err != nil && !deadline.IsZero() && !time.Now().Before(deadline) {
		return nil, os.ErrDeadlineExceeded // the parser may call a cut line malformed
	}
	if err != nil {
		return nil, err
	}
	c.limited.bound = false
	return r, check(r)
}

// awaitFirstByte returns when the next request begins. Only time in which no request is
// under way counts as idle.
func (c *conn) awaitFirstByte(idle time.Duration) error {
	for {
		deadline := time.Time{}
		if idle > 0 {
			deadline = time.Now().Add(idle)
		}
		_ = c.raw.SetReadDeadline(deadline)
		_, err := c.reader.Peek(1)
		if err == nil {
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.busy() {
			return io.EOF // closed, broken or idle: there is nobody to answer
		}
	}
}

func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.underWay > 0
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

func (c *conn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
}

// check refuses what http.ReadRequest lets pass.
func check(r *http.Request) error {
	switch {
	case r.ProtoMajor != 1:
		return errors.Errorf("protocol %q", r.Proto)
	case r.ProtoMinor > 0 && r.Host == "":
		return errors.New("no host")
	case !httpguts.ValidHostHeader(r.Host):
		return errors.Errorf("host %q", r.Host)
	case r.URL.Path == "" || r.URL.Path[0] != '/':
		return errors.Errorf("target %q", r.RequestURI)
	}
	for name, values := range r.Header {
		for _, v := range values {
			if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(v) {
				return errors.Errorf("header %q", name)
			}
		}
	}
	return nil
}

// reject answers what could not be read, after all earlier answers.
func (c *conn) reject(err error) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), c.ctx.Err() != nil:
		return
	}
	var network net.Error
	if errors.As(err, &network) && !network.Timeout() {
		return
	}
	c.server.Reject(c.raw.RemoteAddr(), status, err)
	x := c.begin(&http.Request{ProtoMajor: 1, ProtoMinor: 1, Close: true, Header: http.Header{}})
	w := newResponse(x)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	w.finish()
	x.end()
	c.linger()
}

func (c *conn) begin(r *http.Request) *exchange {
	x := &exchange{conn: c, request: r, done: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last != nil {
		x.before = c.last.done
	}
	c.last = x
	c.underWay++
	return x
}

func (x *exchange) end() {
	close(x.done)
	x.conn.mu.Lock()
	x.conn.underWay--
	x.conn.mu.Unlock()
	select {
	case x.conn.turn <- struct{}{}:
	default:
	}
}

// awaitTurn waits until all earlier answers were written. It reports false when there will
// be no answer on this connection.
func (x *exchange) awaitTurn() bool {
	if x.before != nil {
		select {
		case <-x.before:
		case <-x.conn.ctx.Done():
			return false
		}
	}
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	return !x.conn.closing && x.conn.ctx.Err() == nil
}

// handle reads the body and starts the handler. It reports false when no further request
// is to be read.
func (c *conn) handle(r *http.Request) bool {
	x := c.begin(r)
	if c.isClosing() {
		x.end()
		return false
	}
	safe := r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
	if (!safe || hasExpectation(r)) && !x.awaitTurn() {
		x.end()
		return false
	}
	if hasExpectation(r) && r.ContentLength != 0 {
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			x.end()
			return false
		}
	}
	whole, broken := c.readAhead(r)
	x.request = r.WithContext(c.ctx)
	finished := make(chan struct{})
	c.server.handlers.Add(1)
	go func() {
		defer c.server.handlers.Done()
		defer close(finished)
		defer x.end()
		x.run()
	}()
	if !whole {
		<-finished // the handler reads the rest of the body from the connection
		return !r.Close && c.discard(r.Body)
	}
	return !r.Close && !broken
}

// discard reads what the handler has left of a body, and reports false when that is too
// much: the connection is closed instead.
func (c *conn) discard(body io.Reader) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, BodyAhead))
	return err == nil && n < BodyAhead
}

func hasExpectation(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}

// readAhead replaces a short body by its bytes. whole is false for a longer one, of which the
// rest is still to be read from the connection. After a broken one nobody can tell where the
// next request begins.
func (c *conn) readAhead(r *http.Request) (whole, broken bool) {
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return true, false
	}
	r.Body = &patientBody{conn: c.raw, body: r.Body}
	data, err := io.ReadAll(io.LimitReader(r.Body, BodyAhead))
	if err != nil {
		r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(data), brokenReader{err}))
		r.Close = true
		return true, true
	}
	if len(data) < BodyAhead {
		r.Body = io.NopCloser(bytes.NewReader(data))
		return true, false
	}
	r.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(data), r.Body), r.Body}
	return false, false
}

type brokenReader struct{ err error }

// Read implements io.Reader.
func (b brokenReader) Read([]byte) (int, error) { return 0, b.err }

// patientBody bounds the time without progress.
type patientBody struct {
	conn net.Conn
	body io.ReadCloser
}

// Read implements io.Reader.
func (p *patientBody) Read(b []byte) (int, error) {
	_ = p.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	return p.body.Read(b)
}

// Close implements io.Closer.
func (p *patientBody) Close() error { return p.body.Close() }

// run calls the handler and completes its answer.
func (x *exchange) run() {
	w := newResponse(x)
	defer func() {
		if v := recover(); v != nil {
			if v != http.ErrAbortHandler {
				panic(v)
			}
			// Earlier answers go out before the connection ends.
			if x.awaitTurn() {
				x.conn.close()
			}
		}
	}()
	x.conn.server.Handler.ServeHTTP(w, x.request)
	w.finish()
}

// linger reads on after an answer that closes the connection.
func (c *conn) linger() {
	c.mu.Lock()
	last := c.last
	c.mu.Unlock()
	if last != nil {
		<-last.done
	}
	if tcp, ok := c.raw.(interface{ CloseWrite() error }); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.raw)
}

func (c *conn) close() {
	c.cancel()
	_ = c.raw.Close()
}

func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.underWay == 0 && !c.reading {
		c.closing = true
		c.cancel()
		_ = c.raw.Close()
	}
}
