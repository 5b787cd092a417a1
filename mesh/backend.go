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
)

const (
	// backendDialTimeout bounds the opening of a connection to the local backend server.
	backendDialTimeout = 500 * time.Millisecond
	// defaultIdleLife is how long a connection is kept when the backend server does not
	// announce how long it keeps it.
	defaultIdleLife = 4 * time.Second
	// idleMargin is the share of an announced idle time after which a connection is no
	// longer used: the backend server may be closing it.
	idleMargin = 0.8
	// maxSkipped bounds the answers to other requests that are passed over.
	maxSkipped = 2
	// smallBody is written before the answer is read; longer bodies are written while it
	// is awaited, because the backend server may answer first.
	smallBody = 16 << 10
)

// errBackendDown says that no connection could be opened. Nothing was sent.
var errBackendDown = errors.New("the backend server accepts no connection")

// backend keeps connections to the local backend server. It is safe for concurrent use.
type backend struct {
	address string
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	count   func(event string) // counts connections by what becomes of them

	mu   sync.Mutex
	idle []*backendConn // the latest used last
}

type backendConn struct {
	net.Conn
	reader *bufio.Reader
	// expires is when the connection is no longer used.
	expires time.Time
}

// exchange is one request and its answer on a connection.
type exchange struct {
	backend  *backend
	conn     *backendConn
	response *http.Response
	request  *http.Request
	skipped  int        // answers to other requests
	written  chan error // result of writing a long body
	stop     func() bool
}

// roundTrip sends a request and reads the header of its answer. sent says whether any of
// the request may have reached the backend server. Nothing is sent when ctx has ended; the
// connection is closed when late ends.
func (b *backend) roundTrip(ctx, late context.Context, req *http.Request) (x *exchange, sent bool, err error) {
	conn, err := b.connection(ctx)
	if err != nil {
		return nil, false, err
	}
	if ctx.Err() != nil {
		b.keep(conn)
		return nil, false, ctx.Err()
	}
	x = &exchange{backend: b, conn: conn, request: req}
	x.stop = context.AfterFunc(late, func() { _ = conn.Close() })
	if err := x.send(req); err != nil {
		x.abort()
		return nil, true, err
	}
	if err := x.readHeader(req); err != nil {
		x.abort()
		return nil, true, err
	}
	return x, true, nil
}

func (x *exchange) send(req *http.Request) error {
	if req.ContentLength >= 0 && req.ContentLength <= smallBody {
		return req.Write(x.conn)
	}
	x.written = make(chan error, 1)
	go func() { x.written <- req.Write(x.conn) }()
	return nil
}

// readHeader skips interim answers.
func (x *exchange) readHeader(req *http.Request) error {
	for {
		resp, err := http.ReadResponse(x.conn.reader, req)
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		if resp.StatusCode >= 200 {
			x.response = resp
			return nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return errors.New("answer switches protocols")
		}
	}
}

// skip reads the present answer to its end, and the header of the next one. The connection
// is not used again.
func (x *exchange) skip() error {
	if x.skipped++; x.skipped > maxSkipped {
		return errors.New("too many answers to other requests")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(x.response.Body, inlineBytes))
	if err != nil || n == inlineBytes || x.response.Close {
		return errors.New("an answer to another request does not end")
	}
	return x.readHeader(x.request)
}

// abort closes the connection.
func (x *exchange) abort() {
	x.backend.count("aborted")
	x.stop()
	_ = x.conn.Close()
}

// finish ends an exchange whose answer was read to its end and keeps the connection if
// it can be used again.
func (x *exchange) finish() {
	if !x.stop() || !x.reusable() {
		x.backend.count("not_reusable")
		_ = x.conn.Close()
		return
	}
	x.conn.expires = time.Now().Add(idleLife(x.response.Header))
	x.backend.keep(x.conn)
}

func (x *exchange) reusable() bool {
	if x.skipped > 0 || x.response.Close || x.conn.reader.Buffered() > 0 {
		return false
	}
	if x.written == nil {
		return true
	}
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false // a part of the body is still due
	}
}

// idleLife returns how long a connection may stay idle after an answer.
func idleLife(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			return time.Duration(idleMargin * float64(time.Duration(s)*time.Second))
		}
	}
	return defaultIdleLife
}

func (b *backend) keep(c *backendConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.idle = append(b.idle, c)
}

// connection returns an idle connection that is still open, or a new one.
func (b *backend) connection(ctx context.Context) (*backendConn, error) {
	for {
		c := b.takeIdle()
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && quiet(c.Conn) {
			b.count("reused")
			return c, nil
		}
		b.count("stale")
		_ = c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, backendDialTimeout)
	defer cancel()
	raw, err := b.dial(ctx, "tcp", b.address)
	if err != nil {
		return nil, errors.Wrap(errBackendDown, err.Error())
	}
	b.count("opened")
	return &backendConn{Conn: raw, reader: bufio.NewReaderSize(raw, 4<<10)}, nil
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

// closeIdle closes connections whose time has come, or all.
func (b *backend) closeIdle(now time.Time, all bool) {
	b.mu.Lock()
	var old []*backendConn
	kept := b.idle[:0]
	for _, c := range b.idle {
		if all || now.After(c.expires) {
			old = append(old, c)
		} else {
			kept = append(kept, c)
		}
	}
	b.idle = kept
	b.mu.Unlock()
	for _, c := range old {
		b.count("idle")
		_ = c.Close()
	}
}

// quiet reports whether an idle connection is open and has nothing to read. Bytes that
// arrive while no request is waiting belong to none.
func quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// readPart reads at most limit bytes and reports whether the end was reached.
func readPart(r io.Reader, limit int, hint int64) (data []byte, last bool, err error) {
	size := int64(512)
	if hint >= 0 && hint < int64(limit) {
		size = hint + 1
	}
	data = make([]byte, 0, size)
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
