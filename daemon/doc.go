// Package daemon implements the process that runs beside one backend server: its
// listeners, the forwarding of calls, and the timers of the control exchange. All
// decisions are made by core/node; this package carries them out.
//
// A daemon has five listeners: callers and egress, on which callers and the local backend
// server open calls; peers, on which peers forward calls to the local backend server;
// control, for the control exchange over net/rpc; and operator, on which operators read
// counters and health. New opens nothing, Start opens the listeners, Shutdown drains and
// closes everything; no goroutine outlives it.
package daemon
