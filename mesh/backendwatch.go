package mesh

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// watchAbandoned makes the daemon watch the backend server until the deadlines of the abandoned runs.
// Without it, a crash under such a run is noticed with the next request, which may come after the
// deadline. d.mu is held.
func (d *Daemon) watchAbandoned() {
	if d.watchingBackend {
		return
	}
	d.watchingBackend = true
	d.workers.Go(d.watchBackend)
}

// watchBackend holds one idle connection to the backend server, whose end shows a crash at once, until
// no abandoned run can go on there or the backend server refuses connections. A connection that ended
// is replaced after crashRecheckDelay: a process that ends may close its connections before its listener.
func (d *Daemon) watchBackend() {
	for {
		conn, err := d.probeBackend()
		until, watch := d.abandonedRunsUntil()
		if err != nil && watch {
			d.pause(crashRecheckDelay)
			continue
		}
		if err == nil && (!watch || !awaitReadable(d.ctx, conn.Conn, until)) {
			d.backend.putIdle(conn)
		} else if err == nil {
			_ = conn.Close()
			d.pause(crashRecheckDelay)
		}
		if !watch {
			return
		}
	}
}

// abandonedRunsUntil returns until when abandoned runs may go on at the backend server, and whether any
// may. If none may, it records that the watch ends.
func (d *Daemon) abandonedRunsUntil() (until time.Time, any bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	until = now.Add(d.crashes.AbandonedUntil().Sub(d.timeOfDay()))
	d.watchingBackend = d.ctx.Err() == nil && d.liveness.Accepting() && now.Before(until)
	return until, d.watchingBackend
}

// awaitReadable waits until an idle connection has ended or has bytes to read, or ctx has ended, and
// returns true. It returns false at the given time. Nothing is read.
func awaitReadable(ctx context.Context, c net.Conn, until time.Time) bool {
	syscallConn, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil || c.SetReadDeadline(until) != nil {
		return true
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetReadDeadline(time.Now()) })
	err = raw.Read(func(fd uintptr) bool { return !isIdle(fd) })
	return !stop() || err == nil || c.SetReadDeadline(time.Time{}) != nil
}

// isIdle reports whether the socket of a connection is open and has no bytes to read.
func isIdle(fd uintptr) bool {
	var buffer [1]byte
	_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return errors.Is(err, syscall.EAGAIN)
}
