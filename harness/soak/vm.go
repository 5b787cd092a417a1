package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hawthornpoint/hawthornpoint/platform/platformtest"
)

const (
	// restartDelay is the time until the platform starts a process that has ended.
	restartDelay = 500 * time.Millisecond
	// memoryInterval is how often the memory of a process is read.
	memoryInterval = 100 * time.Millisecond
	// settingsDelay is the time until a daemon has read settings that changed without a signal.
	settingsDelay = 3 * time.Second
	// raceOptions shortens the second for which a process with the race detector sleeps at its exit: it is
	// more than what a stop leaves of the grace time.
	raceOptions = "GORACE=atexit_sleep_ms=50"
	// defaultGrace is the grace time until the settings change.
	defaultGrace = 6 * time.Second
)

// vm is a VM: a daemon as a process of its own and a backend server.
type vm struct {
	soak    *soak
	index   int
	name    string
	ip      string
	service string
	server  *server
	store   *link // to the store
	peers   *link // from half of the other daemons
	log     string
	conns   chan *conn // kept connections of the backend server to the daemon

	// changing is set while a fault replaces the backend server.
	changing atomic.Bool

	mu         sync.Mutex
	process    *exec.Cmd // nil while there is none
	ended      chan struct{}
	present    bool // whether the platform keeps a process running
	in         bool // whether callers open connections
	peakMB     int64
	retrySlack float64
	seeds      []string
	grace      time.Duration
	oldGrace   time.Duration // the grace time before the settings changed
	graceSince time.Time
	afterStart func(*os.Process) // called once after the next start
}

func (v *vm) address(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

// peerPorts returns the port on which the daemon of the VM accepts those of others, and that of the link
// to it. Half of the VMs have them the other way round: a daemon connects to the port that it listens on
// itself, so that the connections between the halves pass a link.
func (v *vm) peerPorts() [2]int {
	if v.index%2 == 0 {
		return [2]int{v.soak.ports.peers, v.soak.ports.peersLink}
	}
	return [2]int{v.soak.ports.peersLink, v.soak.ports.peers}
}

func (v *vm) settingsFile() string { return filepath.Join(v.soak.dir, v.name+".json") }

func (v *vm) settings() []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.soak.ports
	return platformtest.Process{
		Name: v.name, IP: v.ip, Service: v.service, BackendAddress: v.address(p.app), CallerAddress: v.address(p.callers),
		PeerAddress: v.address(v.peerPorts()[0]), ReadyAddress: v.address(p.ready), ControlAddress: v.address(p.control), Seeds: v.seeds,
		StoreAddress: v.store.address(), GraceS: v.grace.Seconds(), MemoryMB: memoryMB, RetrySlack: v.retrySlack,
	}.SettingsFile()
}

// writeSettings replaces the settings file. In two parts, a reader may see half of it.
func (v *vm) writeSettings(inParts bool) error {
	data := v.settings()
	if inParts {
		f, err := os.Create(v.settingsFile())
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		if _, err := f.Write(data[:len(data)/2]); err != nil {
			return err
		}
		time.Sleep(20 * time.Millisecond)
		_, err = f.Write(data[len(data)/2:])
		return err
	}
	next := v.settingsFile() + ".next"
	if err := os.WriteFile(next, data, 0o600); err != nil {
		return err
	}
	return os.Rename(next, v.settingsFile())
}

// start starts the process. It is started again whenever it ends, until the VM is not present.
func (v *vm) start() error {
	log, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(v.soak.options.Binary, "sidecar", "--metrics-port", fmt.Sprint(v.soak.ports.metrics))
	cmd.Dir = v.soak.dir
	cmd.Env = append(os.Environ(), "HAWTHORNPOINT_SETTINGS="+v.settingsFile(), raceOptions)
	if n := v.soak.options.DaemonProcs; n > 0 {
		cmd.Env = append(cmd.Env, fmt.Sprint("GOMAXPROCS=", n))
	}
	cmd.Stdout, cmd.Stderr = log, log
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.present {
		return log.Close()
	}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	v.soak.history.addEvent(Event{VM: v.index, Kind: Start, Detail: fmt.Sprint("pid ", cmd.Process.Pid)})
	v.process, v.ended = cmd, make(chan struct{})
	if v.afterStart != nil {
		go v.afterStart(cmd.Process)
		v.afterStart = nil
	}
	go v.watchMemory(cmd, v.ended)
	go v.await(cmd, v.ended, log)
	return nil
}

func (v *vm) await(cmd *exec.Cmd, ended chan struct{}, log *os.File) {
	err := cmd.Wait()
	_ = log.Close()
	v.mu.Lock()
	v.process = nil
	v.mu.Unlock()
	detail := "exit code 0"
	if err != nil {
		detail = err.Error()
	}
	if !v.soak.closed.Load() {
		v.soak.history.addEvent(Event{VM: v.index, Kind: Exit, Detail: detail, Failed: err != nil})
	}
	close(ended)
	time.Sleep(restartDelay)
	if err := v.start(); err != nil {
		v.soak.progressf("%s is not started: %v", v.name, err)
	}
}

// signal records a signal and sends it to the process, unless there is none.
func (v *vm) signal(kind EventKind, s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return
	}
	grace := v.grace
	if time.Since(v.graceSince) < settingsDelay {
		grace = max(grace, v.oldGrace)
	}
	v.soak.history.addEvent(Event{VM: v.index, Kind: kind, Grace: grace})
	_ = v.process.Process.Signal(s)
	if kind == Terminate {
		go v.enforceGrace(v.process, v.ended, grace)
	}
}

func (v *vm) enforceGrace(cmd *exec.Cmd, ended chan struct{}, grace time.Duration) {
	select {
	case <-ended:
	case <-time.After(grace):
		v.soak.history.addEvent(Event{VM: v.index, Kind: GraceOver})
		_ = cmd.Process.Kill()
	}
}

// current returns the process, nil if there is none.
func (v *vm) current() *exec.Cmd {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process
}

// stopAndWait sends SIGTERM and waits for the end of the process. Without early signals, it waits until
// the process is ready.
func (v *vm) stopAndWait() {
	for deadline := time.Now().Add(startTimeout); !v.soak.options.EarlySignals && !v.soak.isReady(v) && time.Now().Before(deadline); {
		time.Sleep(20 * time.Millisecond)
	}
	v.mu.Lock()
	ended := v.ended
	v.mu.Unlock()
	v.signal(Terminate, syscall.SIGTERM)
	if ended != nil {
		<-ended
	}
}

// setPresent sets whether the platform keeps a process running on the VM.
func (v *vm) setPresent(present bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.present = present
}

// changeSettings changes the grace time, the retry budget or the seeds.
func (v *vm) changeSettings(change func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.grace
	change()
	if v.grace != before {
		v.oldGrace, v.graceSince = before, time.Now()
	}
}

func (v *vm) accepts() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.in
}

// watchMemory records a process that exceeds its memory limit, once.
func (v *vm) watchMemory(cmd *exec.Cmd, ended chan struct{}) {
	reported := false
	for {
		select {
		case <-ended:
			return
		case <-time.After(memoryInterval):
		}
		used := residentMB(cmd.Process.Pid)
		v.mu.Lock()
		v.peakMB = max(v.peakMB, used)
		v.mu.Unlock()
		if used > memoryMB && !reported && !v.soak.options.AnyMemory {
			reported = true
			v.soak.history.addEvent(Event{VM: v.index, Kind: OverMemory, Detail: fmt.Sprintf("resident memory of %d MB, limit %d MB", used, memoryMB)})
		}
	}
}

// residentMB returns the resident memory of a process, 0 if it has ended.
func residentMB(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	_, _ = fmt.Sscan(string(data), &size, &resident)
	return resident * int64(os.Getpagesize()) >> 20
}

func (v *vm) setIn(in bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.in = in
}

// kill ends the process, if there is one, and keeps the platform from starting another one.
func (v *vm) kill() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.present = false
	if v.process != nil {
		_ = v.process.Process.Kill()
	}
}
