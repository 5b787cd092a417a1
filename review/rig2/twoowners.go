package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	quotaMachines  = 6
	cutMachines    = 2 // a share of 0.33
	cutTime        = 12 * time.Second
	entryLife      = 4500 * time.Millisecond // three ping intervals
	quotaPause     = 6 * time.Second
	quotaRate      = 60.0
	quotaBurst     = 60.0
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.25
	quotaSlack     = 20.0
	// usualShare is the usual demand of the tenant as a share of its quota, and hotFactor how many times that
	// it sends.
	usualShare = 1 / 1.6
	hotFactor  = 7.5
)

// quotaRun is a request of the tenant that an upstream has run. Times are since the start of the script.
type quotaRun struct{ sent, arrived time.Duration }

// twoOwners cuts some machines off from the store while a tenant sends more than its quota, and counts the requests
// of the tenant that run.
func twoOwners(binary, record string, trouble bool) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fail2("%v", err)
	}
	cleanup = append(cleanup, func() { _ = os.RemoveAll(dir) })
	st, p := newStore("127.0.0.1:0"), freePorts()
	var mu sync.Mutex
	start, sent, runs, statuses := time.Now(), map[string]time.Duration{}, []quotaRun(nil), map[string]int{}
	now := func() time.Duration { return time.Since(start) }
	var vms []*vm
	var gates []*gate
	born := time.Now().UnixMilli()
	put := func(i int, sequence int64) {
		st.entry(fmt.Sprintf("i-%d", i+1), vms[i].app(), "catalog", vms[i].zone, "ready", 60, born, sequence)
	}
	for i := range quotaMachines {
		g := newGate(st.addr)
		v := &vm{name: fmt.Sprintf("vm%d", i+1), ip: fmt.Sprintf("127.0.82.%d", i+1), zone: fmt.Sprintf("z%d", i%3), service: "catalog", p: p, dir: dir, store: g.addr, memoryMb: 284,
			bounds: map[string]any{"failClosed": true, "revokeS": 5, "quotaWindowS": quotaWindow.Seconds(), "quotaOvershoot": quotaOvershoot, "quotaSlack": quotaSlack}}
		vms, gates = append(vms, v), append(gates, g)
		serve(v.app(), func(c *serverConn, r *http.Request) bool {
			id := r.Header.Get(headerID)
			mu.Lock()
			runs = append(runs, quotaRun{sent[id], now()})
			mu.Unlock()
			return c.work(10*time.Millisecond) && c.respond(id, 200)
		})
		put(i, 1)
	}
	st.config(1, []route{{"core-browse", "h.example", "/c/", "catalog", "safe", 5, 1.2, 1, 2, false}}, []string{"catalog"}, []tenant{{"hot", []string{"key-of-hot"}, quotaRate, quotaBurst}})
	for _, v := range vms {
		v.start(binary)
		cleanup = append(cleanup, v.stop)
	}
	for _, v := range vms {
		if !v.awaitReady(15 * time.Second) {
			fail2("%s is not ready", v.name)
		}
	}
	time.Sleep(2 * time.Second)

	end := make(chan struct{})
	var clients sync.WaitGroup
	demand := quotaRate * usualShare * hotFactor // requests a second at all machines
	interval := time.Duration(quotaMachines / demand * float64(time.Second))
	for m := range quotaMachines {
		clients.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				case <-ticker.C:
				}
				clients.Go(func() {
					id := fmt.Sprintf("m%d-%d", m+1, n)
					mu.Lock()
					sent[id] = now()
					mu.Unlock()
					status := sendWithKey(vms[m].outbound(), id, "key-of-hot")
					mu.Lock()
					statuses[fmt.Sprintf("%d", status)]++
					mu.Unlock()
				})
			}
		})
	}
	var lines strings.Builder
	sequence := int64(1)
	for first := 0; first < quotaMachines; first += cutMachines {
		time.Sleep(quotaPause)
		if !trouble {
			time.Sleep(cutTime)
			continue
		}
		fmt.Fprintf(&lines, "%8.3f vm%d and vm%d are cut off from the store\n", now().Seconds(), first+1, first+cutMachines)
		for i := first; i < first+cutMachines; i++ {
			gates[i].shut.Add(1)
		}
		time.Sleep(entryLife)
		fmt.Fprintf(&lines, "%8.3f the store removes the entries of their upstreams, which it has not heard of\n", now().Seconds())
		for i := first; i < first+cutMachines; i++ {
			st.remove(fmt.Sprintf("servers/i-%d", i+1))
		}
		time.Sleep(cutTime - entryLife)
		fmt.Fprintf(&lines, "%8.3f they reach the store again, which lists their upstreams\n", now().Seconds())
		sequence++
		for i := first; i < first+cutMachines; i++ {
			gates[i].shut.Add(1)
			put(i, sequence)
		}
	}
	time.Sleep(3 * time.Second)
	close(end)
	clients.Wait()

	mu.Lock()
	defer mu.Unlock()
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOvershoot) + quotaSlack
	// A run counts in a window that holds both its sending and its arrival.
	sort.Slice(runs, func(i, j int) bool { return runs[i].sent < runs[j].sent })
	most, at, broken := 0, time.Duration(0), 0
	for i, r := range runs {
		n := 0
		for _, q := range runs[i:] {
			if q.sent > r.sent+quotaWindow {
				break
			}
			if q.arrived <= r.sent+quotaWindow {
				n++
			}
		}
		if n > most {
			most, at = n, r.sent
		}
		if float64(n) > bound {
			broken++
		}
	}
	perSecond := map[int]int{}
	for _, r := range runs {
		perSecond[int(r.sent/time.Second)]++
	}
	for s := 0; s <= int(now()/time.Second); s++ {
		fmt.Fprintf(&lines, "second %d: %d requests ran\n", s, perSecond[s])
	}
	summary := fmt.Sprintf("%d requests sent, answers %v, %d ran; most in a window of %v: %d from %.3f s on, bound %.0f\n", len(sent), statuses, len(runs), quotaWindow, most, at.Seconds(), bound)
	fmt.Print(summary)
	lines.WriteString(summary)
	if err := os.WriteFile(record, []byte(lines.String()), 0o644); err != nil {
		fail2("%v", err)
	}
	if float64(len(runs)) < quotaRate*30 {
		fail2("only %d requests ran", len(runs))
	}
	if broken > 0 {
		exit(1)
	}
	exit(0)
}

// sendWithKey sends a safe request with a key and returns the status of its answer, 0 for none.
func sendWithKey(outbound, id, key string) int {
	c, err := net.DialTimeout("tcp", outbound, time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "GET /c/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer %s\r\n%s: %s\r\n%s: 5000\r\n\r\n", key, headerID, id, headerDeadline)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}
