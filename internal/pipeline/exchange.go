package pipeline

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/hawthornpoint/hawthornpoint/core/membudget"
)

// exchange is a request and its response.
type exchange struct {
	conn    *conn
	request *http.Request
	body    *streamedBody // nil if the body was read before the handler is called
	begun   time.Time
	// heldHead and heldBody are the bytes that are reserved for the request.
	heldHead, heldBody int64
	// previous is closed when all earlier responses have been written, done when this one has.
	previous, done chan struct{}
}

// beginExchange returns nil if the connection closes after a response that is being written.
func (c *conn) beginExchange(r *http.Request) *exchange {
	ex := &exchange{conn: c, request: r, begun: time.Now(), done: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	if c.latest != nil {
		ex.previous = c.latest.done
	}
	c.latest = ex
	c.inFlight = append(c.inFlight, ex)
	return ex
}

func (ex *exchange) end() {
	ex.conn.server.Memory.Release(membudget.Requests, ex.heldHead)
	ex.conn.server.Memory.Release(membudget.Bodies, ex.heldBody)
	ex.conn.mu.Lock()
	ex.conn.inFlight = slices.DeleteFunc(ex.conn.inFlight, func(other *exchange) bool { return other == ex })
	ex.conn.ended = time.Now()
	ex.conn.mu.Unlock()
	close(ex.done)
	select {
	case ex.conn.exchangeEnded <- struct{}{}:
	default:
	}
}

// awaitPrevious waits until all earlier responses have been written. It reports false when
// no further response can be written to the connection.
func (ex *exchange) awaitPrevious() bool {
	if ex.previous != nil {
		select {
		case <-ex.previous:
		case <-ex.conn.ctx.Done():
			return false
		}
	}
	ex.conn.mu.Lock()
	defer ex.conn.mu.Unlock()
	return !ex.conn.closing && ex.conn.ctx.Err() == nil
}

// isLast reports whether the server is stopping and no later request of the connection has
// been read. No further request is handled after that.
func (ex *exchange) isLast() bool {
	if !ex.conn.server.isStopping() {
		return false
	}
	ex.conn.mu.Lock()
	defer ex.conn.mu.Unlock()
	if ex.conn.latest != ex {
		return false
	}
	ex.conn.closing = true
	return true
}

// handle reads up to BodyBufferSize bytes of the body and starts the handler. It reports
// false when no further request may be read. held is what is reserved for the head.
func (c *conn) handle(r *http.Request, held int64) bool {
	ex := c.beginExchange(r)
	if ex == nil {
		c.server.Memory.Release(membudget.Requests, held)
		return false
	}
	ex.heldHead = held
	safe := r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
	if (!safe || hasExpectation(r)) && !ex.awaitPrevious() {
		ex.end()
		return false
	}
	if hasExpectation(r) && r.ContentLength != 0 {
		if _, err := io.WriteString(timeoutWriter{c.netConn}, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			ex.end()
			return false
		}
	}
	body, err := c.bufferBody(ex, r)
	if err != nil && ex.refuse(err) {
		ex.end()
		return false
	}
	ex.body = body
	ex.request = r.WithContext(c.ctx)
	finished := make(chan struct{})
	c.server.handlers.Add(1)
	go func() {
		defer c.server.handlers.Done()
		defer close(finished)
		defer ex.end()
		ex.run()
	}()
	if body == nil {
		return !r.Close && err == nil
	}
	select {
	case <-body.ended: // the end of the connection must be noticed while the request is handled
		return !r.Close
	case <-finished:
		return body.stop() && !r.Close
	}
}

func hasExpectation(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}

// run calls the handler and completes the response.
func (ex *exchange) run() {
	w := newResponse(ex)
	defer func() {
		if v := recover(); v != nil {
			if v != http.ErrAbortHandler {
				ex.conn.server.panicked(v)
			}
			// Earlier responses are written before the connection is closed.
			if ex.awaitPrevious() {
				w.abort()
			}
		}
	}()
	ex.conn.server.Handler.ServeHTTP(w, ex.request)
	w.finish()
}
