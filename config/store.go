package config

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/core/chart"
)

// Verdict is the result of offering a configuration to a Store.
type Verdict uint8

// Possible verdicts. Only Accepted changes the configuration in force.
const (
	// Accepted means that the configuration has been put in force.
	Accepted Verdict = iota + 1
	// Same means that the configuration is already in force.
	Same
	// Older means that a higher version is in force.
	Older
	// Conflict means that other content of the same version is in force.
	Conflict
	// Invalid means that the envelope or its content failed a check.
	Invalid
)

// String returns the verdict in lower case, as in logs and counters.
func (v Verdict) String() string {
	names := [...]string{"none", "accepted", "same", "older", "conflict", "invalid"}
	if int(v) >= len(names) {
		return "none"
	}
	return names[v]
}

var storeChart = chart.MustLoad("configuration")

// Store holds the configuration in force, whose version only increases. The zero
// value is an empty store. A Store is safe for concurrent use; Current takes no
// lock.
type Store struct {
	mu            sync.Mutex
	machine       *chart.Machine
	lastRejection rejection
	current       atomic.Pointer[storedConfig]
}

type storedConfig struct {
	config   *Config
	envelope Envelope
}

// rejection identifies the last invalid envelope and holds its error. A faulty
// envelope stays published for a while, and parsing it at every read would use the
// daemon's share of a core.
type rejection struct {
	version    uint64
	checksum   string
	bodyLength int
	bodyHash   uint64
	err        error
}

// Offer puts a configuration in force if it is valid and its version is higher than
// the version in force; otherwise the configuration in force stays. The error gives
// the reason. It is set for Conflict and Invalid only, because Same and Older are
// normal in the exchange between daemons. The store keeps a reference to the body,
// which must not be modified afterwards.
func (s *Store) Offer(e Envelope) (Verdict, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.machine == nil {
		s.machine = storeChart.NewMachine()
	}
	s.machine.Fire("offer")
	verdict, err := s.decide(e)
	if verdict == Accepted {
		s.machine.Fire("accept")
	} else {
		s.machine.Fire("reject")
	}
	return verdict, err
}

func (s *Store) decide(e Envelope) (Verdict, error) {
	inForce := s.current.Load()
	if inForce != nil && e.Version < inForce.envelope.Version {
		return Older, nil
	}
	if inForce != nil && e.Version == inForce.envelope.Version && sameContent(e, inForce.envelope) {
		return Same, nil
	}
	c, err := s.open(e)
	if err != nil {
		return Invalid, err
	}
	if inForce != nil && e.Version == inForce.envelope.Version {
		return Conflict, errors.Errorf("version %d is in force with checksum %s, offered with %s",
			e.Version, inForce.envelope.Checksum, e.Checksum)
	}
	s.current.Store(&storedConfig{c, e})
	return Accepted, nil
}

func (s *Store) open(e Envelope) (*Config, error) {
	offered := rejection{e.Version, e.Checksum, len(e.Body), xxhash.Sum64(e.Body), s.lastRejection.err}
	if s.lastRejection.err != nil && offered == s.lastRejection {
		return nil, s.lastRejection.err
	}
	c, err := Open(e)
	if err != nil {
		offered.err = err
		s.lastRejection = offered
	}
	return c, err
}

func sameContent(a, b Envelope) bool {
	return a.Checksum == b.Checksum && string(a.Body) == string(b.Body)
}

// Current returns the configuration in force and its envelope, or nil and a zero
// envelope if none has been accepted.
func (s *Store) Current() (*Config, Envelope) {
	inForce := s.current.Load()
	if inForce == nil {
		return nil, Envelope{}
	}
	return inForce.config, inForce.envelope
}

// State returns the state of the store in the state chart "configuration". Once a
// configuration is in force, the state stays in_force, whatever is offered.
func (s *Store) State() chart.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.machine == nil {
		return storeChart.NewMachine().State()
	}
	return s.machine.State()
}
