package slots

import "time"

// maxFlows bounds the tenants that are told apart. Further ones share one place in the order.
const maxFlows = 1024

// flow is what the requests of one tenant and rank have in common.
type flow struct {
	rank   int
	tenant string
}

// fairOrder orders the queued requests of each rank by start-time fair queueing: a request is tagged with
// the time at which it would start if the tenants that wait shared one slot equally. The requests of a
// flow keep their order of arrival.
type fairOrder struct {
	// finish is the virtual time at which the latest request of a flow would end, and virtual the
	// tag of the latest start by rank.
	finish  map[flow]time.Duration
	virtual map[int]time.Duration
}

func newFairOrder() fairOrder {
	return fairOrder{finish: make(map[flow]time.Duration), virtual: make(map[int]time.Duration)}
}

func (o *fairOrder) flowOf(r *Request) flow {
	f := flow{rank: r.Rank, tenant: r.Tenant}
	if _, known := o.finish[f]; !known && len(o.finish) >= maxFlows {
		f.tenant = ""
	}
	return f
}

// tag returns the tag of a request that arrives now.
func (o *fairOrder) tag(r *Request) time.Duration {
	return max(o.virtual[r.Rank], o.finish[o.flowOf(r)])
}

// add charges a request that starts or is queued with a tag to its flow, and returns the charge. Requests
// without tenant, such as the calls of upstreams for all tenants, together weigh as much as all tenants.
func (o *fairOrder) add(r *Request, tag, run time.Duration) time.Duration {
	f := o.flowOf(r)
	if f.tenant == "" {
		run /= time.Duration(max(len(o.finish), 1))
	}
	o.finish[f] = tag + run
	return run
}

// started records the start of a request.
func (o *fairOrder) started(r *Request, tag time.Duration) {
	o.virtual[r.Rank] = max(o.virtual[r.Rank], tag)
}

// remove takes back the charge of a queued request that does not start.
func (o *fairOrder) remove(r *Request, charge time.Duration) {
	f := o.flowOf(r)
	if finish, known := o.finish[f]; known {
		o.finish[f] = max(finish-charge, 0)
	}
}

// forgetIdle drops the flows that have no advantage or debt left; all of them if nothing is queued.
func (o *fairOrder) forgetIdle(queued int) {
	if queued == 0 {
		clear(o.finish)
		clear(o.virtual)
		return
	}
	for f, finish := range o.finish {
		if finish <= o.virtual[f.rank] {
			delete(o.finish, f)
		}
	}
}
