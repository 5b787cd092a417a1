package pipeline

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/hawthornpoint/hawthornpoint/core/membudget"
	"github.com/hawthornpoint/hawthornpoint/internal/headlimit"
)

// conn is the connection of a caller.
type conn struct {
	server        *Server
	netConn       net.Conn
	ctx           context.Context
	cancel        context.CancelCauseFunc
	opened        time.Time
	growing       *growingHead
	heads         *headlimit.Reader // of growing
	reader        *bufio.Reader     // of heads
	writer        *bufio.Writer
	exchangeEnded chan struct{} // receives a value when an exchange has ended
	discarded     int64         // bytes that were read after the last request, for the goroutine that reads

	mu              sync.Mutex
	latest          *exchange   // of the latest request
	inFlight        []*exchange // those whose response has not been written
	awaiting        bool        // the first byte of the next request is awaited
	retiring        bool        // the connection is closed when it is idle
	receiving       bool        // the header or the first part of the body of a request is being read
	receiveDeadline time.Time   // the read deadline while receiving, zero for none
	receiveBy       time.Time   // bounds receiveDeadline if the connection is retiring
	closing         bool        // no further response may be written
	ended           time.Time   // when the latest exchange ended
	received        progress    // of the part of a body that is being read; zero while none is
	rest            progress    // of the rest of a body up to restRead, when the handler's latest read ended
	restRead        time.Time
	unreadSince     time.Time // since when the connection is not read because memory is short; zero if it is
	evicted         bool      // the request that is being received is to be ended

	lastHeld atomic.Int64 // received.held when it was looked at for an eviction
}

var (
	// errRetiring is returned instead of a request when the connection is to be closed.
	errRetiring = errors.New("connection is closed by the server")
)

// serve reads requests and starts their handlers until the connection ends.
func (c *conn) serve() {
	defer c.server.removeConn(c)
	defer func() {
		_ = c.netConn.Close()
		if unread := c.discarded + int64(c.reader.Buffered()); unread > 0 && c.server.Unread != nil {
			c.server.Unread(c.netConn.RemoteAddr(), unread)
		}
	}()
	defer c.cancel(nil)
	defer func() {
		if v := recover(); v != nil {
			c.server.panicked(v)
		}
	}()
	for c.awaitCapacity() {
		r, held, err := c.readRequest()
		if errors.Is(err, errRetiring) {
			break
		}
		if err != nil {
			c.reject(err)
			return
		}
		if !c.handle(r, held) {
			break
		}
	}
	c.linger()
}

// awaitCapacity waits until fewer than maxInFlight requests are being handled. It reports
// false when the connection is closing.
func (c *conn) awaitCapacity() bool {
	for {
		c.mu.Lock()
		full, closing := len(c.inFlight) >= maxInFlight, c.closing
		c.mu.Unlock()
		if closing || c.ctx.Err() != nil {
			return false
		}
		if !full {
			return true
		}
		c.readAhead()
	}
}

// readAhead reads further bytes of the caller into the buffer until an exchange has ended, so that the end
// of the connection is noticed, which cancels the requests in flight. It reads no more than the buffer
// holds.
func (c *conn) readAhead() {
	if c.reader.Buffered() == c.reader.Size() {
		select {
		case <-c.exchangeEnded:
		case <-c.ctx.Done():
		}
		return
	}
	_ = c.netConn.SetReadDeadline(time.Time{})
	read, interrupted := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(interrupted)
		select {
		case <-c.exchangeEnded:
			_ = c.netConn.SetReadDeadline(time.Now())
		case <-c.ctx.Done():
			_ = c.netConn.SetReadDeadline(time.Now())
		case <-read:
		}
	}()
	_, err := c.reader.Peek(c.reader.Buffered() + 1)
	close(read)
	<-interrupted
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.cancel(nil)
	}
}

// readRequest reads the header of the next request. The limits are those in force when its first byte
// arrives, which may be long after the end of the request before. It returns the bytes of memory that are
// reserved for the request.
func (c *conn) readRequest() (r *http.Request, held int64, err error) {
	if err := c.awaitFirstByte(); err != nil {
		return nil, 0, err
	}
	if err := c.reserveRequest(); err != nil {
		return nil, 0, err
	}
	c.growing.begin(c.reader.Buffered())
	r, err = c.parseRequest()
	if err != nil {
		c.growing.abort()
		c.server.Memory.Release(membudget.Requests, requestBytes)
		return nil, 0, err
	}
	return r, requestBytes + c.growing.end(r), nil
}

// reserveRequest reserves memory for the next request, whose first byte has arrived. A request behind others
// of its connection waits for their end if there is no room.
func (c *conn) reserveRequest() error {
	for c.awaitCapacity() {
		c.mu.Lock()
		first := len(c.inFlight) == 0
		c.mu.Unlock()
		if first {
			return c.reserve(membudget.Requests, membudget.First, requestBytes, time.Now().Add(roomTimeout))
		}
		if c.server.Memory.TryReserve(membudget.Requests, membudget.Pipelined, requestBytes) {
			return nil
		}
		c.readAhead()
	}
	return errRetiring
}

// parseRequest reads and checks a header.
func (c *conn) parseRequest() (*http.Request, error) {
	limits := c.server.Limits()
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.heads.Begin(headlimit.Limits{Bytes: limits.HeaderBytes}, buffered)
	deadline := time.Time{}
	if limits.HeaderTimeout > 0 {
		deadline = time.Now().Add(limits.HeaderTimeout)
	}
	c.beginReceive()
	c.setReceiveDeadline(deadline)
	r, err := http.ReadRequest(c.reader)
	if c.growing.err != nil {
		return nil, c.growing.err
	}
	if c.heads.Exceeded() {
		return nil, headlimit.ErrTooLarge // the parser may report the incomplete line as malformed
	}
	if err != nil && c.receiveOver() {
		return nil, os.ErrDeadlineExceeded // as above
	}
	if err != nil {
		return nil, err
	}
	c.heads.End()
	c.endReceive()
	c.growing.active = false
	return r, checkRequest(r)
}

// awaitFirstByte returns nil when the first byte of the next request has been received. Time
// in which a request is being handled does not count as idle.
func (c *conn) awaitFirstByte() error {
	started, looked := time.Now(), false
	for {
		if err := c.beginWait(started, looked); err != nil {
			return err
		}
		_, err := c.reader.Peek(1)
		c.endWait()
		if err == nil {
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return io.EOF // closed or failed: no response is due
		}
		looked = true
	}
}

// beginWait sets the deadline for the first byte of the next request, which has been awaited since
// started. It returns an error if the connection is to be closed instead. looked says that nothing had
// arrived just now; without that, a connection to be closed gets a deadline that only allows a look.
func (c *conn) beginWait(started time.Time, looked bool) error {
	idle := c.server.Limits().IdleTimeout
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	busy := len(c.inFlight) > 0
	if !busy && (c.closing || c.retiring && looked) {
		return errRetiring
	}
	deadline := time.Time{}
	if idle > 0 {
		idleSince := started
		if busy {
			idleSince = now
		} else if c.ended.After(started) {
			idleSince = c.ended
		}
		deadline = idleSince.Add(idle)
		if looked && !now.Before(deadline) {
			return io.EOF // idle: no response is due
		}
	}
	if !busy && c.retiring {
		deadline = now
	}
	_ = c.netConn.SetReadDeadline(deadline)
	c.awaiting = true
	return nil
}

func (c *conn) endWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting = false
}

// beginReceive begins to read the header of a request or the first part of its body.
func (c *conn) beginReceive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving, c.receiveDeadline, c.receiveBy, c.evicted = true, time.Time{}, time.Time{}, false
	if c.retiring {
		c.receiveBy = time.Now().Add(retireTimeout)
	}
}

func (c *conn) endReceive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving, c.received, c.rest, c.evicted = false, progress{}, progress{}, false
}

// setReceiveDeadline sets the read deadline while receiving, zero for none.
func (c *conn) setReceiveDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return
	}
	if t.IsZero() || !c.receiveBy.IsZero() && c.receiveBy.Before(t) {
		t = c.receiveBy
	}
	c.receiveDeadline = t
	_ = c.netConn.SetReadDeadline(t)
}

// receiveOver reports whether the read deadline is over.
func (c *conn) receiveOver() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.receiveDeadline.IsZero() && !time.Now().Before(c.receiveDeadline)
}

// retire closes the connection if it is idle, and bounds the time for the rest of a request of which a part
// has been read. The goroutine that reads the connection closes it, so that a request that it has read is
// answered.
func (c *conn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receiving && !c.retiring {
		c.receiveBy = time.Now().Add(retireTimeout)
		if c.receiveDeadline.IsZero() || c.receiveBy.Before(c.receiveDeadline) {
			c.receiveDeadline = c.receiveBy
			_ = c.netConn.SetReadDeadline(c.receiveBy)
		}
	}
	c.retiring = true
	if c.awaiting && len(c.inFlight) == 0 {
		_ = c.netConn.SetReadDeadline(time.Now())
	}
}

// finished reports whether the responses of all requests read before t have been written.
func (c *conn) finished(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !slices.ContainsFunc(c.inFlight, func(ex *exchange) bool { return ex.begun.Before(t) })
}

// checkRequest rejects invalid requests that http.ReadRequest accepts.
func checkRequest(r *http.Request) error {
	switch {
	case r.ProtoMajor != 1:
		return errors.Errorf("unsupported protocol %q", r.Proto)
	case r.ProtoMinor > 0 && r.Host == "":
		return errors.New("missing Host header")
	case !httpguts.ValidHostHeader(r.Host):
		return errors.Errorf("invalid Host header %q", r.Host)
	case r.URL.Path == "" || r.URL.Path[0] != '/':
		return errors.Errorf("invalid request target %q", r.RequestURI)
	}
	for name, values := range r.Header {
		for _, v := range values {
			if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(v) {
				return errors.Errorf("invalid header field %q", name)
			}
		}
	}
	return nil
}

// reject answers a request that could not be read, after all earlier responses. It sends no
// response if the connection has ended or failed.
func (c *conn) reject(err error) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errNoRoom):
		status = http.StatusServiceUnavailable
	case errors.Is(err, headlimit.ErrTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), c.ctx.Err() != nil:
		return
	}
	var netErr net.Error
	if errors.As(err, &netErr) && !netErr.Timeout() {
		return
	}
	c.server.Reject(c.netConn.RemoteAddr(), status, err)
	if ex := c.beginExchange(&http.Request{ProtoMajor: 1, ProtoMinor: 1, Close: true, Header: http.Header{}}); ex != nil {
		w := newResponse(ex)
		w.Header().Set("Content-Length", "0")
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", refusalRetryAfter)
		}
		w.WriteHeader(status)
		w.finish()
		ex.end()
	}
	c.linger()
}

// awaitEnd waits until the last exchange has ended. Meanwhile it discards what the caller sends, so that
// the end of the connection is noticed, which cancels the request.
func (c *conn) awaitEnd(last *exchange) {
	_ = c.netConn.SetReadDeadline(time.Time{})
	interrupted := make(chan struct{})
	go func() {
		defer close(interrupted)
		<-last.done
		_ = c.netConn.SetReadDeadline(time.Now())
	}()
	n, err := io.Copy(io.Discard, c.netConn)
	c.discarded += n
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.cancel(nil)
	}
	<-interrupted
}

// endResponses ends the connection after the responses that have been written. Their caller assumes that
// later requests were not read.
func (c *conn) endResponses() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.cancel(nil)
	if tcp, ok := c.netConn.(interface{ CloseWrite() error }); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.netConn.SetReadDeadline(time.Now().Add(lingerTime))
}

func (c *conn) close(cause error) {
	c.cancel(cause)
	_ = c.netConn.Close()
}
