package cli

import (
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/core/startup"
)

// eventStartDelayed is the log event of a step of the start that failed and is repeated.
const eventStartDelayed = "start delayed"

// errStopRequested is returned by a start that ends because a stop was requested.
var errStopRequested = errors.New("stop requested during the start")

// repeat calls step until it succeeds, a stop is requested, or the step is given up. SIGHUP calls it
// at once. Each error that differs from the one before is logged.
func (s processSignals) repeat(log *zap.Logger, name string, step func() error) error {
	ticker := time.NewTicker(startup.Interval)
	defer ticker.Stop()
	var failures startup.Step
	for {
		err := step()
		if err == nil {
			return nil
		}
		changed, over := failures.Failed(time.Now(), err)
		if over {
			return errors.Wrapf(err, "%s failed for %v", name, startup.Limit)
		}
		if changed {
			log.Error(eventStartDelayed, zap.String("step", name), zap.String("error", err.Error()), zap.Duration("limit", startup.Limit))
		}
		select {
		case received := <-s.stop:
			logSignal(log, received, "stop")
			return errStopRequested
		case received := <-s.reload:
			logSignal(log, received, "try again")
		case <-ticker.C:
		}
	}
}

// startError returns the error with which a command ends whose start failed: none if a stop was
// requested.
func startError(err error) error {
	if errors.Is(err, errStopRequested) {
		return nil
	}
	return err
}
