package answercheck

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/internal/connend"
	"github.com/hawthornpoint/hawthornpoint/internal/headlimit"
)

// interimLineBytes is the length of the lines of an interim answer that are not fields.
const interimLineBytes = len("HTTP/1.1 100 \r\n\r\n")

// Transport is an http.Transport whose answers are checked. Its methods are safe for concurrent use.
type Transport struct {
	*http.Transport
	// invalid is called with the address of a server and what is wrong with its answer; it may be nil.
	invalid func(address string, err error)
	// check is a further check of the head of an answer; it may be nil.
	check func(*http.Response) error
}

// NewTransport returns a Transport that sends requests with base. It changes base.
func NewTransport(base *http.Transport, invalid func(address string, err error)) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: connend.New(c), released: make(chan struct{})}, nil
	}
	return &Transport{Transport: base, invalid: invalid}
}

// SetCheck sets a further check of the head of each answer, of a protocol above HTTP. It is called before the first request. An error is
// reported if it is an *Error.
func (t *Transport) SetCheck(check func(*http.Response) error) { t.check = check }

// conn is a connection of an http.Transport.
type conn struct {
	*connend.Conn
	released chan struct{} // closed when the http.Transport has closed the connection, and no longer uses it
	release  sync.Once
}

// Close implements net.Conn. The http.Transport calls it.
func (c *conn) Close() error {
	c.release.Do(func() { close(c.released) })
	return c.Conn.Close()
}

// end ends the connection, and waits until the http.Transport no longer uses it or ctx ends.
func (c *conn) end(ctx context.Context) {
	_ = c.Conn.Close()
	select {
	case <-c.released:
	case <-ctx.Done():
	}
}

// RoundTrip implements http.RoundTripper. It returns an *Error for an answer whose head is not valid, and
// headlimit.ErrTooLarge if the heads of the interim answers before it exceed headlimit.DefaultBytes together. Reading the body of
// an answer that proves to be broken there fails with an *Error or connend.ErrFailed. The connection is closed in each case.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	ex := &exchange{transport: t, ctx: req.Context(), address: req.URL.Host}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: ex.gotConn, Got1xxResponse: ex.interim,
	})))
	if err != nil {
		ex.report(err)
		return nil, err
	}
	err = Head(resp.StatusCode, resp.Header)
	if err == nil {
		err = Content(resp)
	}
	if err == nil && t.check != nil {
		err = t.check(resp)
	}
	if err != nil {
		_ = resp.Body.Close()
		ex.report(err)
		ex.endConn()
		return nil, err
	}
	if resp.Body != http.NoBody {
		resp.Body = &reportingBody{ReadCloser: Body(resp), exchange: ex}
	}
	return resp, nil
}

// exchange is one request and its answer.
type exchange struct {
	transport    *Transport
	ctx          context.Context
	address      string
	conn         atomic.Pointer[conn]
	interimBytes int
}

func (ex *exchange) gotConn(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*conn); ok { // always, without TLS
		ex.conn.Store(c)
	}
}

// endConn ends the connection, which the http.Transport may keep for further requests.
func (ex *exchange) endConn() {
	if c := ex.conn.Load(); c != nil {
		c.end(ex.ctx)
	}
}

// interim checks the head of an interim answer. http.Transport does not limit them together if it hands them on.
func (ex *exchange) interim(status int, header textproto.MIMEHeader) error {
	ex.interimBytes += interimLineBytes
	for name, values := range header {
		for _, value := range values {
			ex.interimBytes += len(name) + len(value) + len(": \r\n")
		}
	}
	if ex.interimBytes > headlimit.DefaultBytes {
		return errors.Wrap(headlimit.ErrTooLarge, "interim answers")
	}
	return Head(status, http.Header(header))
}

// report reports an error if it says that the answer is broken.
func (ex *exchange) report(err error) {
	if ex.transport.invalid != nil && ReasonOf(err) != "" {
		ex.transport.invalid(ex.address, err)
	}
}

// reportingBody reports what is found to be wrong with an answer while its body is read.
type reportingBody struct {
	io.ReadCloser
	exchange *exchange
	failed   bool
}

// Read implements io.Reader.
func (b *reportingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF && !b.failed {
		b.failed = true
		b.exchange.report(err)
		b.exchange.endConn()
	}
	return n, err
}
