package node

import (
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/admission"
	"github.com/hawthornpoint/hawthornpoint/core/balancer"
	"github.com/hawthornpoint/hawthornpoint/core/chart"
	"github.com/hawthornpoint/hawthornpoint/core/forecast"
	"github.com/hawthornpoint/hawthornpoint/core/idempotency"
	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/core/quarantine"
	"github.com/hawthornpoint/hawthornpoint/core/retry"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

const (
	// defaultLeaveGrace is how long a leaving daemon still accepts new calls from
	// daemons that do not know yet that it is leaving.
	defaultLeaveGrace = 2 * time.Second
	// defaultMaxCalls bounds the open calls on each side of a node.
	defaultMaxCalls = 4096
	// defaultSlots is used until a configuration names the local upstream.
	defaultSlots = 16
	// planInterval is the time between applications of the planners' sheet to the
	// retry budgets.
	planInterval = 30 * time.Second
	// expiryInterval is how often membership records are checked for their age.
	expiryInterval = time.Second
)

var daemonChart = chart.MustLoad("daemon")

// Config configures a Node. Zero values select defaults.
type Config struct {
	// Self describes this daemon, including its upstream name, service and addresses.
	Self membership.Record
	// Started is when this incarnation started.
	Started time.Time
	// Rand is the source of all random choices.
	Rand *rand.Rand
	// NewID creates the ids of requests, calls, tokens and backend incarnations.
	NewID func() uuid.UUID
	// MaxCalls bounds the open calls on each side.
	MaxCalls int
	// QueueLimit bounds the admission queue; zero derives it from the slots.
	QueueLimit int
	// Records and AnswerBytes bound the at-most-once table.
	Records, AnswerBytes int
	// ClockSkew bounds the difference between the clocks of any two VMs or callers.
	ClockSkew time.Duration
	// LeaveGrace is how long a leaving daemon accepts new calls.
	LeaveGrace time.Duration
	// OnViolation is called when an invariant is violated.
	OnViolation func(Violation)
	// Observe is called for every decision or event to be counted, such as a refusal or
	// a retry.
	Observe func(Observation)
}

// Node makes the decisions of one daemon. It is not safe for concurrent use.
type Node struct {
	cfg           Config
	state         *chart.Machine
	leavingSince  time.Time
	store         *config.Store
	conf          *config.Config // in force; nil before the first
	view          *membership.View
	disseminator  *membership.Disseminator
	outboxState   outboxState
	endpoint      map[string]map[string]balancer.Endpoint // by service and upstream name
	pauseDetector membership.PauseDetector
	pickers       map[string]*balancer.Picker
	budgets       map[string]*retry.Budget
	callees       []string // services that the local service calls
	nextPlan      time.Time
	// nextExpiry is when membership records are checked again.
	nextExpiry time.Time
	pauses     int
	listRead   bool // whether a list of VMs with a record was merged
	// replaced is set once a later incarnation of this daemon is known.
	replaced           bool
	resumedAt          time.Time // when the latest pause was detected
	confirmation       membership.Confirmation
	admission          *admission.Controller
	table              *idempotency.Table
	crashes            *quarantine.Tracker
	backendIncarnation uuid.UUID
	backendDown        bool
	runs               map[uuid.UUID]*run // calls on the server side, by call id
	outgoing           int                // number of open calls on the client side
}

// New returns a node in the state "starting" without a configuration.
func New(cfg Config) *Node {
	setDefaults(&cfg)
	n := &Node{
		cfg:                cfg,
		state:              daemonChart.NewMachine(),
		store:              new(config.Store),
		view:               membership.New(cfg.Self),
		disseminator:       membership.NewDisseminator(0),
		endpoint:           make(map[string]map[string]balancer.Endpoint),
		pickers:            make(map[string]*balancer.Picker),
		budgets:            make(map[string]*retry.Budget),
		crashes:            quarantine.New(quarantine.Config{}),
		backendIncarnation: cfg.NewID(),
		runs:               make(map[uuid.UUID]*run),
	}
	n.admission = admission.New(admission.Config{
		Slots:       defaultSlots,
		QueueLimit:  cfg.QueueLimit,
		OnViolation: n.violationHook(InvariantShedOrder),
	})
	n.table = idempotency.NewTable(idempotency.Config{
		Service:        cfg.Self.Service,
		Upstream:       cfg.Self.Name,
		Incarnation:    cfg.Self.Incarnation,
		Started:        cfg.Started,
		Skew:           cfg.ClockSkew,
		MaxRecords:     cfg.Records,
		MaxAnswerBytes: cfg.AnswerBytes,
		OnViolation:    n.violationHook(InvariantAtMostOnce),
	})
	return n
}

func setDefaults(cfg *Config) {
	if cfg.MaxCalls == 0 {
		cfg.MaxCalls = defaultMaxCalls
	}
	if cfg.LeaveGrace == 0 {
		cfg.LeaveGrace = defaultLeaveGrace
	}
	if cfg.NewID == nil {
		cfg.NewID = uuid.New
	}
	if cfg.OnViolation == nil {
		cfg.OnViolation = func(Violation) {}
	}
	if cfg.Observe == nil {
		cfg.Observe = func(Observation) {}
	}
}

// Ready marks the daemon as serving. It is called when its listeners are open.
func (n *Node) Ready() { n.state.Fire("ready") }

// State returns the current state of the daemon in the state chart "daemon".
func (n *Node) State() chart.State { return n.state.State() }

// Self returns the current record of this daemon.
func (n *Node) Self() membership.Record { return n.view.Self() }

// apply puts an accepted configuration in force.
func (n *Node) apply(now time.Time, conf *config.Config) {
	n.conf = conf
	if own := n.ownService(); own != nil {
		for _, u := range own.Upstreams {
			if u.Name == n.cfg.Self.Name {
				n.admission.SetSlots(u.Slots)
			}
		}
		n.callees = calledServices(own)
	}
	n.view.SetCalledServices(n.callees)
	n.disseminator.Config(conf.Version)
	n.nextPlan = now
	n.refreshPickers(now)
}

func (n *Node) ownService() *config.Service {
	if n.conf == nil {
		return nil
	}
	return n.conf.Service(n.cfg.Self.Service)
}

func calledServices(s *config.Service) []string {
	seen := make(map[string]bool)
	var names []string
	for _, k := range s.Kinds {
		for _, t := range k.Calls {
			if !seen[t.Service] {
				seen[t.Service] = true
				names = append(names, t.Service)
			}
		}
	}
	return names
}

// picker returns the picker of a service, creating it on first use.
func (n *Node) picker(now time.Time, service string) *balancer.Picker {
	p, ok := n.pickers[service]
	if !ok {
		p = balancer.New(balancer.Locality{Zone: n.cfg.Self.Zone, Region: n.cfg.Self.Region}, n.cfg.Rand)
		n.pickers[service] = p
		n.refreshPicker(now, service, p)
	}
	return p
}

// budget returns the retry budget towards a service, creating it on first use with
// the ratio that the sheet in force gives.
func (n *Node) budget(now time.Time, service string) *retry.Budget {
	b, ok := n.budgets[service]
	if !ok {
		b = retry.NewBudget(n.Plan(now, service).RetryRatio, minRetriesPerSecond)
		n.budgets[service] = b
	}
	return b
}

// refreshPickers passes the current endpoints to all pickers.
func (n *Node) refreshPickers(now time.Time) {
	for service, p := range n.pickers {
		n.refreshPicker(now, service, p)
	}
}

func (n *Node) refreshPicker(now time.Time, service string, p *balancer.Picker) {
	eps := n.endpoints(service)
	byName := make(map[string]balancer.Endpoint, len(eps))
	for _, e := range eps {
		byName[e.Name] = e
	}
	n.endpoint[service] = byName
	p.Update(now, eps)
}

// endpoints joins the configured upstreams of a service with the addresses and
// incarnations of their membership records. Records without a configured upstream
// are left out.
func (n *Node) endpoints(service string) []balancer.Endpoint {
	if n.conf == nil {
		return nil
	}
	desc := n.conf.Service(service)
	if desc == nil {
		return nil
	}
	configured := make(map[string]config.Upstream, len(desc.Upstreams))
	for _, u := range desc.Upstreams {
		configured[u.Name] = u
	}
	var eps []balancer.Endpoint
	for _, r := range n.view.Endpoints(service) {
		upstream, ok := configured[r.Name]
		if !ok {
			continue
		}
		eps = append(eps, balancer.Endpoint{
			Upstream:    upstream,
			Address:     r.PeerAddress,
			Incarnation: r.Incarnation,
			Leaving:     r.State == membership.Leaving,
		})
	}
	return eps
}

// replan applies the sheet to the retry budgets, once in each planInterval.
func (n *Node) replan(now time.Time) {
	if n.conf == nil || now.Before(n.nextPlan) {
		return
	}
	n.nextPlan = now.Add(planInterval)
	for service, b := range n.budgets {
		b.SetRatio(n.Plan(now, service).RetryRatio)
	}
}

// Plan returns the values that the sheet sets for a service at this time, or the
// default plan while the capacity of the service is unknown.
func (n *Node) Plan(now time.Time, service string) forecast.Plan {
	capacity := n.capacity(service)
	if capacity == 0 {
		return forecast.DefaultPlan()
	}
	return forecast.PlanFor(now, n.conf.Sheet, service, capacity)
}

// capacity estimates the calls per second that a service can answer: its slots
// divided by the mean latency that this daemon has measured. It is 0 while no
// latency is known, since a forecast cannot be compared with slots alone.
func (n *Node) capacity(service string) float64 {
	picker, ok := n.pickers[service]
	if n.conf == nil || !ok {
		return 0
	}
	var latency time.Duration
	known := 0
	for _, s := range picker.States() {
		if s.Latency > 0 {
			latency += s.Latency
			known++
		}
	}
	if known == 0 {
		return 0
	}
	slots := 0
	for _, u := range n.conf.Service(service).Upstreams {
		slots += u.Slots
	}
	return float64(slots) * float64(known) / latency.Seconds()
}

func (n *Node) observeRefusal(c resultcode.Code, service, kind string) {
	n.cfg.Observe(Observation{Type: ObservedRefused, Code: c, Service: service, Kind: kind})
}
