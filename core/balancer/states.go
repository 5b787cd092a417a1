package balancer

import (
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/core/chart"
)

// State describes one upstream as the picker sees it.
type State struct {
	Name, Address, Zone string
	Incarnation         uuid.UUID
	// State is the state in the chart "upstream".
	State chart.State
	// InFlight is the number of running attempts from this daemon.
	InFlight int
	// Latency is the estimated latency that picks are based on.
	Latency time.Duration
	// Weight is the share of traffic relative to an upstream with the mean number
	// of slots that is not in slow start, which has 1.
	Weight float64
	// Failures is the number of consecutive failures.
	Failures int
	// Ejections is the number of recent ejections; see ejectionCountDecay.
	Ejections int
	// Threshold is the lowest current threshold of any kind, or callmeta.MaxPriority.
	Threshold int
}

// States returns all upstreams that are not gone, sorted by name. Latencies, weights
// and thresholds are those at the latest time that the picker was given.
func (p *Picker) States() []State {
	p.refresh(p.latestTime)
	states := make([]State, 0, len(p.present))
	for _, u := range p.present {
		states = append(states, p.state(u))
	}
	return states
}

func (p *Picker) state(u *upstream) State {
	s := State{
		Name: u.name, Address: u.address, Zone: u.config.Zone, Incarnation: u.incarnation,
		State: u.machine.State(), InFlight: u.inFlight(), Failures: u.failures,
		Latency: u.estimatedLatency(p.latestTime, p.referenceLatency()), Weight: u.weight * u.ramp(p.latestTime),
		Ejections: u.ejection.recentCount, Threshold: u.threshold(-1, p.latestTime),
	}
	for kind := range u.thresholds {
		s.Threshold = min(s.Threshold, u.threshold(kind, p.latestTime))
	}
	return s
}

// SetConnections sets the number of open connections to the upstream, including
// busy ones. Without it the number is estimated from the attempts.
func (p *Picker) SetConnections(name string, open int) {
	if u := p.byName[name]; u != nil {
		u.connections, u.connectionsReported = max(open, 0), true
	}
}

// ResumeAfterPause discards the measurements that are outdated after a pause of the
// process: latencies, failures and thresholds. Ejections end, so that ejected
// upstreams are probed next. Running attempts, incarnations and the leaving state are
// kept.
func (p *Picker) ResumeAfterPause(now time.Time) {
	t := p.advance(now)
	for _, u := range p.byName {
		u.resetMeasurements(t)
		u.connections, u.connectionsReported = u.inFlight(), false
		u.ejection.until = min(u.ejection.until, t)
		u.ejection.probesPassed = 0
	}
	p.medianLatency = 0
	p.poolsStale = true
	p.refresh(t)
}

// Violations returns how often the picker selected an upstream that is leaving or
// gone; such a pick returns resultcode.NoUpstream. It is 0 unless the picker has a fault.
func (p *Picker) Violations() uint64 { return p.violations }

func byName(a, b *upstream) int { return strings.Compare(a.name, b.name) }
