package cli

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/harness/trial"
)

type tryCommand struct {
	Deployment string        `enum:"quito,alpenbrett" default:"quito" help:"Bundled deployment: ${enum}."`
	Duration   time.Duration `default:"6s" help:"How long requests are sent."`
	Rate       float64       `default:"120" help:"Requests per second."`
	Seed       uint64        `default:"1" help:"Seed of arrival times and request kinds."`
	JSON       bool          `name:"json" help:"Print one JSON object instead of a table."`
	Logs       bool          `help:"Print the daemons' logs."`
}

// Validate checks the ranges of the flags. kong calls it after parsing.
func (c tryCommand) Validate() error {
	if c.Duration < time.Second || c.Duration > 10*time.Minute {
		return errors.New("--duration must be between 1s and 10m")
	}
	if c.Rate <= 0 || c.Rate > 5000 {
		return errors.New("--rate must be above 0 and at most 5000")
	}
	return nil
}

// Run runs the trial and prints its report. It fails if an invariant was violated.
func (c tryCommand) Run(o *output) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	options := trial.Options{Deployment: c.Deployment, Duration: c.Duration, Rate: c.Rate, Seed: c.Seed, Progress: o.err}
	if c.Logs {
		log, err := newLogger(o.err, "info")
		if err != nil {
			return err
		}
		options.Logger = log
	}
	report, err := trial.Run(ctx, options)
	if err != nil {
		return err
	}
	write := report.WriteTable
	if c.JSON {
		write = report.WriteJSON
	}
	if err := write(o.out); err != nil {
		return err
	}
	if !report.OK() {
		fmt.Fprintln(o.err, "hawthornpoint: an invariant was violated")
		return errReported
	}
	return nil
}
