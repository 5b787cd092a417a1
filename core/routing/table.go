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

// NewTable returns the table of a checked configuration, which must not change later.
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

// Match returns the route of the host with the longest prefix that begins the path,
// or nil. The host may carry a port; the path carries no query.
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

// startSteps bounds the random number of steps that a new split has behind it. Daemons that
// all began with the heaviest part would together send it too much.
const startSteps = 100

// Splitter distributes the requests of weighted routes. Each part's count stays within
// one request of its share, which random draws would not over short spans. A split goes on
// when a configuration leaves its weights as they are.
type Splitter struct {
	// Rand draws where a new split begins; nil begins with the heaviest part.
	Rand   *rand.Rand
	splits map[string]*split
}

// split is the running state of one route.
type split struct {
	parts  []Part
	credit []float64
}

// Next returns the service for the next request of the route.
func (s *Splitter) Next(r *Route) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	current := s.splits[r.Name]
	if current == nil || !slices.Equal(current.parts, r.Parts) {
		current = s.begin(r)
	}
	return current.next()
}

func (s *Splitter) begin(r *Route) *split {
	current := &split{parts: r.Parts, credit: make([]float64, len(r.Parts))}
	if s.splits == nil {
		s.splits = make(map[string]*split)
	}
	s.splits[r.Name] = current
	if s.Rand != nil {
		for range s.Rand.IntN(startSteps) {
			current.next()
		}
	}
	return current
}

func (s *split) next() string {
	total, best := 0.0, -1
	for i, p := range s.parts {
		s.credit[i] += p.Weight
		total += p.Weight
		if p.Weight > 0 && (best < 0 || s.credit[i] > s.credit[best]) {
			best = i
		}
	}
	s.credit[best] -= total
	return s.parts[best].Service
}

// Keep forgets the routes that a configuration no longer has.
func (s *Splitter) Keep(c *Config) {
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
