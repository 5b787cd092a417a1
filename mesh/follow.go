package mesh

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/core/replica"
	"github.com/hawthornpoint/hawthornpoint/core/watchers"
)

const (
	// followWait is how long a source keeps a request of a follower waiting for changes, and
	// followSlack how long after that its reply may arrive. A source that has stopped
	// responding is detected after the sum of both, which leaves time to read a change from
	// the store itself before it must be in force.
	followWait  = 700 * time.Millisecond
	followSlack = 300 * time.Millisecond
	// maxFollowWait limits the wait that another daemon may request.
	maxFollowWait = 5 * time.Second
)

// fleet returns all known daemons, which are possible sources. d.mu is held.
func (d *Daemon) fleet() []watchers.Daemon {
	all := d.dir.All()
	fleet := make([]watchers.Daemon, 0, len(all))
	for _, u := range all {
		fleet = append(fleet, watchers.Daemon{Address: u.Address, Zone: u.Zone})
	}
	return fleet
}

// stopWatching records that this daemon does not watch the store. Its followers then choose
// another source. d.mu is held.
func (d *Daemon) stopWatching() {
	if d.watching {
		d.watching = false
		d.wakeFollowers()
	}
}

// wakeFollowers ends the waits of followers, which receive a reply. d.mu is held.
func (d *Daemon) wakeFollowers() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// source returns the address of the daemon to follow. It is empty if this daemon has to watch the
// store itself.
func (d *Daemon) source() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sources.Source(time.Now(), d.fleet())
}

// follow waits once for changes from a source. It returns false if the source failed. If following
// is false, the source replies at once, which shows whether it can serve as one.
func (d *Daemon) follow(source string, following bool) bool {
	wait := d.followTime()
	if !following {
		wait = 0
	}
	asked, _ := d.instant()
	reply, err := d.askSource(source, wait)
	now := time.Now()
	d.mu.Lock()
	if err != nil {
		// The store may be unavailable to the source alone, so reply.Doubtful is not adopted.
		d.sources.Exclude(now, source)
	} else {
		d.observeClock(d.peerAddress(source), now, reply.Clock)
		d.dir.ExtendGrace(now, reply.Doubtful)
		d.stopWatching()
	}
	d.mu.Unlock()
	if err != nil {
		d.renewFromPeer(asked, reply.Proven)
		if d.ctx.Err() == nil {
			d.metrics.Count(metricSourceFailures)
			d.log.Info(eventSourceFailed, zap.String("source", source), errorField(err))
		}
		return false
	}
	d.apply(reply.Update, "watcher "+source)
	refused := reply.Config != nil && !d.applyConfig(reply.Config, "watcher "+source)
	d.renewFromPeer(asked, reply.Proven)
	d.settleAsPeer(reply.Settled)
	if refused {
		d.pause(refusedConfigPause)
	}
	return true
}

func (d *Daemon) askSource(source string, wait time.Duration) (FollowReply, error) {
	ctx, cancel := context.WithTimeout(d.ctx, wait+followSlack)
	defer cancel()
	link, err := d.peer(d.peerAddress(source)).connect(ctx)
	if err != nil {
		return FollowReply{}, err
	}
	args := &FollowArgs{Since: d.requestState(), Wait: wait, From: d.settings.BackendAddress}
	reply, err := longPollLink[FollowReply](ctx, link, "Follow", args)
	if err == nil && !reply.Watching {
		err = errors.New("does not watch the store")
	}
	return reply, err
}

// awaitChanges returns the changes after a state as soon as there are any. It returns none
// if none came within the wait or this daemon does not watch the store.
func (d *Daemon) awaitChanges(ctx context.Context, after replica.State, wait time.Duration) FollowReply {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		d.mu.Lock()
		changed := d.changed
		reply := FollowReply{Watching: d.watching && !d.stopping, Doubtful: d.dir.Doubtful(time.Now()), Settled: d.settledAt}
		reply.Update, reply.Config = d.changesSince(after)
		d.mu.Unlock()
		if !reply.Watching || reply.Update.Whole || len(reply.Update.Items) > 0 || reply.Config != nil {
			return reply
		}
		select {
		case <-changed:
		case <-timer.C:
			return reply
		case <-ctx.Done():
			return FollowReply{} // the connection or this daemon is closing
		}
	}
}
