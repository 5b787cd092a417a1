package pipeline

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"
)

// streamedBody is a request body that is read from the connection while the request is being
// handled. The handler may leave a goroutine behind that still reads it: reads are serialised,
// and fail after stop, so that the connection has one reader at any time.
type streamedBody struct {
	owner *conn

	reading  sync.Mutex // held during a read; guards the fields up to err
	buffered []byte     // bytes that were read before the handler was called
	rest     io.Reader
	err      error         // the error that ended reading
	ended    chan struct{} // closed when the body has been read to its end

	mu      sync.Mutex // guards stopped, and the read deadline until stop
	stopped bool
}

// Read implements io.Reader. It fails when no byte arrives within bodyTimeout, after stop, and with ErrTooSlow
// if the caller is slower than the pace while the budget is pressed.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	if !b.extendDeadline() {
		return 0, http.ErrBodyReadAfterClose
	}
	if len(b.buffered) > 0 {
		n := copy(p, b.buffered)
		b.buffered = b.buffered[n:]
		return n, nil
	}
	n, err := 0, ErrTooSlow
	if b.owner.beginRest() {
		n, err = b.rest.Read(p)
		b.owner.endRest(n)
		err = b.owner.bodyError(err)
	}
	if err == io.EOF {
		close(b.ended)
	}
	b.err = err
	return n, err
}

// Close implements io.Closer. The connection discards or closes what was not read.
func (b *streamedBody) Close() error { return nil }

// extendDeadline sets the deadline of the next read. It reports false after stop.
func (b *streamedBody) extendDeadline() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.stopped {
		_ = b.owner.netConn.SetReadDeadline(time.Now().Add(bodyTimeout))
	}
	return !b.stopped
}

// stop makes all further reads fail, ends the one under way and waits for its end. It reports
// whether the body was read to its end.
func (b *streamedBody) stop() bool {
	b.mu.Lock()
	b.stopped = true
	_ = b.owner.netConn.SetReadDeadline(time.Unix(1, 0))
	b.mu.Unlock()
	b.reading.Lock()
	defer b.reading.Unlock()
	return b.err == io.EOF
}

// isOver reports whether the body has been read to its end.
func (b *streamedBody) isOver() bool {
	select {
	case <-b.ended:
		return true
	default:
		return false
	}
}

// bufferBody replaces a body shorter than BodyBufferSize by a buffer with its bytes. For a longer
// one it returns the body, the rest of which must still be read from the connection. An error says that
// the body could not be read; the start of the next request is then unknown.
func (c *conn) bufferBody(ex *exchange, r *http.Request) (*streamedBody, error) {
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return nil, nil
	}
	c.beginReceive()
	defer c.endReceive()
	now := time.Now()
	c.mu.Lock()
	c.received = progress{begun: now, latest: now}
	c.mu.Unlock()
	body := &timeoutBody{conn: c, body: r.Body}
	if timeout := c.server.Limits().BodyTimeout; timeout > 0 {
		body.end = now.Add(timeout)
	}
	data, held, err := c.readFirst(body, r.ContentLength)
	ex.heldBody = held
	if err != nil {
		r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(data), errorReader{err}))
		r.Close = true
		return nil, err
	}
	if len(data) < BodyBufferSize {
		r.Body = &wholeBody{data}
		return nil, nil
	}
	streamed := &streamedBody{owner: c, buffered: data, rest: r.Body, ended: make(chan struct{})}
	r.Body = streamed
	return streamed, nil
}

type errorReader struct{ err error }

// Read implements io.Reader.
func (r errorReader) Read([]byte) (int, error) { return 0, r.err }

// timeoutBody is a request body whose reads fail when no byte arrives within bodyTimeout, and
// after end if that is set.
type timeoutBody struct {
	conn *conn
	body io.Reader
	end  time.Time
}

// Read implements io.Reader.
func (t *timeoutBody) Read(p []byte) (int, error) {
	deadline := time.Now().Add(bodyTimeout)
	if !t.end.IsZero() && t.end.Before(deadline) {
		deadline = t.end
	}
	t.conn.setReceiveDeadline(deadline)
	return t.body.Read(p)
}
