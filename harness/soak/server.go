package soak

import (
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hawthornpoint/hawthornpoint/platform/platformtest"
)

// serverFault is how a backend server treats a share of its requests.
type serverFault struct {
	// slow multiplies run times.
	slow float64
	// The shares of requests that are rejected, that end with the connection, whose answer is
	// truncated or not valid, or that get a second copy of their answer later.
	reject, closeAfter, truncate, invalid, repeat float64
}

// server is the backend server of a VM. Each start has a new id.
type server struct {
	vm      *vm
	slots   chan struct{}
	waiting chan struct{} // bounds the queue

	mu       sync.Mutex
	upstream *platformtest.Upstream
	id       string
	sequence int64
	boots    int
	leaving  bool
	cuts     int
	fault    serverFault
	rand     *rand.Rand
}

func newServer(v *vm, slots int, seed uint64) *server {
	return &server{vm: v, slots: make(chan struct{}, slots), waiting: make(chan struct{}, slots), fault: serverFault{slow: 1}, rand: rand.New(rand.NewPCG(seed, uint64(v.index)))}
}

// boot starts the server with a new id and writes its entry.
func (s *server) boot() error {
	s.mu.Lock()
	s.boots++
	s.id, s.sequence, s.leaving = fmt.Sprintf("i-%02d-%02d", s.vm.index, s.boots), 0, false
	id := s.id
	s.mu.Unlock()
	upstream, err := platformtest.NewUpstream(id, s.vm.address(s.vm.soak.ports.app))
	if err != nil {
		return err
	}
	upstream.SetHandler(func(ctx context.Context, w io.Writer, r platformtest.Request) bool {
		return s.serve(ctx, upstream, w, r)
	})
	s.mu.Lock()
	s.upstream = upstream
	s.mu.Unlock()
	s.report("ready")
	return nil
}

// report writes the entry of the server.
func (s *server) report(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = state != "ready"
	s.sequence++
	s.vm.soak.store.PutEntry(platformtest.Entry{ID: s.id, Address: s.vm.address(s.vm.soak.ports.app), Service: s.vm.service, State: state,
		Incarnation: s.vm.soak.started + int64(s.boots), Sequence: s.sequence, Slots: cap(s.slots)})
}

// renew writes the entry again, unless the server has ended.
func (s *server) renew() {
	s.mu.Lock()
	state, ended := "ready", s.upstream.Crashed()
	if s.leaving {
		state = "draining"
	}
	s.mu.Unlock()
	if !ended {
		s.report(state)
	}
}

// remove removes the entry of the server.
func (s *server) remove() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vm.soak.store.Remove("servers/" + s.id)
}

// crash ends the server with all requests on it.
func (s *server) crash() {
	s.mu.Lock()
	upstream := s.upstream
	s.mu.Unlock()
	upstream.Crash()
}

// cut ends all connections of the server.
func (s *server) cut() {
	s.mu.Lock()
	s.cuts++
	upstream := s.upstream
	s.mu.Unlock()
	upstream.CutConnections()
}

// cutSince reports whether the server ended connections itself since the count of cuts was taken.
func (s *server) cutSince(cuts int, upstream *platformtest.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cuts != cuts || upstream.Crashed()
}

func (s *server) setFault(f serverFault) {
	if f.slow == 0 {
		f.slow = 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// setEarly makes the server answer before it has read the body of a request.
func (s *server) setEarly(early bool) {
	s.mu.Lock()
	upstream := s.upstream
	s.mu.Unlock()
	if !early {
		upstream.SetEarlyAnswer(nil)
		return
	}
	upstream.SetEarlyAnswer(func(w io.Writer, r platformtest.Request) bool {
		if s.answerCheck(upstream, w, r) {
			return true
		}
		if want := r.Header.Get("X-Hawthornpoint-Expected-Instance"); want != "" && want != upstream.ID {
			_, err := fmt.Fprintf(w, "HTTP/1.1 421 Misdirected Request\r\nX-Hawthornpoint-Upstream-Instance: %s\r\nContent-Length: 0\r\n\r\n", upstream.ID)
			return err == nil
		}
		run := s.vm.soak.history.beginRun(r.ID, s.vm.index)
		if s.chance(0.2) {
			s.vm.soak.history.endRun(run, BrokenOff)
			writeInvalid(w, answerText(r, 200, 100, false), partWithoutLength)
			return false
		}
		_, err := w.Write(answerText(r, 200, 100, false))
		s.vm.soak.history.endRun(run, Finished)
		return err == nil
	})
}

// answerCheck answers a health check and reports whether the request was one.
func (s *server) answerCheck(upstream *platformtest.Upstream, w io.Writer, r platformtest.Request) bool {
	if r.Target != "/healthz" {
		return false
	}
	s.mu.Lock()
	status := "200 OK"
	if s.leaving {
		status = "503 Service Unavailable"
	}
	s.mu.Unlock()
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %s\r\nX-Hawthornpoint-Upstream-Instance: %s\r\nContent-Length: 0\r\n\r\n", status, upstream.ID)
	return true
}

func (s *server) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.Float64() < p
}

// serve runs a request. It returns false to close the connection.
func (s *server) serve(ctx context.Context, upstream *platformtest.Upstream, w io.Writer, r platformtest.Request) bool {
	if s.answerCheck(upstream, w, r) {
		return true
	}
	s.mu.Lock()
	fault, leaving, cuts := s.fault, s.leaving, s.cuts
	s.mu.Unlock()
	if leaving || s.chance(0.002) {
		r.Header.Set("Close", "1")
	}
	left, err := strconv.Atoi(r.Header.Get("X-Hawthornpoint-Deadline-Ms"))
	if err != nil {
		left = 5000
	}
	deadline := time.Now().Add(time.Duration(left) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if s.chance(fault.reject) || !s.admit(ctx) {
		_, err := fmt.Fprintf(w, "HTTP/1.1 503 Service Unavailable\r\nX-Hawthornpoint-Request-Id: %s\r\nX-Hawthornpoint-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.ID)
		return err == nil
	}
	defer func() { <-s.slots }()
	history := s.vm.soak.history
	run := history.beginRun(r.ID, s.vm.index)
	status := s.work(ctx, r, fault.slow)
	switch {
	case s.cutSince(cuts, upstream):
		history.endRun(run, BrokenOff)
		return false
	case status == 0:
		history.endRun(run, Dropped)
		return false
	case s.chance(fault.closeAfter):
		history.endRun(run, BrokenOff)
		return false
	}
	text := answerText(r, status, s.answerBytes(), s.chance(0.2))
	if s.chance(fault.truncate) {
		history.endRun(run, BrokenOff)
		_, _ = w.Write(text[:len(text)/2])
		return false
	}
	if s.chance(fault.invalid) {
		history.endRun(run, BrokenOff)
		writeInvalid(w, text, invalidForm(rand.IntN(invalidForms)))
		return false
	}
	if _, err := w.Write(text); err != nil {
		if s.cutSince(cuts, upstream) {
			history.endRun(run, BrokenOff)
		} else {
			history.endRun(run, Dropped)
		}
		return false
	}
	history.endRun(run, Finished)
	if s.chance(fault.repeat) {
		time.AfterFunc(time.Duration(rand.IntN(200))*time.Millisecond, func() { _, _ = w.Write(text) })
	}
	return r.Header.Get("Close") == ""
}

// invalidForm is the way in which an answer is not valid.
type invalidForm int

const (
	invalidStatus     invalidForm = iota // status 000
	invalidName                          // a blank in the name of a field
	invalidFraming                       // a blank in the name of the field that frames the answer
	partWithoutLength                    // a part of the answer, without a length, and a reset of the connection
	spoiledStatus                        // one of spoiledStatuses
	spoiledName                          // one byte in the name of the seal's or of the request ID's field
	invalidForms      = iota
)

// spoiledStatuses are those that can be told from the status of a run.
var spoiledStatuses = []int{204, 205, 206, 304, 408, 421, 429, 503}

// writeInvalid writes an answer that is not valid. The connection has to be closed behind it.
func writeInvalid(w io.Writer, text []byte, form invalidForm) {
	head, body, _ := strings.Cut(string(text), "\r\n\r\n")
	framing := strings.LastIndex(head, "\r\n")
	switch form {
	case invalidStatus:
		head = head[:len("HTTP/1.1 ")] + "000" + head[len("HTTP/1.1 000"):]
	case invalidName:
		head = head[:framing] + "\r\nX Odd: 1" + head[framing:]
	case invalidFraming:
		head = head[:framing] + strings.Replace(head[framing:], ":", " :", 1)
	case spoiledStatus:
		head = fmt.Sprintf("HTTP/1.1 %d", spoiledStatuses[rand.IntN(len(spoiledStatuses))]) + head[len("HTTP/1.1 000"):]
	case spoiledName:
		name := []string{"Response-Seal:", "Request-Id:"}[rand.IntN(2)]
		at := rand.IntN(len(name) - 1)
		head = strings.Replace(head, name, name[:at]+"x"+name[at+1:], 1)
	case partWithoutLength:
		head, body = head[:framing], body[:len(body)/2]
	}
	_, _ = io.WriteString(w, head+"\r\n\r\n"+body)
	if socket, ok := w.(*net.TCPConn); ok && form == partWithoutLength {
		_ = socket.SetLinger(0)
	}
}

// admit takes a slot, after waiting in the queue if need be. It reports false if there is no room.
func (s *server) admit(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	select {
	case s.waiting <- struct{}{}:
	default:
		return false
	}
	defer func() { <-s.waiting }()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// work runs a request and returns its status, 0 if its connection closed.
func (s *server) work(ctx context.Context, r platformtest.Request, slow float64) int {
	k := kindOf(r.Target)
	work := time.Duration(float64(k.work) * (0.5 + rand.ExpFloat64()/2) * slow)
	status := 200
	if k.calls != "" && s.chance(k.callShare) {
		if !s.vm.soak.callFrom(ctx, s.vm, k.calls) {
			status = 500
		}
	}
	select {
	case <-time.After(work):
		return status
	case <-ctx.Done():
		if ctx.Err() == context.DeadlineExceeded {
			return 504
		}
		return 0
	}
}

// answerBytes returns the length of the body of an answer.
func (s *server) answerBytes() int {
	switch p := rand.IntN(100); {
	case p < 85:
		return 50 + rand.IntN(2000)
	case p < 98:
		return rand.IntN(40 << 10)
	default:
		return 100<<10 + rand.IntN(300<<10)
	}
}

// answerText returns a complete answer. Its seal states the status, the length and the checksum of the body.
func answerText(r platformtest.Request, status, length int, chunked bool) []byte {
	unit := "answer to " + r.ID + ";"
	body := strings.Repeat(unit, length/len(unit)+1)[:length]
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d status\r\nX-Hawthornpoint-Request-Id: %s\r\nX-Hawthornpoint-Response-Seal: %s\r\n", status, r.ID, sealOf(r.ID, status, []byte(body)))
	if r.Header.Get("Close") != "" {
		b.WriteString("Connection: close\r\n")
	} else {
		b.WriteString("Keep-Alive: timeout=10\r\n")
	}
	if !chunked {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
		return []byte(b.String())
	}
	b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	for len(body) > 0 {
		n := min(len(body), 4000)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	b.WriteString("0\r\n\r\n")
	return []byte(b.String())
}

func sealOf(id string, status int, body []byte) string {
	return fmt.Sprintf("%s.%d.%d.%08x", id, status, len(body), crc32.ChecksumIEEE(body))
}
