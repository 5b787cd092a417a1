package mesh

import (
	"time"

	"github.com/hawthornpoint/hawthornpoint/core/bodyparts"
	"github.com/hawthornpoint/hawthornpoint/core/freshness"
	"github.com/hawthornpoint/hawthornpoint/core/loadshed"
	"github.com/hawthornpoint/hawthornpoint/core/quarantine"
	"github.com/hawthornpoint/hawthornpoint/core/replica"
	"github.com/hawthornpoint/hawthornpoint/core/slots"
)

// maxPartBytes is the largest part of a body that one message between daemons carries. The
// rest of a longer body follows in further messages, each answered before the next is sent.
const maxPartBytes = bodyparts.MaxBytes

// Payload is a request to be sent to the backend server.
type Payload struct {
	Method, Target string
	Host           string
	// Header is packed by a headerCodec.
	Header []byte
	// Body is the first part of the body; More says that chunks follow. Length is the
	// length of the complete body in bytes, -1 if unknown.
	Body   []byte
	More   bool
	Length int64
	// AnswerPart is the longest first part of the answer's body in bytes, 0 for maxPartBytes.
	AnswerPart int
}

// AskArgs requests a slot. It is exported for net/rpc.
type AskArgs struct {
	// ID identifies the attempt on its connection, and RequestID is the caller's ID of the
	// request.
	ID        uint64
	RequestID string
	// Instance is the ID of the upstream that is asked.
	Instance string
	// Kind is the name of the request's route and Rank its importance, lower ranks first.
	// CallerService is the service of the VM that sent the request.
	Kind          string
	Rank          int
	CallerService string
	// Tenant is the name of the tenant whose request it is, empty for none.
	Tenant string
	// Fingerprint is equal for requests of one service with equal method, host, path and body.
	Fingerprint uint64
	// UntilObjective and Left are the times left until the latency objective and until the
	// deadline.
	UntilObjective, Left time.Duration
	// LeastLeft is the least time until the deadline with which the request may be sent to the backend
	// server, 0 for any.
	LeastLeft time.Duration
	// Rate is the limit on requests per second that the sender knows of the upstream, 0 for none.
	// A daemon that has restarted beside a limited upstream adopts it.
	Rate float64
	// MayQueue allows the request to wait for a slot.
	MayQueue bool
	// Reports are crash reports of requests with the fingerprint.
	Reports []quarantine.Report
	// Repeat says that this is a retry: the request was sent to an upstream before.
	Repeat bool
	// Payload is the request itself, which is run as soon as it has a slot. If it is nil, only
	// the grant of a slot is requested.
	Payload *Payload

	room peerRoom // at the receiver
}

// RunArgs sends a request for which a slot was granted.
type RunArgs struct {
	ID      uint64
	Left    time.Duration
	Payload Payload

	room peerRoom // at the receiver
}

// ChunkArgs carries a further part of a request's body.
type ChunkArgs struct {
	ID   uint64
	Data []byte
	Last bool
}

// CallID identifies an attempt on its connection.
type CallID struct {
	ID uint64
	// MaxPart is the longest part that More returns in bytes, 0 for maxPartBytes.
	MaxPart int
}

// Outcome is the outcome of an attempt.
type Outcome uint8

// Outcomes of a Reply.
const (
	// OutcomeGranted: a slot is reserved for the request.
	OutcomeGranted Outcome = iota + 1
	// OutcomeRefused: no slot; the request has not run.
	OutcomeRefused
	// OutcomeLeaving: the daemon or its backend server is stopping and admits no new requests.
	OutcomeLeaving
	// OutcomeWrongUpstream: another upstream is at the address; the request has not run.
	OutcomeWrongUpstream
	// OutcomeBackendDown: the backend server accepts no connections; the request has not run.
	OutcomeBackendDown
	// OutcomeRejected: the backend server refused the request without running it.
	OutcomeRejected
	// OutcomeAnswered: Answer is set.
	OutcomeAnswered
	// OutcomeLost: the request was sent and no complete answer came.
	OutcomeLost
	// OutcomeExpired: the time ran out after the request was sent.
	OutcomeExpired
	// OutcomeUnsent: the time ran out, or the attempt was cancelled, before the request was sent.
	OutcomeUnsent
	// OutcomeQuarantined: equal requests crashed upstreams; the request has not run.
	OutcomeQuarantined
)

// Reply answers AskArgs and RunArgs.
type Reply struct {
	Outcome Outcome
	// Reason names the deciding input, for the log.
	Reason string
	// Wait is the expected time until a slot is free or, for OutcomeQuarantined, until the
	// quarantine ends.
	Wait time.Duration
	// Load is the load of the backend server.
	Load slots.Load
	// Leaving says that the upstream has stated that it is shutting down.
	Leaving bool
	// Answer is set for OutcomeAnswered.
	Answer *Answer
	// Call says that requests of the kind are calls that upstreams make while they run other
	// requests. CallUnknown says that the daemon, which may have started recently, has received too
	// few to tell.
	Call, CallUnknown bool
	// Overloaded holds the services that are overloaded, of the upstream's own and those that it calls.
	Overloaded []loadshed.Share
	// Reports are crash reports of requests with the fingerprint of this one.
	Reports []quarantine.Report
	// State is what the daemon has received from the store.
	State replica.State
}

// Answer is the backend server's answer.
type Answer struct {
	Status int
	// Header is packed by a headerCodec.
	Header []byte
	// Failed says that the backend server ran the request and failed.
	Failed bool
	// Body is the first part of the body; More says that the rest has to be fetched.
	Body []byte
	More bool
	// Elapsed is the time from the start of the exchange until Body was read.
	Elapsed time.Duration
}

// MoreReply carries a further part of an answer's body.
type MoreReply struct {
	Data []byte
	Last bool
}

// StoredItem is an item of the store and the era in which it was read.
type StoredItem struct {
	Item replica.Item
	Era  int64
}

func (i StoredItem) position() replica.Position {
	return replica.Position{Era: i.Era, Revision: i.Item.Revision}
}

// SyncArgs requests the changes after a state.
type SyncArgs struct{ Since replica.State }

// SyncReply answers SyncArgs.
type SyncReply struct {
	Update replica.Update
	// Config is the configuration in force, if it is newer than the sender's and not in Update.
	Config *StoredItem
	// Proven is the daemon's latest proof that the configuration is the newest; nil for none.
	Proven *freshness.Statement
	// Settled is the position up to which removals are known to be settled, see settled.go.
	Settled replica.Position
}

// FollowArgs requests the changes after a state and waits for them up to Wait.
type FollowArgs struct {
	Since replica.State
	Wait  time.Duration
	// From is the address of the backend server on the sender's VM.
	From string
}

// FollowReply answers FollowArgs.
type FollowReply struct {
	// Watching says that the daemon watches the store itself and the store answers. Otherwise
	// the sender chooses another source.
	Watching bool
	Update   replica.Update
	// Config is the configuration in force, if it is newer than the sender's and not in Update.
	Config *StoredItem
	// Doubtful is how long entries that the store does not list may still belong to running
	// upstreams, because the store was unavailable.
	Doubtful time.Duration
	// Clock is the time of day of the daemon's VM in Unix milliseconds.
	Clock int64
	// Proven is the daemon's latest proof that the configuration is the newest; nil for none.
	Proven *freshness.Statement
	// Settled is the position up to which removals are known to be settled, see settled.go.
	Settled replica.Position
}

// ReportsArgs carries crash reports. With Exchange set, the peer's reports are requested.
type ReportsArgs struct {
	Reports  []quarantine.Report
	Exchange bool
}

// ReportsReply answers ReportsArgs. Clock is the time of day of the daemon's VM in Unix milliseconds.
type ReportsReply struct {
	Reports []quarantine.Report
	Clock   int64
}

// PingArgs tests a connection and carries the state of the sender; zero if From is empty.
type PingArgs struct {
	State replica.State
	// From is the address of the backend server on the sender's VM.
	From string
	// Clock is the time of day of the sender's VM in Unix milliseconds.
	Clock int64
}

// PingReply answers a ping, and other messages whose reply has no content.
type PingReply struct {
	// State is that of the daemon, and Clock the time of day of its VM in Unix milliseconds.
	State replica.State
	Clock int64
}
