package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/core/idempotency"
	"github.com/hawthornpoint/hawthornpoint/internal/hopheader"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// bufferSize is the length of the first part of a request body that is kept for a retry,
// and of the first part of an answer that is read before it is passed on, in bytes.
const bufferSize = 64 << 10

// copyHeader copies the end-to-end headers except those with an idempotency key, because
// http.Transport treats a request with such a header as safe to send again.
func copyHeader(to, from http.Header) {
	hopheader.Copy(to, from)
	delete(to, callmeta.HeaderIdempotencyKey)
	delete(to, "X-Idempotency-Key")
}

// body is a request body of which the first part is kept, so that a call with a
// small body can be sent again.
type body struct {
	prefix []byte
	rest   io.Reader
	length int64

	mu       sync.Mutex
	attempt  int  // guarded by mu; readers of earlier attempts return an error
	restRead bool // guarded by mu; a part of rest was read
}

// errBodyTooLarge ends the reading of a request body of undeclared length that exceeds
// the limit. A part of it may have been forwarded by then.
var errBodyTooLarge = errors.New("the request body exceeds the limit")

// errAttemptOver is returned by the body reader of an attempt that is over.
var errAttemptOver = errors.New("the attempt is over")

// readBody reads the first part of a body. length is the declared length, or -1. It
// returns a code other than 0 when the body is too large or cannot be read.
func readBody(r io.Reader, length, limit int64) (*body, resultcode.Code) {
	if length > limit {
		return nil, resultcode.BodyTooLarge
	}
	prefix, err := readPrefix(r, length, min(bufferSize, limit)+1)
	if err != nil {
		return nil, resultcode.BadRequest
	}
	if int64(len(prefix)) > limit {
		return nil, resultcode.BodyTooLarge
	}
	b := &body{prefix: prefix, length: length}
	if len(prefix) > bufferSize {
		b.rest = &boundedReader{reader: r, bytesLeft: limit - int64(len(prefix))}
	} else {
		b.length = int64(len(prefix))
	}
	return b, 0
}

// boundedReader returns an error when there is more to read than it allows. With io.EOF
// instead, a cut body would look complete.
type boundedReader struct {
	reader    io.Reader
	bytesLeft int64
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if int64(len(p)) > b.bytesLeft+1 {
		p = p[:b.bytesLeft+1]
	}
	n, err := b.reader.Read(p)
	if int64(n) > b.bytesLeft {
		return int(b.bytesLeft), errBodyTooLarge
	}
	b.bytesLeft -= int64(n)
	return n, err
}

// maxExactRead bounds the declared length for which a buffer is allocated before any of
// the body was read, in bytes. A sender can declare a length and send nothing.
const maxExactRead = 4 << 10

// readPrefix reads at most limit bytes. For a small declared length the buffer is
// allocated in one step; the length is not relied on.
func readPrefix(r io.Reader, length, limit int64) ([]byte, error) {
	if r == http.NoBody {
		return nil, nil
	}
	var buf bytes.Buffer
	if 0 < length && length <= maxExactRead {
		buf.Grow(int(length) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(io.LimitReader(r, limit))
	return buf.Bytes(), err
}

// reader returns a reader of the whole body for the current attempt.
func (b *body) reader() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.prefix)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return io.MultiReader(bytes.NewReader(b.prefix), &attemptReader{body: b, attempt: b.attempt})
}

// setBody sets the body of a request so that http.Transport does not send the request
// again by itself: the body is neither nil nor http.NoBody, and there is no GetBody.
// Transport probes a body of length 0, in a goroutine with a timer, unless the transfer
// encoding is set; with "identity" it writes neither a body nor a Transfer-Encoding
// header. An in-memory body is written together with the header.
func setBody(req *http.Request, body io.Reader, length int64) {
	req.GetBody = nil
	req.ContentLength = length
	if length == 0 {
		body = bytes.NewReader(nil)
		req.TransferEncoding = []string{"identity"}
	}
	req.Body = io.NopCloser(body)
}

// endAttempt ends the current attempt and reports whether an attempt has read beyond the
// kept first part of the body, which therefore cannot be sent again. http.Transport may
// still be sending when the upstream has answered early; the reader of the ended attempt
// returns an error from then on, so that it cannot consume what the next attempt needs.
func (b *body) endAttempt() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempt++
	return b.restRead
}

// claimRest marks the rest of the body as read and returns true, unless the attempt is
// over.
func (b *body) claimRest(attempt int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if attempt != b.attempt {
		return false
	}
	b.restRead = true
	return true
}

// attemptReader reads the rest of a body for one attempt.
type attemptReader struct {
	body    *body
	attempt int
}

func (r *attemptReader) Read(p []byte) (int, error) {
	if !r.body.claimRest(r.attempt) {
		return 0, errAttemptOver
	}
	return r.body.rest.Read(p)
}

// answer is the response of an upstream or of the backend server while it is passed on.
// If capture is set, its body is kept for repeated sends, unless it exceeds captureLimit
// bytes.
type answer struct {
	response          *http.Response
	capture           bool
	captureLimit      int
	prefix            []byte
	capturedBody      []byte
	captureOverflowed bool
	complete          bool
}

func (a *answer) close() { _ = a.response.Body.Close() }

// prefetch reads the first bufferSize bytes of the body. An answer shorter than that, as
// most are, is thereby known to be complete before any of it is passed on.
func (a *answer) prefetch() error {
	prefix, err := readPrefix(a.response.Body, a.response.ContentLength, bufferSize)
	a.prefix = prefix
	a.appendCapture(prefix)
	if err != nil {
		return err
	}
	a.complete = len(prefix) < bufferSize
	return nil
}

func (a *answer) appendCapture(p []byte) {
	if !a.capture || a.captureOverflowed {
		return
	}
	if len(a.capturedBody)+len(p) > a.captureLimit {
		a.capturedBody, a.captureOverflowed = nil, true
		return
	}
	a.capturedBody = append(a.capturedBody, p...)
}

// writeTo writes the body to w, the prefetched part first. It reads the rest even when
// the client has disconnected, so that the outcome of the call is known.
func (a *answer) writeTo(w http.ResponseWriter) error {
	_, writeErr := w.Write(a.prefix)
	if a.complete {
		return writeErr
	}
	buf := make([]byte, 32<<10)
	for {
		n, err := a.response.Body.Read(buf)
		a.appendCapture(buf[:n])
		if n > 0 && writeErr == nil {
			_, writeErr = w.Write(buf[:n])
		}
		if err == io.EOF {
			a.complete = true
			return writeErr
		}
		if err != nil {
			return err
		}
	}
}

// recordedAnswer returns the answer to repeated sends of the call, without a body if it
// exceeded captureLimit, or nil if the answer is not captured.
func (a *answer) recordedAnswer() *idempotency.Answer {
	if !a.capture {
		return nil
	}
	header := make(http.Header)
	copyHeader(header, a.response.Header)
	return &idempotency.Answer{Status: a.response.StatusCode, Header: header, Body: a.capturedBody, NotKept: a.captureOverflowed}
}

// connTrace records whether http.Transport obtained a connection. Without one nothing
// was sent.
type connTrace struct{ gotConn atomic.Bool }

func (t *connTrace) connected() bool { return t.gotConn.Load() }

func withConnTrace(ctx context.Context) (context.Context, *connTrace) {
	t := &connTrace{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.gotConn.Store(true) },
	}), t
}

// refusalBody is the JSON body of a response that carries a refusal.
type refusalBody struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Cause   string `json:"cause,omitempty"`
	Meaning string `json:"meaning"`
}

// refuse counts and writes the refusal of a request that did not become a call.
func (d *Daemon) refuse(w http.ResponseWriter, code resultcode.Code) {
	d.counters.Result(code)
	d.mu.Lock()
	reply := d.node.Refusal(code)
	d.mu.Unlock()
	d.writeRefusal(w, reply)
}

func (d *Daemon) writeRefusal(w http.ResponseWriter, reply callmeta.Reply) {
	callmeta.EncodeReply(w.Header(), reply)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(reply.Code.HTTPStatus())
	refusal := refusalBody{Code: int(reply.Code), Name: reply.Code.String(), Kind: reply.Code.Kind().String(), Meaning: reply.Code.Meaning()}
	if reply.Cause != 0 {
		refusal.Cause = reply.Cause.String()
	}
	_ = json.NewEncoder(w).Encode(refusal)
}
