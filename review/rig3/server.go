package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// timerLateness is how late the timers of a backend server fire.
const timerLateness = 5 * time.Millisecond

// run is a request that a backend server began to work on.
type run struct {
	upstream, service, method, target string
	at                                time.Duration
}

// history holds what the backend servers ran, by request ID.
type history struct {
	mu   sync.Mutex
	runs map[string][]run
}

func (h *history) add(id string, r run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[id] = append(h.runs[id], r)
}

func (h *history) of(id string) []run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[id]
}

// spoiler returns an answer with wrong bytes.
type spoiler func(answer string) string

// sealOf is the receipt of an answer.
func sealOf(id string, status int, body string) string {
	sum := sha256.Sum256([]byte(fmt.Sprint(id, " ", status, " ", body)))
	return hex.EncodeToString(sum[:12])
}

// serve accepts the connections to the backend server.
func (v *vm) serve() error {
	l, err := net.Listen("tcp", v.address(v.fleet.ports.app))
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go v.serveConn(c)
		}
	}()
	return nil
}

// serveConn answers the requests of a connection one after the other. A request asks for its work time in
// milliseconds with "work" in its query.
func (v *vm) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		answer := v.answer(r)
		spoil := v.spoil.Load()
		spoiled := spoil != nil && rand.Float64() < spoiledShare
		if spoiled {
			answer = (*spoil)(answer)
		}
		if _, err := io.WriteString(c, answer); err != nil || spoiled {
			return
		}
	}
}

// answer works on a request and returns its answer.
func (v *vm) answer(r *http.Request) string {
	id := r.Header.Get("X-Hawthornpoint-Request-Id")
	head := fmt.Sprintf("X-Hawthornpoint-Request-Id: %s\r\nX-Hawthornpoint-Upstream-Instance: %s\r\nKeep-Alive: timeout=10\r\n", id, v.id)
	if expected := r.Header.Get("X-Hawthornpoint-Expected-Instance"); expected != "" && expected != v.id {
		return "HTTP/1.1 421 Misdirected Request\r\n" + head + "Content-Length: 0\r\n\r\n"
	}
	if r.URL.Path == "/healthz" {
		return "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 0\r\n\r\n"
	}
	v.fleet.history.add(id, run{upstream: v.id, service: v.service, method: r.Method, target: r.RequestURI, at: v.fleet.now()})
	query := url.Values{}
	if target, err := url.ParseRequestURI(r.RequestURI); err == nil {
		query = target.Query()
	}
	work, _ := strconv.Atoi(query.Get("work"))
	left, err := strconv.Atoi(r.Header.Get("X-Hawthornpoint-Deadline-Ms"))
	status, text := 200, "200 OK"
	if err == nil && left < work {
		work, status, text = left, 504, "504 Gateway Timeout"
	}
	time.Sleep(time.Duration(work)*time.Millisecond + timerLateness)
	body := "answer to " + id + "\n"
	head += fmt.Sprintf("X-Hawthornpoint-Response-Seal: %s\r\n", sealOf(id, status, body))
	if v.chunked.Load() {
		head += "Transfer-Encoding: chunked\r\n\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	} else {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	}
	if r.Method == http.MethodHead {
		body = ""
	}
	return "HTTP/1.1 " + text + "\r\n" + head + body
}
