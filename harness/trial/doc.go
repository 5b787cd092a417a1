// Package trial runs a bundled deployment in one process: a stand-in platform, and
// a stand-in backend server and a daemon for every VM, over TCP on loopback. It
// sends requests into the call graph, slows one upstream down, removes another,
// and reports the results for each kind of request and whether an invariant was
// violated.
package trial
