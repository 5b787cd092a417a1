package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
)

const (
	// spoiledShare is the share of its answers that a faulty upstream spoils.
	spoiledShare   = 0.05
	garbleClients  = 8
	garbleRequests = 300 // of each client
)

// wrongVersion spoils one byte of an answer: its version is HTTP/1.0.
func wrongVersion(answer string) string { return strings.Replace(answer, "HTTP/1.1", "HTTP/1.0", 1) }

// wrongSealName spoils one byte of an answer: the name of the field that holds the seal.
func wrongSealName(answer string) string {
	return strings.Replace(answer, "X-Hawthornpoint-Response-Seal", "X-Hawthornpoint-Response-Sesl", 1)
}

// playGarble returns the case in which one of two upstreams spoils some of its answers, whose bodies are chunked.
func playGarble(spoil spoiler) play {
	return func(binary string, trouble bool, record io.Writer) (broken bool, err error) {
		f, err := newFleet(binary, []string{"vitrina", "vitrina"}, []route{{"catalogo-ver", "/catalogo/", "safe", "vitrina", 6}})
		if f != nil {
			defer f.close()
		}
		if err != nil {
			return false, err
		}
		for _, v := range f.vms {
			v.chunked.Store(true)
		}
		if trouble {
			f.vms[1].spoil.Store(&spoil)
		}
		results := make([][]*request, garbleClients)
		var clients sync.WaitGroup
		for i := range results {
			clients.Go(func() {
				for j := range garbleRequests {
					r := newRequest("GET", fmt.Sprintf("/catalogo/%d", j))
					f.vms[i%len(f.vms)].send(r)
					results[i] = append(results[i], r)
				}
			})
		}
		clients.Wait()
		outcomes, mixed := make(map[string]int), 0
		for _, requests := range results {
			for _, r := range requests {
				outcomes[r.outcome()]++
				if !r.mixed {
					continue
				}
				mixed++
				fmt.Fprintf(record, "%s run by %d upstreams, %s, body %q\n", r.id, len(f.history.of(r.id)), r.outcome(), r.body)
			}
		}
		fmt.Fprintf(record, "%v\n%d of %d requests got a success without the seal, or with a body that is not the sealed one (MIXED allows none)\n",
			outcomes, mixed, garbleClients*garbleRequests)
		return mixed > 0, nil
	}
}
