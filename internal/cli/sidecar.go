package cli

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/hawthornpoint/hawthornpoint/internal/logqueue"
	"github.com/hawthornpoint/hawthornpoint/internal/telemetry"
	"github.com/hawthornpoint/hawthornpoint/mesh"
	"github.com/hawthornpoint/hawthornpoint/platform"
)

const (
	// logQueueLines bounds the log lines that wait for standard output: about 2 MB.
	logQueueLines = 4096
	// linesPerSecond bounds the log lines in a second: some hundred decisions against
	// requests besides the ordinary lines.
	linesPerSecond = 1000
	// settingsInterval is how often the settings file is read for changes that no signal tells
	// of. The bounds of a configuration's taking effect are about twice as long.
	settingsInterval = time.Second
	// memoryShare is the share of the process's memory limit that the Go runtime aims at. The
	// rest is for the kernel's buffers, which count as well.
	memoryShare = 0.7
)

type sidecarCommand struct {
	Settings    string `env:"HAWTHORNPOINT_SETTINGS" default:"/etc/hawthornpoint/local.json" type:"path" help:"Settings file, as the platform writes it."`
	MetricsPort int    `default:"0" help:"Port for metrics; 0 opens none."`
	LogLevel    string `default:"info" enum:"debug,info,warn,error" help:"Least important level that is logged."`
}

// Run serves until SIGTERM or SIGINT, then stops gracefully.
func (c sidecarCommand) Run(o *output) error {
	level, err := zapcore.ParseLevel(c.LogLevel)
	if err != nil {
		return err
	}
	registry := telemetry.New()
	queue := logqueue.New(o.out, logqueue.Options{
		Lines: logQueueLines, PerSecond: linesPerSecond, HighPriority: mesh.HighPriority, Dropped: mesh.DroppedLine(registry),
	})
	defer queue.Close()
	log := zap.New(queue.Core(logqueue.NewEncoder(), level))
	set, err := platform.LoadSettings(c.Settings, c.MetricsPort)
	if err != nil {
		return err
	}
	if set.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(set.MemoryBytes)))
	}
	d := mesh.New(mesh.Options{
		Settings: set.Mesh, HeaderConvention: platform.HeaderConvention{}, Decoder: platform.Decoder{},
		Store: platform.NewStore(set.StoreAddress, mesh.Dial), Logger: log, Metrics: registry,
	})
	if err := d.Start(); err != nil {
		return err
	}
	stop, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer release()
	c.reload(stop, log, d, set.Mesh)
	d.Shutdown()
	return nil
}

// reload puts changes of the settings file in force until stop ends. The file may change with
// SIGHUP or without a signal. A file that is wrong leaves the settings in force.
func (c sidecarCommand) reload(stop context.Context, log *zap.Logger, d *mesh.Daemon, inForce mesh.Settings) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	look := time.NewTicker(settingsInterval)
	defer look.Stop()
	refused := ""
	for {
		signaled := false
		select {
		case <-stop.Done():
			return
		case <-hup:
			signaled = true
		case <-look.C:
		}
		set, err := platform.LoadSettings(c.Settings, c.MetricsPort)
		switch {
		case err != nil && (signaled || err.Error() != refused):
			refused = err.Error()
			log.Error("settings refused", zap.String("error", refused), zap.Bool("signaled", signaled))
		case err == nil && (signaled || !reflect.DeepEqual(set.Mesh, inForce)):
			refused = ""
			inForce = set.Mesh
			d.Reconfigure(inForce)
		}
	}
}
