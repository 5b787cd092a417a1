// Package node combines the decision packages of core into the decisions of one
// daemon.
//
// A Node has two sides. The client side opens calls for callers and for the
// local backend server, picks upstreams and decides about retries (Open, Report).
// The server side admits calls to the local backend server (Arrive, Done, Cancel,
// Tick). The control side merges digests from peers, the platform's list of VMs and
// configurations, and starts the graceful shutdown (Receive, SetVMs, Offer, Leave).
//
// A Node has no clock, socket or goroutine and is not safe for concurrent use.
// Every method takes the current time, which must not go backwards. The same
// sequence of inputs and the same random source give the same decisions.
package node
