// Package configsource reads the configuration service and the platform's VM list.
//
// Both are external systems that can be down or slow, and can return stale or
// malformed answers. The HTTP clients bound the time and the size of an answer,
// refuse redirects, and return an error for every answer that is not well-formed;
// packages config and membership check the content of an envelope or list. Every
// read is counted, including failed ones, because the capacity of the service is
// given in reads.
//
// Schedule computes the times of the reads. It has no clock and starts no
// goroutines. It is not safe for concurrent use; the clients are.
package configsource
