// Package freshness decides whether a daemon may still act on its configuration, where a request is only
// allowed while the configuration is provably recent.
//
// A Proof says that at an instant no version newer than its own had been acknowledged by the store. Its
// instant is taken before the question to the store is sent, on the clock of this machine. A proof is handed
// on to another daemon as a Statement, which holds its age when the question for it arrived. The receiver
// dates it back from the instant before it sent that question, so that no chain of daemons makes a proof
// younger, and no two clocks are compared. docs/design/freshness.md has the argument.
//
// The answer is as good as these limits: clocks of machines differ by less than ClockError in rate, and they
// also run while a machine is suspended. A machine that is resumed from a copy of its memory is not covered.
//
// A Keeper reads no clock, its cost does not grow with the fleet, and it is not safe for concurrent use.
package freshness

import "time"

const (
	// clockErrorDivisor is the reciprocal of the largest error of the rate of a clock. Crystals and
	// disciplined clocks stay below 500 ppm.
	clockErrorDivisor = 1000
	// waitDivisor limits the waits of watches and of followers to a part of the maximum age. A watch proves
	// the instant at which it was sent, so that a watcher's proof is up to two waits old and that of a
	// follower one more of its own: half of the maximum age.
	waitDivisor = 6
	// agingDivisor defines the part of the maximum age from which proofs of other daemons are requested.
	// While the usual way works, proofs are younger.
	agingDivisor = 2
)

// Instant is a reading of the clock of one machine, since an arbitrary origin. The clock is steady and also
// runs while the machine is suspended.
type Instant time.Duration

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Proof says that at At the store had acknowledged no version newer than Version.
type Proof struct {
	Version uint64
	At      Instant
}

// Statement is a proof as it is handed on to another daemon.
type Statement struct {
	Version uint64
	// Age is the time from the instant of the proof to the arrival of the question that the statement
	// answers. It is negative if the proof was renewed after that arrival.
	Age time.Duration
}

// Proof returns the proof for a daemon that sent its question after the instant asked.
func (s Statement) Proof(asked Instant) Proof {
	return Proof{Version: s.Version, At: asked - Instant(s.Age)}
}

// Way is how a proof was received.
type Way string

// Ways of proofs.
const (
	WayStore Way = "store"
	WayPeer  Way = "peer"
)

// Keeper keeps the latest proof of one daemon. Use New.
type Keeper struct {
	maxAge   time.Duration
	proof    Proof
	way      Way // empty without a proof
	reported bool
}

// New returns a keeper without a proof. With the maximum age 0, any configuration counts as recent.
func New(maxAge time.Duration) *Keeper { return &Keeper{maxAge: maxAge} }

// Enabled reports whether there is a maximum age.
func (k *Keeper) Enabled() bool { return k.maxAge > 0 }

// Renew takes in a proof and reports whether it is later than the one before. version is that of the
// configuration in force: a proof of a newer one says nothing about it. No true proof is of the future, and one
// that is older than the maximum age is of no use.
func (k *Keeper) Renew(now Instant, p Proof, version uint64, way Way) bool {
	age := now.Sub(p.At)
	if !k.Enabled() || p.Version > version || age < 0 || age > k.maxAge || k.way != "" && p.At <= k.proof.At {
		return false
	}
	k.proof, k.way = p, way
	return true
}

// State returns the statement that answers a question which arrived at the instant, nil for none.
func (k *Keeper) State(arrival Instant) *Statement {
	if k.way == "" {
		return nil
	}
	return &Statement{Version: k.proof.Version, Age: arrival.Sub(k.proof.At)}
}

// Latest returns the latest proof and its way, which is empty if there is none.
func (k *Keeper) Latest() (Proof, Way) { return k.proof, k.way }

// Fresh reports whether a request that arrives now may be allowed by the configuration with the version.
func (k *Keeper) Fresh(now Instant, version uint64) bool {
	if !k.Enabled() {
		return true
	}
	return k.way != "" && k.proof.Version <= version && now.Sub(k.proof.At) <= k.maxAge-k.maxAge/clockErrorDivisor
}

// Aging reports whether the proof is older than in calm, or missing, so that proofs of other daemons are
// worth their messages.
func (k *Keeper) Aging(now Instant) bool {
	return k.Enabled() && (k.way == "" || now.Sub(k.proof.At) > k.maxAge/agingDivisor)
}

// Wait limits the wait of a watch of the store, or of a question to a daemon that watches it.
func (k *Keeper) Wait(wait time.Duration) time.Duration {
	if !k.Enabled() {
		return wait
	}
	return min(wait, max(k.maxAge/waitDivisor, time.Millisecond))
}

// Changed reports whether the configuration with the version is recent, and whether that differs from the
// answer before. The first answer differs if it is true.
func (k *Keeper) Changed(now Instant, version uint64) (fresh, changed bool) {
	fresh = k.Fresh(now, version)
	changed = fresh != k.reported
	k.reported = fresh
	return fresh, changed
}
