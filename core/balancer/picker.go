package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// goneRetention is how long the record of an upstream is kept after lists stopped
// containing it, so that a list that drops it briefly cancels neither its leaving
// nor its ejection. It is longer than the longest drain.
const goneRetention = 12 * time.Minute

// Locality is the availability zone and region of this daemon.
type Locality struct{ Zone, Region string }

// Endpoint is one upstream as configuration and membership describe it.
type Endpoint struct {
	config.Upstream
	// Address is the host and port of the upstream's daemon.
	Address string
	// Incarnation identifies the process of the upstream; zero if not yet known.
	Incarnation uuid.UUID
	// Leaving is set while the upstream is shutting down.
	Leaving bool
}

// Result is the outcome of one attempt.
type Result struct {
	// Latency is the time since Started.
	Latency time.Duration
	// Code is the result of the attempt.
	Code resultcode.Code
	// Incarnation is taken from the upstream's reply. Zero means that no reply was
	// read; Threshold, Leaving and Limit are then ignored.
	Incarnation uuid.UUID
	// Kind is the request kind that Threshold applies to.
	Kind string
	// Threshold is the priority at and above which the upstream refuses calls.
	Threshold int
	// Leaving is set if the upstream reported that it is shutting down.
	Leaving bool
	// Limit is the learned concurrency limit of the upstream; 0 if not reported.
	Limit int
}

// Picker picks upstreams of one service. It is not safe for concurrent use.
type Picker struct {
	local    Locality
	rand     *rand.Rand
	timeBase time.Time

	byName         map[string]*upstream
	kinds          kindTable
	cachedRefusals [maxKinds]cachedRefusal // by kind
	listSeen       bool                    // an Update listed endpoints
	generation     uint64                  // number of Update calls

	// pools hold the usable upstreams: those of the local zone, those of the rest
	// of the local region, and all.
	pools [tierCount][]*upstream
	// medianBeyond is the median latency of the usable upstreams that are farther
	// away than each tier.
	medianBeyond    [tierCount]time.Duration
	present         []*upstream // not gone
	ejected         []*upstream // ejected or probing
	servingCount    int         // present and not leaving
	nextEjectionEnd time.Duration
	slots           float64 // mean of upstream.slots()

	medianLatency time.Duration
	refreshedAt   time.Duration
	scratch       []time.Duration
	latestTime    time.Duration
	poolsStale    bool // pools have to be rebuilt before the next pick
	violations    uint64
}

// New returns a picker without upstreams. r is the source of all random choices.
func New(local Locality, r *rand.Rand) *Picker {
	return &Picker{local: local, rand: r, byName: make(map[string]*upstream), nextEjectionEnd: never}
}

// advance converts now to a time of the picker, which never decreases.
func (p *Picker) advance(now time.Time) time.Duration {
	if p.timeBase.IsZero() {
		// Times start at 1 h, so that 0 can stand for the distant past.
		p.timeBase = now.Add(-time.Hour)
	}
	p.latestTime = max(now.Sub(p.timeBase), p.latestTime)
	return p.latestTime
}

// Update replaces the list of upstreams. An upstream that stays in the list keeps
// its measurements; one with a new incarnation starts cold. Upstreams of the first
// list have no slow start: they were running before this daemon started.
func (p *Picker) Update(now time.Time, endpoints []Endpoint) {
	t := p.advance(now)
	p.generation++
	for i := range endpoints {
		if endpoints[i].Name != "" {
			p.applyEndpoint(t, &endpoints[i])
		}
	}
	p.listSeen = p.listSeen || len(endpoints) > 0
	for name, u := range p.byName {
		if u.generation == p.generation {
			continue
		}
		if state := u.machine.State(); u.machine.Fire(eventVanish) {
			u.stateBeforeGone, u.goneAt = state, t
		}
		if t-u.goneAt > goneRetention {
			delete(p.byName, name)
		}
	}
	p.poolsStale = true
	p.refresh(t)
}

func (p *Picker) applyEndpoint(t time.Duration, endpoint *Endpoint) {
	u := p.byName[endpoint.Name]
	if u == nil {
		u = newUpstream(endpoint.Name, p.rand.Uint64())
		u.incarnation = endpoint.Incarnation
		u.warm = !p.listSeen
		p.byName[endpoint.Name] = u
	}
	u.generation = p.generation
	u.config, u.address = endpoint.Upstream, endpoint.Address
	u.tier = p.tierOf(endpoint.Upstream)
	p.restoreListed(u)
	if !p.updateIncarnation(t, u, endpoint.Incarnation) {
		return // the list is outdated: it holds an earlier incarnation
	}
	if endpoint.Leaving {
		u.machine.Fire(eventLeave)
	}
}

// restoreListed returns an upstream that was gone and is listed again to leaving or
// ejected if it was leaving, ejected or probing before, and to cold otherwise.
func (p *Picker) restoreListed(u *upstream) {
	if u.machine.State() != stateGone {
		return
	}
	u.machine.Fire(eventRestart)
	switch u.stateBeforeGone {
	case stateLeaving:
		u.machine.Fire(eventLeave)
	case stateEjected, stateProbing:
		u.machine.Fire(eventEject)
	}
}

// updateIncarnation compares a received incarnation with the known one. It restarts
// the upstream for a new incarnation and returns false for an earlier one, in which
// case the message does not describe the current process.
func (p *Picker) updateIncarnation(t time.Duration, u *upstream, id uuid.UUID) bool {
	switch {
	case id == uuid.Nil || id == u.incarnation:
		return true
	case slices.Contains(u.previousIncarnations[:], id):
		return false
	case u.incarnation == uuid.Nil:
		u.incarnation = id
	default:
		u.restart(t, id)
		p.poolsStale = true
	}
	return true
}

// updateIncarnationFromReply is updateIncarnation for a reply. If an attempt that
// started after the current incarnation became known is answered by an earlier one,
// the earlier one is alive and is restored, unless it reports that it is leaving.
func (p *Picker) updateIncarnationFromReply(t, start time.Duration, u *upstream, r *Result) bool {
	if p.updateIncarnation(t, u, r.Incarnation) {
		return true
	}
	if r.Leaving || start <= u.incarnationSince {
		return false
	}
	u.restart(t, r.Incarnation)
	p.poolsStale = true
	return true
}

// Started records that an attempt was sent to the upstream. Unknown names are
// ignored.
func (p *Picker) Started(now time.Time, name string) {
	if u := p.byName[name]; u != nil {
		u.attemptStarted(p.advance(now))
	}
}

// Threshold is ThresholdOf for calls without a kind at the latest time that the
// picker was given.
func (p *Picker) Threshold() int { return p.thresholdAt(p.latestTime, "") }

// ThresholdOf returns the highest threshold that usable upstreams reported for the
// kind: at least one of them admits every priority below it. An upstream without a
// report of the last second counts as callmeta.MaxPriority, as does a service without
// usable upstreams.
func (p *Picker) ThresholdOf(now time.Time, kind string) int {
	return p.thresholdAt(p.advance(now), kind)
}

func (p *Picker) thresholdAt(t time.Duration, kind string) int {
	highest, k := 0, p.kinds.find(kind)
	pool := p.pools[tierAny]
	for _, u := range pool {
		highest = max(highest, u.threshold(k, t))
	}
	if len(pool) == 0 {
		return callmeta.MaxPriority
	}
	return highest
}
