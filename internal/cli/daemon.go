package cli

import (
	"context"
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/hawthornpoint/hawthornpoint/daemon"
	"github.com/hawthornpoint/hawthornpoint/internal/logqueue"
	"github.com/hawthornpoint/hawthornpoint/operator"
	"github.com/hawthornpoint/hawthornpoint/settings"
)

type daemonCommand struct {
	Settings string `required:"" type:"path" help:"Settings file of this daemon (JSON with comments)."`
}

// Run serves until SIGTERM or SIGINT, then shuts down gracefully. A second one stops the daemon
// immediately. SIGHUP has no effect: the settings are read only at the start.
func (c daemonCommand) Run(o *output) error {
	signals := receiveSignals()
	daemonSettings, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	log, err := newLogger(o.err, daemonSettings.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	operator.LimitProcessors()
	var d *daemon.Daemon
	err = signals.repeat(log, "listen", func() error {
		d = daemon.New(daemon.Options{Settings: *daemonSettings, Logger: log})
		return d.Start()
	})
	if err != nil {
		return startError(err)
	}
	operator.LimitMemory()
	signals.awaitStop(log)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	return signals.duringStop(log, cancel, func() error { return d.Shutdown(ctx) })
}

// newLogger returns a logger that writes one key=value line per event.
func newLogger(w io.Writer, level string) (*zap.Logger, error) {
	parsedLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	return zap.New(zapcore.NewCore(logqueue.NewEncoder(), zapcore.Lock(zapcore.AddSync(w)), parsedLevel)), nil
}
