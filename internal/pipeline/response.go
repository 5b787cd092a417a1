package pipeline

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

const (
	// writeTimeout bounds the time in which a caller reads nothing of a response that is being written.
	writeTimeout = 10 * time.Second
	// writeInterval is the time after which a write is attempted again. The kernel reports space for
	// further bytes only when a third of its buffer is free, which takes long if the caller reads slowly.
	writeInterval = time.Second
)

// timeoutWriter writes to a connection. A write fails when the caller reads nothing for writeTimeout,
// counted in intervals, of which a process that is suspended loses only one.
type timeoutWriter struct{ conn net.Conn }

// Write implements io.Writer.
func (w timeoutWriter) Write(p []byte) (written int, err error) {
	for failed := 0; failed < int(writeTimeout/writeInterval); failed++ {
		if err = w.conn.SetWriteDeadline(time.Now().Add(writeInterval)); err != nil {
			return written, err
		}
		var n int
		n, err = w.conn.Write(p[written:])
		written += n
		if written == len(p) || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if n > 0 {
			failed = -1
		}
	}
	return written, err
}

// errConnEnded is the error of a response that could not be started, because the connection
// was closed before all earlier responses had been written.
var errConnEnded = errors.New("connection closed before the response was started")

// response implements http.ResponseWriter. WriteHeader waits until all earlier responses of
// the connection have been written.
type response struct {
	exchange      *exchange
	header        http.Header
	headerWritten bool
	err           error
	// remaining is the number of bytes of the body that are still to be written; -1 if the
	// body is chunked, -2 if it ends when the connection is closed.
	remaining int64
	close     bool
}

func newResponse(ex *exchange) *response {
	return &response{exchange: ex, header: make(http.Header)}
}

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	if w.headerWritten {
		return
	}
	w.headerWritten = true
	if !w.exchange.awaitPrevious() {
		w.err = errConnEnded
		return
	}
	c, r := w.exchange.conn, w.exchange.request
	bodyUnread := w.exchange.body != nil && !w.exchange.body.isOver()
	w.close = r.Close || bodyUnread || w.header.Get("Connection") == "close" || w.exchange.isLast()
	w.setFraming(status, r)
	if w.close {
		w.header.Set("Connection", "close")
	}
	fmt.Fprintf(c.writer, "HTTP/1.1 %03d %s\r\n", status, http.StatusText(status))
	if err := w.header.Write(c.writer); err != nil {
		w.err = err
	}
	_, _ = c.writer.WriteString("\r\n")
}

// setFraming selects how the end of the body is marked: by its length, by chunks or by
// closing the connection.
func (w *response) setFraming(status int, r *http.Request) {
	length, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64)
	switch {
	case status == http.StatusNoContent || status == http.StatusNotModified || r.Method == http.MethodHead:
		w.remaining = 0
	case err == nil && length >= 0:
		w.remaining = length
	case r.ProtoAtLeast(1, 1):
		w.remaining = -1
		w.header.Set("Transfer-Encoding", "chunked")
	default:
		w.remaining = -2
		w.close = true
	}
}

// Write implements http.ResponseWriter. It returns an error when the connection is closed,
// the caller reads nothing for writeTimeout, or the body exceeds its Content-Length. The body of a response to HEAD is
// discarded.
func (w *response) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.err != nil {
		return 0, w.err
	}
	if len(p) == 0 || w.exchange.request.Method == http.MethodHead {
		return len(p), nil
	}
	c := w.exchange.conn
	var n int
	switch {
	case w.remaining == -2:
		n, w.err = c.writer.Write(p)
	case w.remaining == -1:
		fmt.Fprintf(c.writer, "%x\r\n", len(p))
		n, _ = c.writer.Write(p)
		_, w.err = c.writer.WriteString("\r\n")
	case int64(len(p)) > w.remaining:
		w.err = http.ErrContentLength
	default:
		w.remaining -= int64(len(p))
		n, w.err = c.writer.Write(p)
	}
	if w.err == nil && c.writer.Buffered() > 0 && w.remaining != 0 {
		w.err = c.writer.Flush()
	}
	return n, w.err
}

// finish completes the response. If the body is shorter than its Content-Length, the
// connection is closed.
func (w *response) finish() {
	w.WriteHeader(http.StatusOK)
	c := w.exchange.conn
	if w.err == errConnEnded {
		return // earlier responses may still be on their way; the goroutine that reads closes the connection
	}
	if w.err != nil {
		c.close(nil)
		return
	}
	if w.remaining == -1 {
		_, _ = c.writer.WriteString("0\r\n\r\n")
	}
	if err := c.writer.Flush(); err != nil {
		c.close(nil)
		return
	}
	switch {
	case w.remaining > 0:
		w.abort()
	case w.close:
		c.endResponses()
	}
}

// abort ends a response that is not complete and its connection. Earlier responses may still be on their
// way, so that the connection is reset only if its end would mark that of the body.
func (w *response) abort() {
	c := w.exchange.conn
	if w.err != nil {
		c.close(nil)
		return
	}
	if w.headerWritten && w.remaining == -2 {
		if tcp, ok := c.netConn.(interface{ SetLinger(int) error }); ok {
			_ = tcp.SetLinger(0)
		}
		c.close(nil)
		return
	}
	c.endResponses()
}
