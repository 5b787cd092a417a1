package mesh

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/core/directory"
	"github.com/hawthornpoint/hawthornpoint/core/replica"
)

// futureRetryInterval is the interval at which entries that start in the future are read again. Until then
// the clocks of other daemons may have become known, which the daemon asks for meanwhile.
const futureRetryInterval = time.Second

// clockPeers is how many peers are asked for their clocks at a time.
const clockPeers = 3

// latestTimeOfDay is later than the start of any upstream.
var latestTimeOfDay = time.Unix(1<<40, 0)

// timeOfDay returns the fleet's time of day. d.mu is held.
func (d *Daemon) timeOfDay() time.Time {
	return d.clock.Now(time.Now(), d.opts.TimeOfDay())
}

// statedTime returns the time of day of this VM for a message, in Unix milliseconds.
func (d *Daemon) statedTime() int64 { return d.opts.TimeOfDay().UnixMilli() }

// observeClock records the time of day that a daemon stated at a local time; 0 for none, as daemons of
// earlier releases state none. d.mu is held.
func (d *Daemon) observeClock(address string, at time.Time, stated int64) {
	if stated != 0 {
		d.clock.Observe(address, at, time.UnixMilli(stated))
	}
}

// decode decodes an item by the later of the fleet's time of day and this VM's: neither a wrong clock here
// nor one elsewhere makes an upstream seem to start in the future. Times in the change are local.
func (d *Daemon) decode(now time.Time, item replica.Item) (Change, error) {
	d.mu.Lock()
	timeOfDay := d.timeOfDay()
	d.mu.Unlock()
	if own := d.opts.TimeOfDay(); own.After(timeOfDay) {
		timeOfDay = own
	}
	change, err := d.decodeAt(timeOfDay, item)
	if u := change.Upstream; u != nil && !u.WarmAt.IsZero() {
		u.WarmAt = now.Add(u.WarmAt.Sub(timeOfDay))
	}
	return change, err
}

// noteFuture records whether the entry starts in the future, so that it is read again. d.applyMu is held.
func (d *Daemon) noteFuture(item StoredItem, err error) {
	if !errors.Is(err, directory.ErrFutureStart) {
		delete(d.future, item.Item.Key)
		return
	}
	d.future[item.Item.Key] = item
}

// futureLoop reads entries that start in the future again.
func (d *Daemon) futureLoop() {
	for d.pause(futureRetryInterval); d.ctx.Err() == nil; d.pause(futureRetryInterval) {
		d.retryFuture(time.Now())
	}
}

// retryFuture puts the entries in force that do not start in the future any more, and asks peers for
// their clocks if there are others: known ones, seeds, and those beside the upstreams of these entries.
func (d *Daemon) retryFuture(now time.Time) {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	var unlisted []string // addresses
	for key, item := range d.future {
		change, err := d.decode(now, item.Item)
		if d.noteFuture(item, err); err != nil {
			if change, err = d.decodeAt(latestTimeOfDay, item.Item); err == nil && change.Upstream != nil {
				unlisted = append(unlisted, change.Upstream.Address)
			}
			continue
		}
		d.log.Info(eventFutureReached, zap.String("key", key), positionField(item.position()))
		d.change(now, change, item, "retry")
	}
	if len(d.future) > 0 {
		d.askClocks(unlisted)
	}
}

// askClocks asks some peers for their clocks, also of those beside upstreams that are not listed.
func (d *Daemon) askClocks(unlisted []string) {
	d.mu.Lock()
	addresses := d.randomPeers(clockPeers)
	for _, i := range d.opts.Rand.Perm(len(unlisted))[:min(clockPeers, len(unlisted))] {
		if unlisted[i] != d.settings.BackendAddress {
			addresses = append(addresses, d.peerAddress(unlisted[i]))
		}
	}
	for _, seed := range d.seeds {
		if seed != d.settings.ControlAddress {
			addresses = append(addresses, seed)
		}
	}
	args := d.pingArgs()
	d.mu.Unlock()
	for _, address := range addresses {
		d.workers.Go(func() {
			ctx, cancel := context.WithTimeout(d.ctx, peerSyncTimeout)
			defer cancel()
			if _, err := d.ping(ctx, address, args); err != nil {
				d.metrics.Count(metricFailedNotices)
			}
		})
	}
}

// pingArgs returns the content of a ping. d.mu is held.
func (d *Daemon) pingArgs() *PingArgs {
	return &PingArgs{State: d.state(), From: d.settings.BackendAddress, Clock: d.statedTime()}
}

// ping sends a ping and records the clock of the peer.
func (d *Daemon) ping(ctx context.Context, address string, args *PingArgs) (PingReply, error) {
	sent := time.Now()
	reply, err := callPeer[PingReply](ctx, d.peer(address), "Ping", args)
	if err == nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.observeClock(address, sent.Add(time.Since(sent)/2), reply.Clock)
	}
	return reply, err
}
