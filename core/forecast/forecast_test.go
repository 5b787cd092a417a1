package forecast

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/hawthornpoint/hawthornpoint/config"
)

const capacity = 100.0

func sheet(date, start, end string, rate float64) config.Sheet {
	return config.Sheet{Days: []config.Day{{Date: date, Windows: []config.Window{
		{Start: start, End: end, Service: "stock", CallsPerSecond: rate},
	}}}}
}

func at(text string) time.Time {
	t, err := time.Parse("2006-01-02 15:04:05", text)
	So(err, ShouldBeNil)
	return t
}

// Guards against a plan that changes only once the peak has begun, or that stays
// changed after the peak.
func TestPlanLeadsThePeak(t *testing.T) {
	Convey("A peak from 10:00 to 11:00 changes the plan from 09:50 until 11:00", t, func() {
		s := sheet("2026-02-16", "10:00", "11:00", 3*capacity)
		peak := Plan{RetryRatio: MinRetryRatio, WarmConnections: 1, WarmShare: MaxWarmShare, QueueDelayTarget: MinQueueDelayTarget}
		So(PlanFor(at("2026-02-16 09:49:59"), s, "stock", capacity), ShouldResemble, DefaultPlan())
		So(PlanFor(at("2026-02-16 09:50:00"), s, "stock", capacity), ShouldResemble, peak)
		So(PlanFor(at("2026-02-16 10:59:59"), s, "stock", capacity), ShouldResemble, peak)
		So(PlanFor(at("2026-02-16 11:00:00"), s, "stock", capacity), ShouldResemble, DefaultPlan())
		So(PlanFor(at("2026-02-16 10:30:00"), s, "catalogue", capacity), ShouldResemble, DefaultPlan())
		So(PlanFor(at("2026-02-17 10:30:00"), s, "stock", capacity), ShouldResemble, DefaultPlan())
	})
	Convey("A peak at midnight changes the plan on the day before, in any time zone", t, func() {
		s := sheet("2026-02-17", "00:00", "24:00", 3*capacity)
		quito := time.FixedZone("Quito", -5*3600)
		So(PlanFor(at("2026-02-16 23:55:00").In(quito), s, "stock", capacity).RetryRatio, ShouldEqual, MinRetryRatio)
		So(PlanFor(at("2026-02-17 23:59:59"), s, "stock", capacity).RetryRatio, ShouldEqual, MinRetryRatio)
	})
	Convey("At full load, warm connections are a tenth of an upstream's connections", t, func() {
		p := PlanFor(at("2026-02-16 10:00:00"), sheet("2026-02-16", "10:00", "11:00", capacity), "stock", capacity)
		So(p.ForConnections(300).WarmConnections, ShouldEqual, 30)
		So(p.ForConnections(5).WarmConnections, ShouldEqual, 1)
		So(DefaultPlan().ForConnections(300).WarmConnections, ShouldEqual, 1)
	})
}

// Guards against using part of a malformed day: half of its windows would look like
// a day of low demand.
func TestMalformedDayGivesDefault(t *testing.T) {
	Convey("A malformed day, a day listed twice or an invalid capacity gives the default plan", t, func() {
		now := at("2026-02-16 10:00:00")
		for _, bad := range []config.Window{
			{Start: "late", End: "11:00", Service: "stock", CallsPerSecond: 1},
			{Start: "11:00", End: "10:00", Service: "stock", CallsPerSecond: 1},
			{Start: "10:00", End: "11:00", Service: "stock", CallsPerSecond: math.NaN()},
			{Start: "10:00", End: "11:00", Service: "stock", CallsPerSecond: -1},
		} {
			s := sheet("2026-02-16", "09:00", "12:00", 3*capacity)
			So(PlanFor(now, s, "stock", capacity), ShouldNotResemble, DefaultPlan())
			s.Days[0].Windows = append(s.Days[0].Windows, bad)
			So(PlanFor(now, s, "stock", capacity), ShouldResemble, DefaultPlan())
		}
		twice := sheet("2026-02-16", "09:00", "12:00", 3*capacity)
		twice.Days = append(twice.Days, twice.Days[0])
		So(PlanFor(now, twice, "stock", capacity), ShouldResemble, DefaultPlan())
		for _, c := range []float64{0, -1, math.NaN(), math.Inf(1)} {
			So(PlanFor(now, sheet("2026-02-16", "09:00", "12:00", 300), "stock", c), ShouldResemble, DefaultPlan())
		}
	})
}

// Guards against a wrong sheet that changes the plan beyond its bounds: the plans
// under the right sheet, no sheet, one a day off and one ten times wrong may differ
// only within them. Higher demand must never give a higher retry ratio, a longer queue
// delay target or fewer warm connections.
func TestWrongSheetIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 1e6).Draw(t, "rate")
		c := rapid.Float64Range(-1, 1e6).Draw(t, "capacity")
		connections := rapid.IntRange(0, 10_000).Draw(t, "connections")
		minute := rapid.IntRange(0, 3*24*60).Draw(t, "minute")
		now := time.Date(2026, 2, 15, 0, minute, 0, 0, time.UTC)
		right := sheet("2026-02-16", "06:00", "24:00", rate)
		plans := []Plan{
			PlanFor(now, config.Sheet{}, "stock", c),
			PlanFor(now, sheet("2026-02-16", "06:00", "24:00", rate/10), "stock", c),
			PlanFor(now, right, "stock", c),
			PlanFor(now, sheet("2026-02-16", "06:00", "24:00", rate*10), "stock", c),
			PlanFor(now, sheet("2026-02-17", "06:00", "24:00", rate), "stock", c),
			PlanFor(now, sheet(rapid.String().Draw(t, "date"), rapid.String().Draw(t, "start"), "24:00", rate), "stock", c),
		}
		for i := range plans {
			plans[i] = plans[i].ForConnections(connections)
			checkBounds(t, plans[i], connections)
		}
		for i := 1; i < 4; i++ {
			low, high := plans[i-1], plans[i]
			if high.RetryRatio > low.RetryRatio || high.QueueDelayTarget > low.QueueDelayTarget || high.WarmConnections < low.WarmConnections {
				t.Fatalf("higher demand loosens the plan: %+v, with lower demand %+v", high, low)
			}
		}
	})
}

func checkBounds(t *rapid.T, p Plan, connections int) {
	// The bounds are those of the design page, as literals and not as constants of
	// the package.
	switch {
	case p.RetryRatio < 0.02 || p.RetryRatio > 0.10:
		t.Fatalf("retry ratio %v out of bounds", p.RetryRatio)
	case p.WarmConnections < 1 || p.WarmConnections > max(1, connections/10):
		t.Fatalf("%d warm connections of %d out of bounds", p.WarmConnections, connections)
	case p.QueueDelayTarget < 50*time.Millisecond || p.QueueDelayTarget > 100*time.Millisecond:
		t.Fatalf("queue delay target %v out of bounds", p.QueueDelayTarget)
	}
}
