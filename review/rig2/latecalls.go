package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	grace         = 6 * time.Second // bound graceS
	orderLimit    = 8 * time.Second
	callLimit     = 2500 * time.Millisecond
	callTimeout   = 3 * time.Second // timeoutS of the route of calls
	excusedWithin = 3 * time.Second // after SIGTERM
	restarts      = 5
	pause         = 8 * time.Second // between two restarts
	orderInterval = 25 * time.Millisecond
)

// call is a call that the first backend server makes. Times are since the start of the script.
type call struct {
	id                string
	sent, answered    time.Duration
	answer            answer
	begun, wouldEnd   time.Duration // of its run; 0 if it has not begun
	finished, dropped bool          // whether the run ended by itself, or with its connection
}

// lateCalls stops and starts a daemon whose backend server runs orders that make a call each, and checks what
// became of the calls.
func lateCalls(binary, record string, trouble bool) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fail2("%v", err)
	}
	cleanup = append(cleanup, func() { _ = os.RemoveAll(dir) })
	var mu sync.Mutex
	start, calls, orders, terms := time.Now(), map[string]*call{}, map[int]int{}, []time.Duration(nil)
	now := func() time.Duration { return time.Since(start) }
	uniform := func(from, to time.Duration) time.Duration {
		return from + time.Duration(rand.Float64()*float64(to-from))
	}

	st, p := newStore("127.0.0.1:0"), freePorts()
	newVM := func(i int, service string) *vm {
		return &vm{name: fmt.Sprintf("vm%d", i), ip: fmt.Sprintf("127.0.78.%d", i), zone: "z", service: service, p: p, dir: dir, store: st.addr, memoryMb: 284}
	}
	a, b := newVM(1, "pedidos"), newVM(2, "bodega")
	serve(b.app(), func(c *serverConn, r *http.Request) bool {
		id, run := r.Header.Get(headerID), uniform(400*time.Millisecond, 1200*time.Millisecond)
		mu.Lock()
		call := calls[id]
		if call != nil {
			call.begun, call.wouldEnd = now(), now()+run
		}
		mu.Unlock()
		finished := c.work(run)
		mu.Lock()
		if call != nil {
			call.finished, call.dropped = finished, !finished
		}
		mu.Unlock()
		return finished && c.respond(id, 200)
	})
	serve(a.app(), func(c *serverConn, r *http.Request) bool {
		id := r.Header.Get(headerID)
		if !c.work(uniform(3*time.Second, 6500*time.Millisecond)) {
			return false
		}
		own := &call{id: id + "-call", sent: now()}
		mu.Lock()
		calls[own.id] = own
		mu.Unlock()
		got := send(a.outbound(), "GET", "/b/x", own.id, callLimit, "")
		mu.Lock()
		own.answered, own.answer = now(), got
		mu.Unlock()
		if got.status == 200 {
			return c.respond(id, 200)
		}
		return c.respond(id, 500)
	})
	born := time.Now().UnixMilli()
	st.entry("i-a", a.app(), "pedidos", "z", "ready", 400, born, 1)
	st.entry("i-b", b.app(), "bodega", "z", "ready", 400, born, 1)
	st.config(1, []route{
		{"lote-confirmar", "h.example", "/p/", "pedidos", "unsafe", orderLimit.Seconds(), 4, 0, 2, nil},
		{"tela-reserva", "h.example", "/b/", "bodega", "safe", callTimeout.Seconds(), 1, 1, 2, nil},
	}, []string{"pedidos", "bodega"}, nil)
	for _, v := range []*vm{a, b} {
		v.start(binary)
		cleanup = append(cleanup, v.stop)
	}
	if !a.awaitReady(10*time.Second) || !b.awaitReady(10*time.Second) {
		fail2("a daemon is not ready")
	}

	// The platform asks once a second; after two misses the clients get no new work until a 200.
	misses := 0
	go func() {
		for ; ; time.Sleep(time.Second) {
			ready := a.isReady()
			mu.Lock()
			if misses++; ready {
				misses = 0
			}
			mu.Unlock()
		}
	}()
	end := make(chan struct{})
	var work sync.WaitGroup
	work.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-end:
				return
			case <-time.After(orderInterval):
			}
			mu.Lock()
			out := misses >= 2
			mu.Unlock()
			if out {
				continue
			}
			work.Go(func() {
				got := send(a.outbound(), "POST", "/p/x", fmt.Sprintf("order%05d", i), orderLimit, "lote")
				mu.Lock()
				orders[got.status]++
				mu.Unlock()
			})
		}
	})
	for range restarts {
		time.Sleep(pause)
		if !trouble {
			time.Sleep(grace)
			continue
		}
		mu.Lock()
		terms = append(terms, now())
		mu.Unlock()
		a.signal(syscall.SIGTERM)
		select {
		case <-a.done:
		case <-time.After(grace):
			a.signal(syscall.SIGKILL)
			<-a.done
		}
		time.Sleep(300 * time.Millisecond)
		a.start(binary)
		if !a.awaitReady(10 * time.Second) {
			fail2("the daemon is not ready again")
		}
	}
	close(end)
	work.Wait()

	mu.Lock()
	defer mu.Unlock()
	var lines strings.Builder
	for _, t := range terms {
		fmt.Fprintf(&lines, "%8.3f SIGTERM to the daemon of vm1\n", t.Seconds())
	}
	list := make([]*call, 0, len(calls))
	for _, c := range calls {
		list = append(list, c)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].sent < list[j].sent })
	broken, statuses := 0, map[int]int{}
	for _, c := range list {
		verdict := ""
		if c.answered > 0 {
			statuses[c.answer.status]++
			verdict = c.judge(terms)
		}
		if strings.HasPrefix(verdict, "BROKEN") {
			broken++
		}
		fmt.Fprintf(&lines, "%8.3f %s sent; run from %.3f, would end %.3f, finished %t, dropped %t; %.3f status %d, seal %t, connected %t %s\n", c.sent.Seconds(), c.id,
			c.begun.Seconds(), c.wouldEnd.Seconds(), c.finished, c.dropped, c.answered.Seconds(), c.answer.status, c.answer.sealed, c.answer.connected, verdict)
	}
	summary := fmt.Sprintf("%d calls by status %v (0: no connection or no answer), orders by status %v, %d calls broken off\n", len(list), statuses, orders, broken)
	fmt.Print(summary)
	lines.WriteString(summary)
	if err := os.WriteFile(record, []byte(lines.String()), 0o644); err != nil {
		fail2("%v", err)
	}
	if len(list) < 100 {
		fail2("only %d calls were made", len(list))
	}
	if broken > 0 {
		exit(1)
	}
	exit(0)
}

// judge returns a text that begins with BROKEN if the call was passed on after a SIGTERM, and the daemon answered
// it itself while its run was at work, which would have ended within the grace time and the call's time.
func (c *call) judge(terms []time.Duration) string {
	for _, t := range terms {
		switch {
		case c.answered < t || c.answered > t+grace+time.Second:
		case !c.answer.connected || c.answer.sealed || c.begun == 0 || !c.dropped:
		case c.answer.status == 503 || c.answer.status == 429: // promises that it has not run; safe calls may have
		case c.answered-c.sent >= callLimit-100*time.Millisecond:
		case c.wouldEnd >= t+grace:
			return "would not end within the grace time"
		case c.sent <= t+excusedWithin:
			return "excused: sent within 3 s of the SIGTERM"
		default:
			return fmt.Sprintf("BROKEN: sent %.3f s after the SIGTERM, passed on, broken off after %.3f s of its run", (c.sent - t).Seconds(), (c.answered - c.begun).Seconds())
		}
	}
	return ""
}
