package dispatch

import (
	"slices"
	"time"

	"github.com/hawthornpoint/hawthornpoint/core/directory"
)

// ReserveRepeat reports whether the request would be sent to another upstream if the attempt under way were
// lost now, and takes the retry from the budget then: requests on one upstream are given up at the same
// moment. If not, the attempt is worth waiting for until the deadline.
func (d *Dispatcher) ReserveRepeat(now time.Time, req *OutgoingRequest, quarantined bool) bool {
	lost := Report{Result: Lost, Retryable: true, Quarantined: quarantined}
	if _, allowed := d.mayRetry(now, req, lost, req.sent+1); !allowed || req.asked >= maxAsked {
		return false
	}
	possible := slices.ContainsFunc(d.dir.Serving(req.Service), func(u directory.Upstream) bool {
		return u.ID != req.target && !req.mayHaveRun[u.ID] && (!req.tried[u.ID] || req.refusals > 0)
	})
	if possible && !req.reserved {
		d.budget(req.Service).Charge(now, 1)
		req.reserved = true
	}
	return possible
}

// mayRetry returns the name of the deciding input, and whether the request may be sent again after
// it was sent a number of times.
func (d *Dispatcher) mayRetry(now time.Time, req *OutgoingRequest, report Report, sent int) (string, bool) {
	left := req.Deadline.Sub(now)
	switch {
	case d.closed:
		return "stopping", false
	case !report.Retryable:
		return bodySpent, false
	case report.Quarantined:
		return quarantined, false
	case report.Result == Failed && report.BlockedBelow:
		return "blocked_below", false
	case !req.Route.Idempotent && report.Result != Rejected:
		return "not_idempotent", false
	case sent >= req.Route.MaxUpstreams:
		return "attempts_spent", false
	case left < d.averageLatency[req.Route.Name]:
		return "time_left", false
	case !req.reserved && !d.budget(req.Service).Available(now):
		return "budget_spent", false
	}
	return "repeat", true
}
