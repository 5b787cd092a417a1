package faults

// otherCells returns the cells that are proved by a test other than TestFaultMatrix, and
// those that are not proved.
func otherCells() []cell {
	return []cell{
		{fault: "nonsensical answer of the backend server", step: string(answering), invariants: "3 4", test: "TestNonsenseFromTheBackend"},
		{fault: "body above the limit or of unknown length", step: string(received), invariants: "3 4", test: "TestLargeBodies"},
		{fault: "caller sends its header or body slowly", step: string(received), invariants: "4", test: "TestSlowCallers"},
		{fault: "unknown method or odd path", step: string(received), invariants: "4", test: "TestMethodsAndPaths"},
		{fault: "egress call of a run that has ended", step: string(answered), invariants: "1 4", test: "TestEgressAfterTheRun"},
		{fault: "daemon closed while the platform stays", step: gone, invariants: "7", test: "TestNoGoroutineAfterClose"},
		{fault: "daemon process stopped by SIGSTOP and continued", step: string(sent), invariants: "4 5", test: "TestDaemonKilledAndFrozen (package e2e)"},
		{fault: "pairs of faults at random", step: "any", invariants: "1 3 4 5 7 8", test: "TestRandomPairs"},
		{fault: "homes restarted, paused and replaced, list wrong, re-sends", step: "any", invariants: "1 3 4 5 8", test: "TestHardest"},
		{fault: "clocks of two VMs differ within the bound", step: string(resent), invariants: "5",
			unprovedReason: "a fleet has one virtual clock; the random tests of core/idempotency vary clocks"},
		{fault: "clocks of two VMs differ beyond the bound across a restart", step: string(resent), invariants: "5",
			unprovedReason: "not guaranteed by the design"},
		{fault: "home replaced while it serves, cut off, and one key sent to both", step: string(resent), invariants: "5",
			unprovedReason: "not guaranteed by the design"},
		{fault: "call read from a socket after its sender gave up", step: string(received), invariants: "4",
			unprovedReason: "no cell fails without the absolute expiry"},
		{fault: "regions lose contact with each other", step: "any", invariants: "1 3 4 5 8",
			unprovedReason: "the fleet has one region; partition and heal covers six daemons"},
	}
}
