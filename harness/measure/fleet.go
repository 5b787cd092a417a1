package measure

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/core/node"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// Random streams. Each component has its own, so that a change in one does not
// change the random numbers of the others.
const (
	streamNetwork = iota + 1
	streamCallers
	streamPolicy
	streamDaemons = 100 // plus the index of the daemon
)

// policy implements how the daemons handle calls.
type policy interface {
	// open starts a call at its daemon. attemptEnded handles the result of an
	// attempt of the call.
	open(h *hop)
	attemptEnded(h *hop, a *attempt, res result)
	// abandon ends a call that its caller or backend server no longer waits for.
	abandon(h *hop)
	// attemptArrived handles an attempt at the upstream. attemptCanceled handles
	// the closing of its connection.
	attemptArrived(a *attempt)
	attemptCanceled(a *attempt)
	// daemonStarted and daemonKilled are called when an incarnation of a daemon
	// starts and when it is killed.
	daemonStarted(d *Daemon)
	daemonKilled(d *Daemon)
	// propagatesCancel reports whether a call is canceled when the caller or backend
	// server that made it no longer waits for it.
	propagatesCancel() bool
	// queueLimit returns the limit of the queue inside a backend server with the
	// given slots; negative for none.
	queueLimit(slots int) int
}

// Fleet is the simulation of one deployment under one policy.
type Fleet struct {
	loop     *Loop
	net      *Network
	policy   policy
	conf     *config.Config
	envelope config.Envelope
	daemons  []*Daemon
	byName   map[string]*Daemon
	callers  *Callers
	baseLoad float64 // requests per second outside a fault
	seq      uint64
	seed     uint64
	figures  Figures
	trace    func(format string, args ...any)
}

// Daemon is the daemon of one upstream together with its backend server.
type Daemon struct {
	fleet   *Fleet
	name    string
	zone    string
	service string
	record  membership.Record
	rand    *rand.Rand
	node    *node.Node // only under the policy "full"
	backend *Backend
	up      bool
	paused  bool
	epoch   int // raised by each start and kill; older callbacks are ignored
	inbox   []func()
	hops    map[uint64]*hop
	local   *localCalls
	// lastRankZeroRefusal is when a call of rank 0 was last refused for overload.
	lastRankZeroRefusal time.Time
}

// newFleet builds a deployment whose daemons all started an hour before Start.
func newFleet(dep *Deployment, conf *config.Config, envelope config.Envelope, seed uint64, name string) *Fleet {
	f := &Fleet{
		loop: NewLoop(dep.Start), conf: conf, envelope: envelope,
		byName: make(map[string]*Daemon), seed: seed,
	}
	f.net = &Network{
		loop: f.loop, rand: rand.New(rand.NewPCG(seed, streamNetwork)),
		intraZone: dep.IntraZone, interZone: dep.InterZone, client: dep.Client,
	}
	f.callers = &Callers{fleet: f, rand: rand.New(rand.NewPCG(seed, streamCallers))}
	f.policy = newPolicy(f, name)
	for i := range conf.Services {
		for _, u := range conf.Services[i].Upstreams {
			f.addDaemon(conf.Services[i].Name, u)
		}
	}
	for _, d := range f.daemons {
		d.start(dep.Start.Add(-time.Hour))
	}
	return f
}

func newPolicy(f *Fleet, name string) policy {
	r := rand.New(rand.NewPCG(f.seed, streamPolicy))
	switch name {
	case PolicyNone:
		return &baselinePolicy{fleet: f, rand: r}
	case PolicyStatic:
		return &baselinePolicy{fleet: f, rand: r, retries: staticRetries, limited: true}
	default:
		return &fullPolicy{fleet: f}
	}
}

func (f *Fleet) addDaemon(service string, u config.Upstream) {
	d := &Daemon{
		fleet: f, name: u.Name, zone: u.Zone, service: service,
		rand: rand.New(rand.NewPCG(f.seed, streamDaemons+uint64(len(f.daemons)))),
		hops: make(map[uint64]*hop),
		record: membership.Record{
			Name: u.Name, Service: service, State: membership.Live,
			PeerAddress: u.Name, ControlAddress: u.Name, Zone: u.Zone, Region: u.Region,
		},
	}
	d.backend = &Backend{loop: f.loop, rand: d.rand, slots: u.Slots, serviceTimeFactor: 1, queueLimit: f.policy.queueLimit(u.Slots)}
	f.daemons = append(f.daemons, d)
	f.byName[d.name] = d
}

func (f *Fleet) kind(service, kind string) *config.Kind {
	return f.conf.Service(service).Kind(kind)
}

func (f *Fleet) upstreams(service string) []*Daemon {
	var out []*Daemon
	for _, d := range f.daemons {
		if d.service == service {
			out = append(out, d)
		}
	}
	return out
}

// samplePath returns a path that matches a described one: elements in braces become "1".
func samplePath(pattern string) string {
	elements := strings.Split(pattern, "/")
	for i, e := range elements {
		if strings.HasPrefix(e, "{") {
			elements[i] = "1"
		}
	}
	return strings.Join(elements, "/")
}

// traceBrokenGuarantee passes the details of a broken guarantee to the trace.
func (f *Fleet) traceBrokenGuarantee(guarantee string, h *hop) {
	if f.trace != nil {
		f.trace("found=%s kind=%s/%s runs=%d at=%s", guarantee, h.service, h.kind.Name, h.runs, f.loop.now.Format("05.000"))
	}
}

// start starts a new incarnation of the daemon and its backend server.
func (d *Daemon) start(at time.Time) {
	d.epoch++
	d.up, d.backend.down = true, false
	d.record.Incarnation, d.record.Started = randomID(d.rand), at
	d.hops = make(map[uint64]*hop)
	d.local = newLocalCalls()
	d.fleet.policy.daemonStarted(d)
}

// receive calls handle, or onDead if the daemon is down. While the daemon is paused,
// handle waits in the inbox.
func (d *Daemon) receive(handle, onDead func()) {
	switch {
	case !d.up:
		onDead()
	case d.paused:
		d.inbox = append(d.inbox, handle)
	default:
		handle()
	}
}

// at schedules a timer of the current incarnation. It waits while the daemon is paused.
func (d *Daemon) at(t time.Time, fn func()) *Event {
	epoch := d.epoch
	return d.fleet.loop.At(t, func() {
		if d.epoch == epoch {
			d.receive(fn, func() {})
		}
	})
}

// pause suspends the handling of messages and timers.
func (d *Daemon) pause() { d.paused = true }

// resume ends a pause and handles the messages and timers of the inbox in order.
func (d *Daemon) resume() {
	d.paused = false
	inbox := d.inbox
	d.inbox = nil
	for _, handle := range inbox {
		handle()
	}
}

// kill ends the daemon and its backend server, and resets all their connections.
func (d *Daemon) kill() {
	f := d.fleet
	runs, hops := d.local.inOrder(), d.openHops()
	d.backend.Kill(runs)
	d.up, d.inbox = false, nil
	d.epoch++
	for _, r := range runs {
		f.respond(r.attempt, result{code: resultcode.AttemptLost})
	}
	for _, a := range d.local.allJoined() {
		f.respond(a, result{code: resultcode.AttemptLost})
	}
	for _, h := range hops {
		h.cancelAttempt()
		h.close()
		if h.parent == nil {
			f.callers.connectionReset(h.send, d)
		}
	}
	f.policy.daemonKilled(d)
}

// openHops returns the hops under way at the daemon in the order of their creation.
func (d *Daemon) openHops() []*hop {
	hops := make([]*hop, 0, len(d.hops))
	for _, h := range d.hops {
		hops = append(hops, h)
	}
	slices.SortFunc(hops, func(a, b *hop) int { return cmp.Compare(a.seq, b.seq) })
	return hops
}

// noteRefusal records the time if a call of rank 0 was refused for overload.
func (d *Daemon) noteRefusal(rank int, code resultcode.Code) {
	if rank == 0 && (code == resultcode.Shed || code == resultcode.QueueFull) {
		d.lastRankZeroRefusal = d.fleet.loop.Now()
	}
}

// refusalWindow is the time after an overload refusal of a call of rank 0 in which no
// read should start at the same daemon. Reads that do are counted in ReadsAfterRefusal.
const refusalWindow = 50 * time.Millisecond

// noteStart counts the run of a read that starts within refusalWindow.
func (d *Daemon) noteStart(h *hop) {
	read := h.send.request.kind.Rank > 0
	if read && !d.lastRankZeroRefusal.IsZero() && d.fleet.loop.Now().Sub(d.lastRankZeroRefusal) < refusalWindow {
		d.fleet.figures.ReadsAfterRefusal++
	}
}

func (d *Daemon) violation(v node.Violation) {
	d.fleet.figures.Violations = append(d.fleet.figures.Violations,
		fmt.Sprintf("%s at %s: %s", v.Invariant, d.name, v.Message))
}
