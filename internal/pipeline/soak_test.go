package pipeline

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/internal/acceptloop"
)

var (
	soakSeed  = flag.Uint64("soak.seed", 1, "first seed of TestSoak")
	soakSeeds = flag.Uint64("soak.seeds", 4, "number of seeds of TestSoak")
	soakBusy  = flag.Int("soak.busy", 0, "goroutines that take processor time during TestSoak")
)

const (
	// soakCallers is the number of callers of a round at any time.
	soakCallers = 24
	// soakIdle is the idle time of a round that has one. A request that is sent on a connection that has
	// been idle for half of it may cross the close.
	soakIdle = 200 * time.Millisecond
	// soakDrain is more than any request of a round takes.
	soakDrain = 20 * time.Second
)

// soakRequest is a request of a round.
type soakRequest struct {
	method, body string
	size         int // of the answer

	handled  atomic.Bool
	answered atomic.Bool
	end      atomic.Value // what ended it at the caller, as text
	written  atomic.Int64 // when its last byte had been written, in ns; 0 if it was not
	crossed  atomic.Bool  // it may have crossed the close of its connection
	left     atomic.Bool  // its caller left without waiting for the answer
}

// soakRound is a server with callers, until it has stopped.
type soakRound struct {
	seed     uint64
	server   *Server
	address  string
	drain    atomic.Int64 // when the drain began, in ns
	requests sync.Map     // by id
	lastID   atomic.Int64
	over     chan struct{}
}

// ServeHTTP answers with a checksum of the body and as many bytes as the request asks for.
func (s *soakRound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v, _ := s.requests.Load(r.URL.Path[1:])
	v.(*soakRequest).handled.Store(true)
	query := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	delay, _ := strconv.Atoi(query.Get("delay"))
	time.Sleep(time.Duration(delay) * time.Millisecond)
	text := fmt.Sprintf("%s %d ", r.URL.Path, crc32.ChecksumIEEE(body))
	size, _ := strconv.Atoi(query.Get("size"))
	if query.Get("chunks") == "" {
		w.Header().Set("Content-Length", strconv.Itoa(len(text)+size))
	}
	_, _ = io.WriteString(w, text)
	for size > 0 {
		n := min(size, 64<<10)
		if _, err := w.Write(make([]byte, n)); err != nil {
			panic(http.ErrAbortHandler)
		}
		size -= n
	}
}

// newRequest returns the text of a random request.
func (s *soakRound) newRequest(rng *rand.Rand) (*soakRequest, string, string) {
	id := strconv.FormatInt(s.lastID.Add(1), 10)
	r := &soakRequest{method: []string{"GET", "GET", "POST"}[rng.IntN(3)]}
	r.size = []int{0, 10, 3000, 200 << 10, 600 << 10}[rng.IntN(5)]
	query := fmt.Sprintf("size=%d&delay=%d", r.size, []int{0, 0, 1, 5, 30}[rng.IntN(5)])
	if rng.IntN(2) == 0 {
		query += "&chunks=1"
	}
	head := fmt.Sprintf("%s /%s?%s HTTP/1.1\r\nHost: h\r\n", r.method, id, query)
	body := ""
	if r.method == "POST" {
		length := []int{0, 1, 5000, BodyBufferSize - 1, BodyBufferSize, BodyBufferSize + 1, 2 * BodyBufferSize}[rng.IntN(7)]
		r.body = strings.Repeat(string(rune('a'+rng.IntN(26))), length)
		if rng.IntN(6) == 0 {
			head += "Expect: 100-continue\r\n"
		}
		if rng.IntN(3) == 0 {
			head += "Transfer-Encoding: chunked\r\n"
			for rest := r.body; rest != ""; {
				n := min(len(rest), 1+rng.IntN(100<<10))
				body += fmt.Sprintf("%x\r\n%s\r\n", n, rest[:n])
				rest = rest[n:]
			}
			body += "0\r\n\r\n"
		} else {
			head += fmt.Sprintf("Content-Length: %d\r\n", length)
			body = r.body
		}
	}
	s.requests.Store(id, r)
	return r, id, head + "\r\n" + body
}

// call opens a connection, sends requests on it in pieces and reads the answers at some speed.
func (s *soakRound) call(rng *rand.Rand) {
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		time.Sleep(time.Millisecond)
		return
	}
	defer c.Close()
	if rng.IntN(3) == 0 {
		_ = c.(*net.TCPConn).SetReadBuffer(128 << 10)
	}
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	type sent struct {
		*soakRequest
		id string
	}
	queue := make(chan sent, 100)
	slow := time.Duration(rng.IntN(3)) * time.Millisecond
	ended, left := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		gone := false // the caller leaves
		defer func() {
			close(left)
			for later := range queue {
				later.crossed.Store(true)
				later.left.Store(gone)
			}
		}()
		in := bufio.NewReader(c)
		for r := range queue {
			resp, err := http.ReadResponse(in, nil)
			for err == nil && resp.StatusCode == http.StatusContinue {
				resp, err = http.ReadResponse(in, nil)
			}
			if err != nil {
				r.end.Store(err.Error())
				gone = errors.Is(err, os.ErrDeadlineExceeded)
				r.left.Store(gone)
				return
			}
			var b strings.Builder
			piece := make([]byte, 16<<10)
			for err == nil {
				var n int
				n, err = resp.Body.Read(piece)
				b.Write(piece[:n])
				time.Sleep(slow)
			}
			want := fmt.Sprintf("/%s %d ", r.id, crc32.ChecksumIEEE([]byte(r.body)))
			if err == io.EOF && resp.StatusCode == 200 && strings.HasPrefix(b.String(), want) && b.Len() == len(want)+r.size {
				r.answered.Store(true)
			}
			r.end.Store(fmt.Sprintf("%d %v after %d bytes, close %v", resp.StatusCode, err, b.Len(), resp.Close))
			gone = errors.Is(err, os.ErrDeadlineExceeded)
			r.left.Store(gone)
			if gone || resp.Close {
				return
			}
		}
	}()
	idleSince := time.Now() // at the earliest: an answer may be written long before it is read
	for range 1 + rng.IntN(6) {
		r, id, text := s.newRequest(rng)
		r.crossed.Store(time.Since(idleSince) > soakIdle/2)
		queue <- sent{r, id}
		pieces := 1 + rng.IntN(3)
		if rng.IntN(30) == 0 {
			_, _ = io.WriteString(c, text[:rng.IntN(len(text))])
			_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			break // leaves with half a request, and those before it
		}
		for ; pieces > 0 && err == nil; pieces-- {
			n := len(text)
			if pieces > 1 {
				n = rng.IntN(len(text) + 1)
			}
			_, err = io.WriteString(c, text[:n])
			text = text[n:]
			if pieces > 1 {
				time.Sleep(time.Duration(rng.IntN(8)) * time.Millisecond)
			}
		}
		if err == nil {
			r.written.Store(time.Now().UnixNano())
		}
		if err != nil {
			break
		}
		if rng.IntN(3) == 0 {
			time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
		}
		idleSince = time.Now()
		if rng.IntN(2) == 0 {
			continue // the next one is pipelined
		}
		for end := time.Now().Add(15 * time.Second); !r.answered.Load() && time.Now().Before(end); time.Sleep(time.Millisecond) {
			select {
			case <-left:
				end = time.Time{}
			default:
			}
		}
	}
	close(queue)
	<-ended
}

// play runs the round and returns a line for each request without the answer that is due.
func (s *soakRound) play() (problems []string, handled int) {
	rng := rand.New(rand.NewPCG(s.seed, 1))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return []string{err.Error()}, 0
	}
	s.address, s.over = l.Addr().String(), make(chan struct{})
	limits := func() Limits { return Limits{} }
	if s.seed%2 == 0 {
		var changes atomic.Uint64
		limits = func() Limits {
			return Limits{HeaderBytes: 8 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: soakIdle * time.Duration(1+changes.Add(1)%2)}
		}
	}
	s.server = &Server{Handler: s, Limits: limits, Reject: func(net.Addr, int, error) {}}
	loop := acceptloop.New(l)
	go s.server.Serve(loop, func(error) {})
	var callers sync.WaitGroup
	for i := range uint64(soakCallers) {
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(s.seed, 2+i))
			for {
				select {
				case <-s.over:
					return
				default:
					s.call(rng)
				}
			}
		})
	}
	time.Sleep(time.Duration(100+rng.IntN(400)) * time.Millisecond)
	s.server.Stop()
	time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
	s.drain.Store(time.Now().UnixNano())
	loop.Close(time.Now().Add(10 * time.Second))
	s.server.Drain(time.Now().Add(soakDrain))
	if open := s.server.openConns(); len(open) > 0 {
		problems = append(problems, fmt.Sprintf("seed %d: %d connections open after %v", s.seed, len(open), soakDrain))
	}
	close(s.over)
	s.server.Close()
	callers.Wait()
	s.requests.Range(func(id, v any) bool {
		r := v.(*soakRequest)
		written := r.written.Load()
		due := written > 0 && written < s.drain.Load() && !r.crossed.Load()
		if r.handled.Load() {
			handled++
			due = written > 0
		}
		due = due && !r.left.Load()
		if due && !r.answered.Load() {
			problems = append(problems, fmt.Sprintf("seed %d: %s /%s: body %d, answer %d, handled %v, last byte %v before the drain: %v", s.seed, r.method, id,
				len(r.body), r.size, r.handled.Load(), time.Duration(s.drain.Load()-written), r.end.Load()))
		}
		return true
	})
	return problems, handled
}

// Guards against requests that are lost at the connections of callers while a server stops.
func TestSoak(t *testing.T) {
	var stop atomic.Bool
	defer stop.Store(true)
	for range *soakBusy {
		go func() {
			for !stop.Load() {
			}
		}()
	}
	Convey("Each request that was handled, or had arrived before the drain, is answered completely", t, func() {
		for seed := *soakSeed; seed < *soakSeed+*soakSeeds; seed++ {
			s := &soakRound{seed: seed}
			problems, handled := s.play()
			t.Logf("seed %d: %d requests, %d handled", seed, s.lastID.Load(), handled)
			So(problems, ShouldBeEmpty)
			So(handled, ShouldBeGreaterThan, 0)
		}
	})
}
