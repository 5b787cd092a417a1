package daemon

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hawthornpoint/hawthornpoint/operator"
)

const (
	// warmPath is a path that the peers listener answers itself, without a call.
	warmPath = "/-/warm"
	// warmInterval is the mean time between two rounds. It is shorter than
	// idleConnectionTimeout, so that connections opened ahead of a peak stay open.
	warmInterval = 60 * time.Second
	// warmTimeout bounds the requests of one round to one upstream.
	warmTimeout = 2 * time.Second
)

// warmLoop periodically opens connections to upstreams ahead of a peak that the sheet
// forecasts.
func (d *Daemon) warmLoop() {
	d.runPeriodically(func() time.Duration { return d.jittered(warmInterval) }, d.warm)
}

func (d *Daemon) warm() {
	d.mu.Lock()
	targets := d.node.ConnectionsToWarm(time.Now())
	d.mu.Unlock()
	for address, count := range targets {
		d.warmUpstream(address, min(count, peerIdleConnections))
	}
}

// warmUpstream sends count requests concurrently, so that each needs a connection of its
// own. Failures are only counted: a later call detects them.
func (d *Daemon) warmUpstream(address string, count int) {
	ctx, cancel := context.WithTimeout(d.ctx, warmTimeout)
	defer cancel()
	var group errgroup.Group
	for range count {
		group.Go(func() error {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+warmPath, nil)
			if err != nil {
				return err
			}
			resp, err := d.peers.RoundTrip(req)
			if err != nil {
				return err
			}
			return resp.Body.Close()
		})
	}
	if group.Wait() != nil {
		d.counters.Event(operator.EventWarmFailed)
	}
}
