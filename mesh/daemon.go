package mesh

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/core/callgraph"
	"github.com/hawthornpoint/hawthornpoint/core/directory"
	"github.com/hawthornpoint/hawthornpoint/core/dispatch"
	"github.com/hawthornpoint/hawthornpoint/core/pressure"
	"github.com/hawthornpoint/hawthornpoint/core/replica"
	"github.com/hawthornpoint/hawthornpoint/core/routing"
	"github.com/hawthornpoint/hawthornpoint/core/slots"
	"github.com/hawthornpoint/hawthornpoint/core/watchers"
	"github.com/hawthornpoint/hawthornpoint/internal/pipeline"
	"github.com/hawthornpoint/hawthornpoint/internal/telemetry"
	"github.com/hawthornpoint/hawthornpoint/internal/workgroup"
)

const (
	// tickInterval is how often waiting requests and expiries are looked at.
	tickInterval = 50 * time.Millisecond
	// unknownSlots is used until the local backend server has registered.
	unknownSlots = 8
	// maxHeaderBytes bounds a request's header where the configuration does not.
	maxHeaderBytes = 64 << 10
	// stopShare is the share of the grace time after which a stopping daemon cuts what is
	// still in flight; the rest is left for the end of the process.
	stopShare = 0.9
	// takeShare is the share of the grace time for which a stopping daemon still takes
	// requests of callers. They are sent elsewhere after two failed health checks, and what
	// is taken later may not end in time.
	takeShare = 0.4
)

// Settings describe one daemon. All addresses are host and port.
type Settings struct {
	// Name is the name of the VM.
	Name, Zone string
	// Service is the service of the local backend server at BackendAddress.
	Service, BackendAddress string
	// CallerAddress takes requests of callers and of the local backend server,
	// PeerAddress and ControlAddress calls of other daemons, ReadyAddress health checks.
	// ControlAddress and MetricsAddress may be empty.
	CallerAddress, PeerAddress, ControlAddress, ReadyAddress, MetricsAddress string
	// ReadyPath is the path of the health check.
	ReadyPath string
	// Seeds are control addresses of some daemons; they may be out of date.
	Seeds []string
	// RetryRatio, RetrySlack and RetryWindow bound repeats over the whole fleet.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
}

// Options holds what a daemon needs beside its settings.
type Options struct {
	Settings Settings
	Dialect  Dialect
	Store    Store
	Decoder  Decoder
	// Logger, Metrics, Rand, Listen and Dial have defaults.
	Logger  *zap.Logger
	Metrics *telemetry.Registry
	Rand    *rand.Rand
	Listen  func(network, address string) (net.Listener, error)
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
}

// Daemon is one running daemon. Its methods are safe for concurrent use.
type Daemon struct {
	opts     Options
	set      Settings
	log      *zap.Logger
	dialect  Dialect
	headers  *headerCodec
	metrics  *telemetry.Registry
	started  time.Time
	peerPort string
	backend  *backend
	attempts atomic.Uint64
	answers  atomic.Uint64
	routes   atomic.Pointer[routing.Table]

	mu         sync.Mutex // guards what follows
	dir        *directory.Directory
	replica    replica.Replica
	splitter   routing.Splitter
	dispatcher *dispatch.Dispatcher
	station    *slots.Limiter
	waiting    map[uint64]*held // by station ID
	lastID     uint64
	inFlight   int
	repeats    int // local runs that are repeats
	graph      *callgraph.Observer
	meter      *pressure.Meter // calls of the local backend server
	entered    *pressure.Meter // new requests
	gate       *pressure.Gate
	calls      map[string]bool // routes on which the local backend server makes calls
	gateTicked time.Time
	stopping   bool
	grace      time.Duration // of Shutdown
	seeds      []string
	takeUntil  time.Time // when a stopping daemon takes no more requests of callers
	storeAway  bool
	// watching says that the last read of the store was this daemon's own and successful.
	watching bool
	sources  *watchers.Selector
	changed  chan struct{} // closed when the replica moves on, or watching ends
	newerAt  string        // upstream address of a peer that holds a newer replica

	peersMu sync.Mutex // guards peers
	peers   map[string]*peer

	synced chan struct{} // wakes the peer synchronization

	ctx       context.Context
	workers   *workgroup.Group
	callers   pipeline.Server
	servers   []*http.Server
	listeners []net.Listener
}

// New returns a daemon that has not opened its listeners yet.
func New(opts Options) *Daemon {
	if opts.Logger == nil {
		opts.Logger = zap.NewNop()
	}
	if opts.Metrics == nil {
		opts.Metrics = telemetry.New()
	}
	if opts.Rand == nil {
		opts.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if opts.Listen == nil {
		opts.Listen = net.Listen
	}
	if opts.Dial == nil {
		opts.Dial = Dial
	}
	set := opts.Settings
	d := &Daemon{
		opts: opts, set: set, log: opts.Logger, dialect: opts.Dialect,
		headers: newHeaderCodec(opts.Dialect.Names()), metrics: opts.Metrics,
		started: time.Now(), dir: directory.New(), station: slots.New(unknownSlots),
		graph: callgraph.New(), meter: pressure.NewMeter(), entered: pressure.NewMeter(), gate: pressure.NewGate(opts.Rand.Float64), calls: make(map[string]bool),
		splitter: routing.Splitter{Rand: opts.Rand},
		sources:  watchers.New(watchers.Daemon{Address: set.BackendAddress, Zone: set.Zone}), changed: make(chan struct{}),
		waiting: make(map[uint64]*held), peers: make(map[string]*peer), synced: make(chan struct{}, 1),
	}
	d.grace, d.seeds = set.Grace, set.Seeds
	d.workers = workgroup.New()
	d.ctx = d.workers.Context()
	d.backend = &backend{address: set.BackendAddress, dial: opts.Dial,
		count: func(event string) { d.metrics.Count(metricBackend, event) }}
	d.declareGauges()
	d.dispatcher = dispatch.New(dispatch.Config{
		Zone: set.Zone, Rand: opts.Rand,
		BudgetRatio: set.RetryRatio, BudgetSlack: set.RetrySlack, BudgetWindow: set.RetryWindow,
	}, d.dir)
	return d
}

// Start opens the listeners and begins to serve.
func (d *Daemon) Start() error {
	_, port, err := net.SplitHostPort(d.set.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "peer address")
	}
	d.peerPort = port
	if err := d.listenAll(); err != nil {
		d.Close()
		return err
	}
	d.workers.Go(d.tickLoop)
	d.workers.Go(d.storeLoop)
	d.workers.Go(d.peerLoop)
	d.workers.Go(d.summaryLoop)
	d.log.Info(eventStarted, zap.String("name", d.set.Name), zap.String("zone", d.set.Zone),
		zap.String("service", d.set.Service), zap.String("backend", d.set.BackendAddress))
	return nil
}

func (d *Daemon) listenAll() error {
	for _, address := range []string{d.set.PeerAddress, d.set.ControlAddress} {
		if address == "" {
			continue
		}
		l, err := d.listen(address)
		if err != nil {
			return err
		}
		d.workers.Go(func() { d.servePeers(l) })
	}
	if err := d.serveCallers(); err != nil {
		return err
	}
	if err := d.serveHTTP(d.set.ReadyAddress, http.HandlerFunc(d.serveReady)); err != nil {
		return err
	}
	if d.set.MetricsAddress == "" {
		return nil
	}
	return d.serveHTTP(d.set.MetricsAddress, http.HandlerFunc(d.serveMetrics))
}

func (d *Daemon) listen(address string) (net.Listener, error) {
	l, err := d.opts.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	d.listeners = append(d.listeners, l)
	return l, nil
}

func (d *Daemon) serveCallers() error {
	l, err := d.listen(d.set.CallerAddress)
	if err != nil {
		return err
	}
	d.callers.Handler = http.HandlerFunc(d.serveCaller)
	d.callers.Limits = d.callerLimits
	d.callers.Reject = func(remote net.Addr, status int, err error) {
		d.metrics.Count(metricBroken)
		d.log.Info(eventUnreadable, zap.Stringer("remote", remote), zap.Int("status", status), errorField(err))
	}
	d.workers.Go(func() {
		if err := d.callers.Serve(l); err != nil {
			d.log.Error(eventListener, zap.String("address", d.set.CallerAddress), errorField(err))
		}
	})
	return nil
}

// callerLimits returns the limits of the configuration in force.
func (d *Daemon) callerLimits() pipeline.Limits {
	limits := pipeline.Limits{HeaderBytes: maxHeaderBytes}
	if t := d.table(); t != nil {
		l := t.Config().Limits
		limits.HeaderTimeout, limits.IdleTimeout = l.HeaderTimeout, l.IdleTimeout
		if l.HeaderBytes > 0 {
			limits.HeaderBytes = l.HeaderBytes
		}
	}
	return limits
}

func (d *Daemon) serveHTTP(address string, handler http.Handler) error {
	l, err := d.listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(d.log),
		DisableGeneralOptionsHandler: true,
	}
	d.servers = append(d.servers, server)
	d.workers.Go(func() {
		if err := server.Serve(l); d.ctx.Err() == nil && !errors.Is(err, http.ErrServerClosed) {
			d.log.Error(eventListener, zap.String("address", address), errorField(err))
		}
	})
	return nil
}

// serveReady answers the health check: 200 while the daemon takes new work.
func (d *Daemon) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != d.set.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if d.isStopping() || d.table() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (d *Daemon) table() *routing.Table { return d.routes.Load() }

func (d *Daemon) isStopping() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopping
}

// takesRequests reports whether requests of callers are taken.
func (d *Daemon) takesRequests() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.stopping || time.Now().Before(d.takeUntil)
}

func (d *Daemon) nextAttempt() uint64 { return d.attempts.Add(1) }

// nextAnswer numbers the answers that were passed on without trouble.
func (d *Daemon) nextAnswer() uint64 { return d.answers.Add(1) }

func (d *Daemon) flightEnded() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
}

func (d *Daemon) tickLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
		}
		d.tick(time.Now())
	}
}

func (d *Daemon) tick(now time.Time) {
	d.mu.Lock()
	d.dispatchEvents(d.station.Tick(now))
	d.tickGate(now)
	gone := d.dir.Expire(now)
	if len(gone) > 0 {
		d.dispatcher.Prune()
	}
	d.mu.Unlock()
	for _, id := range gone {
		d.log.Info(eventGone, zap.String("upstream", id), zap.String("reason", "not listed after the return of the store"))
	}
	d.backend.closeIdle(now, false)
}

// Shutdown stops gracefully: it takes no new work from other daemons, finishes what is in
// flight, asks callers to close their connections, and ends when it is idle or the grace
// time is nearly over.
func (d *Daemon) Shutdown() {
	begun := time.Now()
	d.mu.Lock()
	grace := d.grace
	d.stopping = true
	d.takeUntil = begun.Add(time.Duration(takeShare * float64(grace)))
	d.station.Close()
	d.mu.Unlock()
	d.callers.Stop()
	d.log.Info(eventStopping, zap.Duration("grace", grace))
	limit := begun.Add(time.Duration(stopShare * float64(grace)))
	for now := begun; now.Before(limit); now = time.Now() {
		if !now.Before(d.takeUntil) && d.idle() {
			break
		}
		time.Sleep(tickInterval)
	}
	d.callers.CloseIdle()
	d.log.Info(eventStopped, zap.Bool("idle", d.idle()), zap.Duration("after", time.Since(begun)))
	d.Close()
}

func (d *Daemon) idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight == 0 && d.station.Load().Running == 0
}

// Close stops at once and cuts what is in flight.
func (d *Daemon) Close() {
	d.workers.Cancel()
	for _, l := range d.listeners {
		_ = l.Close()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.callers.Close()
	d.backend.closeIdle(time.Now(), true)
	d.workers.Wait()
}

// Revision returns the revision of the store that is in force.
func (d *Daemon) Revision() int64 { return d.asOf() }

// Upstreams returns the number of upstreams that are known.
func (d *Daemon) Upstreams() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.Len()
}
