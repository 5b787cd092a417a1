// Package retry decides which failed attempts are sent again.
//
// Four rules apply. Ledger bounds the retries of one request over its whole call
// tree: a hop leases ceil(remaining/2) retries to every downstream call when the
// call starts, and the reply states how many of them were used. If the reply is
// lost, the whole lease counts as used, so that the bound holds although hops
// share no state. Budget bounds the retries towards one destination over all
// requests: a ratio of the successes of the last 10 s, or a minimum per second at
// low traffic, and none while refusals because of overload outnumber successes.
// Decide refuses retries that are unsafe or pointless. Backoff spreads the
// remaining ones over time. WindowBudget is one daemon's share of a bound that
// holds for the whole fleet.
//
// A request that is not idempotent is retried only after a code of kind NotRun.
// A call whose reply is marked RetriedBelow is never retried, so that one failure
// is retried by one hop only. A call with the code shed_early is never retried:
// upstreams further down refuse this priority on every path. Admit applies the
// first three rules, the budget last.
//
// Contract: before a hop sends a retry, it ends the lease of the failed attempt
// with Return and takes a new one. When the hop replies, it calls Close and
// reports the result as the retries used. Misuse is returned as an error and
// leaves the sum of used, leased and remaining retries unchanged; nothing panics.
//
// Limits: leases have no identity, so a second return is detected only when no
// other lease of the same size is open; the sum is preserved in any case. The
// minimum per second applies to each daemon and destination, so that the minimum of
// the fleet is that number times the daemons and destinations.
//
// Nothing in this package reads a clock or performs I/O. Only the pure functions
// are safe for concurrent use. Times are supplied by the caller and must not
// decrease.
package retry
