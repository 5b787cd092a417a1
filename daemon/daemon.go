package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/configsource"
	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/core/node"
	"github.com/hawthornpoint/hawthornpoint/exchange"
	"github.com/hawthornpoint/hawthornpoint/internal/answercheck"
	"github.com/hawthornpoint/hawthornpoint/internal/headlimit"
	"github.com/hawthornpoint/hawthornpoint/internal/workgroup"
	"github.com/hawthornpoint/hawthornpoint/operator"
	"github.com/hawthornpoint/hawthornpoint/settings"
)

// Network opens listeners and connections. Tests replace it.
type Network interface {
	Listen(network, address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// tcpNetwork is the Network that uses the operating system's sockets.
type tcpNetwork struct{ net.Dialer }

func (*tcpNetwork) Listen(network, address string) (net.Listener, error) {
	return net.Listen(network, address)
}

// dialTimeout bounds the time to open a connection. It is meant for connections within
// a region.
const dialTimeout = 500 * time.Millisecond

// Options holds the settings and the dependencies of a daemon. Zero values of the
// dependencies select the operating system's network, the platform named in the
// settings and no logging.
type Options struct {
	Settings settings.Settings
	Network  Network
	Configs  configsource.ConfigSource
	VMs      configsource.VMList
	Logger   *zap.Logger
	// Rand is the source of random choices; nil selects one with a random seed.
	Rand *rand.Rand
	// PanicOnViolation makes the daemon panic when an invariant is violated. Tests
	// set it.
	PanicOnViolation bool
	// BeforeTick is called before each tick, without locks held; nil does nothing.
	// Tests block in it to stop the ticks of one daemon, as a pause of the process
	// does.
	BeforeTick func()
}

// Daemon forwards the calls of callers and of its local backend server, and serves the
// calls that peers forward to this backend server. Its methods are safe for concurrent
// use.
type Daemon struct {
	opts     Options
	set      settings.Settings
	log      *zap.Logger
	counters *operator.Counters

	mu    sync.Mutex // guards node, calls and rand
	node  *node.Node
	calls map[uuid.UUID]*callSignals
	rand  *rand.Rand

	peers     *answercheck.Transport
	backend   *answercheck.Transport
	platform  *answercheck.Transport
	control   *exchange.Client
	exchange  *exchange.Server
	servers   []*http.Server
	listeners []net.Listener
	addrs     map[string]net.Addr

	configured     chan struct{} // closed when a configuration is in force
	configuredOnce sync.Once

	ctx     context.Context
	workers *workgroup.Group
}

// New returns a daemon that has not opened its listeners yet.
func New(opts Options) *Daemon {
	platformTransport := setDefaults(&opts)
	d := &Daemon{
		platform: platformTransport,
		opts:     opts,
		set:      opts.Settings,
		log:      opts.Logger.With(zap.String("daemon", opts.Settings.Name)),
		counters: operator.NewCounters(),
		calls:    make(map[uuid.UUID]*callSignals),
		rand:     opts.Rand,
		addrs:    make(map[string]net.Addr),

		configured: make(chan struct{}),
	}
	d.workers = workgroup.New()
	d.ctx = d.workers.Context()
	d.peers = d.newTransport(peerIdleConnections)
	d.peers.SetCheck(answercheck.Requested)
	d.backend = d.newTransport(backendIdleConnections)
	d.backend.SetCheck(checkAnswer)
	d.control = exchange.NewClient(opts.Network.DialContext)
	return d
}

// setDefaults sets the defaults of opts. It returns the transport for reads of the
// configuration service and the VM list.
func setDefaults(opts *Options) *answercheck.Transport {
	if opts.Network == nil {
		opts.Network = &tcpNetwork{net.Dialer{Timeout: dialTimeout}}
	}
	if opts.Logger == nil {
		opts.Logger = zap.NewNop()
	}
	if opts.Rand == nil {
		opts.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if opts.BeforeTick == nil {
		opts.BeforeTick = func() {}
	}
	transport := answercheck.NewTransport(&http.Transport{
		DialContext: opts.Network.DialContext, IdleConnTimeout: idleConnectionTimeout, MaxResponseHeaderBytes: headlimit.DefaultBytes,
	}, nil)
	if opts.Configs == nil {
		opts.Configs = configsource.NewHTTPConfigSource(opts.Settings.Platform.ConfigURL, transport, platformTimeout)
	}
	if opts.VMs == nil {
		opts.VMs = configsource.NewHTTPVMList(opts.Settings.Platform.VMsURL, transport, platformTimeout)
	}
	return transport
}

const (
	// peerIdleConnections and backendIdleConnections bound the idle connections
	// that are kept open to one address.
	peerIdleConnections    = 32
	backendIdleConnections = 64
	// idleConnectionTimeout is the time after which an unused connection is closed.
	idleConnectionTimeout = 90 * time.Second
)

func (d *Daemon) newTransport(idlePerHost int) *answercheck.Transport {
	return answercheck.NewTransport(&http.Transport{
		DialContext:            d.opts.Network.DialContext,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleConnectionTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: headlimit.DefaultBytes,
	}, d.invalidAnswer)
}

// Start opens the listeners and starts serving. Calls are accepted once a configuration
// is in force, at the latest after maxConfigWait.
func (d *Daemon) Start() error {
	d.node = d.newNode(time.Now())
	if err := d.listen(); err != nil {
		d.Close()
		return err
	}
	d.mu.Lock()
	d.node.Ready()
	d.mu.Unlock()
	d.workers.Go(d.tickLoop)
	d.workers.Go(d.configLoop)
	d.workers.Go(d.vmListLoop)
	d.workers.Go(d.warmLoop)
	d.log.Info("serving", zap.String("service", d.set.Service), zap.String("zone", d.set.Zone),
		zap.String("callers", d.Addr("callers")), zap.Stringer("incarnation", d.incarnation()))
	return nil
}

func (d *Daemon) newNode(now time.Time) *node.Node {
	return node.New(node.Config{
		Self: membership.Record{
			Name:           d.set.Name,
			Service:        d.set.Service,
			Incarnation:    uuid.New(),
			Started:        now,
			State:          membership.Live,
			PeerAddress:    d.set.Listeners.Peers,
			ControlAddress: d.set.Listeners.Control,
			Zone:           d.set.Zone,
			Region:         d.set.Region,
		},
		Started:     now,
		Rand:        d.rand,
		MaxCalls:    d.set.Limits.MaxCalls,
		QueueLimit:  d.set.Limits.QueueLimit,
		Records:     d.set.Limits.RecordLimit,
		AnswerBytes: d.answerBytes(),
		ClockSkew:   d.set.ClockSkew(),
		LeaveGrace:  d.set.LeaveGrace(),
		OnViolation: d.onViolation,
		Observe:     d.observe,
	})
}

// answerBytes returns the bound on stored answers, in bytes, as node.Config expects it:
// there 0 selects a default, and a negative number means that none are stored.
func (d *Daemon) answerBytes() int {
	if d.set.Limits.AnswerBytes == 0 {
		return -1
	}
	return d.set.Limits.AnswerBytes
}

func (d *Daemon) incarnation() uuid.UUID {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Self().Incarnation
}

// Addr returns the address of the named listener: callers, peers, egress, control or
// operator. It is empty if that listener is not open.
func (d *Daemon) Addr(listener string) string {
	if a, ok := d.addrs[listener]; ok {
		return a.String()
	}
	return ""
}

// ConfigVersion returns the version of the configuration in force; 0 for none.
func (d *Daemon) ConfigVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.ConfigVersion()
}

// Counters returns the daemon's counters.
func (d *Daemon) Counters() *operator.Counters { return d.counters }

// drainPollInterval is how often a leaving daemon checks whether it is idle.
const drainPollInterval = 10 * time.Millisecond

// Shutdown stops the daemon gracefully: it announces to peers that the daemon leaves,
// accepts calls for the grace period, finishes the calls in flight and closes. It
// returns an error when calls were still in flight at the drain limit or when ctx
// ended.
func (d *Daemon) Shutdown(ctx context.Context) error {
	d.mu.Lock()
	d.node.Leave(time.Now())
	d.mu.Unlock()
	d.counters.Event(operator.EventLeaving)
	d.log.Info("leaving")
	d.sendControl()
	ctx, cancel := context.WithTimeout(ctx, d.set.DrainLimit())
	defer cancel()
	err := d.drain(ctx)
	if err != nil {
		d.counters.Event(operator.EventStopCutCalls)
	}
	d.Close()
	d.log.Info("stopped", zap.Error(err))
	return err
}

// drain waits for the end of the grace period, then for the end of all calls, then for
// answers that are still being written.
func (d *Daemon) drain(ctx context.Context) error {
	grace := time.NewTimer(d.set.LeaveGrace())
	defer grace.Stop()
	select {
	case <-grace.C:
	case <-ctx.Done():
	}
	for _, s := range d.servers {
		s.SetKeepAlivesEnabled(false)
	}
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !d.drainIfIdle() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "calls in flight were cut")
		}
	}
	for _, s := range d.servers {
		if err := s.Shutdown(ctx); err != nil {
			return errors.Wrap(err, "answers in flight were cut")
		}
	}
	return nil
}

// drainIfIdle reports whether no call is in flight, and marks the node as drained if so.
func (d *Daemon) drainIfIdle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.node.Idle() || len(d.calls) > 0 {
		return false
	}
	d.node.Drained()
	return true
}

// Close stops the daemon immediately and cuts calls in flight. Shutdown calls it at its
// end.
func (d *Daemon) Close() {
	d.workers.Cancel()
	d.closeAll()
	d.workers.Wait()
	// A worker may have opened a connection after the idle ones were closed.
	d.closeIdleConnections()
}

func (d *Daemon) closeAll() {
	for _, s := range d.servers {
		_ = s.Close()
	}
	if d.exchange != nil {
		_ = d.exchange.Close()
	}
	// A server that does not serve yet does not close its listener.
	for _, l := range d.listeners {
		_ = l.Close()
	}
	d.control.Close()
	d.closeIdleConnections()
}

func (d *Daemon) closeIdleConnections() {
	d.peers.CloseIdleConnections()
	d.backend.CloseIdleConnections()
	d.platform.CloseIdleConnections()
}
