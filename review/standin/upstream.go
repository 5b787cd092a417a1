package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const headerID = "X-Hawthornpoint-Request-Id"

// upstream is a sound backend server, unless faulty is set.
type upstream struct {
	id, service, zone string
	slots             int
	born              int64
	record            *record
	listener          net.Listener

	mu   sync.Mutex
	runs []runRecord
	// work returns how long a request runs.
	work func(r *http.Request) time.Duration
	// faulty may answer a request in place of the sound answer. It reports whether it did; the
	// connection is closed then.
	faulty func(c net.Conn, r *http.Request) bool
}

// runRecord is a request that an upstream began to run.
type runRecord struct {
	id, method, target, caller string
	bodyBytes                  int
	at                         time.Time
}

func startUpstream(rec *record, id, service, zone, address string, work time.Duration) (*upstream, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	u := &upstream{id: id, service: service, zone: zone, slots: 43, born: time.Now().Add(-time.Minute).UnixMilli(), record: rec, listener: l,
		work: func(*http.Request) time.Duration { return work }}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return u, nil
}

func (u *upstream) address() string { return u.listener.Addr().String() }

// entry returns the entry that the upstream writes to the store.
func (u *upstream) entry(state string, sequence int) map[string]any {
	return map[string]any{
		"address": u.address(), "born": u.born,
		"info":   map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "slots": u.slots},
		"status": map[string]any{"state": state, "sequence": sequence, "warmupLeftS": 0},
	}
}

// ran returns whether the upstream began to run the request with the id.
func (u *upstream) ran(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, r := range u.runs {
		if r.id == id {
			return true
		}
	}
	return false
}

// setFaulty sets the function that answers in place of the sound answer, nil for none.
func (u *upstream) setFaulty(faulty func(c net.Conn, r *http.Request) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faulty = faulty
}

func (u *upstream) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if r.URL.Path == "/healthz" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Hawthornpoint-Upstream-Instance: %s\r\nContent-Length: 0\r\n\r\n", u.id)
			continue
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get(headerID)
		if want := r.Header.Get("X-Hawthornpoint-Expected-Instance"); want != "" && want != u.id {
			u.record.add("upstream %s: request %s is for %s: 421", u.id, id, want)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Hawthornpoint-Upstream-Instance: %s\r\nContent-Length: 0\r\n\r\n", u.id)
			continue
		}
		u.mu.Lock()
		u.runs = append(u.runs, runRecord{id, r.Method, r.RequestURI, r.Header.Get("X-Hawthornpoint-Caller-Service"), len(body), time.Now()})
		work, faulty := u.work(r), u.faulty
		u.mu.Unlock()
		u.record.add("upstream %s: runs %s %s %s from %s", u.id, id, r.Method, r.RequestURI, r.Header.Get("X-Hawthornpoint-Caller-Service"))
		// The run ends early when the connection closes.
		_ = c.SetReadDeadline(time.Now().Add(work))
		if _, err := br.Peek(1); err != nil {
			if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
				u.record.add("upstream %s: drops %s, its connection has closed", u.id, id)
				return
			}
		}
		_ = c.SetReadDeadline(time.Time{})
		if faulty != nil && faulty(c, r) {
			return
		}
		answer := "answer to " + id
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Hawthornpoint-Request-Id: %s\r\nX-Hawthornpoint-Response-Seal: %s.%s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s",
			id, u.id, id, len(answer), answer)
		if err != nil {
			return
		}
	}
}
