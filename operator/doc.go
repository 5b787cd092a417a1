// Package operator provides the monitoring of a daemon: expvar counters and the
// pages of the operator listener.
//
// Counters holds one counter for each result code, each retry reason and each
// named event. The sets are fixed at compile time, so every counter exists with 0
// from the start. Counters are safe for concurrent use.
//
// NewHandler returns the pages /healthz, /upstreams and /debug/vars as an
// http.Handler, routed by iris. The daemon serves it with a plain http.Server:
// iris's own runner prints to the terminal and installs signal handlers, which
// would compete with the daemon's graceful shutdown.
//
// LimitMemory configures the garbage collector for a process of 32 MB.
package operator
