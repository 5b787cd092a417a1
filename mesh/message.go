package mesh

import (
	"time"

	"github.com/hawthornpoint/hawthornpoint/core/pressure"
	"github.com/hawthornpoint/hawthornpoint/core/replica"
	"github.com/hawthornpoint/hawthornpoint/core/slots"
)

// inlineBytes is the largest part of a body that one message between daemons carries.
// Longer bodies follow in further messages, each answered before the next.
const inlineBytes = 128 << 10

// Payload is a request on its way to the backend server.
type Payload struct {
	Method, Target string
	Host           string
	// Header is packed by a headerCodec.
	Header []byte
	// Body is the first part of the body; More says that chunks follow. Length is the
	// length of the whole body, -1 if it is not known.
	Body   []byte
	More   bool
	Length int64
}

// AskArgs asks for a slot. It is exported for net/rpc.
type AskArgs struct {
	// ID identifies the attempt on its connection, and RequestID is the caller's ID of the
	// request.
	ID        uint64
	RequestID string
	// Instance is the upstream that is asked.
	Instance string
	// Kind and Rank say what the request is, and CallerService is the service of the VM
	// where it began.
	Kind          string
	Rank          int
	CallerService string
	// UntilObjective and Left are the times left.
	UntilObjective, Left time.Duration
	MayQueue             bool
	// Repeat says that the request was sent to another upstream before.
	Repeat bool
	// Payload is the request itself, to be run as soon as there is a slot; nil asks for
	// a grant only.
	Payload *Payload
}

// RunArgs sends a request for which a slot was granted.
type RunArgs struct {
	ID      uint64
	Left    time.Duration
	Payload Payload
}

// ChunkArgs carries a further part of a request's body.
type ChunkArgs struct {
	ID   uint64
	Data []byte
	Last bool
}

// CallID names an attempt.
type CallID struct{ ID uint64 }

// Outcome says what became of an attempt.
type Outcome uint8

// Outcomes of a Reply.
const (
	// OutcomeGranted: a slot is held for the request.
	OutcomeGranted Outcome = iota + 1
	// OutcomeRefused: no slot; the request has not run.
	OutcomeRefused
	// OutcomeLeaving: the daemon or its backend server takes no new work.
	OutcomeLeaving
	// OutcomeMisplaced: another upstream is here; the request has not run.
	OutcomeMisplaced
	// OutcomeDown: the backend server accepts no connections; the request has not run.
	OutcomeDown
	// OutcomeRejected: the backend server refused the request without running it.
	OutcomeRejected
	// OutcomeAnswered: Answer is set.
	OutcomeAnswered
	// OutcomeLost: the request was sent and has no complete answer.
	OutcomeLost
	// OutcomeExpired: the time ran out after the request was sent.
	OutcomeExpired
	// OutcomeUnsent: the time ran out, or the attempt was withdrawn, before that.
	OutcomeUnsent
)

// Reply answers AskArgs and RunArgs.
type Reply struct {
	Outcome Outcome
	// Reason names what decided a refusal.
	Reason string
	// Wait is the expected time until there is room.
	Wait time.Duration
	// Load is the state of the station.
	Load slots.Load
	// Answer is set for OutcomeAnswered.
	Answer *Answer
	// Call says that requests of the kind are made by upstreams of the caller's service.
	Call bool
	// Blocked tells the shares of the upstream's calls that are blocked.
	Blocked []pressure.Share
	// AsOf is the revision of the daemon's replica.
	AsOf int64
}

// Answer is the backend server's answer.
type Answer struct {
	Status int
	// Header is packed by a headerCodec.
	Header []byte
	// Failed says that the backend server failed while it ran the request.
	Failed bool
	// Body is the first part of the body; More says that the rest is to be fetched.
	Body []byte
	More bool
	// Elapsed is the time that the backend server took.
	Elapsed time.Duration
}

// MoreReply carries a further part of an answer's body.
type MoreReply struct {
	Data []byte
	Last bool
}

// SyncArgs asks for what changed after a revision.
type SyncArgs struct{ After int64 }

// SyncReply answers SyncArgs.
type SyncReply struct{ Update replica.Update }

// FollowArgs waits for changes after a revision, for the given time at most.
type FollowArgs struct {
	After int64
	Wait  time.Duration
	// From is the address of the upstream beside the sender.
	From string
}

// FollowReply answers FollowArgs.
type FollowReply struct {
	// Watching says that the daemon reads the store and the store answers. Otherwise the
	// sender takes another source.
	Watching bool
	Update   replica.Update
	// Doubtful is how long entries that vanish may belong to living upstreams, because the
	// store has been out of reach.
	Doubtful time.Duration
}

// PingArgs tests a connection and tells the revision of the sender's replica.
type PingArgs struct {
	AsOf int64
	// From is the address of the upstream beside the sender.
	From string
}

// PingReply answers a ping and other messages without content of their own.
type PingReply struct {
	// AsOf is the revision of the daemon's replica.
	AsOf int64
}
