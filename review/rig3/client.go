package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	timeLimit = 5 * time.Second // that clients state
	// giveUp is when a client that got neither an answer nor the end of its connection gives up.
	giveUp = timeLimit + 2*time.Second
)

var lastRequest atomic.Int64

// request is one attempt of a client and what came of it.
type request struct {
	id, method, target string
	sent, ended        time.Duration
	status             int // 0: the connection ended without an answer
	sealed             bool
	body               string
	mixed              bool // a success without a seal, or one that is not that of the body
	err                error
}

func newRequest(method, target string) *request {
	return &request{id: fmt.Sprintf("%016x", 0x1c41d07b00000000+lastRequest.Add(1)), method: method, target: target}
}

func (r *request) text() string {
	length := ""
	if r.method == http.MethodPost {
		length = "Content-Length: 0\r\n"
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Hawthornpoint-Request-Id: %s\r\nX-Hawthornpoint-Deadline-Ms: %d\r\n%s\r\n",
		r.method, r.target, routeHost, r.id, timeLimit.Milliseconds(), length)
}

// outcome says what the client saw.
func (r *request) outcome() string {
	if r.status > 0 {
		return fmt.Sprintf("answered %d (sealed %t)", r.status, r.sealed)
	}
	return fmt.Sprintf("no answer: %v", r.err)
}

// send sends a request on a connection of its own.
func (v *vm) send(r *request) { v.sendInTurn(r) }

// sendInTurn sends requests to the daemon of a VM on one kept connection, each after the answer to the one before it.
func (v *vm) sendInTurn(requests ...*request) {
	f := v.fleet
	c, err := net.DialTimeout("tcp", v.address(f.ports.outbound), time.Second)
	if err != nil {
		for _, r := range requests {
			r.err = err
		}
		return
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for i, r := range requests {
		_ = c.SetReadDeadline(time.Now().Add(giveUp))
		r.sent = f.now()
		if _, err := io.WriteString(c, r.text()); err != nil {
			r.err = err
			return
		}
		last, err := r.readAnswer(reader)
		r.err, r.ended = err, f.now()
		if err != nil || last {
			for _, rest := range requests[i+1:] {
				rest.err = errors.New("not sent")
			}
			return
		}
	}
}

// readAnswer reads the answer to the request and reports whether the connection closes after it.
func (r *request) readAnswer(reader *bufio.Reader) (last bool, err error) {
	resp, err := http.ReadResponse(reader, &http.Request{Method: r.method})
	if err != nil {
		return true, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return true, err
	}
	seal := resp.Header.Get("X-Hawthornpoint-Response-Seal")
	r.status, r.sealed, r.body = resp.StatusCode, seal != "", string(body)
	r.mixed = r.status/100 == 2 && (!r.sealed || r.method != http.MethodHead && seal != sealOf(r.id, r.status, r.body))
	return resp.Close, nil
}
