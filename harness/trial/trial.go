package trial

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/examples"
	"github.com/hawthornpoint/hawthornpoint/harness/standin"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

const (
	// serviceTime is the mean run time of a stand-in backend server without its
	// downstream calls.
	serviceTime = 10 * time.Millisecond
	// serviceSigma is the standard deviation of the logarithm of the run time.
	serviceSigma = 0.3
	// slowFactor multiplies the run times of one upstream for a third of the trial.
	slowFactor = 5
	// latencySamples is the number of direct calls, and of calls through daemons,
	// that measure the added latency.
	latencySamples = 100
)

// Options selects what a trial does.
type Options struct {
	// Deployment names a bundled deployment.
	Deployment string
	// Duration is the time during which requests are sent.
	Duration time.Duration
	// Rate is the number of requests per second.
	Rate float64
	// Seed makes arrival times and kinds repeatable; the timing of the network
	// remains random.
	Seed uint64
	// Logger receives the daemons' logs; nil discards them.
	Logger *zap.Logger
	// Progress receives a line of text for each step; nil discards the lines.
	Progress io.Writer
}

// Run runs a trial and returns its report. It returns an error if the deployment
// cannot be loaded or started, or if the added latency cannot be measured.
func Run(ctx context.Context, o Options) (*Report, error) {
	conf, err := examples.Load(o.Deployment)
	if err != nil {
		return nil, err
	}
	log := o.Logger
	if log == nil {
		log = zap.NewNop()
	}
	t := &trial{options: o, conf: conf, report: &Report{Deployment: o.Deployment}}
	t.progress("starting %d services", len(conf.Services))
	t.fleet, err = newFleet(ctx, conf, standin.ServiceTime{Mean: serviceTime, Sigma: serviceSigma}, o.Seed, log)
	if err != nil {
		return nil, errors.Wrap(err, "start")
	}
	defer t.fleet.close()
	if err := t.measureAddedLatency(); err != nil {
		return nil, errors.Wrap(err, "added latency")
	}
	if err := t.run(ctx); err != nil {
		return nil, err
	}
	t.evaluate()
	return t.report, nil
}

type trial struct {
	options Options
	conf    *config.Config
	fleet   *fleet
	load    *load
	report  *Report
}

func (t *trial) progress(format string, args ...any) {
	if t.options.Progress != nil {
		fmt.Fprintf(t.options.Progress, format+"\n", args...)
	}
}

// run sends requests and injects two events: the first upstream of the deepest
// service is slow in the second third of the duration, and the last upstream of
// that service leaves at the start of the last third.
func (t *trial) run(ctx context.Context) error {
	t.load = newLoad(t.fleet, t.options.Seed)
	ctx, cancel := context.WithTimeout(ctx, t.options.Duration)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.load.run(ctx, t.options.Rate)
	}()
	third := t.options.Duration / 3
	t.progress("sending %.0f requests per second for %v", t.options.Rate, t.options.Duration)
	deepest := t.fleet.vmsOf(deepestService(t.conf))
	slow, leaving := deepest[0], deepest[len(deepest)-1]
	sleep(ctx, third)
	t.progress("%s becomes %d times slower", slow.conf.Name, slowFactor)
	slow.backend.SetFaults(standin.Faults{SlowFactor: slowFactor})
	sleep(ctx, third)
	slow.backend.SetFaults(standin.Faults{})
	t.progress("%s runs at normal speed again; %s leaves", slow.conf.Name, leaving.conf.Name)
	t.load.markLeft(leaving)
	if err := leaving.daemon.Shutdown(context.Background()); err != nil {
		t.report.CutAtStop++
	}
	<-done
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// deepestService returns the service in which the longest chain of calls ends.
func deepestService(conf *config.Config) string {
	depth := make(map[string]int)
	var visit func(service, kind string, level int)
	visit = func(service, kind string, level int) {
		depth[service] = max(depth[service], level)
		for _, next := range conf.Service(service).Kind(kind).Calls {
			visit(next.Service, next.Kind, level+1)
		}
	}
	for _, s := range conf.Services {
		for _, k := range s.Kinds {
			visit(s.Name, k.Name, 0)
		}
	}
	deepest := conf.Services[0].Name
	for _, s := range conf.Services {
		if depth[s.Name] > depth[deepest] {
			deepest = s.Name
		}
	}
	return deepest
}

// measureAddedLatency sends one read at a time, directly and through daemons.
func (t *trial) measureAddedLatency() error {
	target, ok := leafRead(entryTargets(t.conf))
	if !ok {
		return errors.New("the deployment has no read without downstream calls")
	}
	v := t.fleet.vmsOf(target.service)[0]
	path := standin.Path(target.service, target.kind, nil)
	direct, viaDaemons := newHistogram(), newHistogram()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for range latencySamples {
		for address, h := range map[string]interface{ RecordValue(int64) error }{v.address: direct, v.daemon.Addr("callers"): viaDaemons} {
			started := time.Now()
			resp, err := client.Get("http://" + address + path)
			if err != nil {
				return err
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			_ = h.RecordValue(time.Since(started).Microseconds())
		}
	}
	t.report.AddedLatency = AddedLatency{
		DirectP50MS: quantileMS(direct, 50), DirectP99MS: quantileMS(direct, 99),
		DaemonP50MS: quantileMS(viaDaemons, 50), DaemonP99MS: quantileMS(viaDaemons, 99),
	}
	return nil
}

func leafRead(targets []target) (target, bool) {
	for _, t := range targets {
		if t.kind.Idempotent && len(t.kind.Calls) == 0 {
			return t, true
		}
	}
	return target{}, false
}

// evaluate compares the answers of callers with the runs of the backend servers
// and fills in the report.
func (t *trial) evaluate() {
	runs := t.countRuns()
	t.report.Doubled = runs.doubled()
	for _, target := range t.load.targets {
		t.report.Kinds = append(t.report.Kinds, KindReport{
			Service: target.service, Kind: target.kind.Name,
			Refused: make(map[string]int), Unknown: make(map[string]int), latency: newHistogram(),
		})
	}
	answered, total := 0, 0
	for _, r := range t.load.requests {
		kind := &t.report.Kinds[r.target]
		kind.Sent++
		kind.add(r.last())
		total++
		if s := r.last(); s.reply.Code.Kind() == resultcode.Answered && s.status/100 == 2 && !s.wrong {
			answered++
		}
		t.evaluateRequest(r, runs)
	}
	for i := range t.report.Kinds {
		k := &t.report.Kinds[i]
		k.P50MS, k.P99MS = quantileMS(k.latency, 50), quantileMS(k.latency, 99)
	}
	if total > 0 {
		t.report.Goodput = float64(answered) / float64(total)
	}
	for _, v := range t.fleet.vms {
		t.report.InvariantViolations += v.daemon.Counters().Violations()
	}
}

func (t *trial) evaluateRequest(r *request, runs runCounts) {
	target := t.load.targets[r.target]
	for _, s := range r.sends {
		t.report.RetriesMaxPerRequest = max(t.report.RetriesMaxPerRequest, s.reply.RetriesUsed)
		if s.reply.RetriesUsed > target.kind.Retries {
			t.report.InvariantViolations++
		}
		if s.wrong {
			t.report.WrongAnswers++
		}
		if s.reply.Code.Kind() == resultcode.NotRun && runs.requests[s.reply.RequestID.String()] > 0 {
			t.report.ToldNotRunButRan++
		}
	}
	if r.key != "" && r.last().reply.Code.Kind() == resultcode.NotRun && runs.keys[r.key] > 0 {
		t.report.ToldNotRunButRan++
	}
}

// runCounts holds the numbers of runs on all backend servers, per idempotency key
// and per request id.
type runCounts struct {
	keys, requests map[string]int
}

func (t *trial) countRuns() runCounts {
	runs := runCounts{keys: make(map[string]int), requests: make(map[string]int)}
	for _, v := range t.fleet.vms {
		counts := v.backend.Counts()
		for key, n := range counts.ByKey {
			runs.keys[key] += n
		}
		for id, n := range counts.Requests {
			runs.requests[id] += n
		}
	}
	return runs
}

func (c runCounts) doubled() int {
	doubled := 0
	for _, n := range c.keys {
		if n > 1 {
			doubled++
		}
	}
	return doubled
}
