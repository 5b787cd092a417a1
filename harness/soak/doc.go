// Package soak plays a deployment of daemons as processes of their own and checks the recorded
// history of it.
//
// A run starts a binary once for each VM as "sidecar", each on a loopback address of its own, beside
// stand-ins of the metadata store and of the backend servers (platform/platformtest). Callers keep
// connections open, pipeline, send slowly, read slowly and leave; backend servers call other services
// through the daemon of their VM. Faults are drawn from a seed: signals, restarts, new settings and
// configurations, backend servers that drain, end, crash, slow down, reject or answer incorrectly, and
// a store that is away. The seed fixes the faults and their order; processes and network remain free,
// so that a seed narrows a failure down and does not repeat it exactly.
//
// Every request, run, signal and fault is recorded in a History. Check decides from it alone which
// promises were broken, so that it is tested with histories that need no run:
//
//	LOST     a request that was passed on, or that waited for longer than the allowance, and whose
//	         connection ended without a complete answer; or whose run a stopping daemon broke off
//	TWICE    a request that may run once ran more often
//	REFUSED  a request that may run once was answered "not run" and ran
//	MIXED    an answer of another request, or an incomplete or changed one that looks complete
//	FAULT    a process that ended by itself or with an error, exceeded its memory limit or its grace
//	         time, or logged a panic or a data race
//
// The binary is given by its path: the same run can be played on an earlier version.
package soak
