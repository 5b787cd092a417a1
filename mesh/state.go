package mesh

import (
	"bytes"
	"time"

	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/core/replica"
)

// state returns what peers can receive from this daemon. d.mu is held.
func (d *Daemon) state() replica.State {
	state := replica.State{At: d.replica.At()}
	if t := d.table(); t != nil {
		state.ConfigVersion = t.Config().Version
	}
	return state
}

// receivedState returns what this daemon does not need again: its state, and a configuration of
// a peer that was refused. d.mu is held.
func (d *Daemon) receivedState() replica.State {
	state := d.state()
	state.ConfigVersion = max(state.ConfigVersion, d.refusedVersion)
	return state
}

func (d *Daemon) requestState() replica.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.receivedState()
}

// changesSince returns the changes after a state. The configuration is returned by itself if
// the update lacks it: a store that was restored from an older copy may hold an older one.
// d.mu is held.
func (d *Daemon) changesSince(since replica.State) (update replica.Update, config *StoredItem) {
	if since.At.Before(d.replica.At()) {
		update = d.replica.Since(since.At)
	}
	if d.config == nil || d.state().ConfigVersion <= since.ConfigVersion {
		return update, nil
	}
	for _, item := range update.Items {
		if item.Key == d.config.Item.Key && bytes.Equal(item.Value, d.config.Item.Value) {
			return update, nil
		}
	}
	return update, d.config
}

// applyConfig puts a configuration that a peer has sent in force and reports whether it did.
func (d *Daemon) applyConfig(config *StoredItem, source string) bool {
	if config == nil {
		return false
	}
	now := time.Now()
	change, err := d.decode(now, config.Item)
	if err != nil {
		d.metrics.Count(metricUnreadableItems)
		d.log.Warn(eventUnreadableItem, zap.String("key", config.Item.Key), positionField(config.position()), zap.String("source", source), errorField(err))
		return false
	}
	if change.Config == nil {
		return false
	}
	previous := d.table()
	d.change(now, change, *config, source)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table() == previous {
		d.refusedVersion = max(d.refusedVersion, change.Config.Version)
		return false
	}
	d.wakeFollowers()
	return true
}
