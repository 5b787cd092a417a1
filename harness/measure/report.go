package measure

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/hawthornpoint/hawthornpoint/codes"
	"github.com/hawthornpoint/hawthornpoint/config"
)

// Figures are the results of one run.
type Figures struct {
	// Goodput is the rate of requests answered whole within their caller's
	// patience over the lower of demand and capacity, for requests that arrive in
	// the measured interval.
	Goodput float64
	// Useful is the slot time at the busiest service of runs whose whole request
	// was answered, as a share of its slots over the measured interval. Goodput
	// can exceed 1, because services with room serve more than their part of the
	// mix; this figure cannot.
	Useful float64
	// Confirm is the share of non-idempotent requests that were answered.
	Confirm float64
	// ConfirmFits says that they alone fit within the capacity.
	ConfirmFits bool
	// Recovery is the time from the end of the cause until goodput stays within 5%
	// of the level before; negative if it does not.
	Recovery time.Duration
	// Recovers says that the case has a recovery.
	Recovers bool
	// Wasted is the share of slot time of runs whose whole request failed.
	Wasted float64
	// Retries is the number of retries in the whole chain per send of a caller,
	// MaxRetries the highest of one send.
	Retries    float64
	MaxRetries int
	// OverRetried counts sends with more retries than described.
	OverRetried int
	// ReadsWhileConfirmShed counts reads that started at an upstream within 50 ms
	// after it refused a call of rank 0 for overload.
	ReadsWhileConfirmShed int
	// Doubled counts second runs of non-idempotent calls.
	Doubled int
	// ToldNotRunButRan counts calls that ran although their caller was told not.
	ToldNotRunButRan int
	// Requests is the number of requests in the measured interval.
	Requests int
	// Violations are the broken invariants that nodes reported.
	Violations []string
	// Ends counts the ends of sends by kind and code.
	Ends map[string]int
}

const (
	windowLength = 500 * time.Millisecond
	windowStep   = 100 * time.Millisecond
	// withinShare of the earlier level counts as recovered.
	withinShare = 0.95
	// levelTime is the time before the cause over which the level is taken.
	levelTime = 2 * time.Second
)

func (f *Fleet) countEnd(s *send, res result) {
	if f.figures.Ends == nil {
		f.figures.Ends = make(map[string]int)
	}
	name := s.request.service + "/" + s.request.kind.Name + ":" + res.code.String()
	if res.code.Kind() == codes.Answered && !res.whole {
		name += "-503"
	}
	f.figures.Ends[name]++
}

// summarize computes the figures of the measured interval.
func (f *Fleet) summarize(o Options, conf *config.Config, mix []share) {
	dep, c, fig := o.Deployment, o.Case, &f.figures
	from := dep.Start.Add(c.Warm)
	to := from.Add(c.Length)
	cond := condition(healthy)
	if c.Condition != nil {
		cond = c.Condition(dep, c)
	}
	capacity, busiest := dep.busiest(conf, mix, cond)
	offered, answered := f.answeredBetween(from, to)
	fig.Requests = offered
	fig.Goodput = float64(answered) / min(float64(offered), capacity*c.Length.Seconds())
	confirms, weight := important(conf, mix)
	load := f.baseLoad * max(c.Rise, 1)
	fig.ConfirmFits = load*weight <= dep.capacity(conf, confirms, cond)
	f.sumSends(from, to)
	_, slots := speed(*conf.Service(busiest), cond)
	fig.Useful = f.usefulTime(from, to, busiest).Seconds() / (slots * c.Length.Seconds())
	if c.Recovers {
		fig.Recovers = true
		fig.Recovery = f.recovery(from, to, to.Add(c.After), dep.capacity(conf, mix, healthy))
	}
}

func (f *Fleet) answeredBetween(from, to time.Time) (offered, answered int) {
	all := f.callers.requests
	first := sort.Search(len(all), func(i int) bool { return !all[i].arrived.Before(from) })
	for _, q := range all[first:] {
		if !q.arrived.Before(to) {
			break
		}
		offered++
		if q.answered {
			answered++
		}
	}
	return offered, answered
}

// sumSends adds up what single sends and non-idempotent requests used.
func (f *Fleet) sumSends(from, to time.Time) {
	fig := &f.figures
	var sends, retries, important, done int
	var used, wasted time.Duration
	for _, q := range f.callers.requests {
		for _, s := range q.sends {
			fig.MaxRetries = max(fig.MaxRetries, s.retries)
			if s.retries > q.kind.Retries {
				fig.OverRetried++
			}
		}
		if q.arrived.Before(from) || !q.arrived.Before(to) {
			continue
		}
		if !q.kind.Idempotent {
			important++
			if q.answered {
				done++
			}
		}
		for _, s := range q.sends {
			sends++
			retries += s.retries
			used += s.slotTime
			if !s.useful() {
				wasted += s.slotTime
			}
		}
	}
	fig.Confirm = ratio(done, important)
	fig.Retries = ratio(retries, sends)
	fig.Wasted = ratio(int(wasted), int(used))
}

// usefulTime returns the slot time at a service, of requests that arrived in the
// interval, that led to an answer.
func (f *Fleet) usefulTime(from, to time.Time, service string) time.Duration {
	var total time.Duration
	for _, q := range f.callers.requests {
		if q.arrived.Before(from) || !q.arrived.Before(to) {
			continue
		}
		for _, s := range q.sends {
			if s.useful() {
				total += s.slotTimeAt[service]
			}
		}
	}
	return total
}

// useful reports whether the runs of a send led to an answer. A run of an
// identified request also answers a later send.
func (s *send) useful() bool {
	return s.answered || !s.request.kind.Idempotent && s.request.answered
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// recovery returns the start, after the end of the cause, of the first window
// from which on all windows are good.
func (f *Fleet) recovery(cause, end, last time.Time, capacity float64) time.Duration {
	level := f.level(cause.Add(-levelTime), cause, capacity)
	recovered := end
	for t := end; !t.Add(windowLength).After(last); t = t.Add(windowStep) {
		if f.level(t, t.Add(windowLength), capacity) < withinShare*level {
			recovered = t.Add(windowStep)
		}
	}
	if recovered.Add(windowLength).After(last) {
		return -1
	}
	return recovered.Sub(end)
}

// level is the goodput of one window, relative to its own demand so that the
// variation of the arrivals does not matter.
func (f *Fleet) level(from, to time.Time, capacity float64) float64 {
	offered, answered := f.answeredBetween(from, to)
	if offered == 0 {
		return 1
	}
	return float64(answered) / min(float64(offered), capacity*to.Sub(from).Seconds())
}

// Line formats the figures of a run.
func (f Figures) Line(o Options) string {
	return fmt.Sprintf("measure deployment=%s case=%s policy=%s seed=%d goodput=%.3f confirm_goodput=%.4f recovery_s=%s "+
		"wasted_share=%.4f retries_per_request=%.4f max_attempts=%d reads_admitted_while_confirm_shed=%d doubled=%d "+
		"told_not_run_but_ran=%d useful_share=%.3f requests=%d scale=%g",
		o.Deployment.Name, o.Case.Name, o.Policy, o.Seed, f.Goodput, f.Confirm, f.recoveryText(),
		f.Wasted, f.Retries, f.MaxRetries, f.ReadsWhileConfirmShed, f.Doubled, f.ToldNotRunButRan, f.Useful, f.Requests, o.Deployment.Scale)
}

func (f Figures) recoveryText() string {
	switch {
	case !f.Recovers:
		return "-"
	case f.Recovery < 0:
		return "never"
	}
	return fmt.Sprintf("%.1f", f.Recovery.Seconds())
}

// EndLines lists how the sends of each kind ended.
func (f Figures) EndLines() string {
	var lines []string
	for name, count := range f.Ends {
		lines = append(lines, fmt.Sprintf("%s=%d", name, count))
	}
	sort.Strings(lines)
	return strings.Join(lines, " ")
}
