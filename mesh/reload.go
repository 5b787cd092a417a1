package mesh

import (
	"slices"

	"go.uber.org/zap"
)

// Reconfigure puts changed settings in force: the seeds, the grace time, and the bounds of
// repeats. It returns the names of changed settings that need a new start. Nothing that is in
// flight is touched.
func (d *Daemon) Reconfigure(set Settings) (needStart []string) {
	d.mu.Lock()
	d.grace, d.seeds = set.Grace, slices.Clone(set.Seeds)
	d.dispatcher.SetBudget(set.RetryRatio, set.RetrySlack)
	d.mu.Unlock()
	for _, s := range []struct{ name, have, want string }{
		{"name", d.set.Name, set.Name}, {"zone", d.set.Zone, set.Zone}, {"service", d.set.Service, set.Service},
		{"backend_address", d.set.BackendAddress, set.BackendAddress}, {"caller_address", d.set.CallerAddress, set.CallerAddress},
		{"peer_address", d.set.PeerAddress, set.PeerAddress}, {"control_address", d.set.ControlAddress, set.ControlAddress},
		{"ready_address", d.set.ReadyAddress, set.ReadyAddress}, {"metrics_address", d.set.MetricsAddress, set.MetricsAddress},
		{"retry_window", d.set.RetryWindow.String(), set.RetryWindow.String()},
	} {
		if s.have != s.want {
			needStart = append(needStart, s.name)
		}
	}
	d.log.Info(eventReload, zap.Duration("grace", set.Grace), zap.Strings("seeds", set.Seeds), zap.Float64("retry_ratio", set.RetryRatio),
		zap.Float64("retry_slack", set.RetrySlack), zap.Strings("need_start", needStart))
	return needStart
}
