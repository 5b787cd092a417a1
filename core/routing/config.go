package routing

import (
	"math"
	"time"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/core/tenancy"
)

// Config is one version of the configuration of routes.
type Config struct {
	// Version orders configurations; a higher one replaces a lower one.
	Version uint64
	// Routes may be in any order.
	Routes []Route
	// Services holds the services by name.
	Services map[string]Service
	// Limits bound the requests of callers.
	Limits Limits
	// Tenants holds the tenants whose keys requests must carry, nil if requests need none.
	Tenants *tenancy.Table
	// InvalidTenants holds an error for each tenant or key that was left out of Tenants.
	InvalidTenants []error
}

// Route describes which requests it matches and how they are handled.
type Route struct {
	Name string
	// Host is the host name of the Host header in lower case, without a port.
	Host string
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string
	// Destinations are the services that requests are distributed among, by weight.
	Destinations []Destination
	// Idempotent is set when a request may run more than once.
	Idempotent bool
	// Timeout bounds the time that a caller waits for the response.
	Timeout time.Duration
	// LatencyObjective is the time in which requests should be answered.
	LatencyObjective time.Duration
	// Rank is the priority of the requests; 0 is the most important.
	Rank int
	// MaxUpstreams is the maximum number of upstreams that one request is sent to.
	MaxUpstreams int
	// Public is set when requests need no key although the configuration has tenants.
	Public bool
}

// Destination is one service of a route. Its share of the requests is Weight divided by the
// sum of the route's weights.
type Destination struct {
	Service string
	Weight  float64
}

// Service describes a service that requests are sent to.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections is the maximum number of connections that one upstream accepts.
	MaxConnections int
}

// Limits bound the size of callers' requests and the time that callers may take.
type Limits struct {
	// HeaderBytes and BodyBytes bound one request; 0 means no bound.
	HeaderBytes, BodyBytes int64
	// HeaderTimeout bounds the time for sending a header, and IdleTimeout the time
	// between two requests on a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Check returns an error that names the first field that makes the configuration unusable.
func (c *Config) Check() error {
	for i := range c.Routes {
		if err := c.Routes[i].check(); err != nil {
			return errors.Wrapf(err, "routes[%d] %q", i, c.Routes[i].Name)
		}
	}
	return nil
}

func (r *Route) check() error {
	switch {
	case r.Host == "":
		return errors.New("host: empty")
	case len(r.Prefix) == 0 || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/':
		return errors.Errorf("prefix: %q does not begin and end with a slash", r.Prefix)
	case len(r.Destinations) == 0:
		return errors.New("service: none named")
	case r.Timeout <= 0:
		return errors.New("timeout: not positive")
	case r.MaxUpstreams < 1:
		return errors.New("attempts: below 1")
	}
	total := 0.0
	for _, destination := range r.Destinations {
		if destination.Service == "" || destination.Weight < 0 {
			return errors.Errorf("split: service %q with weight %v", destination.Service, destination.Weight)
		}
		total += destination.Weight
	}
	if total <= 0 || math.IsInf(total, 0) {
		return errors.Errorf("split: sum of the weights is %v", total)
	}
	return nil
}

// ServiceNames returns the names of the services that are described or that a route leads to.
func (c *Config) ServiceNames() map[string]bool {
	names := make(map[string]bool, len(c.Services))
	for name := range c.Services {
		names[name] = true
	}
	for i := range c.Routes {
		for _, destination := range c.Routes[i].Destinations {
			names[destination.Service] = true
		}
	}
	return names
}
