package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/platform/platformtest"
)

const (
	// memoryMB is the memory limit of a daemon on the deployments.
	memoryMB = 284
	// startTimeout limits the time until all daemons are ready.
	startTimeout = 20 * time.Second
	// readyInterval is how often the platform checks a daemon, missedChecks how many failures take it out.
	readyInterval = time.Second
	missedChecks  = 2
	// settleTime is how long the load goes on without new faults at the end.
	settleTime = 5 * time.Second
	// leastTimeoutShare is the least ratio of a route's timeout to the time limit of its callers.
	leastTimeoutShare = 0.8
	// maxConnections is the connection limit of a backend server.
	maxConnections = 500
)

// Options select a run.
type Options struct {
	// Binary is the path of the binary whose "sidecar" command is played.
	Binary string
	Seed   uint64
	// Duration is the time in which faults are injected.
	Duration time.Duration
	// VMs is the number of VMs, a multiple of four; Callers the number of connections that callers keep
	// open, and Rate their requests per second.
	VMs, Callers int
	Rate         float64
	// Slots is the number of slots of a backend server.
	Slots int
	// Planned leaves out the faults that end or stop processes without notice and those of the store.
	Planned bool
	// Only names the faults that are played; empty means all.
	Only []string
	// EarlySignals sends signals to processes that are not ready yet.
	EarlySignals bool
	// DaemonProcs limits the threads of a daemon that run at once, 0 does not. Busy is the number of
	// goroutines of the soak that only use processor time.
	DaemonProcs, Busy int
	// AnyMemory does not compare the memory of daemons with their limit.
	AnyMemory bool
	// Dir receives settings files and logs. It must exist.
	Dir string
	// Progress receives a line for each fault; nil discards them.
	Progress io.Writer
}

type ports struct{ peers, peersLink, app, ready, control, callers, metrics int }

type soak struct {
	options Options
	dir     string
	history *History
	store   *platformtest.Store
	vms     []*vm
	ports   ports
	started int64 // Unix milliseconds

	lastConn, lastRequest atomic.Int64
	closed                atomic.Bool

	mu      sync.Mutex
	version int
	idleS   float64
	load    float64 // multiplies Rate
	moved   bool    // whether "draw" is routed to another service
	tight   bool    // whether routes have their least timeout
}

// Play plays one run. It returns an error if the deployment does not start.
func Play(ctx context.Context, o Options) (*Report, error) {
	if err := checkNames(o.Only); err != nil {
		return nil, err
	}
	s := &soak{options: o, dir: o.Dir, history: NewHistory(), started: time.Now().UnixMilli(), idleS: 15, load: 1,
		ports: ports{peers: 8300, peersLink: 8310, app: 8301, ready: 8302, control: 8303, callers: 8304, metrics: 9190}}
	s.store = platformtest.NewStore()
	defer s.close()
	if err := s.deploy(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := s.awaitReady(ctx); err != nil {
		return nil, err
	}
	var work sync.WaitGroup
	for _, v := range s.vms {
		work.Go(func() { s.checkReady(ctx, v) })
	}
	for range o.Busy {
		work.Go(func() {
			for ctx.Err() == nil {
				_ = sealOf("busy", 0, make([]byte, 10000))
			}
		})
	}
	callers, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var load sync.WaitGroup
	for i := range o.Callers {
		a := &caller{soak: s, vm: s.vms[i%len(s.vms)], rand: rand.New(rand.NewPCG(o.Seed, uint64(1000+i)))}
		load.Go(func() { a.run(callers) })
	}
	s.injectFaults(ctx, rand.New(rand.NewPCG(o.Seed, 1)))
	sleep(ctx, settleTime)
	stopCallers()
	load.Wait()
	s.stopDaemons()
	cancel()
	work.Wait()
	s.closed.Store(true)
	s.readLogs()
	return s.report(), nil
}

// deploy starts the backend servers and the daemons.
func (s *soak) deploy() error {
	n := s.options.VMs
	network, err := s.freeNetwork(n)
	if err != nil {
		return err
	}
	services := []string{"tabelle", "ergebnis", "wertung", "auslosung"}
	for i := range n {
		v := &vm{soak: s, index: i, name: fmt.Sprintf("vm%02d", i), ip: fmt.Sprintf("%s.%d", network, i+1), service: services[i%len(services)],
			grace: defaultGrace, oldGrace: defaultGrace, retrySlack: 47, present: true, conns: make(chan *conn, 32)}
		v.log = filepath.Join(s.dir, v.name+".log")
		if v.store, err = newLink("127.0.0.1:0", s.store.Address()); err != nil {
			return err
		}
		if v.peers, err = newLink(v.address(v.peerPorts()[1]), v.address(v.peerPorts()[0])); err != nil {
			return err
		}
		v.seeds = []string{fmt.Sprintf("%s.1:%d", network, s.ports.control), fmt.Sprintf("%s.2:%d", network, s.ports.control)}
		v.server = newServer(v, s.options.Slots, s.options.Seed)
		s.vms = append(s.vms, v)
		if err := v.server.boot(); err != nil {
			return err
		}
	}
	s.writeConfig()
	for _, v := range s.vms {
		if err := v.writeSettings(false); err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return errors.Wrap(err, v.name)
		}
	}
	return nil
}

// freeNetwork returns the first three parts of loopback addresses whose ports are free.
func (s *soak) freeNetwork(n int) (string, error) {
	for try := range 100 {
		network := fmt.Sprintf("127.%d.%d", 70+(os.Getpid()+try)%120, 1+(os.Getpid()/120+try)%250)
		if s.free(network, n) {
			return network, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func (s *soak) free(network string, n int) bool {
	for i := range n {
		for _, port := range []int{s.ports.peers, s.ports.peersLink, s.ports.app, s.ports.ready, s.ports.control, s.ports.callers, s.ports.metrics} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, i+1, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// writeConfig writes the next version of the configuration.
func (s *soak) writeConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 1 + s.version%3
	c := platformtest.Config{Version: s.version, HeaderTimeoutS: 3, IdleTimeoutS: s.idleS}
	services := make(map[string]bool)
	for _, k := range kinds {
		r := platformtest.Route{Prefix: "/" + k.name + "/", Kind: "unsafe", Service: k.service, TimeoutS: k.limit.Seconds(), TargetLatencyS: k.objective.Seconds()}
		if k.safe {
			r.Kind = "safe"
		}
		if s.tight {
			r.TimeoutS *= leastTimeoutShare
		}
		if s.moved && k.name == "draw" {
			r.Service = "tabelle"
		}
		if !services[k.service] {
			services[k.service] = true
			c.Services = append(c.Services, platformtest.Service{Name: k.service, MaxConnections: maxConnections})
		}
		c.Routes = append(c.Routes, r)
	}
	s.history.addEvent(Event{VM: -1, Kind: NewConfig, Detail: fmt.Sprint("version ", s.version)})
	s.store.PutFullConfig(c)
}

func (s *soak) idleTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.idleS * float64(time.Second))
}

// meanPause returns the mean time in seconds between the requests of one caller.
func (s *soak) meanPause() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.options.Callers) / (s.options.Rate * s.load)
}

func (s *soak) isReady(v *vm) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + v.address(s.ports.ready) + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *soak) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for _, v := range s.vms {
		for !s.isReady(v) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return errors.Errorf("%s is not ready, see %s", v.name, v.log)
			}
			sleep(ctx, 50*time.Millisecond)
		}
		v.setIn(true)
	}
	return nil
}

// checkReady checks a daemon once in each readyInterval, as the platform does.
func (s *soak) checkReady(ctx context.Context, v *vm) {
	missed := 0
	for ctx.Err() == nil {
		sleep(ctx, readyInterval)
		if s.isReady(v) {
			missed = 0
			v.setIn(true)
		} else if missed++; missed >= missedChecks {
			v.setIn(false)
		}
	}
}

// open reports whether callers open connections to a VM. If fewer than half of the VMs are in, all are used.
func (s *soak) open(v *vm) bool {
	in := 0
	for _, other := range s.vms {
		if other.accepts() {
			in++
		}
	}
	return v.accepts() || 2*in < len(s.vms)
}

// stopDaemons stops all daemons at the end of a run.
func (s *soak) stopDaemons() {
	var stops sync.WaitGroup
	for _, v := range s.vms {
		v.setPresent(false)
		stops.Go(v.stopAndWait)
	}
	stops.Wait()
}

// close ends everything that was started.
func (s *soak) close() {
	s.closed.Store(true)
	for _, v := range s.vms {
		v.kill()
		v.server.crash()
		v.store.close()
		v.peers.close()
	}
	s.store.Close()
}

// readLogs records lines of the logs that tell of a panic or a data race.
func (s *soak) readLogs() {
	for _, v := range s.vms {
		data, err := os.ReadFile(v.log)
		if err != nil {
			s.progressf("%v", err)
			continue
		}
		for line := range strings.SplitSeq(string(data), "\n") {
			for _, word := range []string{"panic", "fatal error", "DATA RACE", "invariant"} {
				if strings.Contains(line, word) {
					s.history.addEvent(Event{VM: v.index, Kind: LogProblem, Detail: line[:min(len(line), 300)]})
					break
				}
			}
		}
	}
}

func (s *soak) progressf(format string, args ...any) {
	if s.options.Progress != nil && !s.closed.Load() {
		fmt.Fprintf(s.options.Progress, "%8.3f s  %s\n", s.history.now().Seconds(), fmt.Sprintf(format, args...))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
