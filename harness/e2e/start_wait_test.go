package e2e

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/platform/platformtest"
)

// startDelay is how long a condition that delays a start lasts in these tests.
const startDelay = 300 * time.Millisecond

// Guards against a process that ends because its settings file is being written while it starts.
func TestSettingsFileIncompleteAtStart(t *testing.T) {
	for name, write := range map[string]func(s *sidecar) error{
		"missing":    func(s *sidecar) error { return os.Remove(s.settingsFile) },
		"empty":      func(s *sidecar) error { return os.Truncate(s.settingsFile, 0) },
		"incomplete": func(s *sidecar) error { return os.Truncate(s.settingsFile, int64(len(s.settings)/2)) },
	} {
		Convey("A daemon serves once its settings file is complete: "+name, t, func() {
			s := newSidecar(t)
			So(write(s), ShouldBeNil)
			s.start()
			time.Sleep(startDelay)
			So(os.WriteFile(s.settingsFile, s.settings, 0o600), ShouldBeNil)
			s.awaitReady()
			So(s.send("after-"+name), ShouldEqual, http.StatusOK)
		})
	}
	Convey("A daemon that waits for its settings stops with exit code 0 at SIGTERM, also at several signals", t, func() {
		s := newSidecar(t)
		So(os.Remove(s.settingsFile), ShouldBeNil)
		s.start()
		time.Sleep(2 * startDelay) // the error must have been logged
		s.signalAtIntervals(20*time.Millisecond, syscall.SIGHUP, syscall.SIGHUP)
		So(s.process.cmd.Process.Signal(syscall.SIGTERM), ShouldBeNil)
		_ = s.process.cmd.Process.Signal(syscall.SIGTERM) // the process may have ended
		So(s.process.wait(t, 5*time.Second), ShouldBeNil)
		So(s.process.logs.String(), ShouldContainSubstring, s.settingsFile)
	})
}

// Guards against a process that ends because an address that it listens on is in use for a while.
func TestAddressInUseAtStart(t *testing.T) {
	listener := func(address string) func() {
		l, err := net.Listen("tcp", address)
		So(err, ShouldBeNil)
		return func() { _ = l.Close() }
	}
	Convey("A daemon serves once the process before it has closed its addresses", t, func() {
		s := newSidecar(t)
		releaseReady, releaseCallers := listener(s.ready), listener(s.callers)
		s.start()
		time.Sleep(startDelay)
		releaseReady()
		time.Sleep(startDelay)
		releaseCallers()
		s.awaitReady()
		So(s.send("after-listener"), ShouldEqual, http.StatusOK)
	})
	Convey("A daemon serves once its port is no longer the local port of another connection", t, func() {
		s := newSidecar(t)
		local, err := net.ResolveTCPAddr("tcp", s.callers)
		So(err, ShouldBeNil)
		c, err := (&net.Dialer{LocalAddr: local}).Dial("tcp", s.store.Address())
		So(err, ShouldBeNil)
		So(c.(*net.TCPConn).SetLinger(0), ShouldBeNil) // no TIME_WAIT
		s.start()
		time.Sleep(startDelay)
		So(c.Close(), ShouldBeNil)
		s.awaitReady()
		So(s.send("after-connection"), ShouldEqual, http.StatusOK)
	})
	Convey("A daemon that waits for an address keeps none, and stops with exit code 0 at SIGTERM", t, func() {
		s := newSidecar(t)
		release := listener(s.ready)
		defer release()
		s.start()
		time.Sleep(2 * startDelay) // the error must have been logged
		s.signalAtIntervals(20*time.Millisecond, syscall.SIGHUP)
		_, err := net.Dial("tcp", s.callers)
		So(err, ShouldNotBeNil)
		s.signalAtIntervals(0, syscall.SIGTERM)
		So(s.process.wait(t, 5*time.Second), ShouldBeNil)
		So(s.process.logs.String(), ShouldContainSubstring, s.ready)
	})
	Convey("The daemon with the product's own interface waits for an address too", t, func() {
		f := newFleet(t)
		name := f.upstream("catalogue", 0)
		vm := f.vms[name]
		vm.daemon.signal(t, syscall.SIGKILL)
		So(vm.daemon.wait(t, 10*time.Second), ShouldNotBeNil)
		release := listener(vm.daemonSettings.Listeners.Callers)
		f.startDaemon(name)
		time.Sleep(startDelay)
		release()
		f.awaitServing(name)
	})
}

// Guards against a daemon that does not serve because the port of its metrics page is in use.
func TestMetricsPortInUse(t *testing.T) {
	Convey("A daemon whose metrics port is in use serves, and opens the port once it is free", t, func() {
		s := newSidecar(t)
		metrics := freeAddress(t)
		l, err := net.Listen("tcp", metrics)
		So(err, ShouldBeNil)
		_, port, err := net.SplitHostPort(metrics)
		So(err, ShouldBeNil)
		s.process = startProcess(t, "sidecar", "--settings", s.settingsFile, "--metrics-port", port)
		s.awaitReady()
		So(s.send("without-metrics"), ShouldEqual, http.StatusOK)
		So(l.Close(), ShouldBeNil)
		opened := false
		for end := time.Now().Add(10 * time.Second); !opened && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if resp, err := http.Get("http://" + metrics + "/metrics"); err == nil {
				_ = resp.Body.Close()
				opened = resp.StatusCode == http.StatusOK
			}
		}
		So(opened, ShouldBeTrue)
	})
}

// relay passes connections to address on to target until the test ends.
func relay(t *testing.T, address, target string) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", target)
			if err != nil {
				_ = from.Close()
				continue
			}
			go func() { _, _ = io.Copy(to, from); _ = to.Close() }()
			go func() { _, _ = io.Copy(from, to); _ = from.Close() }()
		}
	}()
}

// Guards against a process that ends, or never serves, because what it depends on is away at its
// start.
func TestDependenciesAwayAtStart(t *testing.T) {
	withFault := func(fault platformtest.Fault) *sidecar {
		s := newSidecar(t)
		s.store.SetFault("", fault)
		return s
	}
	Convey("Daemons stay, are not ready, and serve or stop, with a seed that is down", t, func() {
		stopped, absent, address := withFault(platformtest.NoAnswer), newSidecar(t), freeAddress(t)
		absent.upstream.Close()
		absent.settings = bytes.Replace(absent.settings, []byte(absent.store.Address()), []byte(address), 1)
		serving := map[string]*sidecar{"store busy": withFault(platformtest.Unavailable), "store resets": withFault(platformtest.Reset),
			"store silent": withFault(platformtest.NoAnswer), "store and backend server absent": absent}
		all := append(slices.Collect(maps.Values(serving)), stopped)
		seeds := fmt.Appendf(nil, `"seeds":[%q]`, freeAddress(t))
		for _, s := range all {
			s.settings = bytes.Replace(s.settings, []byte(`"seeds":[]`), seeds, 1)
			So(string(s.settings), ShouldContainSubstring, string(seeds))
			So(os.WriteFile(s.settingsFile, s.settings, 0o600), ShouldBeNil)
			s.start()
		}
		for _, s := range all {
			s.awaitStatus(http.StatusServiceUnavailable)
			s.signalAtIntervals(20*time.Millisecond, syscall.SIGHUP, syscall.SIGHUP)
		}
		time.Sleep(startDelay)
		for _, s := range all {
			s.awaitStatus(http.StatusServiceUnavailable)
			So(s.send("early"), ShouldEqual, http.StatusServiceUnavailable)
		}
		stopped.signalAtIntervals(20*time.Millisecond, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
		upstream, err := platformtest.NewUpstream(absent.upstream.ID, absent.upstream.Address())
		So(err, ShouldBeNil)
		defer upstream.Close()
		relay(t, address, absent.store.Address())
		for _, s := range serving {
			s.store.SetFault("", platformtest.NoFault)
		}
		for name, s := range serving {
			s.awaitReady()
			Printf("%s: ", name)
			So(s.send("late"), ShouldEqual, http.StatusOK)
		}
		So(stopped.process.wait(t, 10*time.Second), ShouldBeNil)
	})
}
