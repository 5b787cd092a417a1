package mesh

import (
	"time"

	"go.uber.org/zap"
)

const (
	// drainShare is the share of the grace time after which a stopping daemon accepts no more
	// connections of callers, closes the open ones as they become idle, and starts no attempts.
	drainShare = 5.0 / 6
	// shutdownShare is the share of the grace time after which a stopping daemon aborts the
	// requests in flight; the rest is left for the process to exit.
	shutdownShare = 0.9
	// closeShare is the share of the grace time by which a stopping daemon has closed its links, whose
	// peers may still read replies until then.
	closeShare = 0.92
	// exitShare is the share of the grace time after which the process ends although something in it has
	// not. The rest is left for writing the log.
	exitShare = 0.93
	// answerShare is the share of the grace time by which requests that a stopping daemon accepts
	// must have ended, so that their last answers are written before shutdownShare.
	answerShare = 0.88
	// acceptShare is the share of the grace time for which a stopping daemon still accepts
	// requests of callers other than calls of the local backend server. Callers use another daemon
	// after two failed health checks, and requests accepted later might not end in time.
	acceptShare = 0.4
)

// Shutdown stops the daemon gracefully. It refuses new requests of other daemons, accepts those
// of callers for acceptShare of the grace time and calls of the local backend server until it is idle or
// drainShare of the grace time is over, and closes each caller's connection after its
// next answer. When the daemon is idle, or after drainShare of the grace time, it closes the
// connections of callers as they become idle, and after shutdownShare of the grace time the
// others. Requests that wait for a slot or a retry after drainShare are refused.
func (d *Daemon) Shutdown() {
	started := time.Now()
	d.mu.Lock()
	grace := d.grace
	d.stopping = true
	acceptUntil := started.Add(time.Duration(acceptShare * float64(grace)))
	d.acceptUntil = acceptUntil
	d.closeBy = started.Add(time.Duration(closeShare * float64(grace)))
	d.dispatcher.StopBy(started.Add(time.Duration(answerShare * float64(grace))))
	d.limiter.Close()
	d.mu.Unlock()
	d.callers.Stop()
	d.log.Info(eventStopping, zap.Duration("grace", grace))
	drainAt := started.Add(time.Duration(drainShare * float64(grace)))
	cutoff := started.Add(time.Duration(shutdownShare * float64(grace)))
	for now := started; now.Before(drainAt); now = time.Now() {
		if !now.Before(acceptUntil) && d.idle(acceptUntil) {
			break
		}
		time.Sleep(tickInterval)
	}
	d.callerLoop.Close(cutoff)
	d.endAttempts()
	d.callers.Drain(cutoff)
	for time.Now().Before(cutoff) && !d.idle(time.Now()) {
		time.Sleep(tickInterval)
	}
	d.log.Info(eventStopped, zap.Bool("idle", d.idle(time.Now())), zap.Duration("after", time.Since(started)))
	d.closeBefore(started.Add(time.Duration(exitShare * float64(grace))))
}

// closeBefore closes the daemon. It returns at the deadline although something does not end: SIGKILL would
// end the process, also in the middle of what it still writes. What has not ended is logged.
func (d *Daemon) closeBefore(deadline time.Time) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		d.Close()
	}()
	select {
	case <-closed:
	case <-time.After(time.Until(deadline)):
		d.log.Error(eventCloseIncomplete, zap.ByteString("stacks", commonStacks()))
	}
}

// endAttempts refuses the requests that wait for a slot or a retry, here or at another daemon.
func (d *Daemon) endAttempts() {
	d.mu.Lock()
	d.dispatcher.Close()
	d.deliverDecisions(d.limiter.Evict())
	d.mu.Unlock()
	d.stopStarting()
}

// idle reports whether all requests of callers that arrived before t have been answered, and all
// attempts of peers have ended and their replies have been written. Close waits until these have been
// acknowledged.
func (d *Daemon) idle(t time.Time) bool {
	return d.callers.Finished(t) && d.peerAttempts.Load() == 0 && d.peerCalls.Load() == 0
}

// linksCloseBy returns when a daemon that closes closes its links although replies are not delivered.
func (d *Daemon) linksCloseBy() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closeBy.IsZero() {
		d.closeBy = time.Now().Add(peerCloseTimeout)
	}
	return d.closeBy
}

// Close stops the daemon at once, aborts the requests in flight, and waits for its goroutines.
func (d *Daemon) Close() {
	// First, so that no request in flight is answered because its link to a peer has ended.
	d.callers.Close()
	d.workers.Cancel()
	for _, l := range d.listeners {
		_ = l.Close()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.backend.closeIdle(time.Now(), true)
	d.workers.Wait()
}
