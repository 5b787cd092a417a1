// Package dispatch chooses the upstreams of requests and decides what follows when one
// refuses, is silent, or fails.
//
// A Dispatcher follows each request as a Flight: Open, then one Step after the other, each
// answered by a Report. A request is asked for at an upstream before it is sent, and until
// the upstream agrees it provably has not run; it may then go elsewhere at no cost. After
// that, only an idempotent request is sent again, within the budget of its service and
// the number of upstreams that its route allows.
//
// Upstreams of the own zone are preferred while they have room and can meet the request's
// objective, because traffic between zones is dear. What is known of an upstream's load
// comes with its replies; between two of them, a daemon counts what it has sent itself.
//
// A Dispatcher is pure: it has no clock, starts nothing, and is not safe for concurrent use.
package dispatch
