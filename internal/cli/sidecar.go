package cli

import (
	"reflect"
	"runtime/debug"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/hawthornpoint/hawthornpoint/internal/logqueue"
	"github.com/hawthornpoint/hawthornpoint/internal/telemetry"
	"github.com/hawthornpoint/hawthornpoint/mesh"
	"github.com/hawthornpoint/hawthornpoint/platform"
)

const (
	// logQueueLines bounds the log lines that are queued for standard output: about 2 MB.
	logQueueLines = 4096
	// linesPerSecond bounds the log lines in a second. It leaves room for several hundred
	// high-priority lines about refused or failed requests besides the low-priority lines.
	linesPerSecond = 1000
	// settingsInterval is the interval at which the settings file is read for changes that no
	// signal announces. The bounds on the time until a configuration takes effect are about
	// twice as long.
	settingsInterval = time.Second
	// memoryLimitRatio is the ratio of the Go runtime's soft memory limit to the process's
	// memory limit. The rest is for the kernel's buffers, which also count against the process's
	// limit.
	memoryLimitRatio = 0.7
)

type sidecarCommand struct {
	Settings    string `env:"HAWTHORNPOINT_SETTINGS" default:"/etc/hawthornpoint/local.json" type:"path" help:"Settings file, as the platform writes it."`
	MetricsPort int    `default:"0" help:"Port for metrics; 0 opens none."`
	LogLevel    string `default:"info" enum:"debug,info,warn,error" help:"Least important level that is logged."`
}

// Run serves until SIGTERM or SIGINT, then stops gracefully.
func (c sidecarCommand) Run(o *output) error {
	signals := receiveSignals()
	level, err := zapcore.ParseLevel(c.LogLevel)
	if err != nil {
		return err
	}
	registry := telemetry.New()
	queue := logqueue.New(o.out, logqueue.Options{
		QueueLines: logQueueLines, LinesPerSecond: linesPerSecond, HighPriority: mesh.HighPriority, OnDrop: mesh.DroppedLine(registry),
	})
	defer queue.Close()
	log := zap.New(queue.Core(logqueue.NewEncoder(), level))
	var loaded *platform.Settings
	err = signals.repeat(log, "read settings", func() (err error) {
		loaded, err = platform.LoadSettings(c.Settings, c.MetricsPort)
		return err
	})
	if err != nil {
		return startError(err)
	}
	if limit := loaded.Mesh.MemoryBytes; limit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(limit)))
	}
	d := mesh.New(mesh.Options{
		Settings: loaded.Mesh, HeaderConvention: platform.HeaderConvention{}, Decoder: platform.Decoder{},
		Store: platform.NewStore(loaded.StoreAddress, mesh.Dial, log), Logger: log, Metrics: registry,
	})
	if err := signals.repeat(log, "listen", d.Start); err != nil {
		d.Close()
		return startError(err)
	}
	c.reload(signals, log, d, loaded.Mesh)
	return signals.duringStop(log, nil, func() error {
		d.Shutdown()
		return nil
	})
}

// reload applies changes of the settings file until a stop is requested. The file is read on
// SIGHUP and once in each settingsInterval. If it is invalid, the settings in force stay. The
// error is logged after SIGHUP, and otherwise if it differs from the last one.
func (c sidecarCommand) reload(signals processSignals, log *zap.Logger, d *mesh.Daemon, inForce mesh.Settings) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	lastError := ""
	for {
		signaled := false
		select {
		case received := <-signals.stop:
			logSignal(log, received, "stop")
			return
		case received := <-signals.reload:
			logSignal(log, received, "reload")
			signaled = true
		case <-ticker.C:
		}
		loaded, err := platform.LoadSettings(c.Settings, c.MetricsPort)
		switch {
		case err != nil && (signaled || err.Error() != lastError):
			lastError = err.Error()
			log.Error("settings refused", zap.String("error", lastError), zap.Bool("signaled", signaled))
		case err == nil && (signaled || !reflect.DeepEqual(loaded.Mesh, inForce)):
			lastError = ""
			inForce = loaded.Mesh
			d.Reconfigure(inForce)
		}
	}
}
