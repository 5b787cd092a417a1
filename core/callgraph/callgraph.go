// Package callgraph infers which kinds of request are calls that upstreams make while they
// run other requests, as opposed to requests of clients.
//
// Neither the configuration nor the request states this. Clients run on the VMs of all
// services and send each of their kinds from all of them; a call comes only from the VMs of
// the services that make it. A kind is therefore a call if no request of it has come from the
// VMs of some service, although enough would be expected from their share of the VMs. An
// Observer is not safe for concurrent use.
package callgraph

const (
	// minExpected is the number of requests of a kind that must be expected from the VMs of
	// a service before their absence makes the kind a call. If 9 are expected, none arrives
	// by chance once in 8,000 times.
	minExpected = 9
	// decayThreshold is the sum of the counts of a kind at which they are halved, so that
	// changes of the call graph are detected.
	decayThreshold = 4000
	// maxKinds bounds the number of kinds that are counted. A further one clears all counts.
	maxKinds = 512
)

// Observer counts the requests that arrive at one upstream.
type Observer struct {
	kinds map[string]map[string]int // by kind and service of the sending VM
	// vms is the number of VMs of each service from which requests may come.
	vms      map[string]int
	totalVMs int
}

// New returns an Observer without observations.
func New() *Observer { return &Observer{kinds: make(map[string]map[string]int)} }

// SetOriginVMs sets the number of VMs of each service from which requests may come: those
// that prefer this upstream.
func (o *Observer) SetOriginVMs(vms map[string]int) {
	o.vms, o.totalVMs = vms, 0
	for _, n := range vms {
		o.totalVMs += n
	}
}

// Observe counts one request of a kind. origin is the service of the VM that sent it.
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
	if sum(counts) >= decayThreshold {
		for service, n := range counts {
			counts[service] = n / 2
		}
	}
}

// Origin says where the requests of a kind come from.
type Origin uint8

// Origins of Classify.
const (
	// Unknown: too few requests were observed.
	Unknown Origin = iota
	// Client: clients send them.
	Client
	// Call: upstreams make them while they run other requests.
	Call
)

// Classify returns the origin of the requests of a kind.
func (o *Observer) Classify(kind string) Origin {
	counts := o.kinds[kind]
	seen := sum(counts)
	origin := Client
	for service, n := range o.vms {
		switch {
		case n == 0 || counts[service] > 0:
		case seen*n >= minExpected*o.totalVMs:
			return Call
		default:
			origin = Unknown
		}
	}
	if seen == 0 {
		return Unknown
	}
	return origin
}

func sum(counts map[string]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
