package e2e

import (
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// startDelay is how long a condition that delays a start lasts in these tests.
const startDelay = 500 * time.Millisecond

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
		time.Sleep(startDelay)
		s.signalAtIntervals(20*time.Millisecond, syscall.SIGHUP, syscall.SIGHUP)
		So(s.process.cmd.Process.Signal(syscall.SIGTERM), ShouldBeNil)
		_ = s.process.cmd.Process.Signal(syscall.SIGTERM) // the process may have ended
		So(s.process.wait(t, 5*time.Second), ShouldBeNil)
		So(s.process.logs.String(), ShouldContainSubstring, s.settingsFile)
	})
}
