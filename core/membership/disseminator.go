package membership

import (
	"time"

	"github.com/google/uuid"
)

// Fanout is the number of random peers to which a change is pushed. With 4, one round
// of pushes by all daemons misses about e^-4 = 2% of them, which the next exchanges
// reach.
const Fanout = 4

// An exchange or push without a reply within ExchangeTimeout is retried with another
// random peer, with at most ExchangeAttempts attempts in all; a leaving daemon retries
// with the same caller. The last attempt starts 1.8 s after the first, within the 2 s
// for which a leaving daemon still accepts calls.
const (
	ExchangeTimeout  = 300 * time.Millisecond
	ExchangeAttempts = 7
)

// A push carries up to PushRecords records; other digests carry up to
// DigestRecords. Two full digests are sent each second in either direction when
// the list of VMs is missing; with 16 records they would cost 3.7 KB/s over
// net/rpc, more than the 3 KB/s of the design page.
const (
	PushRecords   = 16
	DigestRecords = 10
)

// maxRememberedChanges bounds the changes of each kind that are remembered as pushed,
// and the rejected configurations. It is several times the number of VMs that are
// replaced in a day.
const maxRememberedChanges = 1024

// Push holds the changes that have to be pushed to Fanout random peers.
type Push struct {
	// Version is a new configuration version; 0 if there is none.
	Version uint64
	// Leaving holds the records of daemons that started to leave.
	Leaving []Record
	// Reports identify the reports of crashing requests that are new.
	Reports []ReportID
}

// ReportID identifies a crash report, a clearance or a refusal of a request. The
// incarnation is zero in the latter two.
type ReportID struct {
	Fingerprint uint64
	Incarnation uuid.UUID
	AtUnixNano  int64
}

// Empty reports whether there is nothing to push.
func (p Push) Empty() bool {
	return p.Version == 0 && len(p.Leaving) == 0 && len(p.Reports) == 0
}

// Disseminator decides which changes are pushed to peers: each change once, when it is
// first learned. It also decides from which peer a newer configuration is fetched.
type Disseminator struct {
	version     uint64
	configFetch configFetch
	leaving     expiringSet[uuid.UUID]
	reports     expiringSet[ReportID]
	pending     Push
}

// NewDisseminator returns a Disseminator with nothing to push. version is that of the
// configuration in force, 0 for none.
func NewDisseminator(version uint64) *Disseminator {
	return &Disseminator{
		version:     version,
		configFetch: newConfigFetch(),
		leaving:     newExpiringSet[uuid.UUID](maxRememberedChanges, TombstoneTTL),
		reports:     newExpiringSet[ReportID](maxRememberedChanges, TombstoneTTL),
	}
}

// Config records that a configuration version is in force. It reports whether the
// version is newer and will be pushed.
func (d *Disseminator) Config(version uint64) bool {
	if version <= d.version {
		return false
	}
	d.version = version
	d.configFetch.attempts = 0
	d.pending.Version = version
	return true
}

// Leaving adds a leaving record to the next push, also one that the view does not
// keep, and reports whether it did. A record that was added before, or is older than
// GracePeriod, is not pushed: in the latter case all daemons that could use it have
// removed the VM.
func (d *Disseminator) Leaving(now time.Time, record Record) bool {
	if record.State != Leaving || record.Age > GracePeriod || d.leaving.has(now, record.Incarnation) {
		return false
	}
	d.leaving.add(now, record.Incarnation)
	d.pending.Leaving = append(d.pending.Leaving, record)
	return true
}

// Quarantine adds a report to the next push. It reports false if the report was added
// before. A further report of the same request is pushed too: a daemon that does not
// know it runs the request again.
func (d *Disseminator) Quarantine(now time.Time, id ReportID) bool {
	if d.reports.has(now, id) {
		return false
	}
	d.reports.add(now, id)
	d.pending.Reports = append(d.pending.Reports, id)
	return true
}

// TakePending returns the changes that have to be pushed and clears them.
func (d *Disseminator) TakePending() Push {
	p := d.pending
	d.pending = Push{}
	return p
}
