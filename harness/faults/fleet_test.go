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
	// restartDelay is the time from a crash of a backend server to its restart.
	restartDelay = 300 * time.Millisecond
	// clockSkewMS is small, so that a new incarnation soon accepts idempotency keys: it
	// refuses those created up to twice the skew after its start.
	clockSkewMS = 100
	// slots is small, so that a few requests are enough to fill a queue.
	slots = 4
	// zone and region are those of all upstreams.
	zone, region    = "z1", "r1"
	platformAddress = "10.0.9.9:80"
)

// testConfig describes two services with three upstreams each.
func testConfig(version uint64) *config.Config {
	check := []config.Target{{Service: "stock", Kind: "check"}}
	return &config.Config{Version: version, Services: []config.Service{
		{Name: "order", Upstreams: testUpstreams("order"), Kinds: []config.Kind{
			{Name: "confirm", Method: "POST", Path: "/confirm", Rank: 0, PatienceMS: 3000, Retries: 2, Calls: check},
			{Name: "place", Method: "POST", Path: "/place", Rank: 0, PatienceMS: 3000, Retries: 2},
			{Name: "browse", Method: "GET", Path: "/browse/{id}", Rank: 8, Idempotent: true, PatienceMS: 2000, Retries: 2, Calls: check},
			{Name: "look", Method: "GET", Path: "/look/{id}", Rank: 8, Idempotent: true, PatienceMS: 2000, Retries: 1, Calls: check},
		}},
		{Name: "stock", Upstreams: testUpstreams("stock"), Kinds: []config.Kind{
			{Name: "check", Method: "GET", Path: "/check/{id}", Rank: 6, Idempotent: true, PatienceMS: 2000, Retries: 2},
		}},
	}}
}

func testUpstreams(service string) []config.Upstream {
	var all []config.Upstream
	for _, suffix := range []string{"a", "b", "c"} {
		all = append(all, config.Upstream{Name: service + "-" + suffix, Zone: zone, Region: region, Slots: slots, Connections: 50})
	}
	return all
}

// upstream is a daemon and its backend server.
type upstream struct {
	name, service string
	set           settings.Settings
	backend       *standin.Backend
	gate          gate
	// lifecycleLock is held while one incarnation replaces another, because two faults
	// of a random pair may restart the same upstream. It is a channel, since virtual time
	// does not pass while a goroutine waits for a mutex.
	lifecycleLock chan struct{}

	mu              sync.Mutex
	host            *host
	daemon          *daemon.Daemon // nil while no incarnation serves
	starts          uint64
	endedViolations int // invariant violations of incarnations that have ended
	version         uint64
}

// setDaemon stores a new incarnation.
func (u *upstream) setDaemon(d *daemon.Daemon) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.daemon, u.version = d, 0
}

// takeDaemon removes and returns the serving incarnation, or nil, and its host.
func (u *upstream) takeDaemon() (*daemon.Daemon, *host) {
	u.mu.Lock()
	defer u.mu.Unlock()
	d := u.daemon
	u.daemon = nil
	return d, u.host
}

// addViolations adds the invariant violations of an incarnation that has stopped.
func (u *upstream) addViolations(d *daemon.Daemon) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.endedViolations += d.Counters().Violations()
}

// allViolations returns the number of invariant violations of all incarnations.
func (u *upstream) allViolations() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.daemon == nil {
		return u.endedViolations
	}
	return u.endedViolations + u.daemon.Counters().Violations()
}

// recordVersion records the configuration version in force. It returns a problem if the
// version is older than the one recorded before, and otherwise "".
func (u *upstream) recordVersion() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.daemon == nil {
		return ""
	}
	before := u.version
	u.version = u.daemon.ConfigVersion()
	if u.version < before {
		return fmt.Sprintf("%s went from version %d to %d", u.name, before, u.version)
	}
	return ""
}

// fleet is a deployment on one in-memory network.
type fleet struct {
	t                *testing.T
	net              *network
	conf             *config.Config
	platform         *standin.Platform
	platformServer   *http.Server
	records          []membership.Record
	upstreams        []*upstream
	byName           map[string]*upstream
	caller           *caller
	rand             *rand.Rand
	seed             uint64
	problemsMu       sync.Mutex
	recordedProblems []string
}

// newFleet starts a fleet and waits 1.5 s for it to serve. It must be called inside a
// synctest bubble, and closed before the bubble ends.
func newFleet(t *testing.T, seed uint64) *fleet {
	t.Helper()
	f := &fleet{
		t: t, net: newNetwork(), conf: testConfig(1), platform: standin.NewPlatform(0),
		byName: make(map[string]*upstream), rand: rand.New(rand.NewPCG(seed, 1)), seed: seed,
	}
	f.publish(f.conf)
	l, err := f.net.host("platform").Listen("tcp", platformAddress)
	f.must(err)
	f.platformServer = &http.Server{Handler: f.platform}
	go func() { _ = f.platformServer.Serve(l) }()
	for _, s := range f.conf.Services {
		for _, configured := range s.Upstreams {
			f.addUpstream(s.Name, configured.Name)
		}
	}
	f.platform.SetVMs(f.records)
	for _, u := range f.upstreams {
		f.startBackend(u)
		f.startDaemon(u)
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

func (f *fleet) addUpstream(service, name string) {
	u := &upstream{name: name, service: service, set: *settings.Default(), lifecycleLock: make(chan struct{}, 1)}
	ip := fmt.Sprintf("10.0.0.%d", len(f.upstreams)+1)
	u.set.Name, u.set.Service, u.set.Zone, u.set.Region = name, service, zone, region
	u.set.ClockSkewMS = clockSkewMS
	u.set.Platform = settings.Platform{ConfigURL: "http://" + platformAddress + "/v1/config", VMsURL: "http://" + platformAddress + "/v1/vms"}
	u.set.Listeners = settings.Listeners{Callers: ip + ":1", Peers: ip + ":2", Egress: ip + ":3", Control: ip + ":4", Operator: ip + ":5"}
	u.set.Backend = ip + ":6"
	f.upstreams = append(f.upstreams, u)
	f.byName[name] = u
	f.records = append(f.records, membership.Record{
		Name: name, Service: service, State: membership.Live, Zone: zone, Region: region,
		PeerAddress: u.set.Listeners.Peers, ControlAddress: u.set.Listeners.Control,
	})
}

// backendHost returns the network name of the backend server of an upstream.
func backendHost(name string) string { return name + "/backend" }

func (f *fleet) startBackend(u *upstream) {
	h := f.net.host(backendHost(u.name))
	listen := func() (net.Listener, error) { return h.Listen("tcp", u.set.Backend) }
	b, err := standin.NewBackend(standin.BackendOptions{
		Config: f.conf, Service: u.service, Slots: slots, QueueLimit: 2 * slots,
		DefaultTime: standin.ServiceTime{Mean: runTime}, RestartDelay: restartDelay,
		Egress: "http://" + u.set.Listeners.Egress, Seed: f.rand.Uint64(),
		Transport: &http.Transport{DialContext: h.DialContext, MaxIdleConnsPerHost: slots},
		Listen:    listen,
	})
	f.must(err)
	l, err := listen()
	f.must(err)
	b.Start(l)
	u.backend = b
}

func (f *fleet) startDaemon(u *upstream) {
	u.mu.Lock()
	u.starts++
	u.host = f.net.host(u.name)
	d := daemon.New(daemon.Options{
		Settings: u.set, Network: u.host, BeforeTick: u.gate.wait,
		Rand: rand.New(rand.NewPCG(f.seed, uint64(u.set.Name[len(u.set.Name)-1])<<32+u.starts)),
	})
	u.mu.Unlock()
	f.must(d.Start())
	u.setDaemon(d)
}

// kill ends a daemon without notice to its peers.
func (f *fleet) kill(name string) {
	u := f.byName[name]
	d, h := u.takeDaemon()
	if d == nil {
		return
	}
	h.kill()
	u.gate.resume()
	d.Close()
	u.addViolations(d)
}

// restart kills a daemon and starts a new incarnation at its addresses.
func (f *fleet) restart(name string, after time.Duration) {
	lifecycleLock := f.byName[name].lifecycleLock
	lifecycleLock <- struct{}{}
	defer func() { <-lifecycleLock }()
	f.kill(name)
	time.Sleep(after)
	f.startDaemon(f.byName[name])
}

// pause simulates a paused process: for the given length nothing passes its links and
// its timer loop does not run.
func (f *fleet) pause(name string, length time.Duration) {
	u := f.byName[name]
	u.gate.hold()
	f.net.freeze(name, true)
	time.Sleep(length)
	u.gate.resume()
	f.net.freeze(name, false)
}

// stop shuts a daemon down gracefully.
func (f *fleet) stop(ctx context.Context, name string) error {
	u := f.byName[name]
	d, _ := u.takeDaemon()
	if d == nil {
		return nil
	}
	err := d.Shutdown(ctx)
	u.addViolations(d)
	return err
}

func (f *fleet) upstreamNames(service string) []string {
	var upstreamNames []string
	for _, u := range f.conf.Service(service).Upstreams {
		upstreamNames = append(upstreamNames, u.Name)
	}
	return upstreamNames
}

// recordProblem records a broken invariant for checkInvariants; "" is ignored.
func (f *fleet) recordProblem(problem string) {
	f.problemsMu.Lock()
	defer f.problemsMu.Unlock()
	if problem != "" {
		f.recordedProblems = append(f.recordedProblems, problem)
	}
}

// checkVersions records a problem for each daemon whose configuration went back to an
// older version. The loops of the tests call it.
func (f *fleet) checkVersions() {
	for _, u := range f.upstreams {
		f.recordProblem(u.recordVersion())
	}
}

// sleep lets virtual time pass and calls checkVersions every 100 ms.
func (f *fleet) sleep(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		f.checkVersions()
		time.Sleep(min(100*time.Millisecond, time.Until(end)))
	}
	f.checkVersions()
}

// close stops everything, so that any goroutine that remains is a leak.
func (f *fleet) close() {
	f.net.heal()
	f.caller.close()
	for _, u := range f.upstreams {
		u.backend.SetFaults(standin.Faults{})
		u.gate.resume()
		if d, _ := u.takeDaemon(); d != nil {
			d.Close()
		}
	}
	for _, u := range f.upstreams {
		u.backend.Close()
	}
	_ = f.platformServer.Close()
	// A dial of a transport may outlive the request that started it, by up to dialLimit.
	time.Sleep(2 * dialLimit)
}
