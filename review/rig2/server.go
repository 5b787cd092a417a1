package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	headerID       = "X-Hawthornpoint-Request-Id"
	headerDeadline = "X-Hawthornpoint-Deadline-Ms"
	headerSeal     = "X-Hawthornpoint-Response-Seal"
)

// serverConn is a connection to a backend server.
type serverConn struct {
	net.Conn
	reader *bufio.Reader
}

// serve starts a backend server. handle runs a request, and returns false to close the connection.
func serve(addr string, handle func(c *serverConn, r *http.Request) bool) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		fail2("backend server: %v", err)
	}
	go func() {
		for {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer raw.Close()
				c := &serverConn{raw, bufio.NewReader(raw)}
				for {
					r, err := http.ReadRequest(c.reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil || !handle(c, r) {
						return
					}
				}
			}()
		}
	}()
}

// work takes the given time. It returns false as soon as the connection ends.
func (c *serverConn) work(d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := c.reader.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// respond writes a complete answer.
func (c *serverConn) respond(id string, status int) bool {
	body := "answer to " + id
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: seal-%s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), headerID, id, headerSeal, id, len(body), body)
	return err == nil
}

// answer is what a client got. Status is 0 if the connection ended without a complete answer, or could not be
// opened.
type answer struct {
	status    int
	sealed    bool
	connected bool
}

// send sends a request on a new connection and reads its answer until the time limit.
func send(outbound, method, target, id string, limit time.Duration, body string) answer {
	c, err := net.DialTimeout("tcp", outbound, time.Second)
	if err != nil {
		return answer{}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(limit))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, target, headerID, id, headerDeadline, limit.Milliseconds(), len(body), body)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{connected: true}
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return answer{connected: true}
	}
	return answer{status: r.StatusCode, sealed: r.Header.Get(headerSeal) != "", connected: true}
}
