package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// configWait exceeds configApplyS, 2 s, and stableS, 3 s.
	configWait = 4 * time.Second
	// longWorkMS is longer than the changed timeout of the route and shorter than its first one.
	longWorkMS = 1500
	// mostLost is how often LOST allows a request that was passed on to end without an answer, and mostLate how many
	// requests that exceed their timeout CONFIG allows to have no answer lateS after it.
	mostLost, mostLate = 3, 7
	lateS              = 0.5
	headRequests       = 24 // of each method
)

// playHead changes the timeout of a route to less than some of its requests take. Clients send such requests with GET
// and with HEAD, each on a kept connection that has answered a request before.
func playHead(binary string, trouble bool, record io.Writer) (broken bool, err error) {
	timeout := 6.0
	routes := []route{{"catalogo-ver", "/catalogo/", "safe", "vitrina", timeout}}
	f, err := newFleet(binary, []string{"vitrina", "vitrina", "vitrina"}, routes)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	if trouble {
		timeout = 1
		routes[0].timeoutS = timeout
		f.store.putConfig(2, routes)
		fmt.Fprintf(record, "%s: configuration 2 acknowledged, timeoutS of /catalogo/ is %v\n", f.now(), timeout)
	}
	time.Sleep(configWait)
	for _, method := range []string{"GET", "HEAD"} {
		long := sendLong(f, method)
		lost, late := 0, 0
		for _, r := range long {
			runs, took := f.history.of(r.id), r.ended-r.sent
			fmt.Fprintf(record, "%s %s %s sent %s, run by %d upstreams, %s after %s\n", r.id, r.method, r.target, r.sent, len(runs), r.outcome(), took)
			if len(runs) > 0 && r.status == 0 {
				lost++
			}
			if longWorkMS > timeout*1000 && (r.status == 0 || took.Seconds() > timeout+lateS) {
				late++
			}
		}
		fmt.Fprintf(record, "%d %s requests: %d were passed on and their connection closed without an answer (LOST allows %d); "+
			"%d that exceeded their timeout had no final answer %v s after it (CONFIG: under 8, or a quarter)\n", len(long), method, lost, mostLost, late, lateS)
		broken = broken || lost > mostLost || late > mostLate && 4*late > len(long)
	}
	return broken, nil
}

// sendLong sends requests that take longWorkMS at the same time, each on a connection of its own, behind the answer to a short one.
func sendLong(f *fleet, method string) []*request {
	var long []*request
	var clients sync.WaitGroup
	for i := range headRequests {
		r := newRequest(method, fmt.Sprintf("/catalogo/%d?work=%d", i, longWorkMS))
		long = append(long, r)
		clients.Go(func() { f.vms[i%len(f.vms)].sendInTurn(newRequest("GET", "/catalogo/first"), r) })
	}
	clients.Wait()
	return long
}
