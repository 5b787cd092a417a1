// Package idempotency keeps the records that let a non-idempotent request run at
// most once.
//
// A request is identified either by the caller's key, a version 7 UUID, or by a
// token. A key has one home among the configured upstreams (Home); a token names one
// process. The Table of that process decides about every attempt to send the
// request: Run it, Join an earlier attempt, Replay its answer, or Refuse with a
// code. A code of kind NotRun applies to that one attempt only. The table checks its
// invariants and reports a violation through Config.OnViolation.
//
// Contract: an attempt that got Run calls MarkSent immediately before it writes to
// the backend server, writes only if MarkSent returned true, and then calls Finish,
// or MarkRefused if it has proof that the backend server did not run the request. An
// attempt that ends before MarkSent calls MarkNotRun. Calls by attempts that do not
// own the record are ignored. Before Begin is called for a key, Home and HomeMoving
// must have shown that the upstream of the process is the home of the key.
//
// A record is kept until the time in its key or token plus TTL, whatever its state;
// an attempt after that is refused as expired. The table is bounded by records and
// by bytes of stored answers; it never evicts a record that has not expired. Each
// call does a bounded number of heap operations; dropping stored answers costs
// amortised constant time.
//
// Limits: a request that carries a key and a token is refused, because their homes
// may differ. Whether a key may have run at an earlier incarnation is decided only
// by the time in the key, which needs clocks within Skew of each other across the
// restart. The fence is the latest time of a key that an earlier incarnation may have
// run. Two processes of the same service and upstream name that run at once can each
// run a key that is newer than the fence, until LaterIncarnation is called in the
// earlier one. A process that was paused suspends new keys (SuspendNewKeys) before
// it handles the next call, and resumes them when it knows that it was not replaced.
//
// Nothing here is safe for concurrent use, reads a clock or does I/O.
package idempotency
