package measure

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/hawthornpoint/hawthornpoint/codes"
	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/core/node"
)

// Streams of random numbers. Each part has its own, so that a change in one does
// not change what the others draw.
const (
	streamNetwork = iota + 1
	streamCallers
	streamPolicy
	streamDaemons = 100
)

// policy is how the daemons treat calls.
type policy interface {
	// open begins a call at its daemon; ended tells the end of its attempt.
	open(h *hop)
	ended(h *hop, a *attempt, res result)
	// abandon ends a call whose caller went away.
	abandon(h *hop)
	// arrive handles an attempt at the upstream; canceled tells that its
	// connection was closed.
	arrive(a *attempt)
	canceled(a *attempt)
	// started and killed tell the life of a daemon.
	started(d *Daemon)
	killed(d *Daemon)
	// cancels reports whether an end of waiting travels down.
	cancels() bool
	// queueLimit is the queue inside a backend server.
	queueLimit(slots int) int
}

// Fleet is one deployment under one policy.
type Fleet struct {
	loop     *Loop
	net      *Network
	policy   policy
	conf     *config.Config
	envelope config.Envelope
	daemons  []*Daemon
	byName   map[string]*Daemon
	callers  *Callers
	baseLoad float64
	seq      uint64
	seed     uint64
	figures  Figures
	trace    func(format string, args ...any)
}

// Daemon is the daemon at one place together with its backend server.
type Daemon struct {
	fleet   *Fleet
	name    string
	zone    string
	service string
	record  membership.Record
	rand    *rand.Rand
	node    *node.Node // of policy full
	backend *Backend
	up      bool
	paused  bool
	epoch   int // incarnation
	inbox   []func()
	hops    map[uint64]*hop
	local   *localCalls
	// refusedImportant is when a call of rank 0 was last refused for overload.
	refusedImportant time.Time
}

// newFleet builds a deployment; all daemons have run for an hour.
func newFleet(dep *Deployment, conf *config.Config, envelope config.Envelope, seed uint64, name string) *Fleet {
	f := &Fleet{
		loop: NewLoop(dep.Start), conf: conf, envelope: envelope,
		byName: make(map[string]*Daemon), seed: seed,
	}
	f.net = &Network{
		loop: f.loop, rand: rand.New(rand.NewPCG(seed, streamNetwork)),
		inside: dep.Inside, between: dep.Between, client: dep.Client,
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
		return &plain{fleet: f, rand: r}
	case PolicyStatic:
		return &plain{fleet: f, rand: r, retries: staticRetries, limited: true}
	default:
		return &full{fleet: f}
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
	d.backend = &Backend{loop: f.loop, rand: d.rand, slots: u.Slots, slow: 1, queueLimit: f.policy.queueLimit(u.Slots)}
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

// samplePath replaces the elements in braces of a described path.
func samplePath(pattern string) string {
	elements := strings.Split(pattern, "/")
	for i, e := range elements {
		if strings.HasPrefix(e, "{") {
			elements[i] = "1"
		}
	}
	return strings.Join(elements, "/")
}

// found reports a broken guarantee to the trace.
func (f *Fleet) found(what string, h *hop) {
	if f.trace != nil {
		f.trace("found=%s kind=%s/%s runs=%d at=%s", what, h.service, h.kind.Name, h.runs, f.loop.now.Format("05.000"))
	}
}

// start begins a new incarnation.
func (d *Daemon) start(at time.Time) {
	d.epoch++
	d.up, d.backend.down = true, false
	d.record.Incarnation, d.record.Started = randomID(d.rand), at
	d.hops = make(map[uint64]*hop)
	d.local = newLocalCalls()
	d.fleet.policy.started(d)
}

// receive handles a message now, after a pause, or by gone if the daemon is dead.
func (d *Daemon) receive(handle, gone func()) {
	switch {
	case !d.up:
		gone()
	case d.paused:
		d.inbox = append(d.inbox, handle)
	default:
		handle()
	}
}

// at schedules work of the present incarnation. It waits while the daemon is paused.
func (d *Daemon) at(t time.Time, fn func()) *Event {
	epoch := d.epoch
	return d.fleet.loop.At(t, func() {
		if d.epoch == epoch {
			d.receive(fn, func() {})
		}
	})
}

// pause stops the handling of messages and timers.
func (d *Daemon) pause() { d.paused = true }

// resume handles what arrived during the pause in its order.
func (d *Daemon) resume() {
	d.paused = false
	inbox := d.inbox
	d.inbox = nil
	for _, handle := range inbox {
		handle()
	}
}

// kill ends the daemon and its backend server. All their connections are reset.
func (d *Daemon) kill() {
	f := d.fleet
	runs, hops := d.local.inOrder(), d.openHops()
	d.backend.Kill(runs)
	d.up, d.inbox = false, nil
	d.epoch++
	for _, r := range runs {
		f.respond(r.attempt, result{code: codes.AttemptLost})
	}
	for _, a := range d.local.allJoined() {
		f.respond(a, result{code: codes.AttemptLost})
	}
	for _, h := range hops {
		h.drop()
		h.close()
		if h.parent == nil {
			f.callers.reset(h.send, d)
		}
	}
	f.policy.killed(d)
}

func (d *Daemon) openHops() []*hop {
	hops := make([]*hop, 0, len(d.hops))
	for _, h := range d.hops {
		hops = append(hops, h)
	}
	slices.SortFunc(hops, func(a, b *hop) int { return cmp.Compare(a.seq, b.seq) })
	return hops
}

// noteRefusal remembers that an important call was refused for overload.
func (d *Daemon) noteRefusal(rank int, code codes.Code) {
	if rank == 0 && (code == codes.Shed || code == codes.QueueFull) {
		d.refusedImportant = d.fleet.loop.Now()
	}
}

// refusalWindow is how long after the refusal of a call of rank 0 a read may not start.
const refusalWindow = 50 * time.Millisecond

func (d *Daemon) noteStart(h *hop) {
	read := h.send.request.kind.Rank > 0
	if read && !d.refusedImportant.IsZero() && d.fleet.loop.Now().Sub(d.refusedImportant) < refusalWindow {
		d.fleet.figures.ReadsWhileConfirmShed++
	}
}

func (d *Daemon) violation(v node.Violation) {
	d.fleet.figures.Violations = append(d.fleet.figures.Violations,
		fmt.Sprintf("%s at %s: %s", v.Invariant, d.name, v.Message))
}
