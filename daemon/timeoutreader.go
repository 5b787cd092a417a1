package daemon

import (
	"io"
	"net/http"
	"time"
)

// timeoutReader bounds the time for which a daemon waits for a caller's body. The body is
// divided into parts of 64 KB (the last one may be shorter); the time spent waiting for
// each part is at most the read timeout. A slow upload is allowed if it makes progress
// (6.5 KB/s with the defaults), but a caller that sends one byte per second does not hold
// a connection and a buffer for longer than the timeout. Time in which the upstream does
// not read is not counted; it is bounded by the deadline of the call.
type timeoutReader struct {
	body          io.Reader
	controller    *http.ResponseController
	timeout       time.Duration
	partBytesLeft int           // bytes of the current part that are still to be read
	partTimeLeft  time.Duration // time left to wait for them
}

func newTimeoutReader(w http.ResponseWriter, body io.Reader, timeout time.Duration) io.Reader {
	if body == http.NoBody {
		return body
	}
	return &timeoutReader{body: body, controller: http.NewResponseController(w), timeout: timeout}
}

// Read implements io.Reader. At the end of the body it clears the read deadline, because
// the server continues to read from the connection to detect that the caller
// disconnected.
func (t *timeoutReader) Read(p []byte) (int, error) {
	if t.partBytesLeft <= 0 {
		t.partBytesLeft, t.partTimeLeft = bufferSize, t.timeout
	}
	started := time.Now()
	_ = t.controller.SetReadDeadline(started.Add(t.partTimeLeft))
	n, err := t.body.Read(p)
	t.partBytesLeft -= n
	t.partTimeLeft -= time.Since(started)
	if err == io.EOF {
		_ = t.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}
