package cli

import (
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/internal/earlysignals"
)

// eventSignal is the log event of a received signal.
const eventSignal = "signal received"

// processSignals receives the signals of a daemon's process until the process ends. It is never
// stopped: a signal that is not received has its default action, which ends the process at
// once, with all requests in flight.
type processSignals struct {
	// stop receives SIGTERM and SIGINT, reload SIGHUP. Signals that arrive before the previous
	// one has been handled may be merged with it.
	stop, reload chan os.Signal
}

// receiveSignals must be called before anything else that a daemon's command does. Package
// earlysignals handles those that arrive before. SIGPIPE is ignored: otherwise the first line of
// the log after its reader has ended would end the process.
func receiveSignals() processSignals {
	stop, reload := earlysignals.Receive()
	signal.Ignore(syscall.SIGPIPE)
	return processSignals{stop: stop, reload: reload}
}

// awaitStop returns when a stop is requested. SIGHUP has no effect before that.
func (s processSignals) awaitStop(log *zap.Logger) {
	for {
		select {
		case received := <-s.stop:
			logSignal(log, received, "stop")
			return
		case received := <-s.reload:
			logSignal(log, received, "none")
		}
	}
}

// duringStop returns the result of shutdown. Until it returns, onStop is called for each further
// request to stop, unless it is nil, and SIGHUP has no effect.
func (s processSignals) duringStop(log *zap.Logger, onStop func(), shutdown func() error) error {
	done := make(chan error, 1)
	go func() { done <- shutdown() }()
	for {
		select {
		case err := <-done:
			return err
		case received := <-s.stop:
			if onStop == nil {
				logSignal(log, received, "none")
				continue
			}
			logSignal(log, received, "stop at once")
			onStop()
		case received := <-s.reload:
			logSignal(log, received, "none")
		}
	}
}

// logSignal logs a received signal and what the process does because of it.
func logSignal(log *zap.Logger, received os.Signal, action string) {
	log.Info(eventSignal, zap.Stringer("signal", received), zap.String("action", action))
}
