package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/harness/soak"
)

type soakCommand struct {
	Binary       string        `type:"path" help:"Binary whose daemons are played; this one if empty."`
	Seed         uint64        `default:"1" help:"Seed of the faults."`
	Duration     time.Duration `default:"60s" help:"How long faults are injected."`
	VMs          int           `name:"vms" default:"12" help:"Number of VMs, a multiple of 4."`
	Callers      int           `default:"480" help:"Number of connections that callers keep open."`
	Rate         float64       `default:"414" help:"Requests of callers per second."`
	Slots        int           `default:"16" help:"Slots of a backend server."`
	Planned      bool          `help:"Leave out unplanned ends and pauses of processes and faults of the store."`
	Only         []string      `sep:"," help:"Names of the faults that are played, as the lines of faults show them; all if empty."`
	EarlySignals bool          `default:"true" negatable:"" help:"Also signal processes that have just been started."`
	DaemonProcs  int           `default:"0" help:"Threads of a daemon that run at once; 0 does not limit them."`
	Busy         int           `default:"0" help:"Goroutines that only use processor time."`
	AnyMemory    bool          `help:"Do not compare the memory of daemons with their limit, as for a build with the race detector."`
	Dir          string        `type:"path" help:"Existing folder for settings files and logs; a temporary one, kept after a finding, if empty."`
	Report       string        `type:"path" help:"File for the report in JSON."`
	History      string        `type:"path" help:"File for the recorded history in JSON."`
	Quiet        bool          `help:"Print no line for each fault."`
}

// Validate checks the ranges of the flags. kong calls it after parsing.
func (c soakCommand) Validate() error {
	if c.VMs < 4 || c.VMs > 100 || c.VMs%4 != 0 {
		return errors.New("--vms must be a multiple of 4 of at most 100")
	}
	if c.Duration < time.Second || c.Duration > time.Hour {
		return errors.New("--duration must be between 1s and 1h")
	}
	if c.Callers < 1 || c.Callers > 5000 || c.Rate <= 0 || c.Rate > 10000 || c.Slots < 1 {
		return errors.New("--callers must be between 1 and 5000, --rate above 0 and at most 10000, --slots positive")
	}
	return nil
}

// Run plays one run. It fails if a promise was broken.
func (c soakCommand) Run(o *output) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	options := soak.Options{
		Binary: c.Binary, Seed: c.Seed, Duration: c.Duration, VMs: c.VMs, Callers: c.Callers, Rate: c.Rate, Slots: c.Slots, Planned: c.Planned, Only: c.Only,
		EarlySignals: c.EarlySignals, DaemonProcs: c.DaemonProcs, Busy: c.Busy, AnyMemory: c.AnyMemory, Dir: c.Dir, Progress: o.err,
	}
	if c.Quiet {
		options.Progress = nil
	}
	var err error
	if options.Binary == "" {
		if options.Binary, err = os.Executable(); err != nil {
			return err
		}
	}
	temporary := options.Dir == ""
	if temporary {
		if options.Dir, err = os.MkdirTemp("", "hawthornpoint-soak"); err != nil {
			return err
		}
	}
	report, err := soak.Play(ctx, options)
	if err != nil {
		return err
	}
	if c.Report != "" {
		if err := writeFile(c.Report, report.WriteJSON); err != nil {
			return err
		}
	}
	if c.History != "" {
		if err := writeFile(c.History, report.History.WriteJSON); err != nil {
			return err
		}
	}
	if err := report.WriteText(o.out); err != nil {
		return err
	}
	if !report.OK() {
		fmt.Fprintln(o.err, "hawthornpoint: a promise was broken; logs are kept in", options.Dir)
		return errReported
	}
	if temporary {
		return os.RemoveAll(options.Dir)
	}
	return nil
}

func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
