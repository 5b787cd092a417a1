package daemon

import (
	"io"
	"net/http"
	"time"
)

// timedBody bounds the time for which a daemon waits for a caller's body: the waits
// for each part of 64 KB, and for the last one, add up to at most the read timeout.
// A slow upload is allowed as long as it advances (6.5 KB/s with the defaults), but a
// caller that sends one byte per second does not hold a connection and a buffer for
// longer than the timeout. Time in which the upstream does not read is not counted;
// it is bounded by the deadline of the call.
type timedBody struct {
	body    io.Reader
	control *http.ResponseController
	timeout time.Duration
	left    int           // bytes of the present part that are still to come
	wait    time.Duration // what is left to wait for them
}

func newTimedBody(w http.ResponseWriter, body io.Reader, timeout time.Duration) io.Reader {
	if body == http.NoBody {
		return body
	}
	return &timedBody{body: body, control: http.NewResponseController(w), timeout: timeout}
}

// Read reads a part of the body. At its end the deadline is taken away, because the
// server goes on reading from the connection to notice that the caller left.
func (t *timedBody) Read(p []byte) (int, error) {
	if t.left <= 0 {
		t.left, t.wait = bufferSize, t.timeout
	}
	began := time.Now()
	_ = t.control.SetReadDeadline(began.Add(t.wait))
	n, err := t.body.Read(p)
	t.left -= n
	t.wait -= time.Since(began)
	if err == io.EOF {
		_ = t.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
