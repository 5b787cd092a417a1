package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	restBytes      = 600 << 10
	restParts      = 30
	restPartTime   = 40 * time.Millisecond // an answer takes 1.2 s
	restTimeout    = 2 * time.Second       // timeoutS of the route
	restLimit      = 6 * time.Second       // time limit of the clients
	restSlack      = 500 * time.Millisecond
	restClients    = 30
	freezeTime     = 4 * time.Second
	freezes        = 2
	freezePause    = 10 * time.Second
	leastUnended   = 8    // "eight or more of them"
	leastShare     = 0.25 // "and over a quarter"
	inTouchAfterMs = 4000 // longer than stableS after the start
)

// download is a request for a long answer. Times are since the start of the script.
type download struct {
	id          string
	sent, ended time.Duration
	outcome     string
}

// frozenRest freezes the daemon beside the backend server while long answers are on their way, and checks when the
// clients of another daemon get an end of their requests.
func frozenRest(binary, record string, trouble bool) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fail2("%v", err)
	}
	cleanup = append(cleanup, func() { _ = os.RemoveAll(dir) })
	st, p := newStore("127.0.0.1:0"), freePorts()
	newVM := func(i int, service string) *vm {
		return &vm{name: fmt.Sprintf("vm%d", i), ip: fmt.Sprintf("127.0.80.%d", i), zone: "z", service: service, p: p, dir: dir, store: st.addr, memoryMb: 284}
	}
	a, b := newVM(1, "vitrina"), newVM(2, "documentos")
	var mu sync.Mutex
	runs := map[string]int{}
	part := strings.Repeat("d", restBytes/restParts)
	serve(a.app(), func(c *serverConn, r *http.Request) bool { return c.respond(r.Header.Get(headerID), 200) })
	serve(b.app(), func(c *serverConn, r *http.Request) bool {
		id := r.Header.Get(headerID)
		mu.Lock()
		runs[id]++
		mu.Unlock()
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Length: %d\r\n\r\n", headerID, id, headerSeal, id, len(part)*restParts)
		for range restParts {
			if !c.work(restPartTime) {
				return false
			}
			if _, err := io.WriteString(c, part); err != nil {
				return false
			}
		}
		return true
	})
	born := time.Now().UnixMilli()
	st.entry("i-a", a.app(), "vitrina", "z", "ready", 60, born, 1)
	st.entry("i-b", b.app(), "documentos", "z", "ready", 60, born, 1)
	st.config(1, []route{{"documento", "h.example", "/d/", "documentos", "safe", restTimeout.Seconds(), 1.5, 1, 2, nil}}, []string{"documentos", "vitrina"}, nil)
	for _, v := range []*vm{a, b} {
		v.start(binary)
		cleanup = append(cleanup, v.stop)
	}
	if !a.awaitReady(10*time.Second) || !b.awaitReady(10*time.Second) {
		fail2("a daemon is not ready")
	}
	time.Sleep(inTouchAfterMs * time.Millisecond)

	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	var list []*download
	end := make(chan struct{})
	var clients sync.WaitGroup
	for i := range restClients {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				default:
				}
				time.Sleep(time.Duration(rand.Int64N(int64(500 * time.Millisecond))))
				d := &download{id: fmt.Sprintf("c%d-%d", i, n), sent: now()}
				outcome := fetch(a.outbound(), d.id)
				mu.Lock()
				d.ended, d.outcome = now(), outcome
				list = append(list, d)
				mu.Unlock()
			}
		})
	}
	var lines strings.Builder
	for range freezes {
		time.Sleep(freezePause)
		if trouble {
			fmt.Fprintf(&lines, "%8.3f SIGSTOP to the daemon of vm2\n", now().Seconds())
			b.signal(syscall.SIGSTOP)
			time.Sleep(freezeTime)
			b.signal(syscall.SIGCONT)
			fmt.Fprintf(&lines, "%8.3f SIGCONT to the daemon of vm2\n", now().Seconds())
		} else {
			time.Sleep(freezeTime)
		}
	}
	time.Sleep(3 * time.Second)
	close(end)
	clients.Wait()

	mu.Lock()
	defer mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].sent < list[j].sent })
	longer, unended := 0, 0
	for _, d := range list {
		verdict, took := "", d.ended-d.sent
		if took > restTimeout {
			longer++
			verdict = "longer than the route's timeout"
		}
		if took > restTimeout+restSlack {
			unended++
			verdict = "NO END 0.5 s after the route's timeout"
		}
		fmt.Fprintf(&lines, "%8.3f %s sent; runs %d; ended after %.3f s: %s %s\n", d.sent.Seconds(), d.id, runs[d.id], took.Seconds(), d.outcome, verdict)
	}
	summary := fmt.Sprintf("%d requests, %d lasted longer than the route's timeout, %d of them had no end 0.5 s after it\n", len(list), longer, unended)
	fmt.Print(summary)
	lines.WriteString(summary)
	if err := os.WriteFile(record, []byte(lines.String()), 0o644); err != nil {
		fail2("%v", err)
	}
	if len(list) < 100 {
		fail2("only %d requests were sent", len(list))
	}
	if unended >= leastUnended && float64(unended) > leastShare*float64(longer) {
		exit(1)
	}
	exit(0)
}

// fetch requests a long answer, and returns when it is complete, broken off or refused, or the time limit is over.
func fetch(outbound, id string) string {
	c, err := net.DialTimeout("tcp", outbound, time.Second)
	if err != nil {
		return "no connection"
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(restLimit))
	fmt.Fprintf(c, "GET /d/x HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\n\r\n", headerID, id, headerDeadline, restLimit.Milliseconds())
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer: " + err.Error()
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return fmt.Sprintf("status %d, %d bytes, then: %v", r.StatusCode, n, err)
	}
	return fmt.Sprintf("status %d, complete with %d bytes", r.StatusCode, n)
}
