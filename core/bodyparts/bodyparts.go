// Package bodyparts decides how long the parts are in which the bodies of answers are passed on. A daemon
// holds a part of each answer that its receiver has not read, for as long as the request's deadline allows.
// Answers that are passed on hold no slot, so that their number has no other bound than the callers': the
// parts of all together are bounded instead.
//
// Load that it answers: an upstream whose answers have no end, or callers that do not read theirs. Up to
// some hundred requests in flight all parts have MaxBytes.
package bodyparts

const (
	// MaxBytes is the longest part. An answer of that length or less is known to be complete before
	// its caller gets any of it, so that a request whose answer breaks off can be retried.
	MaxBytes = 128 << 10
	// minBytes is the shortest part. Shorter ones would cost more for their messages than they save
	// beside the other memory that a connection takes.
	minBytes = 4 << 10
	// memoryShare is the share of the process's memory that the parts may take.
	memoryShare = 1.0 / 4
	// defaultMemoryBytes is used for a process whose memory limit is not known.
	defaultMemoryBytes = 256 << 20
)

// Bytes returns the length of the next part, for a process with the memory limit in bytes, 0 if
// unknown, that has the given number of requests in flight, each of which may hold a part.
//
// Half of the memory for parts is divided evenly. Beyond that, the length falls with the square of the
// number: parts that were taken when there were fewer requests are longer, and the sum over all numbers,
// of as many parts as requests that came one after the other, is still bounded.
func Bytes(memoryLimit, requests int64) int {
	if memoryLimit <= 0 {
		memoryLimit = defaultMemoryBytes
	}
	longest := memoryShare / 2 * float64(memoryLimit) / MaxBytes // number of requests with MaxBytes each
	share := min(longest/float64(max(requests, 1)), 1)
	return int(max(share*share*MaxBytes, minBytes))
}

// WhileUsed returns the length of a part of the given length while a part of the memory budget for other
// things than parts is used: from half of the budget on, parts shrink in proportion to what is free.
func WhileUsed(size int, used, limit int64) int {
	if limit <= 0 || 2*used <= limit {
		return size
	}
	free := 2 * max(1-float64(used)/float64(limit), 0)
	return max(int(free*float64(size)), min(size, minBytes))
}
