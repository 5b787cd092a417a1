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

	"github.com/hawthornpoint/hawthornpoint/call"
	"github.com/hawthornpoint/hawthornpoint/codes"
	"github.com/hawthornpoint/hawthornpoint/core/idempotency"
	"github.com/hawthornpoint/hawthornpoint/internal/hopheader"
)

// bufferSize is the part of a request body that is kept for a retry, and the
// part of an answer that is read before it is passed on, in bytes.
const bufferSize = 64 << 10

// copyHeader copies what is passed on. Transport treats a request with an idempotency key
// as safe to send again, so that those headers stay behind.
func copyHeader(to, from http.Header) {
	hopheader.Copy(to, from)
	delete(to, call.HeaderIdempotencyKey)
	delete(to, "X-Idempotency-Key")
}

// body is a request body of which the first part is kept, so that a call with a
// small body can be sent again.
type body struct {
	prefix []byte
	rest   io.Reader
	length int64

	mu      sync.Mutex
	attempt int  // guarded by mu; readers of earlier attempts get nothing more
	read    bool // guarded by mu; a part of rest was read
}

// errBodyTooLarge breaks off a request whose length was not declared when its body
// exceeds the limit. A part of it may have been forwarded by then.
var errBodyTooLarge = errors.New("the request body exceeds the limit")

// errStaleReader ends the reader of an attempt that is over.
var errStaleReader = errors.New("the attempt is over")

// readBody reads the first part of a body. It returns a code when the body is
// too large or broken.
func readBody(r io.Reader, length, limit int64) (*body, codes.Code) {
	if length > limit {
		return nil, codes.BodyTooLarge
	}
	prefix, err := readPrefix(r, length, min(bufferSize, limit)+1)
	if err != nil {
		return nil, codes.BadRequest
	}
	if int64(len(prefix)) > limit {
		return nil, codes.BodyTooLarge
	}
	b := &body{prefix: prefix, length: length}
	if len(prefix) > bufferSize {
		b.rest = &boundedReader{reader: r, left: limit - int64(len(prefix))}
	} else {
		b.length = int64(len(prefix))
	}
	return b, 0
}

// boundedReader fails when there is more to read than it allows. A reader that
// ended there instead would make a cut body look complete.
type boundedReader struct {
	reader io.Reader
	left   int64
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.reader.Read(p)
	if int64(n) > b.left {
		return int(b.left), errBodyTooLarge
	}
	b.left -= int64(n)
	return n, err
}

// maxExactRead bounds the memory that is set aside for a body before any of it
// was read, in bytes. A sender can announce a length and send nothing.
const maxExactRead = 4 << 10

// readPrefix reads at most limit bytes. A known small length saves the growing of
// the buffer; it is not relied on.
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

// reader returns the body for one attempt.
func (b *body) reader() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.prefix)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return io.MultiReader(bytes.NewReader(b.prefix), &markedReader{body: b, attempt: b.attempt})
}

// setBody gives a request its body in a way that keeps Transport from sending the
// request again by itself: the body is neither nil nor http.NoBody, and there is no
// GetBody. Transport looks into a body of length 0, in a goroutine with a timer,
// unless the transfer encoding is set; "identity" writes no body and no such header.
// An in-memory body is written together with the header.
func setBody(req *http.Request, body io.Reader, length int64) {
	req.GetBody = nil
	req.ContentLength = length
	if length == 0 {
		body = bytes.NewReader(nil)
		req.TransferEncoding = []string{"identity"}
	}
	req.Body = io.NopCloser(body)
}

// spent ends the attempt and reports whether a part of the body that is not kept
// was sent. Transport may still be sending when the upstream has answered early;
// from now on its reader gets nothing, so that it can't take what the next needs.
func (b *body) spent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempt++
	return b.read
}

// claim marks the rest as read by an attempt, unless that attempt is over.
func (b *body) claim(attempt int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if attempt != b.attempt {
		return false
	}
	b.read = true
	return true
}

type markedReader struct {
	body    *body
	attempt int
}

func (m *markedReader) Read(p []byte) (int, error) {
	if !m.body.claim(m.attempt) {
		return 0, errStaleReader
	}
	return m.body.rest.Read(p)
}

// answer is an answer on its way back.
type answer struct {
	response     *http.Response
	capture      bool
	captureLimit int
	prefix       []byte
	kept         []byte
	dropped      bool
	complete     bool
}

func (a *answer) close() { _ = a.response.Body.Close() }

// prefetch reads the first part, so that most answers are known to be complete
// before any of them is passed on.
func (a *answer) prefetch() error {
	prefix, err := readPrefix(a.response.Body, a.response.ContentLength, bufferSize)
	a.prefix = prefix
	a.keep(prefix)
	if err != nil {
		return err
	}
	a.complete = len(prefix) < bufferSize
	return nil
}

func (a *answer) keep(p []byte) {
	if !a.capture || a.dropped {
		return
	}
	if len(a.kept)+len(p) > a.captureLimit {
		a.kept, a.dropped = nil, true
		return
	}
	a.kept = append(a.kept, p...)
}

// writeTo passes the answer on, the prefetched part first. It reads the rest
// even when the client has gone, so that the outcome of the run is known.
func (a *answer) writeTo(w http.ResponseWriter) error {
	_, writeErr := w.Write(a.prefix)
	if a.complete {
		return writeErr
	}
	buf := make([]byte, 32<<10)
	for {
		n, err := a.response.Body.Read(buf)
		a.keep(buf[:n])
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

// captured returns the answer for re-sends, without a body if it was too large.
func (a *answer) captured() *idempotency.Answer {
	if !a.capture {
		return nil
	}
	header := make(http.Header)
	copyHeader(header, a.response.Header)
	return &idempotency.Answer{Status: a.response.StatusCode, Header: header, Body: a.kept, NotKept: a.dropped}
}

// connTrace notes whether a connection was used. Without one nothing was sent.
type connTrace struct{ got atomic.Bool }

func (t *connTrace) connected() bool { return t.got.Load() }

func withConnTrace(ctx context.Context) (context.Context, *connTrace) {
	t := &connTrace{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.got.Store(true) },
	}), t
}

// refusalBody is the JSON body of an answer that carries a refusal.
type refusalBody struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Cause   string `json:"cause,omitempty"`
	Meaning string `json:"meaning"`
}

// refuse answers a request that did not become a call.
func (d *Daemon) refuse(w http.ResponseWriter, code codes.Code) {
	d.counters.Result(code)
	d.mu.Lock()
	reply := d.node.Refusal(code)
	d.mu.Unlock()
	d.writeRefusal(w, reply)
}

func (d *Daemon) writeRefusal(w http.ResponseWriter, reply call.Reply) {
	call.EncodeReply(w.Header(), reply)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(reply.Code.HTTPStatus())
	text := refusalBody{Code: int(reply.Code), Name: reply.Code.String(), Kind: reply.Code.Kind().String(), Meaning: reply.Code.Meaning()}
	if reply.Cause != 0 {
		text.Cause = reply.Cause.String()
	}
	_ = json.NewEncoder(w).Encode(text)
}
