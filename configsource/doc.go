// Package configsource reads the configuration service and the platform's VM list.
//
// Both are outside systems that can be down, slow, outdated or answer nonsense.
// The HTTP clients bound the time and the size of an answer, refuse redirects, and
// report everything that is not a well-formed answer as an error; what an envelope
// or list contains is judged by packages config and membership. Each read is
// counted, failed ones too, because the service's capacity is counted in reads.
//
// Poller is the schedule of the reads. It is pure: it has no clock and starts
// nothing. It is not safe for concurrent use; the clients are.
package configsource
