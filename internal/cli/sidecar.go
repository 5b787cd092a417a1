package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/mesh"
	"github.com/hawthornpoint/hawthornpoint/platform"
)

type sidecarCommand struct {
	Settings    string `env:"HAWTHORNPOINT_SETTINGS" default:"/etc/hawthornpoint/local.json" type:"path" help:"Settings file, as the platform writes it."`
	MetricsPort int    `default:"0" help:"Port for metrics; 0 opens none."`
	LogLevel    string `default:"info" enum:"debug,info,warn,error" help:"Least important level that is logged."`
}

// Run serves until SIGTERM or SIGINT, then stops gracefully.
func (c sidecarCommand) Run(o *output) error {
	log, err := newLogger(o.out, c.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	set, err := platform.LoadSettings(c.Settings, c.MetricsPort)
	if err != nil {
		return err
	}
	d := mesh.New(mesh.Options{
		Settings: set.Mesh, Dialect: platform.Dialect{}, Decoder: platform.Decoder{},
		Store: platform.NewStore(set.StoreAddress, mesh.Dial), Logger: log,
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
