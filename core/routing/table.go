package routing

import (
	"net"
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

// Splitter distributes the requests of weighted routes. Each part's count stays within
// one request of its share, which random draws would not over short spans.
type Splitter struct {
	credit map[string][]float64
}

// Next returns the service for the next request of the route.
func (s *Splitter) Next(r *Route) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	if s.credit == nil {
		s.credit = make(map[string][]float64)
	}
	credit := s.credit[r.Name]
	if len(credit) != len(r.Parts) {
		credit = make([]float64, len(r.Parts))
		s.credit[r.Name] = credit
	}
	total, best := 0.0, -1
	for i, p := range r.Parts {
		credit[i] += p.Weight
		total += p.Weight
		if p.Weight > 0 && (best < 0 || credit[i] > credit[best]) {
			best = i
		}
	}
	credit[best] -= total
	return r.Parts[best].Service
}

// Reset forgets the running shares, for use when the configuration changes.
func (s *Splitter) Reset() { s.credit = nil }
