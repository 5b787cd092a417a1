package routing

import (
	"time"

	"github.com/go-faster/errors"
)

// Config is one version of the configuration of routes.
type Config struct {
	// Version orders configurations; a higher one replaces a lower one.
	Version uint64
	// Routes are in no particular order.
	Routes []Route
	// Services are keyed by name.
	Services map[string]Service
	// Limits bound what a client may send.
	Limits Limits
}

// Route says which requests belong to it and how they are treated.
type Route struct {
	Name string
	// Host is the lower-case name of the Host header, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Parts are the services that requests are distributed among, by weight.
	Parts []Part
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time for which a request is kept waiting.
	Timeout time.Duration
	// Target is the latency objective.
	Target time.Duration
	// Rank is the importance; 0 is the most important.
	Rank int
	// MaxUpstreams is the highest number of upstreams that one request is sent to.
	MaxUpstreams int
}

// Part is one service of a route. Its share is Weight over the sum of all weights.
type Part struct {
	Service string
	Weight  float64
}

// Service describes a destination.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts.
	MaxConnections int
}

// Limits bound what a client may send and how long it may take.
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
	case len(r.Parts) == 0:
		return errors.New("service: none named")
	case r.Timeout <= 0:
		return errors.New("timeout: not positive")
	case r.MaxUpstreams < 1:
		return errors.New("attempts: below 1")
	}
	total := 0.0
	for _, p := range r.Parts {
		if p.Service == "" || p.Weight < 0 {
			return errors.Errorf("split: service %q with weight %v", p.Service, p.Weight)
		}
		total += p.Weight
	}
	if total <= 0 {
		return errors.New("split: no positive weight")
	}
	return nil
}
