package measure

import (
	"math"
	"time"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/config"
)

// Names of the policies.
const (
	PolicyNone   = "none"
	PolicyStatic = "static"
	PolicyFull   = "full"
)

// Deployment describes one of the users' fleets.
type Deployment struct {
	Name string
	// Start is the virtual time at which a case begins.
	Start time.Time
	// IntraZone, InterZone and Client are the one-way latencies inside a zone,
	// between zones, and between a caller and any zone.
	IntraZone, InterZone, Client time.Duration
	// Scale is the share of the described slots that is simulated.
	Scale float64
	// DeepService is the service that slows down in the case "deep". The upstream
	// that single faults affect belongs to it.
	DeepService string
	// Mix is the mix of callers' requests; the weights add up to 1. At a load of
	// twice the capacity, the non-idempotent requests alone still fit.
	Mix []mixEntry
}

// Deployments returns the two fleets of the design page. They are scaled so that the
// smallest upstream has 8 slots.
func Deployments() []*Deployment {
	return []*Deployment{
		{
			Name: "quito", Start: time.Date(2026, 2, 16, 12, 0, 0, 0, time.UTC),
			IntraZone: 200 * time.Microsecond, InterZone: 1500 * time.Microsecond, Client: 8 * time.Millisecond,
			Scale: 0.5, DeepService: "stock",
			Mix: []mixEntry{
				{"catalogue", "browse", 0.30}, {"stock", "check", 0.32}, {"batch-order", "status", 0.15},
				{"workshop", "cut-sheet", 0.13}, {"batch-order", "confirm", 0.10},
			},
		},
		{
			Name: "alpenbrett", Start: time.Date(2026, 4, 4, 9, 45, 0, 0, time.UTC),
			IntraZone: 200 * time.Microsecond, InterZone: time.Millisecond, Client: 3 * time.Millisecond,
			Scale: 0.25, DeepService: "result",
			Mix: []mixEntry{
				{"standings", "read", 0.28}, {"rating", "browse", 0.28}, {"pairing", "draw", 0.35},
				{"result", "record", 0.09},
			},
		},
	}
}

// load parses descriptions, scales the slots, adds the sheet if one is given, and
// seals the configuration.
func (dep *Deployment) load(descriptions []byte, sheet func(*config.Config) config.Sheet) (*config.Config, config.Envelope, error) {
	d, problems := config.ParseDescriptions(dep.Name, descriptions)
	if err := config.Join(problems); err != nil {
		return nil, config.Envelope{}, errors.Wrap(err, "descriptions")
	}
	conf, problems := config.Merge(d, nil)
	if err := config.Join(problems); err != nil {
		return nil, config.Envelope{}, errors.Wrap(err, "merge")
	}
	for i := range conf.Services {
		for j := range conf.Services[i].Upstreams {
			u := &conf.Services[i].Upstreams[j]
			u.Slots = max(int(math.Round(dep.Scale*float64(u.Slots))), 1)
		}
	}
	if sheet != nil {
		conf.Sheet = sheet(conf)
	}
	envelope, err := config.Seal(conf)
	return conf, envelope, err
}

// condition returns the factor on the service time of an upstream; 0 if it is down.
type condition func(service string, u config.Upstream) float64

func healthy(string, config.Upstream) float64 { return 1 }

// capacity returns the requests per second of the mix at which the slots of the
// bottleneck service are fully used. A run occupies its slot during its downstream
// calls, for which the latency inside a zone is assumed: this gives the highest
// capacity that routing can reach. Each upstream is assumed to receive calls in
// proportion to its speed.
func (dep *Deployment) capacity(conf *config.Config, mix []mixEntry, cond condition) float64 {
	capacity, _ := dep.bottleneck(conf, mix, cond)
	return capacity
}

// bottleneck returns the capacity and the name of the service that limits it.
func (dep *Deployment) bottleneck(conf *config.Config, mix []mixEntry, cond condition) (capacity float64, name string) {
	slotSeconds := make(map[string]float64) // slot seconds per request of the mix, by service
	for _, s := range mix {
		dep.addSlotSeconds(conf, s.service, s.kind, cond, s.weight, slotSeconds)
	}
	capacity = math.Inf(1)
	for _, service := range conf.Services {
		_, slots := usableSlots(service, cond)
		if slotSeconds[service.Name] > 0 && slots/slotSeconds[service.Name] < capacity {
			capacity, name = slots/slotSeconds[service.Name], service.Name
		}
	}
	return capacity, name
}

// addSlotSeconds adds the slot time of a call and of its downstream calls to
// slotSeconds, and returns the duration of the call in seconds.
func (dep *Deployment) addSlotSeconds(conf *config.Config, service, kind string, cond condition, weight float64, slotSeconds map[string]float64) float64 {
	desc := conf.Service(service)
	factor, _ := usableSlots(*desc, cond)
	duration := serviceMean.Seconds() * factor
	for _, t := range desc.Kind(kind).Calls {
		duration += dep.addSlotSeconds(conf, t.Service, t.Kind, cond, weight, slotSeconds) + 2*dep.IntraZone.Seconds()
	}
	slotSeconds[service] += weight * duration
	return duration
}

// usableSlots returns the mean factor on the service time of the upstreams that are
// up, and the sum of their slots.
func usableSlots(s config.Service, cond condition) (factor, slots float64) {
	var total, rate float64
	for _, u := range s.Upstreams {
		if f := cond(s.Name, u); f > 0 {
			total += float64(u.Slots)
			rate += float64(u.Slots) / f
		}
	}
	return total / rate, total
}

// callRates returns the calls per second to each service at a load in requests per
// second of the mix.
func (dep *Deployment) callRates(conf *config.Config, load float64) map[string]float64 {
	calls := make(map[string]float64)
	var add func(service, kind string, rate float64)
	add = func(service, kind string, rate float64) {
		calls[service] += rate
		for _, t := range conf.Service(service).Kind(kind).Calls {
			add(t.Service, t.Kind, rate)
		}
	}
	for _, s := range dep.Mix {
		add(s.service, s.kind, s.weight*load)
	}
	return calls
}

// multiplyReads returns a mix in which the idempotent requests are multiplied by the
// factor, and its load relative to that of the given mix.
func multiplyReads(conf *config.Config, mix []mixEntry, factor float64) (multiplied []mixEntry, load float64) {
	for _, s := range mix {
		if conf.Service(s.service).Kind(s.kind).Idempotent {
			s.weight *= factor
		}
		load += s.weight
		multiplied = append(multiplied, s)
	}
	for i := range multiplied {
		multiplied[i].weight /= load
	}
	return multiplied, load
}

// nonIdempotentMix returns the non-idempotent part of a mix, with weights that add up
// to 1, and the weight that it has in the given mix.
func nonIdempotentMix(conf *config.Config, from []mixEntry) (mix []mixEntry, weight float64) {
	for _, s := range from {
		if !conf.Service(s.service).Kind(s.kind).Idempotent {
			mix = append(mix, s)
			weight += s.weight
		}
	}
	for i := range mix {
		mix[i].weight /= weight
	}
	return mix, weight
}
