package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/daemon"
	"github.com/hawthornpoint/hawthornpoint/harness/standin"
	"github.com/hawthornpoint/hawthornpoint/settings"
)

const (
	// runTime is the service time of a stand-in backend server.
	runTime = 20 * time.Millisecond
	// restartDelay is how long a crashed backend server is away.
	restartDelay = 300 * time.Millisecond
	// clockSkewMS keeps the fence after a start short.
	clockSkewMS = 100
	// slots is small, so that a few requests are enough to fill a queue.
	slots = 4
	// zone and region hold the whole fleet.
	zone, region    = "z1", "r1"
	platformAddress = "10.0.9.9:80"
)

// testConfig describes two services with three upstreams each.
func testConfig(version uint64) *config.Config {
	check := []config.Target{{Service: "stock", Kind: "check"}}
	return &config.Config{Version: version, Services: []config.Service{
		{Name: "order", Upstreams: upstreams("order"), Kinds: []config.Kind{
			{Name: "confirm", Method: "POST", Path: "/confirm", Rank: 0, PatienceMS: 3000, Retries: 2, Calls: check},
			{Name: "place", Method: "POST", Path: "/place", Rank: 0, PatienceMS: 3000, Retries: 2},
			{Name: "browse", Method: "GET", Path: "/browse/{id}", Rank: 8, Idempotent: true, PatienceMS: 2000, Retries: 2, Calls: check},
			{Name: "look", Method: "GET", Path: "/look/{id}", Rank: 8, Idempotent: true, PatienceMS: 2000, Retries: 1, Calls: check},
		}},
		{Name: "stock", Upstreams: upstreams("stock"), Kinds: []config.Kind{
			{Name: "check", Method: "GET", Path: "/check/{id}", Rank: 6, Idempotent: true, PatienceMS: 2000, Retries: 2},
		}},
	}}
}

func upstreams(service string) []config.Upstream {
	var all []config.Upstream
	for _, suffix := range []string{"a", "b", "c"} {
		all = append(all, config.Upstream{Name: service + "-" + suffix, Zone: zone, Region: region, Slots: slots, Connections: 50})
	}
	return all
}

// place is one upstream: a daemon and a backend server.
type place struct {
	name, service string
	set           settings.Settings
	backend       *standin.Backend
	gate          gate
	// life holds one token, which a change of the incarnation takes: two faults of a
	// random pair may restart the same place. A channel lets virtual time pass.
	life chan struct{}

	mu         sync.Mutex
	host       *host
	daemon     *daemon.Daemon // nil while no incarnation serves
	starts     uint64
	violations int // of ended incarnations
	version    uint64
}

// began stores a new incarnation.
func (p *place) began(d *daemon.Daemon) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.daemon, p.version = d, 0
}

// take removes and returns the incarnation that serves, or nil.
func (p *place) take() (*daemon.Daemon, *host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.daemon
	p.daemon = nil
	return d, p.host
}

// ended counts the violations of an incarnation that has stopped.
func (p *place) ended(d *daemon.Daemon) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.violations += d.Counters().Violations()
}

// allViolations counts those of all incarnations.
func (p *place) allViolations() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.daemon == nil {
		return p.violations
	}
	return p.violations + p.daemon.Counters().Violations()
}

// reverted notes the version in force and returns what is wrong with it.
func (p *place) reverted() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.daemon == nil {
		return ""
	}
	before := p.version
	p.version = p.daemon.ConfigVersion()
	if p.version < before {
		return fmt.Sprintf("%s went from version %d to %d", p.name, before, p.version)
	}
	return ""
}

// fleet is a deployment on one in-memory network.
type fleet struct {
	t        *testing.T
	net      *network
	conf     *config.Config
	platform *standin.Platform
	server   *http.Server
	records  []membership.Record
	places   []*place
	byName   map[string]*place
	caller   *caller
	rand     *rand.Rand
	seed     uint64
	notesMu  sync.Mutex
	notes    []string
}

// newFleet starts a fleet and waits until it serves. It must be called inside a
// synctest bubble, and closed before the bubble ends.
func newFleet(t *testing.T, seed uint64) *fleet {
	t.Helper()
	f := &fleet{
		t: t, net: newNetwork(), conf: testConfig(1), platform: standin.NewPlatform(0),
		byName: make(map[string]*place), rand: rand.New(rand.NewPCG(seed, 1)), seed: seed,
	}
	f.publish(f.conf)
	l, err := f.net.host("platform").Listen("tcp", platformAddress)
	f.must(err)
	f.server = &http.Server{Handler: f.platform}
	go func() { _ = f.server.Serve(l) }()
	for _, s := range f.conf.Services {
		for _, u := range s.Upstreams {
			f.addPlace(s.Name, u.Name)
		}
	}
	f.platform.SetVMs(f.records)
	for _, p := range f.places {
		f.startBackend(p)
		f.startDaemon(p)
	}
	f.caller = newCaller(f)
	time.Sleep(1500 * time.Millisecond)
	return f
}

func (f *fleet) must(err error) {
	if err != nil {
		f.t.Helper()
		f.t.Fatal(err)
	}
}

func (f *fleet) publish(c *config.Config) config.Envelope {
	e, err := config.Seal(c)
	f.must(err)
	f.platform.Publish(e)
	return e
}

func (f *fleet) addPlace(service, name string) {
	p := &place{name: name, service: service, set: *settings.Default(), life: make(chan struct{}, 1)}
	ip := fmt.Sprintf("10.0.0.%d", len(f.places)+1)
	p.set.Name, p.set.Service, p.set.Zone, p.set.Region = name, service, zone, region
	p.set.ClockSkewMS = clockSkewMS
	p.set.Platform = settings.Platform{ConfigURL: "http://" + platformAddress + "/v1/config", VMsURL: "http://" + platformAddress + "/v1/vms"}
	p.set.Listeners = settings.Listeners{Callers: ip + ":1", Peers: ip + ":2", Egress: ip + ":3", Control: ip + ":4", Operator: ip + ":5"}
	p.set.Backend = ip + ":6"
	f.places = append(f.places, p)
	f.byName[name] = p
	f.records = append(f.records, membership.Record{
		Name: name, Service: service, State: membership.Live, Zone: zone, Region: region,
		PeerAddress: p.set.Listeners.Peers, ControlAddress: p.set.Listeners.Control,
	})
}

// backendHost is the name of the backend server of a place on the network.
func backendHost(name string) string { return name + "/backend" }

func (f *fleet) startBackend(p *place) {
	h := f.net.host(backendHost(p.name))
	listen := func() (net.Listener, error) { return h.Listen("tcp", p.set.Backend) }
	b, err := standin.NewBackend(standin.BackendOptions{
		Config: f.conf, Service: p.service, Slots: slots, QueueLimit: 2 * slots,
		DefaultTime: standin.ServiceTime{Mean: runTime}, RestartDelay: restartDelay,
		Egress: "http://" + p.set.Listeners.Egress, Seed: f.rand.Uint64(),
		Transport: &http.Transport{DialContext: h.DialContext, MaxIdleConnsPerHost: slots},
		Listen:    listen,
	})
	f.must(err)
	l, err := listen()
	f.must(err)
	b.Start(l)
	p.backend = b
}

func (f *fleet) startDaemon(p *place) {
	p.mu.Lock()
	p.starts++
	p.host = f.net.host(p.name)
	d := daemon.New(daemon.Options{
		Settings: p.set, Network: p.host, BeforeTick: p.gate.pass,
		Rand: rand.New(rand.NewPCG(f.seed, uint64(p.set.Name[len(p.set.Name)-1])<<32+p.starts)),
	})
	p.mu.Unlock()
	f.must(d.Start())
	p.began(d)
}

// kill ends a daemon without any notice to its peers.
func (f *fleet) kill(name string) {
	p := f.byName[name]
	d, h := p.take()
	if d == nil {
		return
	}
	h.kill()
	p.gate.resume()
	d.Close()
	p.ended(d)
}

// restart kills a daemon and starts a new incarnation at its addresses.
func (f *fleet) restart(name string, after time.Duration) {
	life := f.byName[name].life
	life <- struct{}{}
	defer func() { <-life }()
	f.kill(name)
	time.Sleep(after)
	f.startDaemon(f.byName[name])
}

// pause stops a process for a while as its peers and its own clock see it: nothing
// passes its links and its timers do not tick.
func (f *fleet) pause(name string, length time.Duration) {
	p := f.byName[name]
	p.gate.hold()
	f.net.freeze(name, true)
	time.Sleep(length)
	p.gate.resume()
	f.net.freeze(name, false)
}

// stop leaves gracefully.
func (f *fleet) stop(ctx context.Context, name string) error {
	p := f.byName[name]
	d, _ := p.take()
	if d == nil {
		return nil
	}
	err := d.Shutdown(ctx)
	p.ended(d)
	return err
}

func (f *fleet) names(service string) []string {
	var names []string
	for _, u := range f.conf.Service(service).Upstreams {
		names = append(names, u.Name)
	}
	return names
}

// note records what broke an invariant while the test runs.
func (f *fleet) note(problem string) {
	f.notesMu.Lock()
	defer f.notesMu.Unlock()
	if problem != "" {
		f.notes = append(f.notes, problem)
	}
}

// watchVersions notes each configuration that goes back to an older version. It is
// called by the tests' loops.
func (f *fleet) watchVersions() {
	for _, p := range f.places {
		f.note(p.reverted())
	}
}

// sleep lets virtual time pass and watches the configuration versions.
func (f *fleet) sleep(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		f.watchVersions()
		time.Sleep(min(100*time.Millisecond, time.Until(end)))
	}
	f.watchVersions()
}

// close ends everything, so that a goroutine that is left is a leak.
func (f *fleet) close() {
	f.net.heal()
	f.caller.close()
	for _, p := range f.places {
		p.backend.SetFaults(standin.Faults{})
		p.gate.resume()
		if d, _ := p.take(); d != nil {
			d.Close()
		}
	}
	for _, p := range f.places {
		p.backend.Close()
	}
	_ = f.server.Close()
	// A transport's dial outlives the request that started it by the dial limit.
	time.Sleep(2 * dialLimit)
}
