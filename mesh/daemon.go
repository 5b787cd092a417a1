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

	"github.com/hawthornpoint/hawthornpoint/core/bodyparts"
	"github.com/hawthornpoint/hawthornpoint/core/callgraph"
	"github.com/hawthornpoint/hawthornpoint/core/directory"
	"github.com/hawthornpoint/hawthornpoint/core/dispatch"
	"github.com/hawthornpoint/hawthornpoint/core/fleetclock"
	"github.com/hawthornpoint/hawthornpoint/core/freshness"
	"github.com/hawthornpoint/hawthornpoint/core/loadshed"
	"github.com/hawthornpoint/hawthornpoint/core/membudget"
	"github.com/hawthornpoint/hawthornpoint/core/quarantine"
	"github.com/hawthornpoint/hawthornpoint/core/replica"
	"github.com/hawthornpoint/hawthornpoint/core/routing"
	"github.com/hawthornpoint/hawthornpoint/core/slots"
	"github.com/hawthornpoint/hawthornpoint/core/watchers"
	"github.com/hawthornpoint/hawthornpoint/internal/acceptloop"
	"github.com/hawthornpoint/hawthornpoint/internal/pipeline"
	"github.com/hawthornpoint/hawthornpoint/internal/telemetry"
	"github.com/hawthornpoint/hawthornpoint/internal/workgroup"
	"github.com/hawthornpoint/hawthornpoint/quotas"
)

const (
	// metricsListenInterval is the time between attempts to open the listener of the metrics: a
	// fraction of the usual interval at which metrics are fetched.
	metricsListenInterval = time.Second
	// tickInterval is how often queued requests and expiries are checked.
	tickInterval = 50 * time.Millisecond
	// initialSlots is the number of slots until the local backend server has registered.
	initialSlots = 8
	// maxHeaderBytes limits a request's header unless the configuration sets a limit.
	maxHeaderBytes = 64 << 10
	// bodyStartTimeout limits the time to receive a request's body, or the first part of a long one.
	// The request's deadline does not apply yet; callers that send more slowly would hold a
	// connection and its memory without end.
	bodyStartTimeout = time.Minute
)

// Settings describe one daemon. All addresses consist of host and port.
type Settings struct {
	// Name is the name of the VM, and Zone its availability zone.
	Name, Zone string
	// Service is the service of the local backend server at BackendAddress.
	Service, BackendAddress string
	// CallerAddress accepts requests of callers and of the local backend server, PeerAddress
	// and ControlAddress calls of other daemons, and ReadyAddress health checks.
	// MetricsAddress serves the metrics. ControlAddress and MetricsAddress may be empty.
	CallerAddress, PeerAddress, ControlAddress, ReadyAddress, MetricsAddress string
	// ReadyPath is the path of the health check.
	ReadyPath string
	// Seeds are control addresses of some daemons; they may be out of date.
	Seeds []string
	// RetryRatio, RetrySlack and RetryWindow bound the retries of the whole fleet.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// EntryLifetime is the time after which the store removes the entry of an upstream that does
	// not renew it.
	EntryLifetime time.Duration
	// MaxConfigAge is how old a configuration may be that allows a request with a key: the request is refused
	// unless the configuration was provably the newest one that long ago or later. 0 means any age.
	MaxConfigAge time.Duration
	// QuotaWindow, QuotaOvershoot and QuotaSlack bound the requests of a tenant with a quota over all daemons:
	// in each window of that length, at most (rate x window + burst) x (1 + overshoot) + slack requests run.
	QuotaWindow                time.Duration
	QuotaOvershoot, QuotaSlack float64
	// MemoryBytes is the memory limit of the process, 0 if unknown.
	MemoryBytes int64
	// MaxDescriptors is the descriptor limit of the process, 0 if unknown.
	MaxDescriptors int64
	// BodyPace is the least number of bytes per second at which callers send bodies while memory or descriptors
	// are short; 0 means the longest header in the time for it, from the configuration.
	BodyPace int64
}

// Options holds the settings of a daemon and its dependencies.
type Options struct {
	Settings         Settings
	HeaderConvention HeaderConvention
	Store            Store
	Decoder          Decoder
	// Logger, Metrics, Rand, Listen and Dial may be nil and have defaults: no log, a new
	// registry, a random seed, net.Listen, and Dial.
	Logger  *zap.Logger
	Metrics *telemetry.Registry
	Rand    *rand.Rand
	Listen  func(network, address string) (net.Listener, error)
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
	// TimeOfDay returns the time of day of the VM; nil is time.Now.
	TimeOfDay func() time.Time
}

// Daemon is one running daemon. Its methods are safe for concurrent use.
type Daemon struct {
	opts       Options
	settings   Settings
	log        *zap.Logger
	convention HeaderConvention
	headers    *headerCodec
	metrics    *telemetry.Registry
	started    time.Time
	peerPort   string
	backend    *backend
	// memory and descriptors are the budgets for what is held because of callers.
	memory, descriptors *membudget.Budget
	attempts            atomic.Uint64
	answers             atomic.Uint64
	// bodyPace is Settings.BodyPace in force.
	bodyPace atomic.Int64
	// peerAttempts is the number of attempts of peers that wait, run or have a rest to be fetched.
	peerAttempts atomic.Int64
	// peerCalls is the number of calls of peers about attempts whose replies have not been written.
	peerCalls atomic.Int64
	// callerRequests is the number of requests of callers that have not been answered.
	callerRequests atomic.Int64
	routes         atomic.Pointer[routing.Table]
	// updated says that an update has been put in force completely.
	updated atomic.Bool

	mu               stateMutex // guards the fields up to storeConfig
	dir              *directory.Directory
	replica          replica.Replica
	splitter         routing.Splitter
	dispatcher       *dispatch.Dispatcher
	limiter          *slots.Limiter
	waiting          map[uint64]*localAttempt // queued attempts by their ID in the limiter
	lastID           uint64
	retryRuns        int                // number of local runs that are retries
	local            directory.Upstream // latest entry of the local backend server that was put in force
	invalidRate      string             // limit of the local backend server that was not readable, "" if it was
	liveness         quarantine.Liveness
	crashes          *quarantine.Tracker
	replacement      directory.Replacement
	watchingBackend  bool                // whether watchBackend runs
	unsentReports    []quarantine.Report // crash reports to be sent to peers
	exchanges        quarantine.Exchanges
	clock            fleetclock.Clock
	callGraph        *callgraph.Observer
	callMeter        *loadshed.Meter      // blocked shares of the calls of the local backend server
	dependence       *loadshed.Dependence // which kinds make no calls at the local backend server
	gate             *loadshed.Gate
	callRoutes       map[string]bool // routes whose requests are calls of the local backend server
	lastGateTick     time.Time
	stopping         bool
	grace            time.Duration // Settings.Grace in force
	seeds            []string
	acceptUntil      time.Time // until when a stopping daemon accepts requests of callers
	closeBy          time.Time // until when a stopping daemon delivers replies to peers; zero without a stop
	storeUnavailable bool
	// watching says that this daemon watches the store itself and the last read succeeded.
	watching bool
	sources  *watchers.Selector
	// applied is the position whose changes are all in force, and settledAt that up to which removals are settled.
	applied, settledAt replica.Position
	// listedChanged says that an upstream was listed or removed since the quotas received the list.
	listedChanged bool
	changed       chan struct{} // closed when the replica changes or watching ends
	newerPeer     string        // address of a peer that has newer changes
	// config is the item of the configuration in force. refusedVersion is the latest version that
	// a peer has sent and that was refused here.
	config         *StoredItem
	refusedVersion uint64
	freshness      *freshness.Keeper
	storeConfig    storeConfig

	// applyMu is held while an update is applied to the replica and put in force, so that updates
	// of the store and of peers take effect in the order in which the replica accepts them. It is
	// locked before mu.
	applyMu sync.Mutex
	future  map[string]StoredItem // entries that start in the future, by key; guarded by applyMu

	quotas *quotas.Controller

	peersMu sync.Mutex // guards peers
	peers   map[string]*peer

	wakeSync    chan struct{} // wakes peerLoop
	wakeReports chan struct{} // wakes reportLoop

	// starting ends when a stopping daemon starts no further attempts.
	starting     context.Context
	stopStarting context.CancelFunc

	ctx        context.Context
	workers    *workgroup.Group
	callers    pipeline.Server
	servers    []*http.Server
	listeners  []net.Listener
	callerLoop *acceptloop.Loop // accepts the connections of callers
}

// New returns a daemon with the given options. Start opens its listeners.
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
	if opts.TimeOfDay == nil {
		opts.TimeOfDay = time.Now
	}
	settings := opts.Settings
	d := &Daemon{
		opts: opts, settings: settings, log: opts.Logger, convention: opts.HeaderConvention,
		headers: newHeaderCodec(opts.HeaderConvention.Names()), metrics: opts.Metrics,
		started: time.Now(), dir: directory.New(), limiter: slots.New(initialSlots),
		callGraph: callgraph.New(), callMeter: loadshed.NewMeter(), dependence: loadshed.NewDependence(), gate: loadshed.NewGate(opts.Rand.Float64), callRoutes: make(map[string]bool),
		splitter: routing.Splitter{Rand: opts.Rand},
		sources:  watchers.New(watchers.Daemon{Address: settings.BackendAddress, Zone: settings.Zone}), changed: make(chan struct{}),
		freshness: freshness.New(settings.MaxConfigAge),
		future:    make(map[string]StoredItem),
		waiting:   make(map[uint64]*localAttempt), peers: make(map[string]*peer), wakeSync: make(chan struct{}, 1),
		crashes: quarantine.New(quarantine.Config{}), wakeReports: make(chan struct{}, 1),
	}
	d.grace, d.seeds = settings.Grace, settings.Seeds
	d.bodyPace.Store(settings.BodyPace)
	d.memory, d.descriptors = membudget.ForMemory(settings.MemoryBytes), membudget.ForDescriptors(settings.MaxDescriptors)
	d.workers = workgroup.New()
	d.ctx = d.workers.Context()
	d.starting, d.stopStarting = context.WithCancel(d.ctx)
	d.backend = &backend{address: settings.BackendAddress, dial: opts.Dial, descriptors: d.descriptors,
		count:     func(event string) { d.metrics.Count(metricBackend, event) },
		panicked:  func(value any) { d.logPanic(panicBody, "", value) },
		connected: d.backendConnected}
	d.declareGauges()
	d.quotas = d.newQuotas()
	d.dispatcher = dispatch.New(dispatch.Config{
		Zone: settings.Zone, Rand: opts.Rand,
		BudgetRatio: settings.RetryRatio, BudgetSlack: settings.RetrySlack, BudgetWindow: settings.RetryWindow,
	}, d.dir)
	return d
}

// Start opens the listeners and begins to serve. If one of the listeners other than that of the
// metrics can't be opened, it opens none and returns the error; it may be called again then.
func (d *Daemon) Start() error {
	_, port, err := net.SplitHostPort(d.settings.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "peer address")
	}
	d.peerPort = port
	if err := d.listenAll(); err != nil {
		return err
	}
	d.workers.Go(d.tickLoop)
	d.workers.Go(d.budgetLoop)
	d.workers.Go(d.futureLoop)
	d.workers.Go(d.storeLoop)
	d.workers.Go(d.peerLoop)
	d.workers.Go(d.reportLoop)
	d.workers.Go(d.summaryLoop)
	d.log.Info(eventStarted, zap.String("name", d.settings.Name), zap.String("zone", d.settings.Zone),
		zap.String("service", d.settings.Service), zap.String("backend", d.settings.BackendAddress))
	return nil
}

// listenAll opens all listeners before it serves any, so that nothing is accepted by a daemon that
// does not start.
func (d *Daemon) listenAll() error {
	addresses := []string{d.settings.CallerAddress, d.settings.ReadyAddress, d.settings.PeerAddress}
	if d.settings.ControlAddress != "" {
		addresses = append(addresses, d.settings.ControlAddress)
	}
	listeners := make([]net.Listener, 0, len(addresses))
	for _, address := range addresses {
		l, err := d.opts.Listen("tcp", address)
		if err != nil {
			for _, opened := range listeners {
				_ = opened.Close()
			}
			return errors.Wrapf(err, "listen on %s", address)
		}
		listeners = append(listeners, l)
	}
	d.listeners = listeners
	d.serveCallers(listeners[0])
	ready := d.newServer(d.serveReady)
	d.workers.Go(func() { d.serveHTTP(d.settings.ReadyAddress, ready, listeners[1]) })
	for _, l := range listeners[2:] {
		d.workers.Go(func() { d.servePeers(l) })
	}
	if d.settings.MetricsAddress != "" {
		server := d.newServer(d.serveMetrics)
		d.workers.Go(func() { d.listenMetrics(server) })
	}
	return nil
}

// listenMetrics opens the listener of the metrics and serves them. Requests are served without it,
// so that it is tried again until it can be opened.
func (d *Daemon) listenMetrics(server *http.Server) {
	address, lastError := d.settings.MetricsAddress, ""
	for {
		l, err := d.opts.Listen("tcp", address)
		if err == nil {
			d.serveHTTP(address, server, l)
			return
		}
		if err.Error() != lastError {
			lastError = err.Error()
			d.log.Error(eventListenerFailed, zap.String("address", address), errorField(err))
		}
		select {
		case <-d.ctx.Done():
			return
		case <-time.After(metricsListenInterval):
		}
	}
}

func (d *Daemon) serveCallers(l net.Listener) {
	d.callerLoop = acceptloop.New(l)
	d.callers.Handler = http.HandlerFunc(d.serveCaller)
	d.callers.Limits = d.callerLimits
	d.callers.Memory, d.callers.Descriptors = d.memory, d.descriptors
	d.callers.Reject = func(remote net.Addr, status int, err error) {
		d.metrics.Count(metricUnreadable)
		d.log.Info(eventNotParsed, zap.Stringer("remote", remote), zap.Int("status", status), errorField(err))
	}
	d.callers.Unread = func(remote net.Addr, bytes int64) {
		d.metrics.Count(metricUnread)
		d.log.Info(eventUnread, zap.Stringer("remote", remote), zap.Int64("bytes", bytes), zap.Bool("stopping", d.isStopping()))
	}
	d.callers.Panicked = func(v any) { d.logPanic(panicConnection, "", v) }
	d.workers.Go(func() { d.callers.Serve(d.callerLoop, d.acceptFailed(d.settings.CallerAddress)) })
}

// acceptFailed returns a function that logs that connections can't be accepted at an address.
func (d *Daemon) acceptFailed(address string) func(error) {
	return func(err error) {
		d.log.Error(eventListenerFailed, zap.String("address", address), errorField(err))
	}
}

// callerLimits returns the limits for requests of callers that are in force.
func (d *Daemon) callerLimits() pipeline.Limits {
	limits := pipeline.Limits{HeaderBytes: maxHeaderBytes, BodyTimeout: bodyStartTimeout, BodyPace: d.bodyPace.Load()}
	if t := d.table(); t != nil {
		l := t.Config().Limits
		limits.HeaderTimeout, limits.IdleTimeout = l.HeaderTimeout, l.IdleTimeout
		if l.HeaderBytes > 0 {
			limits.HeaderBytes = l.HeaderBytes
		}
	}
	return limits
}

// newServer returns a server that Close ends. It must be called before Start returns.
func (d *Daemon) newServer(handler http.HandlerFunc) *http.Server {
	server := &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(d.log),
		DisableGeneralOptionsHandler: true,
	}
	d.servers = append(d.servers, server)
	return server
}

// serveHTTP serves until server is closed, and closes l.
func (d *Daemon) serveHTTP(address string, server *http.Server, l net.Listener) {
	if err := server.Serve(l); d.ctx.Err() == nil && !errors.Is(err, http.ErrServerClosed) {
		d.log.Error(eventListenerFailed, zap.String("address", address), errorField(err))
	}
}

// serveReady answers the health check: 200 if the daemon has a configuration, knows the upstreams of its
// first update and is not stopping, 503 otherwise.
func (d *Daemon) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != d.settings.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if d.isStopping() || d.table() == nil || !d.updated.Load() {
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

// acceptsRequests reports whether requests on the route are accepted; route is nil if it is unknown. A
// stopping daemon accepts calls of the local backend server for as long as it starts attempts: the work
// of the run that makes them would be lost otherwise.
func (d *Daemon) acceptsRequests(route *routing.Route) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopping || time.Now().Before(d.acceptUntil) {
		return true
	}
	return route != nil && d.callRoutes[route.Name]
}

// partBytes returns the length of the next part of an answer, of which the receiver takes at most the
// given number of bytes, 0 for any.
func (d *Daemon) partBytes(accepted int) int {
	size := bodyparts.Bytes(d.settings.MemoryBytes, d.callerRequests.Load()+d.peerAttempts.Load())
	size = bodyparts.WhileUsed(size, d.memory.Used(), d.memory.Limit())
	if accepted > 0 {
		return min(size, accepted)
	}
	return size
}

func (d *Daemon) nextAttempt() uint64 { return d.attempts.Add(1) }

// nextAnswer numbers the successful answers that came from the first upstream asked.
func (d *Daemon) nextAnswer() uint64 { return d.answers.Add(1) }

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
	d.deliverDecisions(d.limiter.Tick(now))
	d.tickGate(now)
	expired := d.dir.Expire(now)
	relisted := d.dir.Relist(now, d.settings.EntryLifetime)
	for _, u := range relisted {
		d.log.Info(eventRelisted, zap.String("upstream", u.ID), zap.String("service", u.Service), zap.String("address", u.Address),
			zap.Int64("incarnation", u.Incarnation), zap.Int64("sequence", u.Sequence))
	}
	if len(expired)+len(relisted) > 0 {
		d.dispatcher.Prune()
		d.applyListed()
	}
	d.tickQuotas()
	d.mu.Unlock()
	d.quotas.Tick()
	for _, id := range expired {
		d.log.Info(eventExpired, zap.String("upstream", id), zap.String("reason", "not listed after the store has recovered"))
	}
	d.checkFreshness()
	d.backend.closeIdle(now, false)
}

// Position returns the position of the replica, zero if nothing has been read.
func (d *Daemon) Position() replica.Position { return d.position() }

// Upstreams returns the number of known upstreams.
func (d *Daemon) Upstreams() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.Len()
}
