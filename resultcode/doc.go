// Package resultcode defines the numbered result codes of hawthornpoint.
//
// Every call that a daemon handles ends with exactly one code, and every code
// belongs to exactly one kind: the call was answered, it was provably not run,
// or its outcome is unknown. A call that was not run may safely be sent again; a call
// of unknown outcome must only be sent again under the same idempotency key or token.
// The numbers are part of the public interface and are never reused.
package resultcode
