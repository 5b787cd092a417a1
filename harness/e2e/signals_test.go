package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/platform/platformtest"
)

// sidecar is a `hawthornpoint sidecar` process with a store and the upstream beside it.
type sidecar struct {
	t                    *testing.T
	store                *platformtest.Store
	upstream             *platformtest.Upstream
	process              *process
	settings             []byte
	settingsFile         string
	callers, ready, peer string
}

// newSidecar starts the store and the upstream, but not the process.
func newSidecar(t *testing.T) *sidecar {
	t.Helper()
	upstream, err := platformtest.NewUpstream("i-0", freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	s := &sidecar{
		t: t, store: platformtest.NewStore(), upstream: upstream, settingsFile: filepath.Join(t.TempDir(), "local.json"),
		callers: freeAddress(t), ready: freeAddress(t), peer: freeAddress(t),
	}
	t.Cleanup(func() {
		s.store.Close()
		s.upstream.Close()
	})
	s.store.PutEntry(platformtest.Entry{ID: upstream.ID, Address: upstream.Address(), Service: "s", State: "ready", Incarnation: 1000, Sequence: 1})
	s.store.PutConfig(1, platformtest.Route{Prefix: "/once/", Kind: "unsafe", Service: "s", TimeoutS: 5})
	s.settings = platformtest.Process{Service: "s", BackendAddress: upstream.Address(), CallerAddress: s.callers, PeerAddress: s.peer,
		ReadyAddress: s.ready, StoreAddress: s.store.Address(), GraceS: 4}.SettingsFile()
	if err := os.WriteFile(s.settingsFile, s.settings, 0o600); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *sidecar) start() {
	s.t.Helper()
	s.process = startProcess(s.t, "sidecar", "--settings", s.settingsFile)
}

// startWithoutLogReader starts the process with an output that nobody reads.
func (s *sidecar) startWithoutLogReader() {
	s.t.Helper()
	read, write, err := os.Pipe()
	if err != nil {
		s.t.Fatal(err)
	}
	_ = read.Close()
	defer write.Close()
	s.process = startProcessWith(s.t, write, "sidecar", "--settings", s.settingsFile)
}

func (s *sidecar) awaitReady() {
	s.t.Helper()
	s.awaitStatus(http.StatusOK)
}

// awaitStatus returns when the health check has the given status.
func (s *sidecar) awaitStatus(status int) {
	s.t.Helper()
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if resp, err := http.Get("http://" + s.ready + "/api/ready"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == status {
				return
			}
		}
	}
	s.t.Fatalf("the health check does not answer %d", status)
}

// signalAtIntervals sends the signals one after the other.
func (s *sidecar) signalAtIntervals(interval time.Duration, signals ...syscall.Signal) {
	for _, signal := range signals {
		s.process.signal(s.t, signal)
		time.Sleep(interval)
	}
}

// send sends a request that may run once and returns the status of its answer, 0 for none.
func (s *sidecar) send(id string) int {
	c, err := net.Dial("tcp", s.callers)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(c, platformtest.RequestText("POST", "/once/x", id, "b"))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// Guards against requests that are lost because a signal ends the process in the middle of a
// graceful stop.
func TestSignalsDuringStop(t *testing.T) {
	Convey("Requests in flight are answered when SIGHUP and further SIGTERMs arrive during a stop", t, func() {
		s := newSidecar(t)
		s.start()
		s.awaitReady()
		s.upstream.SetAnswer(time.Second, nil)
		statuses := make(chan int, 4)
		for i := range cap(statuses) {
			go func() { statuses <- s.send(fmt.Sprint("r-", i)) }()
		}
		time.Sleep(300 * time.Millisecond)
		s.signalAtIntervals(50*time.Millisecond, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT, syscall.SIGHUP)
		for range cap(statuses) {
			So(<-statuses, ShouldEqual, http.StatusOK)
		}
		So(s.process.wait(t, 10*time.Second), ShouldBeNil)
		So(s.process.logs.String(), ShouldContainSubstring, "msg=stopped")
	})
}

// Guards against a process that a signal ends while it starts.
func TestSignalsDuringStart(t *testing.T) {
	// awaitStarting starts the process and returns when it waits for its settings, which are a
	// named pipe; release supplies them.
	awaitStarting := func(s *sidecar) (release func()) {
		So(os.Remove(s.settingsFile), ShouldBeNil)
		So(syscall.Mkfifo(s.settingsFile, 0o600), ShouldBeNil)
		s.start()
		pipe, err := os.OpenFile(s.settingsFile, os.O_WRONLY, 0)
		So(err, ShouldBeNil)
		return func() {
			So(os.WriteFile(s.settingsFile+".new", s.settings, 0o600), ShouldBeNil)
			So(os.Rename(s.settingsFile+".new", s.settingsFile), ShouldBeNil)
			_, err := pipe.Write(s.settings)
			So(err, ShouldBeNil)
			So(pipe.Close(), ShouldBeNil)
		}
	}
	Convey("A daemon that gets SIGHUP while it reads its settings starts and serves", t, func() {
		s := newSidecar(t)
		release := awaitStarting(s)
		s.signalAtIntervals(20*time.Millisecond, syscall.SIGHUP, syscall.SIGHUP)
		release()
		s.awaitReady()
		So(s.send("after-start"), ShouldEqual, http.StatusOK)
	})
	Convey("A daemon that gets SIGTERM while it reads its settings stops with exit code 0", t, func() {
		s := newSidecar(t)
		release := awaitStarting(s)
		s.signalAtIntervals(20*time.Millisecond, syscall.SIGTERM, syscall.SIGHUP)
		release()
		So(s.process.wait(t, 10*time.Second), ShouldBeNil)
	})
}

// Guards against a daemon that ends with all requests in flight because nothing reads its log
// any more.
func TestLogReaderEnds(t *testing.T) {
	Convey("A daemon whose standard output and error have no reader answers, reloads and stops", t, func() {
		s := newSidecar(t)
		s.startWithoutLogReader()
		s.awaitReady()
		s.signalAtIntervals(20*time.Millisecond, syscall.SIGHUP, syscall.SIGHUP)
		So(s.send("after-log-reader"), ShouldEqual, http.StatusOK)
		s.signalAtIntervals(0, syscall.SIGTERM)
		So(s.process.wait(t, 10*time.Second), ShouldBeNil)
	})
}

// Guards against calls that are lost because SIGHUP ends a daemon that does not reload its
// settings, or a second signal arrives before it is handled.
func TestSignalsAtDaemonWithoutReload(t *testing.T) {
	f := newFleet(t)
	Convey("The daemon with the product's own interface serves on after SIGHUP, also during a stop", t, func() {
		entry := f.upstream("catalogue", 0)
		daemon := f.vms[entry].daemon
		daemon.signal(t, syscall.SIGHUP)
		time.Sleep(100 * time.Millisecond)
		a, err := f.send(t.Context(), entry, "stock", "check", "", nil)
		So(err, ShouldBeNil)
		So(a.status, ShouldEqual, http.StatusOK)
		daemon.signal(t, syscall.SIGTERM)
		time.Sleep(50 * time.Millisecond)
		daemon.signal(t, syscall.SIGHUP)
		So(daemon.wait(t, 10*time.Second), ShouldBeNil)
	})
}
