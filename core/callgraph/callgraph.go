// Package callgraph learns which kinds of request are calls that upstreams make for requests
// they run, as opposed to requests of clients.
//
// Neither the configuration nor a request says so. Clients live on the VMs of all services
// and send every kind of theirs from all of them; a call comes only from the VMs of the
// services that make it. A kind that some service has never sent, although enough
// requests have come to expect it, is therefore a call. An Observer is not safe for
// concurrent use.
package callgraph

const (
	// expectedUnseen is how many requests of a service must be expected, and none seen,
	// before their absence counts: by chance that happens once in 8,000 times.
	expectedUnseen = 9
	// historyLimit halves the counts of a kind when they reach it, so that a change of the
	// graph is learned.
	historyLimit = 4000
	// maxKinds bounds the kinds that are observed.
	maxKinds = 512
)

// Observer counts the requests that arrive at one upstream.
type Observer struct {
	kinds map[string]map[string]int // by kind and service of origin
	// vms holds the number of VMs of each service from which requests may come.
	vms   map[string]int
	total int
}

// New returns an observer that knows nothing.
func New() *Observer { return &Observer{kinds: make(map[string]map[string]int)} }

// SetFleet sets the number of VMs of each service from which requests may come: those that
// prefer this upstream.
func (o *Observer) SetFleet(vms map[string]int) {
	o.vms, o.total = vms, 0
	for _, n := range vms {
		o.total += n
	}
}

// Observe counts one request.
func (o *Observer) Observe(kind, origin string) {
	counts := o.kinds[kind]
	if counts == nil {
		if len(o.kinds) >= maxKinds {
			clear(o.kinds)
		}
		counts = make(map[string]int)
		o.kinds[kind] = counts
	}
	counts[origin]++
	if sum(counts) >= historyLimit {
		for service, n := range counts {
			counts[service] = n / 2
		}
	}
}

// IsCall reports whether requests of the kind are made by upstreams.
func (o *Observer) IsCall(kind string) bool {
	counts := o.kinds[kind]
	seen := sum(counts)
	for service, n := range o.vms {
		if counts[service] == 0 && seen*n >= expectedUnseen*o.total {
			return true
		}
	}
	return false
}

func sum(counts map[string]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
