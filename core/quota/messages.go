package quota

import "time"

// Token allows one request to run. Give it back with Return if the request has not run.
type Token struct {
	tenant  string
	expires time.Duration // 0 for a token of the floor
}

// Verdict is the outcome of a request for a token.
type Verdict uint8

// Verdicts.
const (
	// Granted: the request may run.
	Granted Verdict = iota + 1
	// Floor: the request may run; the owner does not answer, and the token is one of the floor.
	Floor
	// Wait: Decision.Daemon has to be asked.
	Wait
	// Limited: the tenant has used its quota.
	Limited
	// Unknown: the owner does not answer, and the floor is used up.
	Unknown
)

// Decision answers a request for a token.
type Decision struct {
	Verdict Verdict
	Token   Token
	// Daemon is the daemon to be asked for Wait.
	Daemon string
	// Return is the time after which a refused caller may return.
	Return time.Duration
	// Doubtful says for Wait that the daemon did not answer the latest question.
	Doubtful bool
}

// Want asks for Need tokens for requests that wait and up to Spare in advance. It is exported for net/rpc.
type Want struct {
	Tenant      string
	Need, Spare int
}

// Grant answers a Want.
type Grant struct {
	// Tokens is the number of tokens granted.
	Tokens int
	// Free is the time until the next token is free, if fewer were granted than needed. Return is when the
	// first of the refused callers should return; it grows while callers are refused.
	Free, Return time.Duration
	// NotOwner says that the daemon is not the owner, or has owned the tenant for too short a time.
	NotOwner bool
}

// Answer answers a question. It is exported for net/rpc.
type Answer struct {
	// Grants answer the wants of the question, in their order.
	Grants []Grant
	// List identifies the list of daemons of the daemon that answers.
	List uint32
	// Latest is the latest list that the daemon has heard of.
	Latest List
}

// Event is a change of what the daemon believes.
type Event struct {
	Kind EventKind
	// Subject is the tenant or the daemon, and Limit the quota of the tenant.
	Subject string
	Limit   Limit
	// Reason is set for ContactLost.
	Reason string
}

// EventKind is the kind of an event.
type EventKind uint8

// Kinds of events.
const (
	TenantLimited EventKind = iota + 1
	TenantUnlimited
	OwnerUnreachable
	OwnerReachable
	OwnershipBegun
	ContactLost // Reason says why nothing is granted
	ContactRegained
)
