package answercheck

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/internal/connend"
)

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

// RoundTrip implements http.RoundTripper. Reading the body of an answer that is found to be broken fails with an error other
// than io.EOF.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if resp.Body != http.NoBody {
		resp.Body = &body{ReadCloser: resp.Body, report: func(err error) { t.report(req, err) }}
	}
	return resp, nil
}

func (t *Transport) report(req *http.Request, err error) {
	if t.invalid != nil {
		t.invalid(req.URL.Host, err)
	}
}

// body is the body of an answer. It is not safe for concurrent use.
type body struct {
	io.ReadCloser
	report   func(error)
	reported bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, connend.ErrFailed) && !b.reported {
		b.reported = true
		b.report(err)
	}
	return n, err
}
