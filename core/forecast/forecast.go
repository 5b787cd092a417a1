package forecast

import (
	"math"
	"time"

	"github.com/hawthornpoint/hawthornpoint/config"
)

const (
	// MinRetryRatio and MaxRetryRatio bound the retry budget of a destination as
	// a share of its successes. Without a forecast the highest applies.
	MinRetryRatio = 0.02
	MaxRetryRatio = 0.10
	// MaxWarmShare bounds the warm connections as a share of the connections
	// that one upstream accepts.
	MaxWarmShare = 0.10
	// MinWarmConnections is the number of warm connections without a forecast.
	MinWarmConnections = 1
	// MinQueueDelayTarget and MaxQueueDelayTarget bound the queuing delay that
	// admission aims at. The admission threshold is set every 50 ms, so a shorter
	// target would be below the resolution of that control. Without a forecast the
	// longest applies.
	MinQueueDelayTarget = 50 * time.Millisecond
	MaxQueueDelayTarget = 100 * time.Millisecond
	// LeadTime is how far ahead of a forecast peak the plan changes.
	LeadTime = 10 * time.Minute
)

// lowLoad is the share of capacity up to which demand does not shorten the queue delay
// target.
const lowLoad = 0.5

// Plan holds the values that the sheet sets for one service at one moment.
type Plan struct {
	// RetryRatio is the retry budget as a share of the successes, within
	// MinRetryRatio..MaxRetryRatio.
	RetryRatio float64
	// WarmConnections is the number of connections kept open to each upstream.
	// PlanFor sets it to MinWarmConnections; ForConnections sets it for an upstream.
	WarmConnections int
	// WarmShare is the share of an upstream's connections to keep warm, within
	// 0..MaxWarmShare.
	WarmShare float64
	// QueueDelayTarget is the queuing delay to aim at, within
	// MinQueueDelayTarget..MaxQueueDelayTarget.
	QueueDelayTarget time.Duration
}

// DefaultPlan returns the plan that applies without a forecast.
func DefaultPlan() Plan {
	return Plan{
		RetryRatio:       MaxRetryRatio,
		WarmConnections:  MinWarmConnections,
		QueueDelayTarget: MaxQueueDelayTarget,
	}
}

// PlanFor returns the plan of a service at now. Capacity is the number of calls per
// second that all upstreams of the service complete together; a capacity that
// is not a positive finite number gives the default plan.
func PlanFor(now time.Time, s config.Sheet, service string, capacity float64) Plan {
	if !(capacity > 0) || math.IsInf(capacity, 0) {
		return DefaultPlan()
	}
	demand, known := highestDemand(now, s, service)
	if !known {
		return DefaultPlan()
	}
	return planForLoad(demand / capacity)
}

// ForConnections returns the plan with WarmConnections set for an upstream that
// accepts the given number of connections.
func (p Plan) ForConnections(connections int) Plan {
	limit := max(MinWarmConnections, int(MaxWarmShare*float64(connections)))
	p.WarmConnections = min(max(int(p.WarmShare*float64(connections)), MinWarmConnections), limit)
	return p
}

// planForLoad computes the plan for a load, the forecast demand as a share of capacity.
func planForLoad(load float64) Plan {
	// Retries are extra demand, so their ratio is the headroom that the load leaves.
	ratio := clamp(1-load, MinRetryRatio, MaxRetryRatio)
	// A queue absorbs short bursts, but under lasting load it only adds delay.
	excess := clamp((load-lowLoad)/(1-lowLoad), 0, 1)
	target := MaxQueueDelayTarget - time.Duration(excess*float64(MaxQueueDelayTarget-MinQueueDelayTarget))
	return Plan{
		RetryRatio:       ratio,
		WarmConnections:  MinWarmConnections,
		WarmShare:        MaxWarmShare * clamp(load, 0, 1),
		QueueDelayTarget: target,
	}
}

func clamp(value, low, high float64) float64 { return min(max(value, low), high) }

// highestDemand returns the highest demand that the sheet forecasts for a service
// from now until LeadTime later, and whether the sheet covers any of that time.
func highestDemand(now time.Time, s config.Sheet, service string) (demand float64, known bool) {
	from, to := now.UTC(), now.UTC().Add(LeadTime)
	midnight := time.Date(from.Year(), from.Month(), from.Day(), 0, 0, 0, 0, time.UTC)
	for offset := range 2 { // the lead time may reach into the next day
		day := midnight.AddDate(0, 0, offset)
		if day.After(to) {
			break
		}
		dayDemand, ok := highestOfDay(s, day.Format(config.DateLayout), service, from.Sub(day), to.Sub(day))
		demand, known = max(demand, dayDemand), known || ok
	}
	return demand, known
}

// highestOfDay returns the highest demand between two times since midnight of one date.
// A day that is listed twice or has a malformed window gives no forecast.
func highestOfDay(s config.Sheet, date, service string, from, to time.Duration) (demand float64, ok bool) {
	for _, day := range s.Days {
		if day.Date != date {
			continue
		}
		if ok {
			return 0, false
		}
		if demand, ok = highestOfWindows(day.Windows, service, from, to); !ok {
			return 0, false
		}
	}
	return demand, ok
}

// highestOfWindows returns the highest demand of the windows of one day that overlap
// from..to, and false if any window is malformed.
func highestOfWindows(windows []config.Window, service string, from, to time.Duration) (demand float64, ok bool) {
	for _, w := range windows {
		start, end, err := w.Span()
		if err != nil || !config.ValidRate(w.CallsPerSecond) {
			return 0, false
		}
		if w.Service == service && start <= to && from < end {
			demand = max(demand, w.CallsPerSecond)
		}
	}
	return demand, true
}
