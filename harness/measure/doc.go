// Package measure runs measurement cases over the decision core in virtual time.
//
// A Fleet joins one core/node.Node per configured place with a fake backend
// server, a network of fixed latencies and callers that arrive at random. A Loop
// delivers everything in the order of its virtual time. Nothing reads the wall
// clock, starts a goroutine or depends on the order of a map, so that equal
// seeds give equal figures.
//
// Three policies are measured in the same harness. "full" is core/node with the
// messages of the real daemon: calls, replies with their metadata, cancellation,
// ticks, control exchange. "none" sends to random upstreams and never refuses.
// "static" has a fixed limit with an equally long queue before each backend
// server, and retries on every hop.
//
// Limits: connections are not modelled, except that lost data is sent again after
// TCP's timeouts. A sender into a cut zone waits for its deadline, whereas a new
// connection would fail after a dial timeout. Latency has no jitter. The number of slots is scaled by
// Deployment.Scale, because the full size needs too many events for a test run.
package measure
