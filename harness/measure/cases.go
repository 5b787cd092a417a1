package measure

import (
	"time"

	"github.com/hawthornpoint/hawthornpoint/config"
)

// Case is one measurement.
type Case struct {
	Name string
	// Load is the demand as a multiple of the capacity of the healthy fleet.
	Load float64
	// Reads multiplies the idempotent part of the demand; 0 leaves it.
	Reads float64
	// Rise multiplies the demand while the cause lasts; 0 leaves it.
	Rise float64
	// Hard lets callers send again at once, up to 3 times, while the cause lasts
	// and after it.
	Hard bool
	// Warm, Length and After are the times before, during and after the measured
	// interval.
	Warm, Length, After time.Duration
	// Recovers says that the interval is a cause that ends.
	Recovers bool
	// Slow is the factor on the service time.
	Slow float64
	// Begin and End apply and remove the cause.
	Begin, End func(f *Fleet, c *Case)
	// Condition describes the upstreams during the interval.
	Condition func(dep *Deployment, c *Case) condition
	// Sheet makes the forecast.
	Sheet func(dep *Deployment, load float64) func(*config.Config) config.Sheet
	// Targets are the bounds of the design page that apply.
	Targets []target
}

const (
	warmTime  = 3 * time.Second
	loadTime  = 4 * time.Second
	causeTime = 5 * time.Second
	deepTime  = 10 * time.Second
	afterTime = 5 * time.Second
	// baseLoad is the load at which faults happen.
	baseLoad = 0.7
)

// Cases returns all cases of a deployment.
func Cases(dep *Deployment) []*Case {
	cases := []*Case{
		loadCase("steady", 0.7, targetWasted),
		loadCase("load-1.5", 1.5, targetGoodput(0.95), targetConfirm, targetRetries, targetWasted),
		loadCase("load-2", 2, targetGoodput(0.95), targetConfirm, targetRetries, targetWasted),
		loadCase("load-4", 4, targetGoodput(0.90), targetConfirm, targetRetries, targetWasted),
		loadCase("load-10", 10, targetGoodput(0.90), targetConfirm, targetRetries, targetWasted),
		readsCase(),
		deepCase(dep),
		slowCase(),
		killCase(),
		cutCase(),
		lossCase(),
		pauseCase(),
	}
	return append(cases, sheetCases()...)
}

func loadCase(name string, load float64, targets ...target) *Case {
	return &Case{Name: name, Load: load, Warm: warmTime, Length: loadTime, Targets: targets}
}

// readsCase multiplies reads only. Non-idempotent requests stay at their share of
// the capacity and fit.
func readsCase() *Case {
	c := loadCase("reads-10", 1, targetConfirm, targetRetries, targetWasted)
	c.Reads = 10
	return c
}

func faultCase(name string, length time.Duration, targets ...target) *Case {
	return &Case{
		Name: name, Load: baseLoad, Warm: warmTime, Length: length, After: afterTime, Recovers: true,
		Targets: append(targets, targetRecovery, targetWasted),
	}
}

// deepCase slows a deep service while demand doubles and callers send again.
func deepCase(dep *Deployment) *Case {
	c := faultCase("deep", deepTime, targetRetries)
	c.Rise, c.Hard, c.Slow = 2, true, 5
	set := func(slow func(*Case) float64) func(*Fleet, *Case) {
		return func(f *Fleet, c *Case) {
			for _, d := range f.upstreams(dep.Deep) {
				d.backend.slow = slow(c)
			}
		}
	}
	c.Begin, c.End = set(func(c *Case) float64 { return c.Slow }), set(normalSpeed)
	c.Condition = func(dep *Deployment, c *Case) condition {
		return func(service string, _ config.Upstream) float64 {
			if service == dep.Deep {
				return c.Slow
			}
			return 1
		}
	}
	return c
}

func normalSpeed(*Case) float64 { return 1 }

// faulty is the upstream that single faults hit: the first one of the second
// service, which is stock in Quito and result in Alpenbrett.
func faulty(f *Fleet) *Daemon { return f.upstreams(f.conf.Services[1].Name)[0] }

func slowCase() *Case {
	c := faultCase("slow-one", causeTime)
	c.Slow = 5
	c.Begin = func(f *Fleet, c *Case) { faulty(f).backend.slow = c.Slow }
	c.End = func(f *Fleet, _ *Case) { faulty(f).backend.slow = 1 }
	c.Condition = func(dep *Deployment, c *Case) condition {
		return func(_ string, u config.Upstream) float64 {
			if isFaulty(dep, u) {
				return c.Slow
			}
			return 1
		}
	}
	return c
}

func isFaulty(dep *Deployment, u config.Upstream) bool { return u.Name == dep.Deep+"-a" }

// killCase ends a daemon with its backend server. A new incarnation starts when
// the cause ends.
func killCase() *Case {
	c := faultCase("kill-one", causeTime)
	c.Begin = func(f *Fleet, _ *Case) { faulty(f).kill() }
	c.End = func(f *Fleet, _ *Case) { faulty(f).start(f.loop.Now()) }
	c.Condition = func(dep *Deployment, _ *Case) condition {
		return func(_ string, u config.Upstream) float64 {
			if isFaulty(dep, u) {
				return 0
			}
			return 1
		}
	}
	return c
}

func cutCase() *Case {
	c := faultCase("zone-cut", causeTime)
	c.Begin = func(f *Fleet, _ *Case) { f.net.cut = f.daemons[0].zone }
	c.End = func(f *Fleet, _ *Case) { f.net.cut = "" }
	return c
}

// linkLoss is the share of packets between zones that the case "loss" loses.
const linkLoss = 0.01

func lossCase() *Case {
	c := faultCase("loss", causeTime)
	c.Begin = func(f *Fleet, _ *Case) { f.net.loss = linkLoss }
	c.End = func(f *Fleet, _ *Case) { f.net.loss = 0 }
	return c
}

func pauseCase() *Case {
	c := faultCase("pause-all", causeTime)
	each := func(do func(*Daemon)) func(*Fleet, *Case) {
		return func(f *Fleet, _ *Case) {
			for _, d := range f.daemons {
				do(d)
			}
		}
	}
	c.Begin, c.End = each((*Daemon).pause), each((*Daemon).resume)
	return c
}

// sheetCases compare forecasts at twice the capacity.
func sheetCases() []*Case {
	const load = 2
	makeCase := func(name string, factor float64, days int) *Case {
		c := loadCase(name, load, targetGoodput(0.95))
		c.Sheet = func(dep *Deployment, load float64) func(*config.Config) config.Sheet {
			return forecastOf(dep, load*factor, days)
		}
		return c
	}
	missing := loadCase("sheet-missing", load, targetGoodput(0.95))
	return []*Case{
		missing, makeCase("sheet-right", 1, 0), makeCase("sheet-day-off", 1, 1), makeCase("sheet-ten-times", 10, 0),
	}
}

// quietShare is the demand on the day before or after a peak day.
const quietShare = 0.1

// forecastOf makes a sheet that has the peak the given number of days late.
func forecastOf(dep *Deployment, load float64, days int) func(*config.Config) config.Sheet {
	return func(conf *config.Config) config.Sheet {
		calls := dep.demand(conf, load)
		var sheet config.Sheet
		for offset := range 2 {
			factor := quietShare
			if offset == days {
				factor = 1
			}
			day := config.Day{Date: dep.Start.AddDate(0, 0, offset).Format(config.DateLayout)}
			for _, s := range conf.Services {
				day.Windows = append(day.Windows, config.Window{
					Start: "00:00", End: "24:00", Service: s.Name, CallsPerSecond: factor * calls[s.Name],
				})
			}
			sheet.Days = append(sheet.Days, day)
		}
		return sheet
	}
}
