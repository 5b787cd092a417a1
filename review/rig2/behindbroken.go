package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	documentBytes   = 300 << 10
	brokenShare     = 0.05 // of the answers of one upstream; the largest dose of garble
	pipelineClients = 8
	pipelinedBehind = 3
	pipelineTime    = 30 * time.Second
	mostUnanswered  = 3 // "more than three times"
)

// behindBroken sends pipelined safe requests. The first of each group goes to an upstream that breaks off some of
// its answers, the others to a sound one. It counts the others that the sound upstream has begun to run, and whose
// connection the daemon closes without an answer to them.
func behindBroken(binary, record string, trouble bool) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fail2("%v", err)
	}
	cleanup = append(cleanup, func() { _ = os.RemoveAll(dir) })
	st, p := newStore("127.0.0.1:0"), freePorts()
	newVM := func(i int, service string) *vm {
		return &vm{name: fmt.Sprintf("vm%d", i), ip: fmt.Sprintf("127.0.79.%d", i), zone: "z", service: service, p: p, dir: dir, store: st.addr, memoryMb: 284}
	}
	a, b := newVM(1, "documentos"), newVM(2, "vitrina")
	var mu sync.Mutex
	start, begun, brokenOff := time.Now(), map[string]time.Duration{}, map[string]bool{}
	document := strings.Repeat("d", documentBytes)
	serve(a.app(), func(c *serverConn, r *http.Request) bool {
		id := r.Header.Get(headerID)
		if !c.work(20 * time.Millisecond) {
			return false
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Length: %d\r\n\r\n", headerID, id, headerSeal, id, documentBytes)
		if trouble && rand.Float64() < brokenShare {
			mu.Lock()
			brokenOff[id] = true
			mu.Unlock()
			_, _ = io.WriteString(c, document[:documentBytes*2/3])
			return false
		}
		_, err := io.WriteString(c, document)
		return err == nil
	})
	serve(b.app(), func(c *serverConn, r *http.Request) bool {
		id := r.Header.Get(headerID)
		mu.Lock()
		begun[id] = time.Since(start)
		mu.Unlock()
		return c.work(60*time.Millisecond) && c.respond(id, 200)
	})
	born := time.Now().UnixMilli()
	st.entry("i-a", a.app(), "documentos", "z", "ready", 60, born, 1)
	st.entry("i-b", b.app(), "vitrina", "z", "ready", 60, born, 1)
	st.config(1, []route{
		{"documento", "h.example", "/d/", "documentos", "safe", 6, 2, 1, 1, nil},
		{"catalogo-ver", "h.example", "/v/", "vitrina", "safe", 6, 2, 1, 2, nil},
	}, []string{"documentos", "vitrina"}, nil)
	for _, v := range []*vm{a, b} {
		v.start(binary)
		cleanup = append(cleanup, v.stop)
	}
	if !a.awaitReady(10*time.Second) || !b.awaitReady(10*time.Second) {
		fail2("a daemon is not ready")
	}
	time.Sleep(4 * time.Second) // longer than stableS

	var lines strings.Builder
	groups, unanswered := 0, 0
	end := time.Now().Add(pipelineTime)
	var clients sync.WaitGroup
	for i := range pipelineClients {
		clients.Go(func() {
			var c *pipelineClient
			for n := 0; time.Now().Before(end); n++ {
				if c == nil {
					if c = dialPipeline(a.outbound()); c == nil {
						continue
					}
					// Afterwards the connection is a kept one.
					if lost := c.exchange([]string{fmt.Sprintf("c%d-%d-first", i, n)}); len(lost) > 0 {
						c.Close()
						c = nil
						continue
					}
				}
				ids := []string{fmt.Sprintf("c%d-%d-document", i, n)}
				for k := range pipelinedBehind {
					ids = append(ids, fmt.Sprintf("c%d-%d-page%d", i, n, k))
				}
				lost := c.exchange(ids)
				mu.Lock()
				groups++
				for _, id := range lost {
					if at, ran := begun[id]; ran && id != ids[0] {
						unanswered++
						fmt.Fprintf(&lines, "%8.3f request %s began to run at the sound upstream at %.3f; its connection was closed without an answer, as upstream broke off %s (%t)\n",
							time.Since(start).Seconds(), id, at.Seconds(), ids[0], brokenOff[ids[0]])
					}
				}
				mu.Unlock()
				if len(lost) > 0 {
					c.Close()
					c = nil
				}
			}
		})
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	summary := fmt.Sprintf("%d groups of pipelined requests, %d answers broken off by the upstream, %d requests passed on to the sound upstream and not answered\n", groups, len(brokenOff), unanswered)
	fmt.Print(summary)
	lines.WriteString(summary)
	if err := os.WriteFile(record, []byte(lines.String()), 0o644); err != nil {
		fail2("%v", err)
	}
	if groups < 100 {
		fail2("only %d groups were sent", groups)
	}
	if unanswered > mostUnanswered {
		exit(1)
	}
	exit(0)
}

// pipelineClient is a connection on which requests are pipelined.
type pipelineClient struct {
	net.Conn
	reader *bufio.Reader
}

func dialPipeline(outbound string) *pipelineClient {
	c, err := net.DialTimeout("tcp", outbound, time.Second)
	if err != nil {
		return nil
	}
	return &pipelineClient{c, bufio.NewReader(c)}
}

// exchange sends requests together and reads their answers in order. It returns the IDs of those without a
// complete answer.
func (c *pipelineClient) exchange(ids []string) (lost []string) {
	var text bytes.Buffer
	for _, id := range ids {
		prefix := "/v/"
		if strings.HasSuffix(id, "-document") {
			prefix = "/d/"
		}
		fmt.Fprintf(&text, "GET %sx HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: 5000\r\n\r\n", prefix, headerID, id, headerDeadline)
	}
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Write(text.Bytes()); err != nil {
		return ids
	}
	for i := range ids {
		r, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return ids[i:]
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || r.Close {
			return ids[i:]
		}
	}
	return nil
}
