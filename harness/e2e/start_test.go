//go:build cgo

package e2e

import (
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var signalSets = regexp.MustCompile(`SigIgn:\s(\w+)\nSigCgt:\s(\w+)`)

// awaitHandlers returns when the process no longer has the default action for SIGTERM and SIGHUP,
// which is before its command begins. It reports whether SIGHUP is ignored.
func (p *process) awaitHandlers(t *testing.T) (ignoresSIGHUP bool) {
	t.Helper()
	has := func(set string, signal syscall.Signal) bool {
		bits, err := strconv.ParseUint(set, 16, 64)
		return err == nil && bits&(1<<(signal-1)) != 0
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		sets := signalSets.FindSubmatch(status)
		if sets == nil {
			continue
		}
		ignored, caught := string(sets[1]), string(sets[2])
		if has(caught, syscall.SIGTERM) && has(caught, syscall.SIGINT) && (has(ignored, syscall.SIGHUP) || has(caught, syscall.SIGHUP)) {
			return has(ignored, syscall.SIGHUP)
		}
	}
	t.Fatal("the process has the default action for signals")
	return false
}

// Guards against a process that a signal ends before its command begins.
func TestSignalsWhileProgramIsLoaded(t *testing.T) {
	moments := []time.Duration{0, time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond}
	Convey("A daemon that gets SIGHUP while it is loaded serves", t, func() {
		for _, moment := range moments {
			s := newSidecar(t)
			s.start()
			s.process.awaitHandlers(t)
			time.Sleep(moment)
			s.signalAtIntervals(0, syscall.SIGHUP)
			s.awaitReady()
			So(s.send(fmt.Sprint("after-", moment)), ShouldEqual, http.StatusOK)
		}
	})
	Convey("A daemon that gets SIGTERM or SIGINT while it is loaded ends with exit code 0", t, func() {
		var started []*sidecar
		for _, moment := range moments {
			for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
				s := newSidecar(t)
				s.start()
				s.process.awaitHandlers(t)
				time.Sleep(moment)
				s.signalAtIntervals(0, signal)
				started = append(started, s)
			}
		}
		for _, s := range started {
			So(s.process.wait(t, 10*time.Second), ShouldBeNil)
		}
	})
	Convey("The daemon with the product's own interface handles signals as early, other commands do not", t, func() {
		So(startProcess(t, "daemon", "--settings", "missing").awaitHandlers(t), ShouldBeTrue)
		So(startProcess(t, "try", "--duration", "2s").awaitHandlers(t), ShouldBeFalse)
	})
}
