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
	// exchangeTimeout closes the connection of an exchange that is not answered.
	// It is longer than the time after which the node asks another peer, because
	// a late answer is still of use.
	exchangeTimeout = 2 * membership.ExchangeTimeout
	// fetchTimeout bounds the transfer of a configuration. Other holders are
	// asked in the meantime.
	fetchTimeout = 2 * time.Second
	// platformTimeout bounds one read from the platform.
	platformTimeout = 2 * time.Second
)

// controlHandler answers the exchanges of peers.
type controlHandler Daemon

// Exchange implements exchange.Handler.
func (h *controlHandler) Exchange(in node.Digest) node.Digest {
	d := (*Daemon)(h)
	d.mu.Lock()
	now := time.Now()
	d.node.Receive(now, in)
	out := d.node.DigestFor(now, in.Sender)
	d.mu.Unlock()
	d.sendControl()
	return out
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

// every calls f after each interval until the daemon stops.
func (d *Daemon) every(next func() time.Duration, f func()) {
	timer := time.NewTimer(next())
	defer timer.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-timer.C:
			f()
			timer.Reset(next())
		}
	}
}

func constant(interval time.Duration) func() time.Duration {
	return func() time.Duration { return interval }
}

func (d *Daemon) tickLoop() { d.every(constant(tickInterval), d.tick) }

func (d *Daemon) tick() {
	d.opts.BeforeTick()
	d.mu.Lock()
	pauses := d.node.Pauses()
	d.dispatch(d.node.Tick(time.Now()))
	paused := d.node.Pauses() > pauses
	d.mu.Unlock()
	d.sendControl()
	if paused {
		d.log.Warn("the process was paused; beliefs about others are discarded")
		d.workers.Go(d.refresh)
	}
}

// refresh reads configuration and list again after a pause. The node itself asks
// for exchanges with several peers.
func (d *Daemon) refresh() {
	ctx, cancel := context.WithTimeout(d.ctx, platformTimeout)
	defer cancel()
	if err := d.pollConfig(ctx); err != nil {
		d.log.Debug("read after a pause failed", zap.Error(err))
	}
	if err := d.pollList(ctx); err != nil {
		d.log.Debug("read after a pause failed", zap.Error(err))
	}
}

// jitter returns a random time between half and one and a half intervals.
func (d *Daemon) jitter(interval time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return interval/2 + time.Duration(d.rand.Int64N(int64(interval)))
}

// sendControl carries out what the node has to send to peers.
func (d *Daemon) sendControl() {
	d.mu.Lock()
	s := d.node.Outbox(time.Now())
	d.mu.Unlock()
	if s.Push {
		d.counters.Event(operator.EventPush)
	}
	for _, e := range s.Exchanges {
		d.workers.Go(func() { d.exchangeOnce(e, s.Digest) })
	}
	if s.Fetch {
		d.workers.Go(func() { d.fetchConfig(s.FetchFrom, s.NewerThan) })
	}
}

func (d *Daemon) exchangeOnce(e membership.Exchange, digest node.Digest) {
	ctx, cancel := context.WithTimeout(d.ctx, exchangeTimeout)
	defer cancel()
	d.counters.Event(operator.EventExchange)
	asked := time.Now()
	in, err := d.control.Exchange(ctx, e.Peer.ControlAddress, digest)
	if err != nil {
		d.counters.Event(operator.EventExchangeFailed)
		return
	}
	d.mu.Lock()
	d.node.Answered(time.Now(), asked, e.ID, in)
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
	d.offered(e, peer.Name, verdict, err)
}

// offer hands an envelope to the node and reports what became of it.
func (d *Daemon) offer(e config.Envelope, source string) {
	d.mu.Lock()
	verdict, err := d.node.Offer(time.Now(), e)
	d.mu.Unlock()
	d.offered(e, source, verdict, err)
}

// offered reports a verdict and passes an accepted configuration on.
func (d *Daemon) offered(e config.Envelope, source string, verdict config.Verdict, err error) {
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
	poller := configsource.NewSchedule(d.rand)
	d.poll(poller, d.pollConfig)
}

func (d *Daemon) listLoop() {
	poller := configsource.NewSchedule(d.rand)
	d.poll(poller, d.pollList)
}

// poll reads from the platform at once and then at the poller's intervals.
func (d *Daemon) poll(poller *configsource.Schedule, read func(context.Context) error) {
	var err error
	once := func() {
		ctx, cancel := context.WithTimeout(d.ctx, platformTimeout)
		defer cancel()
		err = read(ctx)
	}
	once()
	d.every(func() time.Duration {
		d.mu.Lock()
		defer d.mu.Unlock()
		now := time.Now()
		return poller.Next(now, d.node.FleetSize(), err).Sub(now)
	}, once)
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
		d.offer(e, "configuration service")
	}
	return nil
}

func (d *Daemon) pollList(ctx context.Context) error {
	d.counters.Event(operator.EventListRead)
	asked := time.Now()
	records, err := d.opts.VMs.Fetch(ctx)
	if err != nil {
		d.counters.Event(operator.EventListReadFailed)
		return err
	}
	d.mu.Lock()
	d.node.SetVMs(time.Now(), records)
	d.node.ConfirmIncarnation(asked)
	d.mu.Unlock()
	d.sendControl()
	return nil
}
