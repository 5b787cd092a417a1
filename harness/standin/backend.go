package standin

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/semaphore"

	"github.com/hawthornpoint/hawthornpoint/config"
)

// maxBodyBytes bounds the request bodies that a backend server reads.
const maxBodyBytes = 8 << 20

// ServiceTime is a log-normal distribution of the time that one run takes
// without its downstream calls.
type ServiceTime struct {
	// Mean is the mean time.
	Mean time.Duration `json:"mean"`
	// Sigma is the standard deviation of the logarithm; 0 makes every run take
	// exactly Mean.
	Sigma float64 `json:"sigma"`
}

func (t ServiceTime) sample(r *rand.Rand) time.Duration {
	if t.Sigma == 0 {
		return t.Mean
	}
	// The factor exp(-Sigma²/2) keeps the mean of the distribution at Mean.
	factor := math.Exp(t.Sigma*r.NormFloat64() - t.Sigma*t.Sigma/2)
	return time.Duration(float64(t.Mean) * factor)
}

// BackendOptions describes one backend server.
type BackendOptions struct {
	// Address is the TCP address that RunBackend listens on.
	Address string `json:"address,omitempty"`
	// Config describes the call graph; Service is the service that is answered.
	Config  *config.Config `json:"config"`
	Service string         `json:"service"`
	// Slots is the number of requests that run at once. A slot is held during
	// downstream calls. Values below 1 count as 1.
	Slots int `json:"slots"`
	// QueueLimit is the number of requests that wait for a slot; the next one is
	// refused. 0 means that a request is refused when no slot is free.
	QueueLimit int `json:"queue_limit"`
	// Times maps kinds to service times; a kind that is not listed takes
	// DefaultTime.
	Times       map[string]ServiceTime `json:"times,omitempty"`
	DefaultTime ServiceTime            `json:"default_time"`
	// ColdStart is how long after each start a run takes ColdFactor times as
	// long. There is no cold start if either of them is 0.
	ColdStart  time.Duration `json:"cold_start"`
	ColdFactor float64       `json:"cold_factor"`
	// RestartDelay is the time from a crash until the server listens again.
	RestartDelay time.Duration `json:"restart_delay"`
	// Egress is the base URL of downstream calls.
	Egress string `json:"egress,omitempty"`
	// Seed makes the service times repeatable.
	Seed uint64 `json:"seed"`
	// Transport carries downstream calls; nil means a transport of its own.
	Transport http.RoundTripper `json:"-"`
	// Listen opens the listener again after a crash. Nil listens on the address
	// of the first listener over TCP.
	Listen func() (net.Listener, error) `json:"-"`
}

// Backend is a stand-in backend server.
type Backend struct {
	opts     BackendOptions
	service  *config.Service
	client   *http.Client
	slots    *semaphore.Weighted
	queued   atomic.Int64
	running  atomic.Int64
	draining atomic.Bool
	recorder recorder
	health   cached[int]
	load     cached[Load]

	mu            sync.Mutex
	rand          *rand.Rand
	faults        Faults
	faultsChanged chan struct{} // closed and replaced when the faults change
	egress        string
	instance      *instance
	listen        func() (net.Listener, error)
	closed        bool
	background    sync.WaitGroup
}

// instance is the HTTP server from one start until its crash or its close. It
// stands for one process of the backend server.
type instance struct {
	ctx     context.Context
	cancel  context.CancelFunc
	server  *http.Server
	started time.Time
	crashed atomic.Bool
}

// NewBackend returns a backend server that does not listen yet.
func NewBackend(o BackendOptions) (*Backend, error) {
	if o.Config == nil {
		return nil, errors.New("backend: no configuration")
	}
	service := o.Config.Service(o.Service)
	if service == nil {
		return nil, errors.Errorf("backend: the configuration has no service %q", o.Service)
	}
	o.Slots = max(o.Slots, 1)
	if o.Transport == nil {
		o.Transport = &http.Transport{MaxIdleConnsPerHost: o.Slots}
	}
	return &Backend{
		opts:          o,
		service:       service,
		client:        &http.Client{Transport: o.Transport},
		slots:         semaphore.NewWeighted(int64(o.Slots)),
		rand:          rand.New(rand.NewPCG(o.Seed, 0)),
		faultsChanged: make(chan struct{}),
		egress:        o.Egress,
		listen:        o.Listen,
		recorder:      newRecorder(),
	}, nil
}

// Start serves on l in the background until Close, Drain or a crash.
func (b *Backend) Start(l net.Listener) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.listen == nil {
		network, address := l.Addr().Network(), l.Addr().String()
		b.listen = func() (net.Listener, error) { return net.Listen(network, address) }
	}
	b.startInstance(l)
}

// startInstance must be called with mu held.
func (b *Backend) startInstance(l net.Listener) {
	if b.closed {
		_ = l.Close()
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	inst := &instance{ctx: ctx, cancel: cancel, started: time.Now()}
	inst.server = &http.Server{
		Handler:     http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { b.serve(inst, w, r) }),
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	b.instance = inst
	b.background.Add(1)
	go func() {
		defer b.background.Done()
		_ = inst.server.Serve(l)
	}()
}

// Crash ends the current instance as if the process had died: the listener and
// all connections are closed, and the server listens again after RestartDelay.
func (b *Backend) Crash() {
	b.mu.Lock()
	inst := b.instance
	b.mu.Unlock()
	if inst != nil {
		b.crash(inst)
	}
}

func (b *Backend) crash(inst *instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.instance != inst || b.closed {
		return
	}
	b.instance = nil
	b.recorder.crashed()
	inst.crashed.Store(true)
	// The connections close before the runs are canceled, so that no run can
	// still send an answer.
	_ = inst.server.Close()
	inst.cancel()
	b.background.Add(1)
	go b.restart()
}

func (b *Backend) restart() {
	defer b.background.Done()
	time.Sleep(b.opts.RestartDelay)
	// An outgoing connection can occupy the address briefly, so listening is
	// retried.
	for range 50 {
		b.mu.Lock()
		if b.closed {
			b.mu.Unlock()
			return
		}
		l, err := b.listen()
		if err == nil {
			b.startInstance(l)
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// SetEgress changes the base URL of downstream calls.
func (b *Backend) SetEgress(baseURL string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.egress = baseURL
}

// Drain refuses new requests and returns when the queued and running ones have
// ended and the server is closed, or with an error when ctx ends.
func (b *Backend) Drain(ctx context.Context) error {
	b.draining.Store(true)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for b.running.Load()+b.queued.Load() > 0 {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "drain")
		case <-tick.C:
		}
	}
	b.mu.Lock()
	inst := b.instance
	b.closed = true
	b.mu.Unlock()
	if inst == nil {
		return nil
	}
	if err := inst.server.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "drain")
	}
	return nil
}

// Close closes the listener and all connections at once, and waits for the serving
// and restart goroutines. It cancels the runs without waiting for them.
func (b *Backend) Close() {
	b.mu.Lock()
	b.closed = true
	if inst := b.instance; inst != nil {
		_ = inst.server.Close()
		inst.cancel()
	}
	b.mu.Unlock()
	b.background.Wait()
	b.client.CloseIdleConnections()
}

// RunBackend serves on o.Address until ctx ends, then drains for at most grace.
func RunBackend(ctx context.Context, o BackendOptions, grace time.Duration) error {
	b, err := NewBackend(o)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", o.Address)
	if err != nil {
		return errors.Wrap(err, "backend")
	}
	defer b.Close()
	b.Start(l)
	<-ctx.Done()
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	return b.Drain(stop)
}
