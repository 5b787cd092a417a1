package callmeta

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

const (
	// LevelsPerRank is the number of priority levels inside one rank.
	LevelsPerRank = 64
	// MaxRank is the least important rank.
	MaxRank = 15
	// MaxPriority is one more than the highest priority value. A threshold of
	// MaxPriority admits every call.
	MaxPriority = (MaxRank + 1) * LevelsPerRank
	// MaxDepth is the largest Meta.Depth with which a daemon forwards a call.
	MaxDepth = 16
	// MaxRetries is the largest number of retries that a call may carry.
	MaxRetries = 8
	// MaxRemainingTime is the longest remaining time that a call may carry.
	MaxRemainingTime = 10 * time.Minute
	// MaxClockSkew bounds the difference between the clocks of two VMs.
	MaxClockSkew = time.Second
)

// Meta is the metadata that travels with one call through the call graph. It is a
// value type that may be copied and read from several goroutines.
type Meta struct {
	// RequestID identifies the request of a caller; all calls that it causes carry
	// the same ID.
	RequestID uuid.UUID
	// CallID identifies this attempt.
	CallID uuid.UUID
	// From is the upstream name of the daemon that forwards the call; empty if unknown.
	From string
	// Service and Kind name the destination and the request kind, as the
	// configuration describes them.
	Service, Kind string
	// Rank is the importance of the request, from 0 (highest) to MaxRank. It is set
	// where the request enters and inherited by all calls below.
	Rank int
	// Deadline is the time after which the caller no longer waits for the answer.
	Deadline time.Time
	// Retries is the number of retries that this call and all calls below it
	// may still use together.
	Retries int
	// Depth is the number of calls above this one in the call graph.
	Depth int
	// Idempotent reports whether running the call twice does no harm.
	Idempotent bool
	// Key is the caller's idempotency key; empty if none was given.
	Key string
	// Token is a token that a daemon issued and that names the only process that may
	// run the call; empty if none was given.
	Token string
	// Fingerprint is equal for repeated sends of the same request: a hash of
	// service, method, path, query and the first bytes of the body.
	Fingerprint uint64
}

// Priority returns the position of the call in the shedding order, from 0 to
// MaxPriority-1. Calls with higher values are shed first. Calls of the same rank
// are spread over LevelsPerRank values by a hash of the request ID.
func (m Meta) Priority() int {
	rank := min(max(m.Rank, 0), MaxRank)
	return rank*LevelsPerRank + int(hashID(m.RequestID)%LevelsPerRank)
}

// Reply is the result that a daemon returns together with the answer or refusal of a
// call.
type Reply struct {
	// RequestID is the ID of the request, as returned to callers; zero if the request
	// did not become a call.
	RequestID uuid.UUID
	// Code is the result of the call.
	Code resultcode.Code
	// Cause is the refusal that led to a code of kind "outcome unknown", such as
	// HomeNotAsked; zero if there is none.
	Cause resultcode.Code
	// RetriesUsed is how many of the retries in Meta.Retries the call and the calls
	// below it have used.
	RetriesUsed int
	// Threshold is the lowest admission threshold on the path of the call. An
	// upstream refuses priorities at or above its threshold.
	Threshold int
	// Leaving reports whether the upstream is shutting down.
	Leaving bool
	// Incarnation identifies the answering daemon process.
	Incarnation uuid.UUID
	// RetriedBelow reports whether the failure was already retried further down the
	// call graph. It must not be retried again.
	RetriedBelow bool
}

func hashID(id uuid.UUID) uint64 { return xxhash.Sum64(id[:]) }

// Fingerprint hashes the parts of a request that stay equal when it is sent again.
// body holds the first bytes of the body; parts are the others in a fixed order, such as
// the service, the method and the target.
func Fingerprint(body []byte, parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:])
		_, _ = digest.WriteString(part)
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}
