package measure

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// Figures are the results of one run.
type Figures struct {
	// Goodput is the rate of requests answered successfully within their caller's
	// patience, divided by the lower of demand and capacity, for requests that
	// arrive in the measured interval.
	Goodput float64
	// UsefulShare is the slot time at the bottleneck service of runs whose entire
	// request was answered, as a share of its slots over the measured interval.
	// Goodput can exceed 1, because services with spare capacity serve more than
	// their share of the mix; this figure cannot.
	UsefulShare float64
	// NonIdempotentGoodput is the share of non-idempotent requests that were
	// answered.
	NonIdempotentGoodput float64
	// NonIdempotentFits reports whether the non-idempotent requests alone fit
	// within the capacity.
	NonIdempotentFits bool
	// Recovery is the time from the end of the fault until goodput stays within 5%
	// of its value before the fault; negative if it does not.
	Recovery time.Duration
	// Recovers reports whether Recovery is measured.
	Recovers bool
	// WastedShare is the share of slot time spent on runs whose entire request
	// failed.
	WastedShare float64
	// Retries is the mean number of retries on all hops per send of a caller,
	// MaxRetries the highest number of one send.
	Retries    float64
	MaxRetries int
	// OverRetried counts sends with more retries than the description of their
	// kind allows.
	OverRetried int
	// ReadsAfterRefusal counts runs for requests of a rank above 0 (reads) that
	// started at an upstream within 50 ms after it refused a call of rank 0 for
	// overload.
	ReadsAfterRefusal int
	// Doubled counts second and further runs of non-idempotent calls.
	Doubled int
	// ToldNotRunButRan counts the contradictions between runs and reports: a
	// call reported as not run that had run, and a run of a call after that report.
	ToldNotRunButRan int
	// Requests is the number of requests in the measured interval.
	Requests int
	// Violations are the broken invariants reported by nodes.
	Violations []string
	// Ends counts the results of sends by kind and code.
	Ends map[string]int
}

const (
	windowLength = 500 * time.Millisecond
	windowStep   = 100 * time.Millisecond
	// recoveredShare is the share of the goodput before the fault that counts as
	// recovered.
	recoveredShare = 0.95
	// referenceTime is the length of the interval before the fault whose goodput is
	// the reference for recovery.
	referenceTime = 2 * time.Second
)

func (f *Fleet) countEnd(s *send, res result) {
	if f.figures.Ends == nil {
		f.figures.Ends = make(map[string]int)
	}
	name := s.request.service + "/" + s.request.kind.Name + ":" + res.code.String()
	if res.code.Kind() == resultcode.Answered && !res.success {
		name += "-503"
	}
	f.figures.Ends[name]++
}

// summarize computes the figures of the measured interval.
func (f *Fleet) summarize(o Options, conf *config.Config, mix []mixEntry) {
	dep, c, fig := o.Deployment, o.Case, &f.figures
	from := dep.Start.Add(c.WarmUp)
	to := from.Add(c.Length)
	cond := condition(healthy)
	if c.Condition != nil {
		cond = c.Condition(dep, c)
	}
	capacity, bottleneck := dep.bottleneck(conf, mix, cond)
	offered, answered := f.answeredBetween(from, to)
	fig.Requests = offered
	fig.Goodput = float64(answered) / min(float64(offered), capacity*c.Length.Seconds())
	nonIdempotent, weight := nonIdempotentMix(conf, mix)
	load := f.baseLoad * max(c.FaultLoadFactor, 1)
	fig.NonIdempotentFits = load*weight <= dep.capacity(conf, nonIdempotent, cond)
	f.sumSends(from, to)
	_, slots := usableSlots(*conf.Service(bottleneck), cond)
	fig.UsefulShare = f.usefulTime(from, to, bottleneck).Seconds() / (slots * c.Length.Seconds())
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

// sumSends computes the figures on retries and slot time of sends, and on the answers
// to non-idempotent requests.
func (f *Fleet) sumSends(from, to time.Time) {
	fig := &f.figures
	var sends, retries, nonIdempotent, answeredNonIdempotent int
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
			nonIdempotent++
			if q.answered {
				answeredNonIdempotent++
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
	fig.NonIdempotentGoodput = ratio(answeredNonIdempotent, nonIdempotent)
	fig.Retries = ratio(retries, sends)
	fig.WastedShare = ratio(int(wasted), int(used))
}

// usefulTime returns the slot time at a service that led to an answer, for requests
// that arrived in the interval.
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

// useful reports whether the runs of a send led to an answer. A run of a
// non-idempotent request, which has a key, also answers a later send.
func (s *send) useful() bool {
	return s.answered || !s.request.kind.Idempotent && s.request.answered
}

func ratio(part, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}

// recovery returns the time from the end of the fault to the start of the first
// window from which on all windows reach recoveredShare; -1 if there is none.
func (f *Fleet) recovery(begin, end, last time.Time, capacity float64) time.Duration {
	goodput := f.goodput(begin.Add(-referenceTime), begin, capacity)
	recovered := end
	for t := end; !t.Add(windowLength).After(last); t = t.Add(windowStep) {
		if f.goodput(t, t.Add(windowLength), capacity) < recoveredShare*goodput {
			recovered = t.Add(windowStep)
		}
	}
	if recovered.Add(windowLength).After(last) {
		return -1
	}
	return recovered.Sub(end)
}

// goodput returns the goodput of one window, relative to the demand in that window so
// that the variation of arrivals does not matter.
func (f *Fleet) goodput(from, to time.Time, capacity float64) float64 {
	offered, answered := f.answeredBetween(from, to)
	if offered == 0 {
		return 1
	}
	return float64(answered) / min(float64(offered), capacity*to.Sub(from).Seconds())
}

// Line formats the figures of a run as one line of key=value pairs.
func (f Figures) Line(o Options) string {
	return fmt.Sprintf("measure deployment=%s case=%s policy=%s seed=%d goodput=%.3f confirm_goodput=%.4f recovery_s=%s "+
		"wasted_share=%.4f retries_per_request=%.4f max_attempts=%d reads_admitted_while_confirm_shed=%d doubled=%d "+
		"told_not_run_but_ran=%d useful_share=%.3f requests=%d scale=%g",
		o.Deployment.Name, o.Case.Name, o.Policy, o.Seed, f.Goodput, f.NonIdempotentGoodput, f.recoveryText(),
		f.WastedShare, f.Retries, f.MaxRetries, f.ReadsAfterRefusal, f.Doubled, f.ToldNotRunButRan, f.UsefulShare, f.Requests, o.Deployment.Scale)
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

// EndsLine formats Ends as one sorted line of kind:code=count pairs.
func (f Figures) EndsLine() string {
	var pairs []string
	for name, count := range f.Ends {
		pairs = append(pairs, fmt.Sprintf("%s=%d", name, count))
	}
	sort.Strings(pairs)
	return strings.Join(pairs, " ")
}
