package measure

import (
	"math"
	"time"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/config"
)

// Policies.
const (
	PolicyNone   = "none"
	PolicyStatic = "static"
	PolicyFull   = "full"
)

// Deployment is one of the users' fleets.
type Deployment struct {
	Name string
	// Start is the virtual time at which a case begins.
	Start time.Time
	// Inside, Between and Client are one-way latencies.
	Inside, Between, Client time.Duration
	// Scale is the share of the published slots that is simulated.
	Scale float64
	// Deep is the service that slows down in the case "deep".
	Deep string
	// Mix is the mix of entry requests; the weights add up to 1. At twice the
	// capacity the non-idempotent requests alone still fit.
	Mix []share
}

// Deployments returns the two fleets of the design page. The scales leave 8 slots
// to the smallest upstream.
func Deployments() []*Deployment {
	return []*Deployment{
		{
			Name: "quito", Start: time.Date(2026, 2, 16, 12, 0, 0, 0, time.UTC),
			Inside: 200 * time.Microsecond, Between: 1500 * time.Microsecond, Client: 8 * time.Millisecond,
			Scale: 0.5, Deep: "stock",
			Mix: []share{
				{"catalogue", "browse", 0.30}, {"stock", "check", 0.32}, {"batch-order", "status", 0.15},
				{"workshop", "cut-sheet", 0.13}, {"batch-order", "confirm", 0.10},
			},
		},
		{
			Name: "alpenbrett", Start: time.Date(2026, 4, 4, 9, 45, 0, 0, time.UTC),
			Inside: 200 * time.Microsecond, Between: time.Millisecond, Client: 3 * time.Millisecond,
			Scale: 0.25, Deep: "result",
			Mix: []share{
				{"standings", "read", 0.28}, {"rating", "browse", 0.28}, {"pairing", "draw", 0.35},
				{"result", "record", 0.09},
			},
		},
	}
}

// load parses descriptions, scales the slots and adds a sheet.
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

// condition returns the factor on the service time of an upstream; 0 if it is dead.
type condition func(service string, u config.Upstream) float64

func healthy(string, config.Upstream) float64 { return 1 }

// capacity returns the requests per second of the mix at which the slots of the
// busiest service are fully used. A run holds its slot during its downstream
// calls, for which the latency inside a zone is taken: the highest capacity that
// routing can reach. An upstream is used in proportion to its speed.
func (dep *Deployment) capacity(conf *config.Config, mix []share, c condition) float64 {
	capacity, _ := dep.busiest(conf, mix, c)
	return capacity
}

// busiest returns the capacity and the name of the busiest service.
func (dep *Deployment) busiest(conf *config.Config, mix []share, c condition) (capacity float64, name string) {
	held := make(map[string]float64) // slot seconds per request of the mix, by service
	for _, s := range mix {
		dep.hold(conf, s.service, s.kind, c, s.weight, held)
	}
	capacity = math.Inf(1)
	for _, service := range conf.Services {
		_, slots := speed(service, c)
		if held[service.Name] > 0 && slots/held[service.Name] < capacity {
			capacity, name = slots/held[service.Name], service.Name
		}
	}
	return capacity, name
}

// hold adds the slot time of a call and of the calls below it, and returns how
// long the call takes.
func (dep *Deployment) hold(conf *config.Config, service, kind string, c condition, weight float64, held map[string]float64) float64 {
	desc := conf.Service(service)
	factor, _ := speed(*desc, c)
	taken := serviceMean.Seconds() * factor
	for _, t := range desc.Kind(kind).Calls {
		taken += dep.hold(conf, t.Service, t.Kind, c, weight, held) + 2*dep.Inside.Seconds()
	}
	held[service] += weight * taken
	return taken
}

// speed returns the mean factor on the service time and the slots of the
// upstreams that are alive.
func speed(s config.Service, c condition) (factor, slots float64) {
	var total, rate float64
	for _, u := range s.Upstreams {
		if f := c(s.Name, u); f > 0 {
			total += float64(u.Slots)
			rate += float64(u.Slots) / f
		}
	}
	return total / rate, total
}

// demand returns the calls per second that the mix makes to each service.
func (dep *Deployment) demand(conf *config.Config, load float64) map[string]float64 {
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

// surge returns a mix in which idempotent requests are multiplied by the factor,
// and the load relative to the unchanged mix.
func surge(conf *config.Config, mix []share, factor float64) (surged []share, load float64) {
	for _, s := range mix {
		if conf.Service(s.service).Kind(s.kind).Idempotent {
			s.weight *= factor
		}
		load += s.weight
		surged = append(surged, s)
	}
	for i := range surged {
		surged[i].weight /= load
	}
	return surged, load
}

// important returns the non-idempotent part of a mix with weights that add up to 1.
func important(conf *config.Config, from []share) (mix []share, weight float64) {
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
