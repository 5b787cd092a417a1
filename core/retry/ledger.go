package retry

import (
	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
)

// Errors for violations of the ledger's contract. The ledger stays consistent after each.
var (
	// ErrNotLeased reports the return of a lease when no lease of that size is
	// open, such as a second return of the same lease.
	ErrNotLeased = errors.New("no open lease of this size")
	// ErrOverused reports a subtree that used more retries than it was leased.
	ErrOverused = errors.New("more retries used than leased")
)

// Ledger counts the retries of one request at one hop. Used, leased and
// remaining retries always add up to the number given to NewLedger.
type Ledger struct {
	used, leased, remaining int
	// openLeases counts the open leases by size. Leases have no identity on the
	// wire, so that leases of equal size are interchangeable.
	openLeases [callmeta.MaxRetries + 1]int
}

// NewLedger returns a ledger of the given number of retries, clamped to
// 0..call.MaxRetries.
func NewLedger(retries int) *Ledger {
	return &Ledger{remaining: min(max(retries, 0), callmeta.MaxRetries)}
}

// LeaseAll leases all remaining retries to a downstream call. It is meant for a call
// that this hop does not retry if the reply is lost, so that no retries need be
// reserved here.
func (l *Ledger) LeaseAll() int { return l.lease(l.remaining) }

// Lease leases half of the remaining retries, rounded up, to a downstream call.
// Every lease, including one of 0, must be ended with Return or Close.
func (l *Ledger) Lease() int { return l.lease((l.remaining + 1) / 2) }

func (l *Ledger) lease(retries int) int {
	l.remaining -= retries
	l.leased += retries
	l.openLeases[retries]++
	return retries
}

// Return ends a lease of the given size, of which used retries were used. If the
// reply was lost, the whole lease must be returned as used. On ErrNotLeased nothing
// changes; on ErrOverused, which is also returned if used is negative, the whole
// lease counts as used.
func (l *Ledger) Return(leased, used int) error {
	if leased < 0 || leased > callmeta.MaxRetries || l.openLeases[leased] == 0 {
		return errors.Wrapf(ErrNotLeased, "return of %d", leased)
	}
	var err error
	if used < 0 || used > leased {
		err = errors.Wrapf(ErrOverused, "%d of %d", used, leased)
		used = leased
	}
	l.openLeases[leased]--
	l.leased -= leased
	l.used += used
	l.remaining += leased - used
	return err
}

// Use takes one of the remaining retries for this hop and reports whether one was
// available.
func (l *Ledger) Use() bool {
	if l.remaining == 0 {
		return false
	}
	l.remaining--
	l.used++
	return true
}

// Close counts every open lease as used and returns the total number of retries
// used, which the reply to the caller must state.
func (l *Ledger) Close() int {
	l.used += l.leased
	l.leased = 0
	l.openLeases = [callmeta.MaxRetries + 1]int{}
	return l.used
}

// Used returns the number of retries used by this hop and, as far as is known,
// further down the call tree.
func (l *Ledger) Used() int { return l.used }

// Leased returns the number of retries leased to open calls.
func (l *Ledger) Leased() int { return l.leased }

// Remaining returns the number of retries that are neither used nor leased.
func (l *Ledger) Remaining() int { return l.remaining }
