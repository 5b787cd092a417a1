package cli

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/harness/standin"
)

// drainGrace is how long a stand-in backend server drains before it stops.
const drainGrace = 10 * time.Second

type standInCommand struct {
	Backend  standInBackend  `cmd:"" help:"Run a stand-in backend server."`
	Platform standInPlatform `cmd:"" help:"Run a stand-in configuration service and VM list."`
}

type standInBackend struct {
	Options string `arg:"" type:"existingfile" help:"JSON file with the options."`
}

// Run serves until a signal.
func (c standInBackend) Run() error {
	var o standin.BackendOptions
	if err := readJSON(c.Options, &o); err != nil {
		return err
	}
	return untilSignal(func(ctx context.Context) error { return standin.RunBackend(ctx, o, drainGrace) })
}

type standInPlatform struct {
	Options string `arg:"" type:"existingfile" help:"JSON file with the options."`
}

// Run serves until a signal.
func (c standInPlatform) Run() error {
	var o standin.PlatformOptions
	if err := readJSON(c.Options, &o); err != nil {
		return err
	}
	return untilSignal(func(ctx context.Context) error { return standin.RunPlatform(ctx, o) })
}

func readJSON(file string, into any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return errors.Wrap(err, file)
	}
	return nil
}

func untilSignal(run func(context.Context) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return run(ctx)
}
