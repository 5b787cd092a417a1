package measure

import (
	"time"

	"github.com/hawthornpoint/hawthornpoint/config"
)

// drainTime is longer than the longest patience, and resendDrainTime is longer than
// the patience of all sends of a request together, so that every request of the
// measured interval has ended.
const (
	drainTime       = 6 * time.Second
	resendDrainTime = 21 * time.Second
)

// Options select one run.
type Options struct {
	Deployment   *Deployment
	Case         *Case
	Policy       string
	Seed         uint64
	Descriptions []byte
	// Trace is called with the details of each broken guarantee; it may be nil.
	Trace func(format string, args ...any)
}

// Run measures one case under one policy.
func Run(o Options) (Figures, error) {
	dep, c := o.Deployment, o.Case
	mix, load, err := demandOf(o)
	if err != nil {
		return Figures{}, err
	}
	var sheet func(*config.Config) config.Sheet
	if c.Sheet != nil {
		sheet = c.Sheet(dep, load)
	}
	conf, envelope, err := dep.load(o.Descriptions, sheet)
	if err != nil {
		return Figures{}, err
	}
	f := newFleet(dep, conf, envelope, o.Seed, o.Policy)
	f.trace, f.baseLoad, f.callers.load = o.Trace, load, load
	for _, s := range mix {
		f.callers.start(s)
	}
	f.runPhases(dep, c)
	f.summarize(o, conf, mix)
	return f.figures, nil
}

// demandOf returns the mix of a case and its total requests per second.
func demandOf(o Options) ([]mixEntry, float64, error) {
	dep, c := o.Deployment, o.Case
	conf, _, err := dep.load(o.Descriptions, nil)
	if err != nil {
		return nil, 0, err
	}
	mix, load := dep.Mix, c.Load*dep.capacity(conf, dep.Mix, healthy)
	if c.ReadFactor > 0 {
		multiplied, factor := multiplyReads(conf, dep.Mix, c.ReadFactor)
		mix, load = multiplied, load*factor
	}
	return mix, load, nil
}

// runPhases simulates the warm-up, the measured interval, the time after it and the
// drain of a case.
func (f *Fleet) runPhases(dep *Deployment, c *Case) {
	begin := dep.Start.Add(c.WarmUp)
	end := begin.Add(c.Length)
	f.loop.At(begin, func() {
		f.callers.resends = c.Resends
		if c.FaultLoadFactor > 0 {
			f.callers.load = c.FaultLoadFactor * f.baseLoad
		}
		if c.Begin != nil {
			c.Begin(f, c)
		}
	})
	f.loop.At(end, func() {
		f.callers.load = f.baseLoad
		if c.End != nil {
			c.End(f, c)
		}
	})
	f.loop.At(end.Add(c.After), func() { f.callers.load = 0 })
	drain := drainTime
	if c.Resends {
		drain = resendDrainTime
	}
	f.loop.Run(end.Add(c.After + drain))
}
