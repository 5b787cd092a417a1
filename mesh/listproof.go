package mesh

import (
	"time"

	"github.com/hawthornpoint/hawthornpoint/core/freshness"
	"github.com/hawthornpoint/hawthornpoint/core/replica"
)

// ListStatement hands on a proof that the copy of the store had all changes that were acknowledged at an instant.
// A copy that is at At or later has them, too. It is exported for net/rpc.
type ListStatement struct {
	At  replica.Position
	Age time.Duration
}

// listAge returns how old the proof of the list of daemons may be for an owner of tenants. Where configurations have a
// maximum age, proofs are up to half of that old in calm.
func (s *Settings) listAge() time.Duration {
	if s.MaxConfigAge > 0 {
		return max(min(s.MaxConfigAge, s.EntryLifetime), s.MaxConfigAge*3/4)
	}
	return s.EntryLifetime
}

// hasQuotas reports whether a tenant of the configuration in force has a quota.
func (d *Daemon) hasQuotas() bool {
	t := d.table()
	return t != nil && t.Config().Tenants != nil && t.Config().Tenants.Limited()
}

// proofWait limits a wait of a watch, or of a question to a source, so that proofs stay young.
func (d *Daemon) proofWait(wait time.Duration) time.Duration {
	if d.hasTenants() {
		wait = d.freshness.Wait(wait)
	}
	if d.settings.MaxConfigAge <= 0 && d.hasQuotas() {
		wait = d.listFreshness.Wait(wait)
	}
	return wait
}

// renewListFromStore renews the proof after a complete answer that was read from the copy at base on, and applied.
func (d *Daemon) renewListFromStore(base proofBase, at replica.Position) {
	d.renewList(base.asked, ListStatement{At: at}, freshness.WayStore)
}

// renewListFromPeer renews the proof by the statement in a reply that has been applied.
func (d *Daemon) renewListFromPeer(asked freshness.Instant, stated *ListStatement) {
	if stated != nil {
		d.renewList(asked, *stated, freshness.WayPeer)
	}
}

func (d *Daemon) renewList(asked freshness.Instant, stated ListStatement, way freshness.Way) {
	now, ok := d.instant()
	d.applyMu.Lock() // the directory is that of the copy
	defer d.applyMu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if at := d.replica.At(); !ok || at.Era != stated.At.Era || at.Before(stated.At) {
		return
	}
	d.listFreshness.Renew(now, freshness.Statement{Age: stated.Age}.Proof(asked), 0, way)
}

// stateListProof returns the statement for a peer whose question arrived at the instant. d.mu is held.
func (d *Daemon) stateListProof(arrival *freshness.Instant) *ListStatement {
	if arrival == nil {
		return nil
	}
	s := d.listFreshness.State(*arrival)
	if s == nil {
		return nil
	}
	return &ListStatement{At: d.replica.At(), Age: s.Age}
}
