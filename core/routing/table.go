package routing

import (
	"math/rand/v2"
	"net"
	"slices"
	"strings"
)

// Table finds the route of a request. It is immutable.
type Table struct {
	config *Config
	// hosts holds the routes of each host by prefix.
	hosts map[string]map[string]*Route
}

// NewTable returns the table of a configuration that has passed Check. The configuration
// must not change afterwards.
func NewTable(c *Config) *Table {
	t := &Table{config: c, hosts: make(map[string]map[string]*Route)}
	for i := range c.Routes {
		r := &c.Routes[i]
		prefixes := t.hosts[r.Host]
		if prefixes == nil {
			prefixes = make(map[string]*Route)
			t.hosts[r.Host] = prefixes
		}
		prefixes[r.Prefix] = r
	}
	return t
}

// Config returns the configuration that the table was built from.
func (t *Table) Config() *Config { return t.config }

// Match returns the route of the host with the longest prefix that matches the path, or
// nil if there is none. The host may include a port; the path must not include the query.
func (t *Table) Match(host, path string) *Route {
	prefixes := t.hosts[canonicalHost(host)]
	if prefixes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

func canonicalHost(host string) string {
	if strings.LastIndexByte(host, ':') >= 0 {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}

// initialSteps bounds the random number of steps by which a new split is advanced. Daemons
// that all began with the destination of the highest weight would together send it too many
// requests.
const initialSteps = 100

// Splitter distributes the requests of routes with several destinations by smooth weighted
// round robin. The count of each destination stays within one request of its share; random
// selection would deviate more over short spans. The state of a split is kept when a new
// configuration leaves its destinations and weights unchanged.
type Splitter struct {
	// Rand selects the step at which a new split begins. If nil, a split begins with the
	// destination of the highest weight.
	Rand   *rand.Rand
	splits map[string]*split
}

// split is the round-robin state of one route.
type split struct {
	destinations []Destination
	credit       []float64
}

// Next returns the service for the next request of the route.
func (s *Splitter) Next(r *Route) string {
	if len(r.Destinations) == 1 {
		return r.Destinations[0].Service
	}
	current := s.splits[r.Name]
	if current == nil || !slices.Equal(current.destinations, r.Destinations) {
		current = s.startSplit(r)
	}
	return current.next()
}

func (s *Splitter) startSplit(r *Route) *split {
	current := &split{destinations: r.Destinations, credit: make([]float64, len(r.Destinations))}
	if s.splits == nil {
		s.splits = make(map[string]*split)
	}
	s.splits[r.Name] = current
	if s.Rand != nil {
		for range s.Rand.IntN(initialSteps) {
			current.next()
		}
	}
	return current
}

func (s *split) next() string {
	total, best := 0.0, -1
	for i, destination := range s.destinations {
		s.credit[i] += destination.Weight
		total += destination.Weight
		if destination.Weight > 0 && (best < 0 || s.credit[i] > s.credit[best]) {
			best = i
		}
	}
	s.credit[best] -= total
	return s.destinations[best].Service
}

// Prune removes the state of routes that are missing from the configuration.
func (s *Splitter) Prune(c *Config) {
	kept := make(map[string]bool, len(c.Routes))
	for i := range c.Routes {
		kept[c.Routes[i].Name] = true
	}
	for name := range s.splits {
		if !kept[name] {
			delete(s.splits, name)
		}
	}
}
