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
	// watchRenewInterval is the mean time between two renewals of watches in the whole fleet.
	// A watch can miss changes without an error. The daemon whose watch is renewed first
	// receives them and notifies others, so that the time until a missed change is noticed
	// does not depend on the number of watches.
	watchRenewInterval = 250 * time.Millisecond
	// minWatchTime and maxWatchTime limit how long the store keeps a watch waiting.
	minWatchTime = time.Second
	maxWatchTime = 20 * time.Second
	// notifiedPeers is how many peers each daemon notifies of changes that it has applied. A
	// daemon that missed them in its watch is notified by some daemon with a probability of
	// 95%.
	notifiedPeers = 3
	// refusedConfigPause is the pause after a source sent a configuration that was refused here. It
	// sends it again at once.
	refusedConfigPause = 100 * time.Millisecond
	// probeTime is the duration of a watch that only shows whether the store answers.
	probeTime = time.Millisecond
	// watchSlack is how long after the end of a watch its answer may still arrive.
	watchSlack = 700 * time.Millisecond
	// listTimeout limits the time for reading the complete state. The store limits that for a page.
	listTimeout = 20 * time.Second
	// initialStorePause and maxStorePause limit the pause after a failed read, which doubles
	// with each further failure.
	initialStorePause = 100 * time.Millisecond
	maxStorePause     = time.Second
	// unavailableFailures is the number of consecutive failed reads after which the store is
	// considered unavailable. A single read may be aborted in normal operation.
	unavailableFailures = 2
	// peerSyncInterval is the time between two reads from peers while the store is unavailable.
	peerSyncInterval = 250 * time.Millisecond
	// peerSyncTimeout limits the time of one exchange with a peer.
	peerSyncTimeout = time.Second
	// storeDeliveryDelay is how long the store gets to deliver changes that a peer already has.
	storeDeliveryDelay = 100 * time.Millisecond
)

var (
	// errOtherEra says that the store was restored: the changes that it returned are of another
	// era than the replica.
	errOtherEra = errors.New("the store is in another era than the replica")
	// errOldListing says that a listing is older than the replica, which a peer has updated.
	errOldListing = errors.New("the listing is older than the replica")
)

// storeLoop keeps the replica up to date from the store, or from a daemon that watches the
// store.
func (d *Daemon) storeLoop() {
	// listed says that the latest successful read was a complete listing.
	needList, listed, failures, following := true, false, 0, false
	var pauses watchers.Pauses
	for d.ctx.Err() == nil {
		probe := failures > 0
		if source := d.source(); source == "" {
			following = false
		} else if !needList && failures == 0 {
			// The first request to a source does not wait for changes: if the source has
			// failed, none would arrive until the request times out.
			if following = d.follow(source, following); following {
				continue
			}
			probe = true
		}
		base := d.proofBase()
		update, err := d.readStore(needList, probe)
		d.metrics.Count(metricReads, readResult(err))
		switch {
		case err == nil:
			d.recordStoreRead(failures)
			d.settleOwn(update.At) // first, so that followers receive it with the changes
			changes := d.apply(update, "store")
			d.renewFromStore(base, update)
			if changes > 0 {
				d.notifyPeers()
			}
			if changes > 0 && !needList {
				d.pause(pauses.Next(time.Now()))
			}
			listed, needList, failures = needList, false, 0
			continue
		case errors.Is(err, ErrCompacted), errors.Is(err, ErrChangesTooLong), errors.Is(err, errOtherEra):
			d.log.Info(eventListNeeded, positionField(d.position()), zap.Int64("store_era", update.At.Era), errorField(err))
			if listed {
				d.pause(initialStorePause) // the changes after the latest listing are not available
			}
			needList = true
			continue
		case d.ctx.Err() != nil:
			return
		}
		failures++
		d.recordStoreFailure(failures, err)
		d.pause(min(initialStorePause<<min(failures-1, 8), maxStorePause))
	}
}

func readResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrCompacted):
		return "compacted"
	case errors.Is(err, ErrChangesTooLong):
		return "too_long"
	case errors.Is(err, errOtherEra):
		return "other_era"
	}
	return "failed"
}

// pause waits for the time t, or until the daemon is closed.
func (d *Daemon) pause(t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-d.ctx.Done():
	case <-timer.C:
	}
}

// randomWatchTime returns a random duration for the next watch, so that the renewals of the
// fleet's watches are spread evenly.
func (d *Daemon) randomWatchTime() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	spread := 2 * (time.Duration(watchers.Count(d.fleet()))*watchRenewInterval - minWatchTime)
	wait := minWatchTime + time.Duration(d.opts.Rand.Float64()*float64(max(spread, minWatchTime)))
	if d.hasTenants() {
		wait = d.freshness.Wait(wait)
	}
	return min(wait, maxWatchTime)
}

// readStore reads the complete state, or the changes after the position of the replica. With
// probe, it does not wait for changes: since the latest successful read, the store may have been
// restored and have assigned the replica's revision again, so that a watch from there misses
// changes. This is so after failed reads, and after time spent on a source.
func (d *Daemon) readStore(needList, probe bool) (replica.Update, error) {
	if needList {
		return d.listStore()
	}
	wait := d.randomWatchTime()
	if probe {
		wait = probeTime
	}
	ctx, cancel := context.WithTimeout(d.ctx, wait+watchSlack)
	defer cancel()
	at := d.position()
	update, err := d.opts.Store.Watch(ctx, at.Revision, wait)
	if err == nil && update.At.Era != at.Era {
		err = errOtherEra
	}
	return update, err
}

func (d *Daemon) listStore() (replica.Update, error) {
	ctx, cancel := context.WithTimeout(d.ctx, listTimeout)
	defer cancel()
	update, err := d.opts.Store.List(ctx)
	if at := d.position(); err == nil && update.At.Before(at) {
		d.log.Warn(eventListingIgnored, positionField(at), zap.Int64("store_era", update.At.Era), zap.Int64("store_revision", update.At.Revision))
		err = errOldListing
	}
	return update, err
}

func (d *Daemon) position() replica.Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.replica.At()
}

func (d *Daemon) recordStoreRead(failures int) {
	d.mu.Lock()
	recovered := d.storeUnavailable
	d.storeUnavailable, d.watching = false, true
	d.dir.MarkStoreAvailable(time.Now())
	d.mu.Unlock()
	if recovered {
		d.log.Info(eventStoreRecovered, zap.Int("failed_reads", failures))
	}
}

func (d *Daemon) recordStoreFailure(failures int, err error) {
	if failures < unavailableFailures {
		return
	}
	d.mu.Lock()
	lost := !d.storeUnavailable
	d.storeUnavailable = true
	d.dir.MarkStoreUnavailable()
	d.stopWatching()
	d.mu.Unlock()
	if lost {
		d.log.Warn(eventStoreLost, zap.Int("failed_reads", failures), errorField(err))
		d.wakePeerLoop()
	}
}

// apply applies an update to the replica, puts the changes in force, and returns their number.
// source says in the log where the update came from.
func (d *Daemon) apply(update replica.Update, source string) int {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	now := time.Now()
	d.mu.Lock()
	previous := d.replica.At()
	changed := d.replica.Apply(update)
	at := d.replica.At()
	restored := at.Era != previous.Era && !previous.IsZero()
	if restored {
		d.dir.MarkStoreRestored(now)
	}
	if len(changed) > 0 {
		d.wakeFollowers()
	}
	d.mu.Unlock()
	if restored {
		d.log.Warn(eventStoreRestored, positionField(at), zap.Int64("previous_era", previous.Era),
			zap.Int64("previous_revision", previous.Revision), zap.Int("changes", len(changed)), zap.String("source", source))
	}
	for _, item := range replica.Latest(changed) {
		change, err := d.decode(now, item)
		d.noteFuture(StoredItem{Item: item, Era: at.Era}, err)
		if err != nil {
			d.metrics.Count(metricUnreadableItems)
			d.log.Warn(eventUnreadableItem, zap.String("key", item.Key), zap.Int("bytes", len(item.Value)),
				positionField(replica.Position{Era: at.Era, Revision: item.Revision}), errorField(err))
		}
		d.change(now, change, StoredItem{Item: item, Era: at.Era}, source)
		d.noteStoreConfig(change, item)
	}
	d.mu.Lock()
	d.applied = at
	d.mu.Unlock()
	d.updated.Store(true)
	if len(changed) > 0 {
		d.log.Debug(eventUpdated, zap.String("source", source), positionField(at), zap.Int("changes", len(changed)))
	}
	return len(changed)
}

// notifyPeers sends the state of the daemon to some peers, whose watches may have missed the
// latest changes. They fetch the changes that they lack, and notify others. Peers that have
// newer changes reply so.
func (d *Daemon) notifyPeers() {
	d.mu.Lock()
	addresses := d.randomPeers(notifiedPeers)
	args := d.pingArgs()
	d.mu.Unlock()
	for _, address := range addresses {
		d.workers.Go(func() {
			ctx, cancel := context.WithTimeout(d.ctx, peerSyncTimeout)
			defer cancel()
			reply, err := d.ping(ctx, address, args)
			if err != nil {
				d.metrics.Count(metricFailedNotices)
				return
			}
			d.notePeerState(reply.State, address)
		})
	}
}

// randomPeers returns the addresses of up to n other daemons, chosen at random. d.mu is held.
func (d *Daemon) randomPeers(n int) []string {
	var addresses []string
	for _, u := range d.dir.Sample(d.opts.Rand, n, d.settings.BackendAddress) {
		addresses = append(addresses, d.peerAddress(u.Address))
	}
	return addresses
}

// peerAddresses returns the addresses of all other known daemons. d.mu is held.
func (d *Daemon) peerAddresses() []string {
	var addresses []string
	for _, u := range d.dir.All() {
		if u.Address != d.settings.BackendAddress {
			addresses = append(addresses, d.peerAddress(u.Address))
		}
	}
	return addresses
}

// change puts one change in force.
func (d *Daemon) change(now time.Time, c Change, item StoredItem, source string) {
	at := item.position()
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case c.Config != nil:
		d.configure(c.Config, item, source)
	case c.Upstream != nil:
		u := *c.Upstream
		event := eventOutdated
		if d.dir.Put(u) {
			event = eventListed
		}
		d.applyListed()
		d.log.Info(event, zap.String("upstream", u.ID), zap.String("service", u.Service), zap.String("address", u.Address),
			zap.Bool("draining", u.Draining), zap.Int64("incarnation", u.Incarnation), zap.Int64("sequence", u.Sequence), positionField(at), zap.String("source", source))
	case c.Unlisted != "":
		local, _ := d.dir.At(d.settings.BackendAddress)
		d.dir.Remove(now, c.Unlisted)
		if _, listed := d.dir.At(d.settings.BackendAddress); local.ID == c.Unlisted && !listed {
			d.deliverDecisions(d.limiter.Evict())
		}
		d.applyListed()
		d.dispatcher.Prune()
		d.log.Info(eventRemoved, zap.String("upstream", c.Unlisted), zap.Bool("store_away", d.storeUnavailable),
			positionField(at), zap.String("source", source))
	}
}

// applyListed puts in force what has changed in the directory: the numbers of VMs, and the entry of the
// local backend server. d.mu is held.
func (d *Daemon) applyListed() {
	d.setOriginVMs()
	d.listedChanged = true
	local, listed := d.dir.At(d.settings.BackendAddress)
	if !listed || local == d.local {
		return
	}
	restarted := local.ID != d.local.ID || local.Incarnation != d.local.Incarnation
	d.local = local
	d.limiter.SetSlots(local.Slots)
	if restarted {
		d.invalidRate = ""
		d.limiter.ResetRate()
	}
	if local.Draining {
		d.deliverDecisions(d.limiter.Evict())
	}
}

// configure puts a configuration in force if it is newer and valid. d.mu is held.
func (d *Daemon) configure(config *routing.Config, item StoredItem, source string) {
	if t := d.table(); t != nil && config.Version <= t.Config().Version {
		return
	}
	if err := config.Check(); err != nil {
		d.metrics.Count(metricConfigs, "refused")
		d.log.Error(eventConfigRefused, zap.Uint64("version", config.Version), positionField(item.position()), errorField(err))
		return
	}
	d.routes.Store(routing.NewTable(config))
	d.config = &item
	d.dir.SetServices(config.ServiceNames())
	d.applyListed()
	d.splitter.Prune(config)
	for _, err := range config.InvalidTenants {
		d.log.Error(eventTenantInvalid, zap.Uint64("version", config.Version), errorField(err))
	}
	d.metrics.Count(metricConfigs, "in_force")
	d.log.Info(eventConfig, zap.Uint64("version", config.Version), zap.Int("routes", len(config.Routes)),
		positionField(item.position()), zap.String("source", source))
}

// notePeerState records the state of the peer at address. If the peer has newer changes, they
// are fetched from it.
func (d *Daemon) notePeerState(state replica.State, address string) {
	if d.recordNewerPeer(state, address) {
		d.wakePeerLoop()
	}
}

// recordNewerPeer records a peer that has newer changes, unless another one is recorded. It
// reports whether it did.
func (d *Daemon) recordNewerPeer(state replica.State, address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.newerPeer != "" || !d.receivedState().Lacks(state) {
		return false
	}
	d.newerPeer = address
	return true
}

func (d *Daemon) wakePeerLoop() {
	select {
	case d.wakeSync <- struct{}{}:
	default:
	}
}

// peerLoop updates the replica from peers while the store is unavailable or the proof that the
// configuration is recent ages, and from a peer that holds a newer replica.
func (d *Daemon) peerLoop() {
	for d.ctx.Err() == nil {
		timer := time.NewTimer(peerSyncInterval)
		select {
		case <-d.ctx.Done():
		case <-timer.C:
		case <-d.wakeSync:
			// The store may deliver the same changes soon.
			d.pause(storeDeliveryDelay)
		}
		timer.Stop()
		if address := d.syncSource(); address != "" {
			d.syncFrom(address)
		}
	}
}

// syncSource returns the address of the peer to read changes from, or an empty string if there
// is no need or no peer.
func (d *Daemon) syncSource() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	newer := d.newerPeer
	d.newerPeer = ""
	switch {
	case newer != "":
		return newer
	case !d.storeUnavailable && !d.replica.At().IsZero() && !d.agingProof():
		return ""
	}
	candidates := d.peerAddresses()
	if len(candidates) == 0 {
		for _, seed := range d.seeds {
			if seed != d.settings.ControlAddress {
				candidates = append(candidates, seed)
			}
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[d.opts.Rand.IntN(len(candidates))]
}

func (d *Daemon) syncFrom(address string) {
	ctx, cancel := context.WithTimeout(d.ctx, peerSyncTimeout)
	defer cancel()
	asked, _ := d.instant()
	reply, err := callPeer[SyncReply](ctx, d.peer(address), "Sync", &SyncArgs{Since: d.requestState()})
	if err != nil {
		d.metrics.Count(metricSyncs, "failed")
		return
	}
	d.metrics.Count(metricSyncs, "ok")
	changes := d.apply(reply.Update, "peer "+address)
	configured := d.applyConfig(reply.Config, "peer "+address)
	d.renewFromPeer(asked, reply.Proven)
	d.settleAsPeer(reply.Settled)
	if configured || changes > 0 {
		d.notifyPeers()
	}
}

// Dial is the default of Options.Dial. The connections that it opens fail when the other end
// stops responding.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return dialer.DialContext(ctx, network, address)
}
