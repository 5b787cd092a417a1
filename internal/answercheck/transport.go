package answercheck

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
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
		return connend.New(c), nil
	}
	return &Transport{Transport: base, invalid: invalid}
}

// RoundTrip implements http.RoundTripper. It returns an *Error for an answer whose head is not valid, and
// headlimit.ErrTooLarge if the heads of the interim answers before it exceed headlimit.DefaultBytes together. Reading the body of
// an answer that proves to be broken there fails with an *Error or connend.ErrFailed. The connection is closed in each case.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	ex := &exchange{transport: t, address: req.URL.Host}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { ex.conn.Store(&info.Conn) }, Got1xxResponse: ex.interim,
	})))
	if err == nil {
		err = Head(resp.StatusCode, resp.Header)
	}
	if err != nil {
		ex.check(err)
		if resp != nil {
			_ = resp.Body.Close()
		}
		return nil, err
	}
	if resp.Body != http.NoBody {
		resp.Body = &reportingBody{Body(resp), ex}
	}
	return resp, nil
}

// exchange is one request and its answer.
type exchange struct {
	transport    *Transport
	address      string
	conn         atomic.Pointer[net.Conn]
	interimBytes int
	reported     bool
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

// check reports an error that says that the answer is broken, and closes the connection then.
func (ex *exchange) check(err error) {
	if err == nil || err == io.EOF || ex.reported || ReasonOf(err) == "" {
		return
	}
	ex.reported = true
	if conn := ex.conn.Load(); conn != nil {
		_ = (*conn).Close()
	}
	if ex.transport.invalid != nil {
		ex.transport.invalid(ex.address, err)
	}
}

// reportingBody reports what is found to be wrong with an answer while its body is read.
type reportingBody struct {
	io.ReadCloser
	exchange *exchange
}

// Read implements io.Reader.
func (b *reportingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.exchange.check(err)
	return n, err
}
