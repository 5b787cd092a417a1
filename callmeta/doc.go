// Package callmeta defines the data that daemons exchange about a call: its metadata
// (Meta), its result (Reply), and the HTTP headers that carry them.
//
// Remaining time is sent instead of an absolute deadline, so that the clocks of
// two VMs need not agree. Every daemon computes a call's priority from the rank and
// the request ID alone, so that all hops shed calls in the same order.
package callmeta
