package mesh

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/core/quarantine"
)

const (
	// reportedPeers is how many peers each daemon sends reports to that are new to it. Nearly all
	// daemons receive them; the others do with an exchange.
	reportedPeers = 4
	// reportPause is the pause after reports were sent, in which further ones are collected.
	reportPause = 20 * time.Millisecond
	// maxSentReports bounds the reports in one message. It exceeds the requests that a backend
	// server usually runs at once, so that a crash is reported in one message.
	maxSentReports = 512
	// maxUnsentReports bounds the reports that wait to be sent. Those beyond it reach peers with
	// exchanges.
	maxUnsentReports = 4096
	// maxExchangedReports bounds the reports that each side of an exchange sends.
	maxExchangedReports = 64
)

// receiveReports merges reports that came with a reply.
func (d *Daemon) receiveReports(reports []quarantine.Report) {
	if len(reports) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mergeReports(reports)
}

// mergeReports merges reports of a peer. d.mu is held.
func (d *Daemon) mergeReports(reports []quarantine.Report) {
	if len(reports) == 0 {
		return
	}
	added := d.crashes.Merge(d.timeOfDay(), reports)
	if len(added) == 0 {
		return
	}
	d.spreadReports("received", added)
	d.isolateWaiting()
}

// spreadReports queues reports that are new to this daemon for some of its peers. d.mu is held.
func (d *Daemon) spreadReports(source string, reports []quarantine.Report) {
	for _, r := range reports {
		d.metrics.Count(metricReports, source)
		if r.Refused {
			d.log.Warn(eventQuarantined, fingerprintField(r.Fingerprint), zap.Time("newest_crash", r.At), zap.String("source", source))
		}
		if len(d.unsentReports) >= maxUnsentReports {
			d.metrics.Count(metricReports, "not_sent")
			continue
		}
		d.unsentReports = append(d.unsentReports, r)
	}
	if len(reports) > 0 {
		d.exchanges.ReportsAdded()
		d.wakeReportLoop()
	}
}

func (d *Daemon) wakeReportLoop() {
	select {
	case d.wakeReports <- struct{}{}:
	default:
	}
}

// reportLoop sends new reports to some peers at once, and exchanges reports with a random peer
// from time to time.
func (d *Daemon) reportLoop() {
	for d.ctx.Err() == nil {
		timer := time.NewTimer(d.exchangeInterval())
		select {
		case <-d.ctx.Done():
		case <-timer.C:
			d.exchangeReports()
		case <-d.wakeReports:
			d.sendReports()
			d.pause(reportPause)
		}
		timer.Stop()
	}
}

func (d *Daemon) exchangeInterval() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exchanges.Interval()
}

// sendReports sends the reports that are new to this daemon to some peers.
func (d *Daemon) sendReports() {
	d.mu.Lock()
	n := min(len(d.unsentReports), maxSentReports)
	args := &ReportsArgs{Reports: d.unsentReports[:n:n]}
	d.unsentReports = d.unsentReports[n:]
	if len(d.unsentReports) > 0 {
		d.wakeReportLoop()
	}
	addresses := d.randomPeers(reportedPeers)
	d.mu.Unlock()
	for _, address := range addresses {
		d.workers.Go(func() { d.callReports(address, args) })
	}
}

// exchangeReports exchanges reports with a random peer if that is due.
func (d *Daemon) exchangeReports() {
	d.mu.Lock()
	if !d.exchanges.Due() {
		d.mu.Unlock()
		return
	}
	addresses := d.randomPeers(1)
	args := &ReportsArgs{Reports: d.crashes.Reports(d.timeOfDay(), maxExchangedReports), Exchange: true}
	d.mu.Unlock()
	for _, address := range addresses {
		d.callReports(address, args)
	}
}

func (d *Daemon) callReports(address string, args *ReportsArgs) {
	ctx, cancel := context.WithTimeout(d.ctx, peerSyncTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := callPeer[ReportsReply](ctx, d.peer(address), "Reports", args)
	if err != nil {
		d.metrics.Count(metricFailedNotices)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if args.Exchange {
		d.exchanges.Answered()
	}
	d.observeClock(address, sent.Add(time.Since(sent)/2), reply.Clock)
	d.mergeReports(reply.Reports)
}
