// Package faults tests the daemon under failure: it runs a fleet of real daemons and
// stand-in backend servers on an in-memory network, in virtual time.
//
// The tests inject one fault at one step of a request, a configuration or a stop
// (TestFaultMatrix), or several faults at random (TestRandomPairs, TestHardest), and
// compare the results that callers received with what the backend servers ran. The
// table of the cells is in docs/FAULTS.md; TestFaultTable compares and writes it.
package faults
