package membership

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

const (
	// FetchTimeout is the time after which a fetch is started with another holder of
	// the configuration, while the earlier fetch continues. With 30% of messages
	// lost, half of all fetches fail; one of 720 daemons then needs ten of them,
	// which must fit into the 5 s within which a configuration has to be in force.
	FetchTimeout = 250 * time.Millisecond
	// After fastAttempts attempts slowFetchTimeout replaces FetchTimeout, so that a
	// slow link is not filled with copies of a configuration of 1 MB.
	fastAttempts     = 20
	slowFetchTimeout = 2 * time.Second

	maxHolders = 8
	// rejectedTTL is how long a holder of an invalid configuration is not asked for
	// the same version again.
	rejectedTTL = time.Minute
)

// configFetch is the state of fetching a configuration that is newer than the one in
// force. Holders are asked one after the other, because several peers can announce a
// version at once and a configuration can have 1 MB.
type configFetch struct {
	newest      uint64 // highest version announced
	holders     []holder
	attempts    int // since newest was first announced or a configuration came into force
	nextAttempt time.Time
	rejected    expiringSet[string]
}

// holder is a peer that announced a newer configuration. Holders of different
// versions are kept, because the one with the highest may never deliver it.
type holder struct {
	record   Record
	version  uint64
	attempts int
}

func newConfigFetch() configFetch {
	return configFetch{rejected: newExpiringSet[string](maxRememberedChanges, rejectedTTL)}
}

// ObserveVersion records the configuration version that a digest announces, with the
// record of the digest's sender. It is called for each digest.
func (d *Disseminator) ObserveVersion(now time.Time, version uint64, sender Record) {
	f := &d.configFetch
	f.drop(d.version)
	if version <= d.version || f.rejected.has(now, rejectedKey(version, sender.Name)) {
		return
	}
	f.add(holder{record: sender, version: version})
	if version > f.newest {
		f.newest, f.attempts, f.nextAttempt = version, 0, now
	}
}

func (f *configFetch) add(h holder) {
	if i := f.index(h.record.Name); i >= 0 {
		f.holders[i].record, f.holders[i].version = h.record, h.version
		return
	}
	if len(f.holders) < maxHolders {
		f.holders = append(f.holders, h)
		return
	}
	worst := slices.MaxFunc(f.holders, byPreference)
	if byPreference(h, worst) < 0 {
		f.holders[f.index(worst.record.Name)] = h
	}
}

// byPreference orders holders: those that were asked least often come first, and among
// them those of the highest version.
func byPreference(a, b holder) int {
	return cmp.Or(cmp.Compare(a.attempts, b.attempts), cmp.Compare(b.version, a.version))
}

func (f *configFetch) index(name string) int {
	return slices.IndexFunc(f.holders, func(h holder) bool { return h.record.Name == name })
}

// drop removes holders whose version is not newer than the given one in force.
func (f *configFetch) drop(version uint64) {
	f.holders = slices.DeleteFunc(f.holders, func(h holder) bool { return h.version <= version })
	if len(f.holders) == 0 {
		// A version that no holder delivered must not block lower ones.
		f.newest = version
	}
}

// Fetch returns the peer to ask for a newer configuration now, if any. It returns the
// next holder after each FetchTimeout until Config is called with the holder's version.
func (d *Disseminator) Fetch(now time.Time) (peer Record, ok bool) {
	f := &d.configFetch
	if len(f.holders) == 0 || now.Before(f.nextAttempt) {
		return Record{}, false
	}
	f.drop(d.version)
	if len(f.holders) == 0 {
		return Record{}, false
	}
	f.nextAttempt = now.Add(f.retryDelay())
	f.attempts++
	best := f.index(slices.MinFunc(f.holders, byPreference).record.Name)
	f.holders[best].attempts++
	return f.holders[best].record, true
}

func (f *configFetch) retryDelay() time.Duration {
	if f.attempts < fastAttempts {
		return FetchTimeout
	}
	return slowFetchTimeout
}

// FetchFailed reports that a fetch from the named holder failed. The next fetch does
// not wait for FetchTimeout if another holder was asked less often, or if invalid is
// set. invalid means that the holder sent a configuration that was not accepted; it is
// not asked for that version again for a minute.
func (d *Disseminator) FetchFailed(now time.Time, name string, invalid bool) {
	f := &d.configFetch
	i := f.index(name)
	if i < 0 {
		return
	}
	failed := f.holders[i]
	if invalid {
		f.rejected.add(now, rejectedKey(failed.version, name))
		f.holders = slices.Delete(f.holders, i, i+1)
	}
	if slices.ContainsFunc(f.holders, func(h holder) bool { return h.attempts < failed.attempts }) || invalid {
		f.nextAttempt = now
	}
}

func rejectedKey(version uint64, holder string) string {
	return strconv.FormatUint(version, 10) + " " + holder
}
