package mesh

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/core/watchers"
)

const (
	// followWait is how long a source keeps the question of a follower. A source that has
	// gone silent is noticed after this and followSlack; changes reach the follower by
	// notices of other daemons meanwhile.
	followWait = time.Second
	// followSlack is how much later the answer of a source may come.
	followSlack = 500 * time.Millisecond
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

// source returns the upstream address of the daemon to follow; empty to read the store.
func (d *Daemon) source() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	source := d.sources.Source(time.Now(), d.fleet())
	if source != "" {
		d.stopWatching()
	}
	return source
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

// follow waits once for changes at another daemon.
func (d *Daemon) follow(source string) {
	ctx, cancel := context.WithTimeout(d.ctx, followWait+followSlack)
	defer cancel()
	link, err := d.peer(d.peerAddress(source)).connect(ctx)
	var reply FollowReply
	if err == nil {
		args := &FollowArgs{After: d.asOf(), Wait: followWait, From: d.set.BackendAddress}
		reply, err = awaitLink[FollowReply](ctx, link, "Follow", args)
	}
	if err == nil && !reply.Watching {
		err = errors.New("does not watch the store")
	}
	now := time.Now()
	d.mu.Lock()
	d.dir.Doubt(now, reply.Doubtful)
	if err != nil {
		d.sources.Away(now, source)
	}
	d.mu.Unlock()
	if err != nil {
		if d.ctx.Err() == nil {
			d.metrics.Count(metricSources)
			d.log.Info(eventSource, zap.String("source", source), zap.Duration("doubtful", reply.Doubtful), errorField(err))
		}
		return
	}
	d.apply(reply.Update, "watcher "+source)
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
