// Package balancer picks an upstream of one service for each attempt.
//
// # Choice
//
// A pick compares two random upstreams by (in-flight + 1) / weight times the
// estimated latency and takes the cheaper one. The estimate is a moving average,
// but at least the mean age of the attempts in flight, so that an upstream that
// hangs loses picks before it answers. Without new samples it returns to the
// median of the service within seconds. The cost of opening a connection is added
// for an upstream without an idle one, and the cost is multiplied after a recent
// failure.
//
// The pick stays in the local availability zone while the candidate found there
// has fewer attempts in flight than its learned concurrency limit or, while that is
// not known, its published slots, no recent failure, and at most twice the median
// latency outside the zone. Next comes the local region, then all upstreams. One
// pick in 64 ignores locality, so that the latency outside the zone is known.
//
// # Upstream states
//
// Each upstream is a machine of the state chart "upstream". A new incarnation
// starts cold and reaches its full weight 5 s after its first answer; upstreams of
// the first list have full weight from the start. An upstream is ejected after five
// consecutive failures, after one failure to connect or one backend_down, and when
// its latency is above four times the median of the service while slow attempts
// outnumber others by 10. At most a third of the upstreams that are not leaving is
// ejected at once, or one if there are two. An ejection lasts 0.5 s at first and
// doubles with each repetition up to 8 s, plus up to a quarter at random. The
// upstream is then probed with one attempt at a time; after three successful probes
// it returns to full weight within 1 s. A due probe waits up to 250 ms for a pick
// that is not of rank 0. When more than the allowed share is ejected because other
// upstreams left, all that are not leaving are used. An upstream that is leaving
// gets no attempts until a new incarnation replaces it.
//
// Incarnations are not ordered. A message with an earlier incarnation of the
// upstream counts as late, unless it answers an attempt that started after that
// incarnation was replaced.
//
// Connect failures, lost and truncated answers, crashes (including backend_down)
// and timeouts that took at least the median latency are failures. Refusals are not.
//
// # Thresholds
//
// Each reply reports which priorities the upstream refuses for a request kind. A
// pick avoids upstreams that would refuse it. If all would, it ends with
// resultcode.ShedEarly, except one in 50, which is let through so that an outdated
// threshold is corrected. Thresholds older than 1 s are ignored. Pick and Threshold
// apply to calls without a kind, which count as a kind of their own.
//
// # Contract
//
// Each pick that is used is followed by Started before the next pick, and by
// exactly one Done. Done without Started and unknown names are ignored. Times must
// not decrease; a time before the latest one counts as the latest. A Picker is not
// safe for concurrent use, has no clock and performs no I/O. Pick, Started and Done
// do not allocate, except while tables grow.
//
// # Limits
//
// In-flight counts are those of this daemon only; load from other callers is
// visible only through latency and thresholds. Latency is kept per upstream, not
// per request kind, which assumes the same mix of kinds on every upstream. At most
// 32 kinds have entries in the threshold table; further kinds share the last entry.
// A pick costs O(1) unless most upstreams refuse or are excluded. The medians cost
// O(n log n) every 100 ms.
package balancer
