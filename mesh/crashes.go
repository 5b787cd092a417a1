package mesh

import (
	"context"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// crashRecheckDelay is how long after the end of a connection a backend server that accepted a new
// one is checked again. A process that ends may close its connections before its listener.
const crashRecheckDelay = 50 * time.Millisecond

// crashProbeTimeout bounds the time for which the reply to a failed exchange waits for the first
// check. A connection on the same VM opens or is refused within milliseconds.
const crashProbeTimeout = 50 * time.Millisecond

// backendConnected records the result of opening a connection to the backend server. Refused
// connections are the only sign of a crash: an overloaded server accepts them late, and a faulty
// one ends them.
func (d *Daemon) backendConnected(err error) {
	if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.liveness.ConnectionAccepted()
		return
	}
	if d.liveness.ConnectionRefused() {
		d.recordCrash()
	}
}

// recordCrash records a crash of the backend server. d.mu is held.
func (d *Daemon) recordCrash() {
	local, listed := d.dir.At(d.settings.BackendAddress)
	d.metrics.Count(metricCrashes)
	d.log.Warn(eventBackendCrashed, zap.String("upstream", local.ID), zap.Int64("incarnation", local.Incarnation),
		zap.Bool("listed", listed), zap.Bool("draining", local.Draining), zap.Int("running", d.limiter.Load().Running))
}

// checkCrash opens a connection to the backend server after it ended one, and calls done when it
// is known whether it has crashed. The first refused connection calls recordCrash.
func (d *Daemon) checkCrash(done func()) {
	ctx, cancel := context.WithTimeout(d.ctx, crashProbeTimeout)
	defer cancel()
	conn, err := d.backend.connect(ctx)
	if err != nil {
		done()
		return
	}
	d.workers.Go(func() {
		defer done()
		d.pause(crashRecheckDelay)
		if openAndEmpty(conn.Conn) {
			conn.expires = time.Now().Add(defaultIdleTimeout)
			d.backend.putIdle(conn)
			return
		}
		_ = conn.Close()
		if conn, err = d.backend.connect(d.ctx); err == nil {
			conn.expires = time.Now().Add(defaultIdleTimeout)
			d.backend.putIdle(conn)
		}
	})
}
