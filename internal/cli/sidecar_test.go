package cli

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/hawthornpoint/hawthornpoint/mesh"
	"github.com/hawthornpoint/hawthornpoint/platform"
)

const sidecarSettings = `{"self": {"node": "vm", "ip": "127.0.0.1", "zone": "z", "service": "s", "appAddress": "127.0.0.1:1"},
 "network": {"listen": {"inbound": "127.0.0.1:2", "outbound": "127.0.0.1:3", "ready": "127.0.0.1:4"}, "seeds": []},
 "platform": {"platform": {"address": "127.0.0.1:5"}},
 "terms": {"bounds": {"graceS": 6, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 47}}}`

// Guards against a changed settings file that is not detected without a signal, and against an
// invalid one that replaces the settings in force or fills the log.
func TestSettingsFileChanges(t *testing.T) {
	Convey("Given a running daemon's settings file", t, func() {
		file := filepath.Join(t.TempDir(), "local.json")
		write := func(text string) { So(os.WriteFile(file, []byte(text), 0o600), ShouldBeNil) }
		write(sidecarSettings)
		loaded, err := platform.LoadSettings(file, 0)
		So(err, ShouldBeNil)
		core, logs := observer.New(zap.InfoLevel)
		log := zap.New(core)
		d := mesh.New(mesh.Options{Settings: loaded.Mesh, HeaderConvention: platform.HeaderConvention{}, Decoder: platform.Decoder{}, Logger: log})
		signals := processSignals{stop: make(chan os.Signal), reload: make(chan os.Signal)}
		done := make(chan struct{})
		go func() {
			defer close(done)
			sidecarCommand{Settings: file}.reload(signals, log, d, loaded.Mesh)
		}()
		defer func() { signals.stop <- syscall.SIGTERM; <-done }()
		await := func(event string, n int) {
			for end := time.Now().Add(5 * time.Second); logs.FilterMessage(event).Len() < n && time.Now().Before(end); {
				time.Sleep(10 * time.Millisecond)
			}
			So(logs.FilterMessage(event).Len(), ShouldEqual, n)
		}
		write(strings.Replace(sidecarSettings, `"graceS": 6`, `"graceS": 4`, 1))
		await("settings changed", 1)
		write("{")
		await("settings refused", 1)
		time.Sleep(2 * settingsInterval)
		So(logs.FilterMessage("settings refused").Len(), ShouldEqual, 1)
		So(logs.FilterMessage("settings refused").All()[0].ContextMap()["error"], ShouldContainSubstring, file)
		write(sidecarSettings)
		await("settings changed", 2)
	})
}
