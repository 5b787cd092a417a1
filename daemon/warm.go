package daemon

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hawthornpoint/hawthornpoint/operator"
)

const (
	// warmPath is answered by the peers listener without a call.
	warmPath = "/-/warm"
	// warmInterval is shorter than idleConnectionLife, so that connections opened
	// ahead of a peak stay open.
	warmInterval = 60 * time.Second
	// warmTimeout bounds one round.
	warmTimeout = 2 * time.Second
)

// warmLoop opens connections ahead of a peak that the sheet announces.
func (d *Daemon) warmLoop() {
	d.every(func() time.Duration { return d.jitter(warmInterval) }, d.warm)
}

func (d *Daemon) warm() {
	d.mu.Lock()
	targets := d.node.ConnectionsToWarm(time.Now())
	d.mu.Unlock()
	for address, count := range targets {
		d.warmUpstream(address, min(count, peerIdleConnections))
	}
}

// warmUpstream sends that many requests at once, so that each needs a connection
// of its own. Failures do not matter here: a later call finds them out.
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
