package measure

import (
	"time"

	"github.com/hawthornpoint/hawthornpoint/config"
)

// Case describes one measurement.
type Case struct {
	Name string
	// Load is the demand as a multiple of the capacity of the healthy fleet.
	Load float64
	// ReadFactor multiplies the idempotent part of the demand; 0 leaves it as it is.
	ReadFactor float64
	// FaultLoadFactor multiplies the demand during the fault; 0 leaves it as it is.
	FaultLoadFactor float64
	// Resends makes callers send a failed request again after resendPause, up to
	// 3 times, during the fault and after it.
	Resends bool
	// WarmUp, Length and After are the durations of the time before the measured
	// interval, of the interval and of the time after it.
	WarmUp, Length, After time.Duration
	// Recovers says that the interval is a fault whose recovery is measured.
	Recovers bool
	// SlowFactor is the factor on the service time of slow upstreams.
	SlowFactor float64
	// Begin and End apply and remove the fault.
	Begin, End func(f *Fleet, c *Case)
	// Condition describes the upstreams during the interval.
	Condition func(dep *Deployment, c *Case) condition
	// Sheet returns a function that makes the forecast for a load in requests per
	// second; nil for no forecast.
	Sheet func(dep *Deployment, load float64) func(*config.Config) config.Sheet
	// Targets are the bounds of the design page that apply to the case.
	Targets []target
}

const (
	warmUpTime = 3 * time.Second
	loadTime   = 4 * time.Second
	faultTime  = 5 * time.Second
	deepTime   = 10 * time.Second
	afterTime  = 5 * time.Second
	// faultLoad is the load of the cases with faults.
	faultLoad = 0.7
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
		partitionCase(),
		lossCase(),
		pauseCase(),
	}
	return append(cases, sheetCases()...)
}

func loadCase(name string, load float64, targets ...target) *Case {
	return &Case{Name: name, Load: load, WarmUp: warmUpTime, Length: loadTime, Targets: targets}
}

// readsCase multiplies reads only. Non-idempotent requests stay at their share of
// the mix at full capacity, so that they fit within the capacity.
func readsCase() *Case {
	c := loadCase("reads-10", 1, targetConfirm, targetRetries, targetWasted)
	c.ReadFactor = 10
	return c
}

func faultCase(name string, length time.Duration, targets ...target) *Case {
	return &Case{
		Name: name, Load: faultLoad, WarmUp: warmUpTime, Length: length, After: afterTime, Recovers: true,
		Targets: append(targets, targetRecovery, targetWasted),
	}
}

// deepCase slows down a service deep in the call graph, while demand doubles and
// callers re-send.
func deepCase(dep *Deployment) *Case {
	c := faultCase("deep", deepTime, targetRetries)
	c.FaultLoadFactor, c.Resends, c.SlowFactor = 2, true, 5
	setFactor := func(serviceTimeFactor func(*Case) float64) func(*Fleet, *Case) {
		return func(f *Fleet, c *Case) {
			for _, d := range f.upstreams(dep.DeepService) {
				d.backend.serviceTimeFactor = serviceTimeFactor(c)
			}
		}
	}
	c.Begin, c.End = setFactor(func(c *Case) float64 { return c.SlowFactor }), setFactor(noSlowdown)
	c.Condition = func(dep *Deployment, c *Case) condition {
		return func(service string, _ config.Upstream) float64 {
			if service == dep.DeepService {
				return c.SlowFactor
			}
			return 1
		}
	}
	return c
}

func noSlowdown(*Case) float64 { return 1 }

// faultyDaemon returns the upstream that single faults affect: the first one of the
// second service, which is stock in Quito and result in Alpenbrett.
func faultyDaemon(f *Fleet) *Daemon { return f.upstreams(f.conf.Services[1].Name)[0] }

func slowCase() *Case {
	c := faultCase("slow-one", faultTime)
	c.SlowFactor = 5
	c.Begin = func(f *Fleet, c *Case) { faultyDaemon(f).backend.serviceTimeFactor = c.SlowFactor }
	c.End = func(f *Fleet, _ *Case) { faultyDaemon(f).backend.serviceTimeFactor = 1 }
	c.Condition = func(dep *Deployment, c *Case) condition {
		return func(_ string, u config.Upstream) float64 {
			if isFaulty(dep, u) {
				return c.SlowFactor
			}
			return 1
		}
	}
	return c
}

// isFaulty reports whether u is the upstream of faultyDaemon.
func isFaulty(dep *Deployment, u config.Upstream) bool { return u.Name == dep.DeepService+"-a" }

// killCase kills a daemon with its backend server. A new incarnation starts at the
// end of the fault.
func killCase() *Case {
	c := faultCase("kill-one", faultTime)
	c.Begin = func(f *Fleet, _ *Case) { faultyDaemon(f).kill() }
	c.End = func(f *Fleet, _ *Case) { faultyDaemon(f).start(f.loop.Now()) }
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

// partitionCase isolates the zone of the first daemon from the other zones.
func partitionCase() *Case {
	c := faultCase("zone-cut", faultTime)
	c.Begin = func(f *Fleet, _ *Case) { f.net.isolatedZone = f.daemons[0].zone }
	c.End = func(f *Fleet, _ *Case) { f.net.isolatedZone = "" }
	return c
}

// linkLoss is the share of packets between zones that the case "loss" loses.
const linkLoss = 0.01

func lossCase() *Case {
	c := faultCase("loss", faultTime)
	c.Begin = func(f *Fleet, _ *Case) { f.net.lossRate = linkLoss }
	c.End = func(f *Fleet, _ *Case) { f.net.lossRate = 0 }
	return c
}

// pauseCase pauses all daemons at once.
func pauseCase() *Case {
	c := faultCase("pause-all", faultTime)
	forAllDaemons := func(apply func(*Daemon)) func(*Fleet, *Case) {
		return func(f *Fleet, _ *Case) {
			for _, d := range f.daemons {
				apply(d)
			}
		}
	}
	c.Begin, c.End = forAllDaemons((*Daemon).pause), forAllDaemons((*Daemon).resume)
	return c
}

// sheetCases returns cases with different forecasts at twice the capacity: none, the
// right one, the peak a day late, and ten times the demand.
func sheetCases() []*Case {
	const load = 2
	makeCase := func(name string, factor float64, daysLate int) *Case {
		c := loadCase(name, load, targetGoodput(0.95))
		c.Sheet = func(dep *Deployment, load float64) func(*config.Config) config.Sheet {
			return forecastOf(dep, load*factor, daysLate)
		}
		return c
	}
	missing := loadCase("sheet-missing", load, targetGoodput(0.95))
	return []*Case{
		missing, makeCase("sheet-right", 1, 0), makeCase("sheet-day-off", 1, 1), makeCase("sheet-ten-times", 10, 0),
	}
}

// offPeakShare is the forecast demand on the day before or after a peak day, as a
// share of the peak.
const offPeakShare = 0.1

// forecastOf returns a function that makes a sheet of two days, with the peak the given
// number of days late.
func forecastOf(dep *Deployment, load float64, daysLate int) func(*config.Config) config.Sheet {
	return func(conf *config.Config) config.Sheet {
		calls := dep.callRates(conf, load)
		var sheet config.Sheet
		for offset := range 2 {
			factor := offPeakShare
			if offset == daysLate {
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
