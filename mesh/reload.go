package mesh

import (
	"slices"
	"strconv"

	"go.uber.org/zap"
)

// Reconfigure puts changed settings in force: the seeds, the grace time, the pace of bodies, and the ratio and
// slack of the retry budget. It returns the names of changed settings that take effect only after a
// restart. Requests in flight are not affected.
func (d *Daemon) Reconfigure(settings Settings) (needStart []string) {
	d.mu.Lock()
	d.grace, d.seeds = settings.Grace, slices.Clone(settings.Seeds)
	d.dispatcher.SetBudget(settings.RetryRatio, settings.RetrySlack)
	d.mu.Unlock()
	d.bodyPace.Store(settings.BodyPace)
	for _, s := range []struct{ name, current, changed string }{
		{"name", d.settings.Name, settings.Name}, {"zone", d.settings.Zone, settings.Zone}, {"service", d.settings.Service, settings.Service},
		{"backend_address", d.settings.BackendAddress, settings.BackendAddress}, {"caller_address", d.settings.CallerAddress, settings.CallerAddress},
		{"peer_address", d.settings.PeerAddress, settings.PeerAddress}, {"control_address", d.settings.ControlAddress, settings.ControlAddress},
		{"ready_address", d.settings.ReadyAddress, settings.ReadyAddress}, {"metrics_address", d.settings.MetricsAddress, settings.MetricsAddress},
		{"retry_window", d.settings.RetryWindow.String(), settings.RetryWindow.String()},
		{"entry_lifetime", d.settings.EntryLifetime.String(), settings.EntryLifetime.String()},
		{"max_config_age", d.settings.MaxConfigAge.String(), settings.MaxConfigAge.String()},
		{"quota_window", d.settings.QuotaWindow.String(), settings.QuotaWindow.String()},
		{"max_descriptors", strconv.FormatInt(d.settings.MaxDescriptors, 10), strconv.FormatInt(settings.MaxDescriptors, 10)},
		{"memory_bytes", strconv.FormatInt(d.settings.MemoryBytes, 10), strconv.FormatInt(settings.MemoryBytes, 10)},
	} {
		if s.current != s.changed {
			needStart = append(needStart, s.name)
		}
	}
	d.log.Info(eventReload, zap.Duration("grace", settings.Grace), zap.Strings("seeds", settings.Seeds), zap.Float64("retry_ratio", settings.RetryRatio),
		zap.Float64("retry_slack", settings.RetrySlack), zap.Int64("body_pace", settings.BodyPace), zap.Strings("need_start", needStart))
	return needStart
}
