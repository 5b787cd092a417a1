package config

import "encoding/json"

// Config is one published configuration.
type Config struct {
	// Version orders configurations; a daemon accepts only a higher one. It may
	// be missing in a file and be set when the configuration is published; Seal
	// refuses 0.
	Version uint64 `json:"version,omitempty"`
	// Services describes every service of the call graph.
	Services []Service `json:"services"`
	// Sheet is the demand forecast of the coming days; it may be empty.
	Sheet Sheet `json:"sheet,omitzero"`
}

// Service describes one service.
type Service struct {
	// Name is the first segment of a call's URL path.
	Name string `json:"name"`
	// Upstreams lists the configured upstreams of the service. A replacement VM
	// takes over the upstream name of the VM that it replaces.
	Upstreams []Upstream `json:"upstreams"`
	// PreviousHomes lists earlier sets of upstream names. The home of an
	// idempotency key is the upstream that keeps its record. Keys whose home
	// differs between a previous and the current set are refused.
	PreviousHomes [][]string `json:"previous_homes,omitempty"`
	// Kinds describes the request kinds that the service answers.
	Kinds []Kind `json:"kinds"`

	routes *routes // precompiled Kinds for Match; nil in a Service that was not parsed
}

// Upstream is one configured upstream of a service. Its address is not configured;
// it comes from the list of VMs.
type Upstream struct {
	// Name is unique in the fleet.
	Name string `json:"name"`
	// Zone is the availability zone and Region the region of the upstream's VM.
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Slots is the number of requests that the backend server runs concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that the backend server accepts.
	Connections int `json:"connections"`
}

// Kind describes one kind of request.
type Kind struct {
	// Name identifies the kind within its service.
	Name string `json:"name"`
	// Method is the HTTP method; Path is the URL path after the service name.
	// Path elements in braces, as in /orders/{id}, match one element.
	Method string `json:"method"`
	Path   string `json:"path"`
	// Rank is the importance of the request; 0 is the most important.
	Rank int `json:"rank"`
	// Idempotent reports whether running the request twice does no harm.
	Idempotent bool `json:"idempotent"`
	// PatienceMS is the time that a caller waits for the answer, in milliseconds.
	PatienceMS int `json:"patience_ms"`
	// Retries is the maximum number of retries of the whole request.
	Retries int `json:"retries"`
	// Calls lists the downstream calls that one run of the request makes.
	Calls []Target `json:"calls,omitempty"`
}

// Target names a request kind of a service.
type Target struct {
	Service string `json:"service"`
	Kind    string `json:"kind"`
}

// Sheet is the demand forecast, which planners export each morning.
type Sheet struct {
	Days []Day `json:"days"`
}

// Day is the forecast of one date.
type Day struct {
	// Date has the form 2006-01-02, in UTC.
	Date string `json:"date"`
	// Windows of the same service must not overlap.
	Windows []Window `json:"windows,omitempty"`
}

// Window is the forecast demand of one service during part of a day.
type Window struct {
	// Start and End are times of day of the form 15:04, in UTC. End is exclusive
	// and may be 24:00.
	Start string `json:"start"`
	End   string `json:"end"`
	// Service names the service.
	Service string `json:"service"`
	// CallsPerSecond is the expected demand, summed over all upstreams of the
	// service.
	CallsPerSecond float64 `json:"calls_per_second"`
}

// Envelope carries one configuration over the network.
type Envelope struct {
	// Version repeats the version of the body.
	Version uint64 `json:"version"`
	// Checksum is the xxhash64 of Body as 16 hexadecimal digits.
	Checksum string `json:"checksum"`
	// Body is the JSON form of Config.
	Body json.RawMessage `json:"body"`
}

// Service returns the description of the named service, or nil.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// Kind returns the description of the named kind, or nil.
func (s *Service) Kind(name string) *Kind {
	for i := range s.Kinds {
		if s.Kinds[i].Name == name {
			return &s.Kinds[i]
		}
	}
	return nil
}
