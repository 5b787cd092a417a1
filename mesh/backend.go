package mesh

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/core/membudget"
	"github.com/hawthornpoint/hawthornpoint/internal/answercheck"
	"github.com/hawthornpoint/hawthornpoint/internal/connend"
	"github.com/hawthornpoint/hawthornpoint/internal/finalstatus"
	"github.com/hawthornpoint/hawthornpoint/internal/headlimit"
	"github.com/hawthornpoint/hawthornpoint/internal/sockread"
)

const (
	// backendDialTimeout limits the time for opening a connection to the local backend server.
	backendDialTimeout = 500 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the backend server does not
	// announce its idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutShare is the share of an announced idle timeout after which a connection is
	// not used again, because the backend server may be closing it.
	idleTimeoutShare = 0.8
	// maxSkippedAnswers limits the answers to other requests that are skipped.
	maxSkippedAnswers = 2
	// maxInterimAnswers limits the interim (1xx) answers for one request. A faulty backend server may
	// send them slowly and without end, and holds the slot meanwhile.
	maxInterimAnswers = 16
	// maxSkippedBytes limits the body of an answer that is skipped. It is not kept, and the request's
	// time limit ends it as well; the limit bounds the processor time for an answer without end.
	maxSkippedBytes = 8 << 20
	// smallBodyBytes is the largest body that is written before the answer is read. Longer
	// bodies are written while the answer is awaited, because the backend server may answer
	// first.
	smallBodyBytes = 16 << 10
	// maxAnswerHeadBytes and maxAnswerHeadLines bound the heads that are read for one request:
	// those of interim answers, of skipped ones and of the answer. A backend server may send
	// something else instead, without end.
	maxAnswerHeadBytes = headlimit.DefaultBytes
	maxAnswerHeadLines = 256
)

// errBackendDown is returned when no connection could be opened. Nothing was sent.
var errBackendDown = errors.New("the backend server accepts no connection")

// errNoDescriptor is returned when no descriptor is left for a connection. Nothing was sent.
var errNoDescriptor = errors.New("no descriptor is left for a connection to the backend server")

// backend keeps connections to the local backend server. It is safe for concurrent use.
type backend struct {
	address string
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	count   func(event string) // counts events of connections
	// panicked is called with the value of a panic while a request is written.
	panicked func(value any)
	// descriptors is reserved from before a connection is opened; it may be nil.
	descriptors *membudget.Budget
	// connected is called with nil when a connection was opened, otherwise with the error.
	connected func(err error)

	mu   sync.Mutex
	idle []*backendConn // the most recently used is the last
}

type backendConn struct {
	net.Conn
	stream *connend.Conn     // reads and writes Conn
	heads  *headlimit.Reader // of stream
	reader *bufio.Reader     // of heads
	// expires is the time from which the connection is not used again.
	expires time.Time
	// readsLate says that lateReadTimeout holds, for a body that the backend server may read late.
	readsLate bool
	// release releases the descriptor; it is called once.
	release func()
}

// Close implements net.Conn.
func (c *backendConn) Close() error {
	err := c.Conn.Close()
	if c.release != nil {
		c.release()
	}
	return err
}

// allowLateReading puts lateReadTimeout in the place of unackedTimeout. The deadline of the request still ends the connection.
func (c *backendConn) allowLateReading() error {
	c.readsLate = true
	return setUnackedTimeout(c.Conn, lateReadTimeout)
}

// limitReading puts unackedTimeout in force again. It returns false if that fails, or a part of a body is
// still to be read, behind which the next request would wait.
func (c *backendConn) limitReading() bool {
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !c.readsLate || !ok {
		return true
	}
	unacked, err := sockread.Unacknowledged(syscallConn)
	if err == nil && unacked > 0 || err != nil && !errors.Is(err, sockread.ErrUnknown) {
		return false
	}
	c.readsLate = false
	return setUnackedTimeout(c.Conn, unackedTimeout) == nil
}

// exchange is one request and its answer on a connection.
type exchange struct {
	backend   *backend
	conn      *backendConn
	response  *http.Response
	request   *http.Request
	skipped   int        // number of skipped answers to other requests
	interim   int        // number of interim answers
	refusal   bool       // the answer says that the request was not run
	writeDone chan error // receives the result of writing a long body, nil for a short one
	// cancelClose cancels the closing of the connection at the end of graceCtx. It returns
	// false if that has begun.
	cancelClose func() bool
}

// roundTrip sends a request and reads the header of its answer. sent says whether any part of
// the request may have reached the backend server. Nothing is sent after ctx has ended; the
// connection is closed when graceCtx ends. onSend is called before anything is sent.
func (b *backend) roundTrip(ctx, graceCtx context.Context, req *http.Request, onSend func()) (ex *exchange, sent bool, err error) {
	conn, err := b.openConnection(ctx)
	if err != nil {
		return nil, false, err
	}
	if ctx.Err() != nil {
		b.putIdle(conn)
		return nil, false, ctx.Err()
	}
	ex = &exchange{backend: b, conn: conn, request: req}
	conn.heads.Begin(headlimit.Limits{Bytes: maxAnswerHeadBytes, Lines: maxAnswerHeadLines}, nil)
	onSend()
	ex.cancelClose = context.AfterFunc(graceCtx, func() { _ = conn.Close() })
	if err := ex.send(req); err != nil {
		ex.abort()
		return nil, true, err
	}
	if err := ex.readHeader(req); err != nil {
		ex.fail(err)
		return nil, true, err
	}
	return ex, true, nil
}

func (ex *exchange) send(req *http.Request) error {
	if req.ContentLength >= 0 && req.ContentLength <= smallBodyBytes {
		return req.Write(ex.conn.stream)
	}
	if ex.conn.allowLateReading() != nil {
		ex.backend.count("limit_kept")
	}
	ex.writeDone = make(chan error, 1)
	go func() {
		defer func() {
			if v := recover(); v != nil {
				ex.backend.panicked(v)
				_ = ex.conn.Close()
				ex.writeDone <- errPanicked
			}
		}()
		ex.writeDone <- req.Write(ex.conn.stream)
	}()
	return nil
}

// readHeader reads the header of the next answer. It skips interim (1xx) answers. An answer whose head is not valid
// ends the exchange. It returns headlimit.ErrTooLarge when the heads of the exchange
// exceed maxAnswerHeadBytes or maxAnswerHeadLines, or the interim answers maxInterimAnswers.
func (ex *exchange) readHeader(req *http.Request) error {
	defer ex.conn.heads.End()
	for {
		buffered, _ := ex.conn.reader.Peek(ex.conn.reader.Buffered())
		ex.conn.heads.Next(buffered)
		resp, err := http.ReadResponse(ex.conn.reader, req)
		if ex.conn.heads.Exceeded() {
			return errors.Wrap(headlimit.ErrTooLarge, "read answer")
		}
		if err == nil {
			err = answercheck.Head(resp.StatusCode, resp.Header)
		}
		if err == nil {
			err = answercheck.Version(resp, ex.conn.heads.HasTransferEncoding())
		}
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		if finalstatus.Valid(resp.StatusCode) {
			resp.Body = answercheck.Body(resp)
			ex.response = resp
			return nil
		}
		if ex.interim++; ex.interim > maxInterimAnswers {
			return errors.Wrapf(headlimit.ErrTooLarge, "read answer: more than %d interim answers", maxInterimAnswers)
		}
	}
}

// skip discards the current answer and reads the header of the next one. The connection is not
// used again after the exchange.
func (ex *exchange) skip() error {
	if ex.skipped++; ex.skipped > maxSkippedAnswers {
		return errors.New("too many answers to other requests")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(ex.response.Body, maxSkippedBytes))
	switch {
	case err != nil:
		return errors.Wrap(err, "skip an answer to another request")
	case n == maxSkippedBytes || ex.response.Close:
		return errors.New("an answer to another request does not end")
	}
	return ex.readHeader(ex.request)
}

// abort ends the exchange and closes the connection.
func (ex *exchange) abort() {
	ex.backend.count("aborted")
	ex.cancelClose()
	_ = ex.conn.Close()
}

// fail ends an exchange whose answer could not be read.
func (ex *exchange) fail(err error) {
	if reason := answercheck.ReasonOf(err); reason != "" {
		ex.backend.count(string(reason))
	}
	ex.abort()
}

// finish ends an exchange whose answer was read to its end, and keeps the connection if it can
// be used again.
func (ex *exchange) finish() {
	if !ex.cancelClose() || !ex.reusable() || !ex.conn.limitReading() {
		ex.backend.count("not_reusable")
		_ = ex.conn.Close()
		return
	}
	ex.conn.expires = time.Now().Add(idleTimeout(ex.response.Header))
	ex.backend.putIdle(ex.conn)
}

func (ex *exchange) reusable() bool {
	// A refusal may not name its request. If a faulty backend server writes it once more,
	// it must not meet the next request on the connection.
	if ex.refusal || ex.skipped > 0 || ex.response.Close || ex.conn.reader.Buffered() > 0 {
		return false
	}
	if ex.writeDone == nil {
		return true
	}
	select {
	case err := <-ex.writeDone:
		return err == nil
	default:
		return false // the body has not been written completely
	}
}

// idleTimeout returns how long a connection may stay idle after an answer with the header.
func idleTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			return time.Duration(idleTimeoutShare * float64(time.Duration(s)*time.Second))
		}
	}
	return defaultIdleTimeout
}

func (b *backend) putIdle(c *backendConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.idle = append(b.idle, c)
}

// openConnection returns an idle connection that is still open, or a new one.
func (b *backend) openConnection(ctx context.Context) (*backendConn, error) {
	for {
		c := b.takeIdle()
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && openAndEmpty(c.Conn) {
			b.count("reused")
			return c, nil
		}
		b.count("stale")
		_ = c.Close()
	}
	return b.connect(ctx)
}

// connect opens a new connection.
func (b *backend) connect(ctx context.Context) (*backendConn, error) {
	if !b.descriptors.TryReserve(membudget.Backend, membudget.First, 1) {
		return nil, errNoDescriptor
	}
	release := sync.OnceFunc(func() { b.descriptors.Release(membudget.Backend, 1) })
	dialCtx, cancel := context.WithTimeout(ctx, backendDialTimeout)
	defer cancel()
	raw, err := b.dial(dialCtx, "tcp", b.address)
	if err != nil {
		release()
	}
	if err != nil && ctx.Err() != nil {
		return nil, ctx.Err() // says nothing about the backend server
	}
	b.connected(err)
	if err != nil {
		return nil, errors.Wrap(errBackendDown, err.Error())
	}
	b.count("opened")
	stream := connend.New(raw)
	heads := headlimit.NewReader(stream)
	return &backendConn{Conn: raw, stream: stream, heads: heads, reader: bufio.NewReaderSize(heads, 4<<10),
		expires: time.Now().Add(defaultIdleTimeout), release: release}, nil
}

func (b *backend) takeIdle() *backendConn {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.idle) == 0 {
		return nil
	}
	c := b.idle[len(b.idle)-1]
	b.idle = b.idle[:len(b.idle)-1]
	return c
}

// closeIdle closes the idle connections that have expired, or all of them.
func (b *backend) closeIdle(now time.Time, all bool) {
	b.mu.Lock()
	var expired []*backendConn
	remaining := b.idle[:0]
	for _, c := range b.idle {
		if all || now.After(c.expires) {
			expired = append(expired, c)
		} else {
			remaining = append(remaining, c)
		}
	}
	b.idle = remaining
	b.mu.Unlock()
	for _, c := range expired {
		b.count("idle")
		_ = c.Close()
	}
}

// openAndEmpty reports whether an idle connection is open and has no bytes to read. Bytes that
// arrive while the connection is idle belong to no request, so that it can't be reused.
func openAndEmpty(c net.Conn) bool {
	syscallConn, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		open = isIdle(fd)
		return true
	})
	return err == nil && open
}

// readPart reads at most limit bytes and reports whether the end was reached. lengthHint is the
// expected number of bytes, -1 if unknown.
func readPart(r io.Reader, limit int, lengthHint int64) (data []byte, last bool, err error) {
	return readPartInto(nil, r, limit, lengthHint)
}

// readPartInto is readPart, with the buffer of an earlier part that is no longer used.
func readPartInto(buffer []byte, r io.Reader, limit int, lengthHint int64) (data []byte, last bool, err error) {
	size := int64(512)
	if lengthHint >= 0 {
		size = min(lengthHint+1, int64(limit))
	}
	data = buffer[:0]
	if cap(data) < int(size) {
		data = make([]byte, 0, size)
	}
	for {
		if len(data) == limit {
			return data, false, nil
		}
		if len(data) == cap(data) {
			data = append(data, 0)[:len(data)]
		}
		n, err := r.Read(data[len(data):min(cap(data), limit)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, true, nil
		}
		if err != nil {
			return data, false, err
		}
	}
}
