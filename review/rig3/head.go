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
	headConnections    = 24
)

// playHead changes the timeout of a route to less than some of its requests take. Clients send such a HEAD request
// and a short GET request behind it on one connection; others send the same with GET only.
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
	lost := map[string]int{}
	late, long := map[string]int{}, map[string]int{}
	for _, method := range []string{"GET", "HEAD"} {
		var wait sync.WaitGroup
		var sent [][]*request
		for i := range headConnections {
			pair := []*request{newRequest(method, fmt.Sprintf("/catalogo/%d?work=%d", i, longWorkMS)), newRequest("GET", fmt.Sprintf("/catalogo/%d", i))}
			sent = append(sent, pair)
			v := f.vms[i%len(f.vms)]
			wait.Go(func() { v.send(pair...) })
		}
		wait.Wait()
		for _, pair := range sent {
			for _, r := range pair {
				runs := f.history.of(r.id)
				fmt.Fprintf(record, "%s %s %s sent %s, run by %d upstreams, %s after %s\n", r.id, r.method, r.target, r.sent, len(runs), r.outcome(), r.ended-r.sent)
				if len(runs) > 0 && r.status == 0 {
					lost[method]++
				}
			}
			if r := pair[0]; longWorkMS > timeout*1000 {
				long[method]++
				if r.status == 0 || (r.ended-r.sent).Seconds() > timeout+lateS {
					late[method]++
				}
			}
		}
	}
	for _, method := range []string{"GET", "HEAD"} {
		fmt.Fprintf(record, "with a long %s first: %d requests were passed on and their connection closed without an answer (LOST allows %d); "+
			"of %d requests that exceeded the timeout %d had no answer %v s after it (CONFIG: under 8, or a quarter)\n",
			method, lost[method], mostLost, long[method], late[method], lateS)
		broken = broken || lost[method] > mostLost || late[method] > mostLate && 4*late[method] > long[method]
	}
	return broken, nil
}
