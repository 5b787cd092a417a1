package mesh

import (
	"context"
	"encoding/binary"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/core/quarantine"
	"github.com/hawthornpoint/hawthornpoint/core/slots"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// crashRecheckDelay is how long after the end of a connection a backend server that has not refused a
// new one is checked again. A process that ends may close its connections before its listener.
const crashRecheckDelay = 50 * time.Millisecond

// crashProbeTimeout bounds the time for which the reply to a failed exchange waits for one check. A
// connection on the same VM opens or is refused within milliseconds.
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

// recordCrash records a crash of the backend server. The requests that run there become suspects,
// unless the backend server was leaving. d.mu is held.
func (d *Daemon) recordCrash() {
	local, listed := d.dir.At(d.settings.BackendAddress)
	leaving := !listed || local.Draining
	var reports []quarantine.Report
	if !leaving {
		reports = d.crashes.BackendCrashed(d.timeOfDay(), uuid.New())
		d.spreadReports("made", reports)
		d.isolateWaiting()
	}
	d.metrics.Count(metricCrashes)
	d.log.Warn(eventBackendCrashed, zap.String("upstream", local.ID), zap.Int64("incarnation", local.Incarnation),
		zap.Bool("leaving", leaving), zap.Int("running", d.limiter.Load().Running), zap.Int("reports", len(reports)))
}

// checkCrash checks, after the backend server has ended a connection, whether it has crashed, and
// calls done when that is known. An idle connection that stays open shows that it lives; otherwise
// a new one is opened, which calls backendConnected. Unless the connection is refused, a second check
// follows: a process that ends may accept or reset a last connection. checkCrash returns after the
// first check unless wait is set.
func (d *Daemon) checkCrash(wait bool, done func()) {
	conn, err := d.probeBackend()
	if err != nil && !d.backendAccepts() {
		done()
		return
	}
	recheck := func() {
		defer done()
		d.pause(crashRecheckDelay)
		if err == nil {
			if openAndEmpty(conn.Conn) {
				d.backend.putIdle(conn)
				return
			}
			_ = conn.Close()
		}
		if conn, err := d.probeBackend(); err == nil {
			d.backend.putIdle(conn)
		}
	}
	if wait {
		recheck()
		return
	}
	d.workers.Go(recheck)
}

// probeBackend returns an open connection to the backend server, an idle one if there is any.
func (d *Daemon) probeBackend() (*backendConn, error) {
	ctx, cancel := context.WithTimeout(d.ctx, crashProbeTimeout)
	defer cancel()
	return d.backend.openConnection(ctx)
}

// backendAccepts reports whether the backend server has not refused a connection since it accepted one.
func (d *Daemon) backendAccepts() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.liveness.Accepting()
}

// callID returns the ID of an attempt in the crash tracker.
func (a *localAttempt) callID() (id uuid.UUID) {
	binary.BigEndian.PutUint64(id[8:], a.id)
	return id
}

// recordRunStart records that the request is about to be sent to the backend server.
func (d *Daemon) recordRunStart(a *localAttempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashes.CallStarted(a.fingerprint, a.callID())
}

// recordRunEnd records that the run of a request has ended, if it had started. An answered run
// clears the suspicion of equal requests.
func (d *Daemon) recordRunEnd(a *localAttempt, answered bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cleared := d.crashes.CallEnded(a.callID(), answered); len(cleared) > 0 {
		d.log.Info(eventCleared, zap.String("id", a.requestID), fingerprintField(a.fingerprint))
		d.spreadReports("made", cleared)
		d.isolateWaiting()
	}
}

// recordLostRun records that the exchange of a run has ended without an answer. If the daemon has closed
// the connection, the backend server may go on with the run until its deadline. Otherwise a check for
// a crash comes first. It waits for the whole check of a suspect, which keeps its slot meanwhile, so
// that its copies don't run.
func (d *Daemon) recordLostRun(a *localAttempt, err error) {
	if errors.Is(err, net.ErrClosed) {
		d.mu.Lock()
		defer d.mu.Unlock()
		now := d.timeOfDay()
		d.crashes.CallAbandoned(now, a.callID(), now.Add(time.Until(a.deadline)))
		d.watchAbandoned()
		return
	}
	d.checkCrash(d.isSuspect(a.fingerprint), func() { d.recordRunEnd(a, false) })
}

// quarantinedFor returns how long equal requests are refused, 0 if they are not.
func (d *Daemon) quarantinedFor(fp uint64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashes.RefusedFor(d.timeOfDay(), fp)
}

// isSuspect reports whether equal requests ran at a crash and are not quarantined.
func (d *Daemon) isSuspect(fp uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashes.Check(d.timeOfDay(), fp) == quarantine.Isolate
}

// suspectKey returns OutgoingRequest.Suspect of requests with the fingerprint. d.mu is held.
func (d *Daemon) suspectKey(fp uint64) string {
	if d.crashes.Check(d.timeOfDay(), fp) != quarantine.Isolate {
		return ""
	}
	return strconv.FormatUint(fp, 16)
}

// refuseQuarantined releases the slot of a request that has been quarantined since it asked for
// the slot, and reports whether it has been.
func (d *Daemon) refuseQuarantined(a *localAttempt) (slots.Decision, bool) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashes.Check(d.timeOfDay(), a.fingerprint) != quarantine.Refuse {
		return slots.Decision{}, false
	}
	d.deliverDecisions(d.limiter.Release(now, a.id))
	return d.quarantined(a), true
}

// quarantined returns the decision to refuse a request that is quarantined. d.mu is held.
func (d *Daemon) quarantined(a *localAttempt) slots.Decision {
	left := d.crashes.RefusedFor(d.timeOfDay(), a.fingerprint)
	d.log.Info(eventSlotRefused, zap.String("id", a.requestID), zap.String("kind", a.kind), zap.String("origin", a.origin),
		fingerprintField(a.fingerprint), zap.Duration("wait", left), zap.String("reason", resultcode.Quarantined.String()))
	return slots.Decision{Verdict: slots.Refuse, Reason: slots.Reason(resultcode.Quarantined.String()), Wait: left}
}

// reportsOf returns the reports about requests with the fingerprint.
func (d *Daemon) reportsOf(fp uint64) []quarantine.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashes.ReportsOf(fp)
}

// isolateWaiting isolates the waiting requests that are suspects, and no others. d.mu is held.
func (d *Daemon) isolateWaiting() {
	now := d.timeOfDay()
	d.limiter.IsolateWaiting(func(fp uint64) bool { return d.crashes.Check(now, fp) == quarantine.Isolate })
}
