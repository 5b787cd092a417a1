package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// outcome is what a client saw of one request.
type outcome struct {
	id string
	// status is 0 if there was no complete answer; err says why.
	status int
	seal   string
	err    error
	// read says that the whole request was written.
	written    bool
	retryAfter string
	sent       time.Time
	elapsed    time.Duration
}

// client sends requests over one kept connection, and opens a new one when that has ended.
type client struct {
	address string
	record  *record
	conn    net.Conn
	reader  *bufio.Reader
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends one request and reads its answer. kept says that the connection served another before.
func (c *client) send(method, path, id string, deadline time.Duration, body string, headers ...string) (o outcome, kept bool) {
	o = outcome{id: id, sent: time.Now()}
	defer func() {
		o.elapsed = time.Since(o.sent)
		c.record.add("client of %s: %s %s %s, kept connection %v: status %d seal %q after %d ms, error %v", c.address, id, method, path, kept,
			o.status, o.seal, o.elapsed.Milliseconds(), o.err)
	}()
	kept = c.conn != nil
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			o.err = err
			return o, false
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(o.sent.Add(deadline + 2*time.Second))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Hawthornpoint-Request-Id: %s\r\nX-Hawthornpoint-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	for _, h := range headers {
		text += h + "\r\n"
	}
	if method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c.conn, text+"\r\n"+body); err != nil {
		o.err = err
		c.close()
		return o, kept
	}
	o.written = true
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		o.err = err
		c.close()
		return o, kept
	}
	if _, err = io.ReadAll(resp.Body); err != nil {
		o.err = err
		c.close()
		return o, kept
	}
	o.status, o.seal, o.retryAfter = resp.StatusCode, resp.Header.Get("X-Hawthornpoint-Response-Seal"), resp.Header.Get("Retry-After")
	if resp.Close || strings.EqualFold(resp.Header.Get("Connection"), "close") {
		c.close()
	}
	return o, kept
}
