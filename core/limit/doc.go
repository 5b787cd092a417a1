// Package limit adapts the number of requests that one backend server runs at once
// to the latencies and drops that are observed.
//
// The limit starts at the published slots and stays between 1 and that number. It
// does not go above them: trials of a higher limit on a server that had no more
// slots looked like a slowdown afterwards, and the cut that followed refused
// requests of rank 0 that fit. Latencies are divided by a long-run minimum of the
// mean latency of the same request kind, so that a change in the mix of kinds is
// not taken for a change of the server. The mean of these ratios over a window of
// at least 100 ms drives the limit:
//
//   - A ratio above 1.5 in two windows while the limit is reached starts an
//     experiment: the limit is cut to between 0.6 and 0.65 of its value. A server
//     that queues internally answers faster after the cut, and the limit goes to
//     where a ratio of 1.2 is expected. A server whose every run has become slower
//     does not, and a lower limit would only lose throughput: the latency is then
//     the new minimum and the limit returns to its value before the experiment.
//     This is how the minimum rises under load. Without load it follows the mean
//     latency slowly.
//   - A ratio below 1.2 lets the limit grow up to the slots, by half in the first
//     window and to twice its value in each window directly after one.
//   - When the server drops requests, the limit falls to the number that it ran at
//     once, to 0.6 of its value at least, and grows by one per window for a second
//     afterwards.
//
// After a change of the limit, the answers during two mean run times are left out, and
// so are the latencies of requests started before the change, because they reflect the
// earlier limit.
//
// Limits: slots that a server has beyond the published ones are not used; the
// published slots are taken to be the right limit to return to; up to 1.5 times the
// usable slots of a degraded server are used before the limit is cut; a server that
// drops everything brings the limit to 1, and growth from there is by one per window
// for the first second without a drop. At most MaxKinds kinds have a minimum of their
// own and the rest share one. Cost is O(1) per sample and O(MaxKinds) per window. A
// Limiter has no clock and is not safe for concurrent use.
package limit
