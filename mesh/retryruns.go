package mesh

// countRetryRun adds delta to the number of local runs that are retries, if this is one.
func (d *Daemon) countRetryRun(a *localAttempt, delta int) {
	if !a.isRetry {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryRuns += delta
}

// retryShare returns the share of the local runs that are retries. Requests of the local
// backend server do not say which run makes them; all runs are assumed to make the same
// number. Requests of other callers are charged as well, which overestimates the retries and
// is therefore safe. d.mu is held.
func (d *Daemon) retryShare() float64 {
	if d.retryRuns == 0 {
		return 0
	}
	return float64(d.retryRuns) / float64(max(d.limiter.Load().Running, d.retryRuns))
}
