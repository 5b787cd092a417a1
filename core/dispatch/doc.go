// Package dispatch chooses the upstreams of requests and decides what to do when an upstream
// refuses, does not reply, or fails.
//
// A Dispatcher tracks each request as an OutgoingRequest: Open returns it, Next the first
// Step, and Report the Step that follows each attempt. An upstream is asked for a slot before
// the request is sent to it. Until the upstream grants one, the request provably has not run
// and may go to another upstream at no cost. Once it has been sent, only an idempotent request,
// or one that the backend server refused to run, is sent again, within the retry budget of
// its service and the number of upstreams that its route allows.
//
// Upstreams of the own availability zone are preferred while they have free slots and can
// meet the request's objective, because traffic between zones is expensive. Upstreams report
// their load and their run times with their replies. Between two replies, a daemon adds what it
// has sent itself. Run times are compared for each kind of request, so that they tell the speeds
// of upstreams with equal slots apart.
//
// Suspects, of which equal requests ran at a crash of an upstream, are asked for in one order by all
// daemons, which rendezvous hashing gives, so that copies of a request that crashes upstreams don't
// crash several at the same time.
//
// A Dispatcher reads no clock, starts no goroutine, and is not safe for concurrent use.
package dispatch
