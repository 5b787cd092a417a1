package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
)

// wrongStatus spoils an answer: its status says that the request was not run, but the field that states it is missing.
func wrongStatus(answer string) string { return strings.Replace(answer, "200 OK", "503 OK", 1) }

// playRefused lets one of two upstreams spoil some of its answers to orders. A client sends an order once more, as a request
// of its own, when it was answered that the order has not run.
func playRefused(binary string, trouble bool, record io.Writer) (broken bool, err error) {
	f, err := newFleet(binary, []string{"pedidos", "pedidos"}, []route{{"lote-confirmar", "/lote/", "unsafe", "pedidos", 6}})
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	if trouble {
		spoil := spoiler(wrongStatus)
		f.vms[1].spoil.Store(&spoil)
	}
	orders := make([][][]*request, garbleClients) // by client; the requests of each order
	var clients sync.WaitGroup
	for i := range orders {
		clients.Go(func() {
			for j := range garbleRequests {
				var attempts []*request
				for len(attempts) < 2 && (len(attempts) == 0 || attempts[0].status == 503) {
					r := newRequest("POST", fmt.Sprintf("/lote/%d-%d", i, j))
					f.vms[i%len(f.vms)].send(r)
					attempts = append(attempts, r)
				}
				orders[i] = append(orders[i], attempts)
			}
		})
	}
	clients.Wait()
	outcomes, refusedAndRun, twice := make(map[string]int), 0, 0
	for _, ofClient := range orders {
		for _, attempts := range ofClient {
			runs := 0
			for _, r := range attempts {
				outcomes[r.outcome()]++
				ran := len(f.history.of(r.id))
				runs += ran
				if r.status == 503 && ran > 0 {
					refusedAndRun++
					fmt.Fprintf(record, "%s POST %s run by %s, %s\n", r.id, r.target, f.history.of(r.id)[0].upstream, r.outcome())
				}
			}
			if runs > 1 {
				twice++
				fmt.Fprintf(record, "  order %s was run %d times\n", attempts[0].target, runs)
			}
		}
	}
	fmt.Fprintf(record, "%v\n%d requests that may run once were answered 503 and had run (REFUSED allows none); %d of %d orders were run twice, since their clients sent them again\n",
		outcomes, refusedAndRun, twice, garbleClients*garbleRequests)
	return refusedAndRun > 0, nil
}
