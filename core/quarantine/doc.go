// Package quarantine finds requests that crash the backend servers that run them.
//
// A Tracker records which calls run on the local backend server, also those that
// nobody waits for any more, until their deadline. When that server dies, all of them
// are suspects: each of their fingerprints gets a Report that names the dead
// incarnation of the backend server. Daemons exchange their reports, at times that
// Exchanges decides; merging them is a set union, so that a report that arrives twice
// counts once.
//
// Check returns Isolate for a fingerprint with at least one report: admission
// runs at most one isolated request at a time. Check is called when a request
// arrives and again when a queued request is about to start.
//
// Check returns Refuse after Threshold reports from distinct incarnations, of which
// those of runs that started before any crash was known count as one, unless
// the requests that ran at the same time explain the crashes of the fingerprint.
// They don't if all other suspects of one crash have been answered since, or if no
// two other suspects together account for all crashes. Two, because two faults can
// occur at once. A crash counts in this only if reports of all its suspects are
// known here; each Report carries their number. A rule that only counts reports
// would refuse harmless requests that are sent again as often as the cause, or that
// share their crashes with suspects that are not yet known here.
//
// The daemon that decides to refuse a fingerprint distributes the refusal as a
// Report of its own, so that the other daemons don't need all its evidence.
//
// An answered run clears its fingerprint. This clearance is distributed like a
// report and voids, in every tracker, all reports and refusals that are not newer.
//
// Entries expire TTL after their newest report, refusal or clearance. When the
// table is full, the oldest entry with the least evidence is evicted; a refused
// fingerprint and one with Threshold reports are never evicted, and a new one is
// dropped instead.
//
// Limits: a harmless request that ran at the same time as three or more different
// causes can be refused until its entry expires. Crashes that no request caused
// count as well. A daemon that gets no reports from others needs Threshold crashes
// of its own. Copies of a request that run at the same time on several backend servers
// are refused after more crashes than Threshold. A request that crashes backend
// servers only sometimes is cleared by each answered run. Requests with equal
// fingerprints are judged together.
//
// The package reads no clock, does no I/O and is not safe for concurrent use.
package quarantine
