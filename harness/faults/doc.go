// Package faults proves the daemon under failure: a fleet of real daemons and
// stand-in backend servers on an in-memory network, in virtual time.
//
// The tests inject one fault at one step of a request, a configuration or a stop
// (TestFaultMatrix), or several faults at random (TestRandomPairs, TestHardest), and
// compare what callers were told with what the backend servers ran. The table of
// proved cells is docs/FAULTS.md; the tests write it.
package faults
