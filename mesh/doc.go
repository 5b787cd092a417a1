// Package mesh implements the data path of a daemon that routes requests by host and path
// to upstreams that register themselves in a store.
//
// A daemon serves the callers and the backend server of its own VM. It finds the route and
// the service of a request, asks the daemon on the VM of an upstream for a slot over
// net/rpc, and sends the request when the slot is granted. An idempotent request is sent
// together with the request for the slot. The daemon on the VM of the upstream limits the
// concurrency of its backend server with a slots.Limiter.
//
// Decisions are made by core/routing, core/dispatch, core/slots, core/directory and
// core/replica under one lock; this package does the I/O around them. The names of headers
// and the encoding of store items are supplied through HeaderConvention, Store and Decoder.
//
// The store is only read. A daemon that gets no answer from the store updates its replica
// from its peers, which return the changes after the revision that it holds.
package mesh
