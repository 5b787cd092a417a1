package mesh

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/core/watchers"
)

const (
	// followWait is how long a source keeps the question of a follower, and followSlack how
	// much later its answer may come. A source that has gone silent is noticed after both,
	// which leaves time to hear of a change from the store itself before it must be in force.
	followWait  = 700 * time.Millisecond
	followSlack = 300 * time.Millisecond
	// maxFollow bounds followWait as another daemon asks for it.
	maxFollow = 5 * time.Second
)

// fleet returns all known daemons as possible sources. d.mu is held.
func (d *Daemon) fleet() []watchers.Daemon {
	all := d.dir.All()
	fleet := make([]watchers.Daemon, 0, len(all))
	for _, u := range all {
		fleet = append(fleet, watchers.Daemon{Address: u.Address, Zone: u.Zone})
	}
	return fleet
}

// stopWatching tells followers to take another source. d.mu is held.
func (d *Daemon) stopWatching() {
	if d.watching {
		d.watching = false
		d.wakeFollowers()
	}
}

// wakeFollowers answers the questions of followers. d.mu is held.
func (d *Daemon) wakeFollowers() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// follow waits once for changes at the daemon that is this one's source. It reports false
// when this daemon has to read the store itself: there is no source, or it failed. If
// following is false the source is only asked whether it would serve.
func (d *Daemon) follow(following bool) bool {
	d.mu.Lock()
	source := d.sources.Source(time.Now(), d.fleet())
	d.mu.Unlock()
	if source == "" {
		return false
	}
	wait := followWait
	if !following {
		wait = 0
	}
	reply, err := d.askSource(source, wait)
	now := time.Now()
	d.mu.Lock()
	if err != nil {
		// The source may be the only one that has lost the store: its doubts do not count.
		d.sources.Exclude(now, source)
	} else {
		d.dir.ExtendGrace(now, reply.Doubtful)
		d.stopWatching()
	}
	d.mu.Unlock()
	if err != nil {
		if d.ctx.Err() == nil {
			d.metrics.Count(metricSources)
			d.log.Info(eventSource, zap.String("source", source), errorField(err))
		}
		return false
	}
	d.apply(reply.Update, "watcher "+source)
	return true
}

func (d *Daemon) askSource(source string, wait time.Duration) (FollowReply, error) {
	ctx, cancel := context.WithTimeout(d.ctx, wait+followSlack)
	defer cancel()
	link, err := d.peer(d.peerAddress(source)).connect(ctx)
	if err != nil {
		return FollowReply{}, err
	}
	args := &FollowArgs{After: d.asOf(), Wait: wait, From: d.set.BackendAddress}
	reply, err := awaitLink[FollowReply](ctx, link, "Follow", args)
	if err == nil && !reply.Watching {
		err = errors.New("does not watch the store")
	}
	return reply, err
}

// awaitChanges returns what changes after a revision, or nothing after the wait.
func (d *Daemon) awaitChanges(ctx context.Context, after int64, wait time.Duration) FollowReply {
	over := time.NewTimer(wait)
	defer over.Stop()
	for {
		d.mu.Lock()
		changed := d.changed
		r := FollowReply{Watching: d.watching && !d.stopping, Doubtful: d.dir.Doubtful(time.Now())}
		if d.replica.AsOf() > after {
			r.Update = d.replica.Since(after)
		}
		d.mu.Unlock()
		if !r.Watching || len(r.Update.Items) > 0 {
			return r
		}
		select {
		case <-changed:
		case <-over.C:
			return r
		case <-ctx.Done():
			return r
		}
	}
}
