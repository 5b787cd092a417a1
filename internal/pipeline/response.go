package pipeline

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// writeTimeout bounds the time in which a caller takes no byte of an answer.
const writeTimeout = 10 * time.Second

// errNoTurn says that the connection ended before the answer's turn came.
var errNoTurn = errors.New("the connection has ended")

// response implements http.ResponseWriter. The header is written when it is the answer's
// turn; until then WriteHeader waits.
type response struct {
	exchange *exchange
	header   http.Header
	wrote    bool
	err      error
	// left is the number of body bytes due; -1 for chunks, -2 until the connection closes.
	left  int64
	close bool
}

func newResponse(x *exchange) *response {
	return &response{exchange: x, header: make(http.Header)}
}

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	if w.wrote {
		return
	}
	w.wrote = true
	if !w.exchange.awaitTurn() {
		w.err = errNoTurn
		return
	}
	c, r := w.exchange.conn, w.exchange.request
	w.close = r.Close || c.server.isStopping() || w.header.Get("Connection") == "close"
	w.frame(status, r)
	if w.close {
		w.header.Set("Connection", "close")
	}
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	fmt.Fprintf(c.writer, "HTTP/1.1 %03d %s\r\n", status, http.StatusText(status))
	if err := w.header.Write(c.writer); err != nil {
		w.err = err
	}
	_, _ = c.writer.WriteString("\r\n")
}

// frame chooses how the end of the body is told.
func (w *response) frame(status int, r *http.Request) {
	length, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64)
	switch {
	case status == http.StatusNoContent || status == http.StatusNotModified || r.Method == http.MethodHead:
		w.left = 0
	case err == nil && length >= 0:
		w.left = length
	case r.ProtoAtLeast(1, 1):
		w.left = -1
		w.header.Set("Transfer-Encoding", "chunked")
	default:
		w.left = -2
		w.close = true
	}
}

// Write implements http.ResponseWriter. It returns an error when the caller takes no more.
func (w *response) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.err != nil {
		return 0, w.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	c := w.exchange.conn
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	var n int
	switch {
	case w.left == -2:
		n, w.err = c.writer.Write(p)
	case w.left == -1:
		fmt.Fprintf(c.writer, "%x\r\n", len(p))
		n, _ = c.writer.Write(p)
		_, w.err = c.writer.WriteString("\r\n")
	case int64(len(p)) > w.left:
		w.err = http.ErrContentLength
	default:
		w.left -= int64(len(p))
		n, w.err = c.writer.Write(p)
	}
	if w.err == nil && c.writer.Buffered() > 0 && w.left != 0 {
		w.err = c.writer.Flush()
	}
	return n, w.err
}

// finish completes the answer. One that is shorter than it said ends the connection.
func (w *response) finish() {
	w.WriteHeader(http.StatusOK)
	c := w.exchange.conn
	if w.err != nil {
		c.close()
		return
	}
	if w.left == -1 {
		_, _ = c.writer.WriteString("0\r\n\r\n")
	}
	if err := c.writer.Flush(); err != nil || w.left > 0 {
		c.close()
		return
	}
	if w.close {
		c.mu.Lock()
		c.closing = true
		c.mu.Unlock()
		c.cancel() // what came behind counts as not read
		if tcp, ok := c.raw.(interface{ CloseWrite() error }); ok {
			_ = tcp.CloseWrite()
		}
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
	}
}
