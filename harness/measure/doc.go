// Package measure runs measurement cases over the decision core in virtual time.
//
// A Fleet simulates one core/node.Node and one fake backend server per configured
// upstream, together with a network of fixed latencies and callers whose requests
// arrive at random. A Loop runs all events in the order of virtual time. Nothing
// reads the wall clock, starts a goroutine or depends on the iteration order of a
// map, so that equal seeds give equal figures.
//
// Three policies are measured in the same harness. "full" is core/node with the
// messages of the real daemon: calls, replies with their metadata, cancellation,
// ticks and control exchanges. "none" sends to random upstreams and never refuses.
// "static" has a fixed concurrency limit with an equally long queue in front of
// each backend server, and retries on every hop.
//
// Limitations: connections are not modelled, except that lost data is
// retransmitted after TCP's timeouts. A sender to an isolated zone waits for its
// deadline, whereas a new connection would fail after a dial timeout. Latency has
// no jitter. The number of slots is scaled by Deployment.Scale, because a fleet of
// full size needs too many events for a test run.
package measure
