package mesh

import (
	"bytes"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/hawthornpoint/hawthornpoint/core/freshness"
	"github.com/hawthornpoint/hawthornpoint/core/replica"
	"github.com/hawthornpoint/hawthornpoint/core/routing"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

const (
	// staleRetryAfter is the time after which callers may retry when the configuration can't be proven
	// recent: the store is read, and some peers are asked, at least once in it.
	staleRetryAfter = maxStorePause
	// maxProvingItems and maxProvingBytes limit the answers to watches that prove a version. The store
	// limits its answers to about 500 items or 1 MB, so that a longer one may lack the latest changes.
	maxProvingItems = 100
	maxProvingBytes = 256 << 10
)

// storeConfig is the configuration in the replica if it was put in force or is older than that in force.
type storeConfig struct {
	value   []byte
	version uint64
}

// bootTime reads the clock that also runs while the machine is suspended; that of time.Now does not.
func bootTime() (freshness.Instant, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return freshness.Instant(t.Nano()), nil
}

// instant returns the present instant for proofs, and false if none are kept.
func (d *Daemon) instant() (freshness.Instant, bool) {
	if d.settings.MaxConfigAge <= 0 {
		return 0, false
	}
	now, err := bootTime()
	if err != nil {
		d.log.Error(eventClockFailed, errorField(err))
		return 0, false
	}
	return now, true
}

// recent reports whether a request that arrives now may be allowed by the configuration.
func (d *Daemon) recent(config *routing.Config) bool {
	if d.settings.MaxConfigAge <= 0 {
		return true
	}
	now, ok := d.instant()
	if !ok {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.freshness.Fresh(now, config.Version)
}

// hasTenants reports whether the configuration in force has tenants. Without them, no request needs a
// recent configuration.
func (d *Daemon) hasTenants() bool {
	t := d.table()
	return t != nil && t.Config().Tenants != nil
}

// agingProof reports whether peers are to be asked for a proof. d.mu is held.
func (d *Daemon) agingProof() bool {
	now, ok := d.instant()
	return ok && d.hasTenants() && d.freshness.Aging(now)
}

// followTime returns how long a source may keep a request of this daemon waiting.
func (d *Daemon) followTime() time.Duration {
	if !d.hasTenants() {
		return followWait
	}
	return d.freshness.Wait(followWait)
}

// noteStoreConfig records the configuration that the replica holds, after it was put in force. One that is
// newer than the one in force was refused, and proves nothing.
func (d *Daemon) noteStoreConfig(change Change, item replica.Item) {
	if change.Config == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.table(); t != nil && change.Config.Version <= t.Config().Version {
		d.storeConfig = storeConfig{value: item.Value, version: change.Config.Version}
	}
}

// proofBase is the state before a question to the store.
type proofBase struct {
	asked  freshness.Instant
	at     replica.Position
	proves bool
}

func (d *Daemon) proofBase() proofBase {
	asked, ok := d.instant()
	return proofBase{asked: asked, at: d.position(), proves: ok}
}

// renewFromStore renews the proof after a successful read that has been applied.
func (d *Daemon) renewFromStore(base proofBase, update replica.Update) {
	if !base.proves || update.At.Before(base.at) || !update.Whole && !isComplete(update) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if at := d.replica.At(); d.config == nil || at.Era != update.At.Era || at.Before(update.At) {
		return
	}
	inForce := d.state().ConfigVersion
	version := inForce
	if item, exists := d.replica.Item(d.config.Item.Key); exists {
		if !bytes.Equal(item.Value, d.storeConfig.value) {
			return // not decoded, or refused
		}
		version = d.storeConfig.version
	}
	d.renew(freshness.Proof{Version: version, At: base.asked}, freshness.WayStore)
}

// isComplete reports whether an answer to a watch is so short that the store has not cut it.
func isComplete(update replica.Update) bool {
	size := 0
	for _, item := range update.Items {
		size += len(item.Value)
	}
	return len(update.Items) <= maxProvingItems && size <= maxProvingBytes
}

// renewFromPeer renews the proof by the statement in a reply that has been applied. The instant was read
// before the question was sent.
func (d *Daemon) renewFromPeer(asked freshness.Instant, stated *freshness.Statement) {
	if stated == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.config != nil {
		d.renew(stated.Proof(asked), freshness.WayPeer)
	}
}

// renew takes in a proof. d.mu is held.
func (d *Daemon) renew(p freshness.Proof, way freshness.Way) {
	if now, ok := d.instant(); ok && d.freshness.Renew(now, p, d.state().ConfigVersion, way) {
		d.metrics.Count(metricProofs, string(way))
	}
}

// arrival returns the instant at which a peer's question arrived, nil if no proofs are kept.
func (d *Daemon) arrival() *freshness.Instant {
	if now, ok := d.instant(); ok {
		return &now
	}
	return nil
}

// stateProof returns the statement for a peer whose question arrived at the instant. d.mu is held.
func (d *Daemon) stateProof(arrival *freshness.Instant) *freshness.Statement {
	if arrival == nil {
		return nil
	}
	return d.freshness.State(*arrival)
}

// checkFreshness logs when the configuration begins or ceases to be provably recent.
func (d *Daemon) checkFreshness() {
	if !d.hasTenants() {
		return
	}
	now, ok := d.instant()
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	version := d.state().ConfigVersion
	switch fresh, changed := d.freshness.Changed(now, version); {
	case changed && fresh:
		d.log.Info(eventFresh, append(d.proofFields(now), zap.Uint64("version", version))...)
	case changed:
		d.log.Warn(eventStale, append(d.proofFields(now), zap.Uint64("version", version))...)
	}
}

// proofFields returns the log fields of the latest proof. d.mu is held.
func (d *Daemon) proofFields(now freshness.Instant) []zap.Field {
	proof, way := d.freshness.Latest()
	fields := []zap.Field{zap.String("way", string(way)), zap.Duration("max_age", d.settings.MaxConfigAge)}
	if way == "" {
		return fields
	}
	return append(fields, zap.Duration("age", now.Sub(proof.At)), zap.Uint64("proven_version", proof.Version))
}

// statedProof returns the log fields of the latest proof for a refusal.
func (d *Daemon) statedProof() []zap.Field {
	now, _ := d.instant()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.proofFields(now)
}

// proofAge returns the age of the latest proof in seconds, -1 for none.
func (d *Daemon) proofAge() float64 {
	now, ok := d.instant()
	d.mu.Lock()
	defer d.mu.Unlock()
	proof, way := d.freshness.Latest()
	if !ok || way == "" {
		return -1
	}
	return now.Sub(proof.At).Seconds()
}

// refusalWait returns the time after which a caller whose request was not admitted may retry.
func refusalWait(code resultcode.Code) time.Duration {
	if code == resultcode.ConfigurationStale {
		return staleRetryAfter
	}
	return notServingRetryAfter
}
