// Package admission decides which requests one backend server runs, which are
// queued and which are refused.
//
// Arrive starts a request while fewer requests run than the adaptive concurrency
// limit allows (package limit), queues it when no slot is free, and refuses it when
// its priority value is at or above the threshold. The queue is ordered by
// priority, then by arrival; when it is full, a more important arrival evicts the
// least important entry. Done reports the end of a run and returns the queued
// requests that start or are dropped as a result. Every request gets exactly one
// final answer: a refusal in its Decision, a Refusal in the Decision of the arrival
// that evicted it, an Event with a Code, or the Done call of its own run.
//
// The threshold is set every 50 ms from a smoothed histogram of arriving
// priorities, so that what arrives below it matches what completes plus the free
// slots. It is lowered at once when the queue is full. While slots are free and
// the queue is empty it is not lowered. In one interval it rises by at most one
// rank, counted from the first refused level at which requests arrive.
//
// A queued request is dropped at its deadline (queue_timeout), or when its
// remaining time is less than the typical run time of its kind
// (deadline_too_short). The typical run time is a moving average which is halved
// repeatedly while no run of the kind ends; otherwise a slow period could leave a
// value that refuses every request and is never corrected.
//
// At most one isolated request runs at a time; other requests may run at the same
// time as it.
//
// Invariants, reported through Config.OnViolation: a request of rank 0 is refused
// for overload (shed, queue_full) only when no less important rank is admitted or
// queued; Done is called once for each started request; the queue stays within
// its limit.
//
// Limits: a running request is never stopped, so a request of rank 0 can wait for
// less important runs to end, and can expire while it does. Arrivals refused by
// daemons closer to the caller (shed_early) are not in the histogram, hence the
// bounded rate at which the threshold rises. Memory is bounded by the slots, the
// queue limit and the bounded number of kinds. Calls cost O(log n) in the number
// of queued requests; the update every 50 ms is linear in the number of priority
// levels. A Controller has no clock and is not safe for concurrent use.
package admission
