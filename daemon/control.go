package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/configsource"
	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/core/node"
	"github.com/hawthornpoint/hawthornpoint/operator"
)

const (
	// tickInterval is the resolution of queue timers.
	tickInterval = 10 * time.Millisecond
	// exchangeTimeout is the time after which the connection of an unanswered
	// exchange is closed. It is longer than the time after which the node exchanges
	// with another peer, because a late answer is still useful.
	exchangeTimeout = 2 * membership.ExchangeTimeout
	// fetchTimeout bounds the transfer of a configuration. In the meantime the node
	// starts fetches from other peers that announced a newer one.
	fetchTimeout = 2 * time.Second
	// platformTimeout bounds one read of the configuration service or the VM list,
	// and both reads after a pause together.
	platformTimeout = 2 * time.Second
)

// controlHandler is the exchange.Handler of a Daemon.
type controlHandler Daemon

// Exchange implements exchange.Handler.
func (h *controlHandler) Exchange(remote node.Digest) node.Digest {
	d := (*Daemon)(h)
	d.mu.Lock()
	now := time.Now()
	d.node.Receive(now, remote)
	local := d.node.DigestFor(now, remote.Sender)
	d.mu.Unlock()
	d.sendControl()
	return local
}

// ConfigNewerThan implements exchange.Handler.
func (h *controlHandler) ConfigNewerThan(version uint64) (config.Envelope, bool) {
	d := (*Daemon)(h)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.node.ConfigVersion() <= version {
		return config.Envelope{}, false
	}
	return d.node.Envelope(), true
}

// runPeriodically calls f until the daemon stops, each time after an interval that
// nextInterval returns.
func (d *Daemon) runPeriodically(nextInterval func() time.Duration, f func()) {
	timer := time.NewTimer(nextInterval())
	defer timer.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-timer.C:
			f()
			timer.Reset(nextInterval())
		}
	}
}

func constantInterval(interval time.Duration) func() time.Duration {
	return func() time.Duration { return interval }
}

func (d *Daemon) tickLoop() { d.runPeriodically(constantInterval(tickInterval), d.tick) }

func (d *Daemon) tick() {
	d.opts.BeforeTick()
	d.mu.Lock()
	pausesBefore := d.node.Pauses()
	d.dispatch(d.node.Tick(time.Now()))
	paused := d.node.Pauses() > pausesBefore
	d.mu.Unlock()
	d.sendControl()
	if paused {
		d.log.Warn("the process was paused; measurements of upstreams are discarded")
		d.workers.Go(d.refreshAfterPause)
	}
}

// refreshAfterPause reads the configuration and the VM list. The node itself
// schedules exchanges with several peers after a pause.
func (d *Daemon) refreshAfterPause() {
	ctx, cancel := context.WithTimeout(d.ctx, platformTimeout)
	defer cancel()
	if err := d.pollConfig(ctx); err != nil {
		d.log.Debug("reading the configuration after a pause failed", zap.Error(err))
	}
	if err := d.pollVMList(ctx); err != nil {
		d.log.Debug("reading the VM list after a pause failed", zap.Error(err))
	}
}

// jittered returns a random time between 0.5 and 1.5 times interval.
func (d *Daemon) jittered(interval time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return interval/2 + time.Duration(d.rand.Int64N(int64(interval)))
}

// sendControl starts the exchanges with peers and the configuration fetch that are due
// according to the node.
func (d *Daemon) sendControl() {
	d.mu.Lock()
	outbox := d.node.Outbox(time.Now())
	d.mu.Unlock()
	if outbox.Push {
		d.counters.Event(operator.EventPush)
	}
	for _, e := range outbox.Exchanges {
		d.workers.Go(func() { d.exchangeWith(e, outbox.Digest) })
	}
	if outbox.Fetch {
		d.workers.Go(func() { d.fetchConfig(outbox.FetchFrom, outbox.NewerThan) })
	}
}

func (d *Daemon) exchangeWith(e membership.Exchange, digest node.Digest) {
	ctx, cancel := context.WithTimeout(d.ctx, exchangeTimeout)
	defer cancel()
	d.counters.Event(operator.EventExchange)
	askedAt := time.Now()
	remote, err := d.control.Exchange(ctx, e.Peer.ControlAddress, digest)
	if err != nil {
		d.counters.Event(operator.EventExchangeFailed)
		return
	}
	d.mu.Lock()
	d.node.Answered(time.Now(), askedAt, e.ID, remote)
	d.mu.Unlock()
	d.sendControl()
}

func (d *Daemon) fetchConfig(peer membership.Record, newerThan uint64) {
	ctx, cancel := context.WithTimeout(d.ctx, fetchTimeout)
	defer cancel()
	e, err := d.control.Config(ctx, peer.ControlAddress, newerThan)
	if err != nil {
		d.counters.Event(operator.EventConfigFetchFailed)
		d.mu.Lock()
		d.node.FetchFailed(time.Now(), peer)
		d.mu.Unlock()
		return
	}
	d.counters.Event(operator.EventConfigFetched)
	d.mu.Lock()
	verdict, err := d.node.Fetched(time.Now(), peer, e)
	d.mu.Unlock()
	d.reportVerdict(e, peer.Name, verdict, err)
}

// offerConfig offers an envelope to the node and reports the verdict.
func (d *Daemon) offerConfig(e config.Envelope, source string) {
	d.mu.Lock()
	verdict, err := d.node.Offer(time.Now(), e)
	d.mu.Unlock()
	d.reportVerdict(e, source, verdict, err)
}

// reportVerdict logs the verdict on a configuration and sends an accepted one on to
// peers.
func (d *Daemon) reportVerdict(e config.Envelope, source string, verdict config.Verdict, err error) {
	switch {
	case verdict == config.Accepted:
		d.configuredOnce.Do(func() { close(d.configured) })
		d.log.Info("configuration in force", zap.Uint64("version", e.Version), zap.String("source", source))
		d.sendControl()
	case err != nil:
		d.log.Warn("configuration refused", zap.Uint64("version", e.Version), zap.String("source", source),
			zap.Stringer("verdict", verdict), zap.Error(err))
	}
}

func (d *Daemon) configLoop() {
	schedule := configsource.NewSchedule(d.rand)
	d.poll(schedule, d.pollConfig)
}

func (d *Daemon) vmListLoop() {
	schedule := configsource.NewSchedule(d.rand)
	d.poll(schedule, d.pollVMList)
}

// poll calls read immediately and then at the times of the schedule. It logs an error unless the read before failed alike.
func (d *Daemon) poll(schedule *configsource.Schedule, read func(context.Context) error) {
	var err error
	readOnce := func() {
		ctx, cancel := context.WithTimeout(d.ctx, platformTimeout)
		defer cancel()
		previous := err
		err = read(ctx)
		if err != nil && d.ctx.Err() == nil && (previous == nil || err.Error() != previous.Error()) {
			d.log.Warn("platform read failed", zap.String("error", err.Error()))
		}
	}
	readOnce()
	d.runPeriodically(func() time.Duration {
		d.mu.Lock()
		defer d.mu.Unlock()
		now := time.Now()
		return schedule.Next(now, d.node.FleetSize(), err).Sub(now)
	}, readOnce)
}

func (d *Daemon) pollConfig(ctx context.Context) error {
	d.mu.Lock()
	version := d.node.ConfigVersion()
	d.mu.Unlock()
	d.counters.Event(operator.EventConfigRead)
	e, found, err := d.opts.Configs.Fetch(ctx, version)
	if err != nil {
		d.counters.Event(operator.EventConfigReadFailed)
		return err
	}
	if found {
		d.offerConfig(e, "configuration service")
	}
	return nil
}

func (d *Daemon) pollVMList(ctx context.Context) error {
	d.counters.Event(operator.EventListRead)
	askedAt := time.Now()
	records, err := d.opts.VMs.Fetch(ctx)
	if err != nil {
		d.counters.Event(operator.EventListReadFailed)
		return err
	}
	d.mu.Lock()
	d.node.SetVMs(time.Now(), records)
	d.node.ConfirmIncarnation(askedAt)
	d.mu.Unlock()
	d.sendControl()
	return nil
}
