package cli

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

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
	// requests, which is more than anyone reads, for about a percent of a core.
	linesPerSecond = 1000
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
		Lines: logQueueLines, PerSecond: linesPerSecond, Telling: mesh.Telling, Dropped: mesh.DroppedLine(registry),
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
		Settings: set.Mesh, Dialect: platform.Dialect{}, Decoder: platform.Decoder{},
		Store: platform.NewStore(set.StoreAddress, mesh.Dial), Logger: log, Metrics: registry,
	})
	if err := d.Start(); err != nil {
		return err
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	stop, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer release()
	for {
		select {
		case <-reload:
			log.Info("reload", zap.String("settings", c.Settings))
			continue
		case <-stop.Done():
		}
		break
	}
	d.Shutdown()
	return nil
}
