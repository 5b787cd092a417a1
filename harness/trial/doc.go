// Package trial runs a bundled deployment in one process: a stand-in platform, a
// stand-in backend server and a daemon for every place, over TCP on loopback. It
// sends requests down the call graph, lets one upstream slow down and one leave,
// and reports how each kind of request fared and whether an invariant broke.
package trial
