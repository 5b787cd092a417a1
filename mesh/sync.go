package mesh

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/core/replica"
	"github.com/hawthornpoint/hawthornpoint/core/routing"
	"github.com/hawthornpoint/hawthornpoint/core/watchers"
)

const (
	// renewEvery is the time between two renewals of a watch anywhere in the fleet. A watch
	// can miss changes without an error; the daemon that renews its own first finds out and
	// tells others, so that the time to notice does not depend on the number of watches.
	renewEvery = 250 * time.Millisecond
	// leastWatch and maxWatch bound the time for which the store keeps a read waiting.
	leastWatch = time.Second
	maxWatch   = 20 * time.Second
	// notifiedPeers is how many peers each daemon tells that it has taken changes. One that
	// the store leaves out hears of them from some daemon with 95% probability.
	notifiedPeers = 3
	// groupTime is the pause after a read that brought changes, which often come in groups.
	groupTime = 100 * time.Millisecond
	// answerSlack is how much later an answer of the store may come.
	answerSlack = 700 * time.Millisecond
	// listTimeout bounds the reading of the whole state.
	listTimeout = 2 * time.Second
	// firstStorePause and maxStorePause bound the pause after a failed read; it doubles
	// with each further failure.
	firstStorePause = 100 * time.Millisecond
	maxStorePause   = time.Second
	// failuresUntilAway is the number of failed reads in a row after which the store
	// counts as out of reach. A single read may be cut in normal operation.
	failuresUntilAway = 2
	// peerSyncInterval is how often a peer is asked while the store is out of reach.
	peerSyncInterval = 250 * time.Millisecond
	// peerSyncTimeout bounds one exchange with a peer.
	peerSyncTimeout = time.Second
	// behindFor is how long the store may take to deliver what a peer already has.
	behindFor = 100 * time.Millisecond
)

// storeLoop keeps the replica up to date from the store, or from a daemon that watches it.
func (d *Daemon) storeLoop() {
	list, failures, following := true, 0, false
	for d.ctx.Err() == nil {
		if !list && failures == 0 {
			// A source is tried shortly first: while it does not answer, nothing is heard.
			if following = d.follow(following); following {
				continue
			}
		}
		update, err := d.readStore(list)
		d.metrics.Count(metricReads, readResult(err))
		switch {
		case err == nil:
			d.storeAnswered(failures)
			changes := d.apply(update, "store")
			if changes > 0 {
				d.notifyPeers()
			}
			if changes > 0 && !list {
				d.pause(groupTime)
			}
			list, failures = false, 0
			continue
		case errors.Is(err, ErrCompacted):
			d.log.Info(eventCompacted, zap.Int64("revision", d.asOf()))
			list = true
			continue
		case d.ctx.Err() != nil:
			return
		}
		failures++
		d.storeFailed(failures, err)
		d.pause(min(firstStorePause<<min(failures-1, 8), maxStorePause))
	}
}

func readResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrCompacted):
		return "compacted"
	}
	return "failed"
}

// pause waits, or until the daemon ends.
func (d *Daemon) pause(t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-d.ctx.Done():
	case <-timer.C:
	}
}

// watchWait draws the time of the next watch, so that those of the fleet are spread evenly.
func (d *Daemon) watchWait() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	spread := 2 * (time.Duration(watchers.Count(d.fleet()))*renewEvery - leastWatch)
	wait := leastWatch + time.Duration(d.opts.Rand.Float64()*float64(max(spread, leastWatch)))
	return min(wait, maxWatch)
}

func (d *Daemon) readStore(list bool) (replica.Update, error) {
	if list {
		ctx, cancel := context.WithTimeout(d.ctx, listTimeout)
		defer cancel()
		return d.opts.Store.List(ctx)
	}
	wait := d.watchWait()
	ctx, cancel := context.WithTimeout(d.ctx, wait+answerSlack)
	defer cancel()
	return d.opts.Store.Watch(ctx, d.asOf(), wait)
}

func (d *Daemon) asOf() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.replica.AsOf()
}

func (d *Daemon) storeAnswered(failures int) {
	d.mu.Lock()
	regained := d.storeAway
	d.storeAway, d.watching = false, true
	d.dir.MarkStoreAvailable(time.Now())
	d.mu.Unlock()
	if regained {
		d.log.Info(eventStoreBack, zap.Int("failed_reads", failures))
	}
}

func (d *Daemon) storeFailed(failures int, err error) {
	if failures < failuresUntilAway {
		return
	}
	d.mu.Lock()
	lost := !d.storeAway
	d.storeAway = true
	d.dir.MarkStoreUnavailable()
	d.stopWatching()
	d.mu.Unlock()
	if lost {
		d.log.Warn(eventStoreLost, zap.Int("failed_reads", failures), errorField(err))
		d.wakePeerLoop()
	}
}

// apply takes an update into the replica, puts its changes in force, and returns their
// number.
func (d *Daemon) apply(u replica.Update, source string) int {
	now := time.Now()
	d.mu.Lock()
	changed := d.replica.Apply(u)
	asOf := d.replica.AsOf()
	if len(changed) > 0 {
		d.wakeFollowers()
	}
	d.mu.Unlock()
	for _, item := range changed {
		change, err := d.opts.Decoder.Decode(now, item)
		if err != nil {
			d.metrics.Count(metricItems)
			d.log.Warn(eventItem, zap.String("key", item.Key), zap.Int64("revision", item.Revision), errorField(err))
		}
		d.change(now, change, item.Revision, source)
	}
	if len(changed) > 0 {
		d.log.Debug(eventUpdated, zap.String("source", source), zap.Int64("revision", asOf), zap.Int("changes", len(changed)))
	}
	return len(changed)
}

// notifyPeers tells some peers that this daemon holds changes, which their watches may have
// missed. They fetch what they lack, and tell others.
func (d *Daemon) notifyPeers() {
	d.mu.Lock()
	known := d.peerAddresses()
	d.opts.Rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	args := &PingArgs{AsOf: d.replica.AsOf(), From: d.set.BackendAddress}
	d.mu.Unlock()
	for _, address := range known[:min(notifiedPeers, len(known))] {
		d.workers.Go(func() {
			ctx, cancel := context.WithTimeout(d.ctx, peerSyncTimeout)
			defer cancel()
			if _, err := callPeer[PingReply](ctx, d.peer(address), "Ping", args); err != nil {
				d.metrics.Count(metricNotices)
			}
		})
	}
}

// peerAddresses returns where all other daemons listen. d.mu is held.
func (d *Daemon) peerAddresses() []string {
	var known []string
	for _, u := range d.dir.All() {
		if u.Address != d.set.BackendAddress {
			known = append(known, d.peerAddress(u.Address))
		}
	}
	return known
}

func (d *Daemon) change(now time.Time, c Change, revision int64, source string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case c.Config != nil:
		d.configure(c.Config, revision, source)
	case c.Upstream != nil:
		u := *c.Upstream
		d.dir.Put(u)
		d.setFleet()
		if u.Address == d.set.BackendAddress {
			d.station.SetSlots(u.Slots)
			if u.Draining {
				d.dispatchEvents(d.station.Evict())
			}
		}
		d.log.Info(eventListed, zap.String("upstream", u.ID), zap.String("service", u.Service), zap.String("address", u.Address),
			zap.Bool("draining", u.Draining), zap.Int64("incarnation", u.Incarnation), zap.Int64("revision", revision), zap.String("source", source))
	case c.Gone != "":
		own, _ := d.dir.At(d.set.BackendAddress)
		d.dir.Remove(now, c.Gone)
		if _, listed := d.dir.At(d.set.BackendAddress); own.ID == c.Gone && !listed {
			d.dispatchEvents(d.station.Evict())
		}
		d.dispatcher.Prune()
		d.log.Info(eventRemoved, zap.String("upstream", c.Gone), zap.Bool("store_away", d.storeAway),
			zap.Int64("revision", revision), zap.String("source", source))
	}
}

// configure puts a newer configuration in force. d.mu is held.
func (d *Daemon) configure(c *routing.Config, revision int64, source string) {
	if t := d.table(); t != nil && c.Version <= t.Config().Version {
		return
	}
	if err := c.Check(); err != nil {
		d.metrics.Count(metricConfigs, "refused")
		d.log.Error(eventNoConfig, zap.Uint64("version", c.Version), zap.Int64("revision", revision), errorField(err))
		return
	}
	d.routes.Store(routing.NewTable(c))
	d.splitter.Prune(c)
	d.metrics.Count(metricConfigs, "in_force")
	d.log.Info(eventConfig, zap.Uint64("version", c.Version), zap.Int("routes", len(c.Routes)),
		zap.Int64("revision", revision), zap.String("source", source))
}

// heardOf notes that a peer holds a newer replica.
func (d *Daemon) heardOf(asOf int64, upstream string) {
	d.mu.Lock()
	newer := asOf > d.replica.AsOf() && d.newerAt == ""
	if newer {
		d.newerAt = upstream
	}
	d.mu.Unlock()
	if newer {
		d.wakePeerLoop()
	}
}

func (d *Daemon) wakePeerLoop() {
	select {
	case d.synced <- struct{}{}:
	default:
	}
}

// peerLoop brings the replica up to date from peers while the store does not.
func (d *Daemon) peerLoop() {
	for d.ctx.Err() == nil {
		interval := time.NewTimer(peerSyncInterval)
		select {
		case <-d.ctx.Done():
		case <-interval.C:
		case <-d.synced:
			// The store may be about to deliver the same.
			time.Sleep(behindFor)
		}
		interval.Stop()
		if address := d.syncSource(); address != "" {
			d.syncFrom(address)
		}
	}
}

// syncSource returns the address of the peer to ask, or an empty one.
func (d *Daemon) syncSource() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	newer := d.newerAt
	d.newerAt = ""
	switch {
	case newer != "":
		return d.peerAddress(newer)
	case !d.storeAway && d.replica.AsOf() > 0:
		return ""
	}
	known := d.peerAddresses()
	if len(known) == 0 {
		for _, seed := range d.seeds {
			if seed != d.set.ControlAddress {
				known = append(known, seed)
			}
		}
	}
	if len(known) == 0 {
		return ""
	}
	return known[d.opts.Rand.IntN(len(known))]
}

func (d *Daemon) syncFrom(address string) {
	ctx, cancel := context.WithTimeout(d.ctx, peerSyncTimeout)
	defer cancel()
	reply, err := callPeer[SyncReply](ctx, d.peer(address), "Sync", &SyncArgs{After: d.asOf()})
	if err != nil {
		d.metrics.Count(metricSyncs, "failed")
		return
	}
	d.metrics.Count(metricSyncs, "ok")
	if d.apply(reply.Update, "peer "+address) > 0 {
		d.notifyPeers()
	}
}

// Dial is the default of Options.Dial. It opens a connection that notices a peer that has gone silent.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAlive, Control: userTimeout}
	return dialer.DialContext(ctx, network, address)
}
