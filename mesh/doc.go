// Package mesh is the data path of a daemon that routes requests by host and path to
// upstreams that register themselves in a store.
//
// A daemon serves the callers and the backend server of its own VM. It finds the route and
// the service of a request, asks the daemon beside an upstream for a slot over net/rpc, and
// sends the request when the slot is granted; idempotent requests travel with the question.
// The daemon beside the upstream keeps a station of slots in front of its backend server.
//
// Decisions are made by core/routing, core/dispatch, core/slots, core/directory and
// core/replica under one lock; this package does the I/O around them. Names of headers,
// and the encoding of store items, come from outside through Dialect and Store.
//
// The store is only read. A daemon that the store does not answer brings its replica up to
// date from its peers, which answer with what changed after the revision that it holds.
package mesh
