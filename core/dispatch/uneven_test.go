package dispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/core/directory"
	"github.com/hawthornpoint/hawthornpoint/core/routing"
	"github.com/hawthornpoint/hawthornpoint/core/slots"
)

// unevenFleet is a service in virtual time: one daemon beside each upstream, each with a dispatcher of its own.
type unevenFleet struct {
	now                           time.Time
	seed, lastID                  uint64
	events                        eventQueue
	servers                       []*unevenServer
	daemons                       []placement
	routes                        []*routing.Route
	load                          float64 // demand as a share of what all servers can run
	asked, inTime, opened, remote int
}

// placement is what of a Dispatcher the fleet uses.
type placement interface {
	Open(now time.Time, route *routing.Route, service string, left time.Duration, retryShare float64) *OutgoingRequest
	Next(now time.Time, req *OutgoingRequest) Step
	Report(now time.Time, req *OutgoingRequest, report Report) Step
}

type unevenServer struct {
	zone      string
	speed     float64
	random    *rand.Rand // of the demand at its daemon and of its slow times
	slowUntil time.Time
	limiter   *slots.Limiter
	waiting   map[uint64]func(started bool, wait time.Duration)
}

type event struct {
	at  time.Time
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

const (
	unevenSeeds    = 10
	unevenZones    = 4
	unevenSlots    = 10
	unevenHop      = 100 * time.Microsecond
	unevenZoneHop  = time.Millisecond
	unevenDuration = 4 * time.Second
	// Demand of a zone swings by unevenSwing within unevenPeriod, and the zones follow one another.
	unevenSwing  = 0.55
	unevenPeriod = 3 * time.Second
	// A server is slow by unevenSlowFactor for unevenSlowShare of the time, unevenSlowTime at once.
	unevenSlowShare, unevenSlowFactor = 0.15, 2.5
	unevenSlowTime                    = 600 * time.Millisecond
	// Above unevenKnee of its slots, a server is slow by unevenKneeFactor.
	unevenKnee, unevenKneeFactor = 0.95, 1.3
)

var (
	unevenSpeeds = []float64{0.5, 1, 1, 1.5} // of the servers of a zone
	// unevenWork is the run time of the routes at speed 1.
	unevenWork      = []time.Duration{50 * time.Millisecond, 140 * time.Millisecond}
	unevenObjective = []time.Duration{300 * time.Millisecond, 600 * time.Millisecond}
	unevenTimeout   = []time.Duration{700 * time.Millisecond, 2500 * time.Millisecond}
)

func newUnevenFleet(seed uint64, load float64, earlier bool) *unevenFleet {
	f := &unevenFleet{now: start, seed: seed, load: load}
	for i := range unevenWork {
		f.routes = append(f.routes, &routing.Route{Name: fmt.Sprint("r", i), Timeout: unevenTimeout[i], LatencyObjective: unevenObjective[i], MaxUpstreams: 2})
	}
	dir := directory.New()
	for zone := range unevenZones {
		for i, speed := range unevenSpeeds {
			s := &unevenServer{zone: string(rune('a' + zone)), speed: speed, random: rand.New(rand.NewPCG(seed, uint64(len(f.servers)))), limiter: slots.New(unevenSlots), waiting: map[uint64]func(bool, time.Duration){}}
			id := fmt.Sprintf("u%02d", len(f.servers))
			dir.Put(directory.Upstream{ID: id, Service: "s", Address: fmt.Sprint(zone, i, ":1"), Zone: s.zone, Slots: unevenSlots})
			f.servers = append(f.servers, s)
		}
	}
	for i, s := range f.servers {
		d := New(Config{Zone: s.zone, BudgetRatio: 0.2, BudgetSlack: 100, BudgetWindow: 10 * time.Second,
			Rand: rand.New(rand.NewPCG(seed, uint64(100+i)))}, dir)
		if earlier {
			f.daemons = append(f.daemons, &occupancyChoice{d, map[string]time.Duration{}})
		} else {
			f.daemons = append(f.daemons, d)
		}
	}
	return f
}

func (f *unevenFleet) after(d time.Duration, run func()) {
	heap.Push(&f.events, event{f.now.Add(d), run})
}

func (f *unevenFleet) play() {
	for i := range f.daemons {
		f.nextArrival(i)
	}
	for _, s := range f.servers {
		f.tick(s)
		f.slowDown(s, rand.New(rand.NewPCG(f.seed, s.random.Uint64())))
	}
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		if e.at.After(start.Add(unevenDuration)) {
			break
		}
		f.now = e.at
		e.run()
	}
}

// inTimeShare returns the share of the requests that were answered by their objective.
func (f *unevenFleet) inTimeShare() float64 { return float64(f.inTime) / float64(f.opened) }

func (f *unevenFleet) tick(s *unevenServer) {
	s.deliver(s.limiter.Tick(f.now))
	f.after(20*time.Millisecond, func() { f.tick(s) })
}

// slowDown makes a server slow for unevenSlowShare of the time.
func (f *unevenFleet) slowDown(s *unevenServer, random *rand.Rand) {
	if random.Float64() < unevenSlowShare {
		s.slowUntil = f.now.Add(unevenSlowTime)
	}
	f.after(unevenSlowTime, func() { f.slowDown(s, random) })
}

func (f *unevenFleet) nextArrival(daemon int) {
	mean := 0.0
	for _, w := range unevenWork {
		mean += w.Seconds() / float64(len(unevenWork))
	}
	phase := float64(daemon/len(unevenSpeeds)) / unevenZones
	turn := f.now.Sub(start).Seconds()/unevenPeriod.Seconds() + phase
	capacity := float64(f.servers[daemon].limiter.Load().Limit) * (1 - unevenSlowShare + unevenSlowShare/unevenSlowFactor)
	rate := f.load * capacity / mean * (1 + unevenSwing*math.Sin(2*math.Pi*turn))
	f.after(time.Duration(f.servers[daemon].random.ExpFloat64()/rate*float64(time.Second)), func() {
		f.request(daemon)
		f.nextArrival(daemon)
	})
}

func (f *unevenFleet) request(daemon int) {
	d, kind := f.daemons[daemon], f.servers[daemon].random.IntN(len(f.routes))
	req := d.Open(f.now, f.routes[kind], "s", time.Minute, 0)
	if f.now.Sub(start) > time.Second && req.Objective.Before(start.Add(unevenDuration)) {
		f.opened++
	} else {
		req.Arrived = time.Time{}
	}
	work := time.Duration(float64(unevenWork[kind]) * (0.5 + f.servers[daemon].random.Float64()))
	f.attempt(daemon, req, work, d.Next(f.now, req))
}

func (f *unevenFleet) attempt(daemon int, req *OutgoingRequest, work time.Duration, step Step) {
	if step.Code != 0 || step.Deliver {
		return
	}
	var index int
	_, _ = fmt.Sscanf(step.Upstream.ID, "u%d", &index)
	s, hop := f.servers[index], unevenHop
	f.asked++
	if s.zone != f.servers[daemon].zone {
		hop = unevenZoneHop
		f.remote++
	}
	var elapsed time.Duration
	reply := func(result Result, wait time.Duration) {
		report := Report{Result: result, Load: s.limiter.LoadFor(req.Route.Name), HasLoad: true, Wait: wait, Retryable: true, Elapsed: elapsed}
		f.after(hop, func() {
			if result == Answered && !f.now.After(req.Objective) && !req.Arrived.IsZero() {
				f.inTime++
			}
			f.attempt(daemon, req, work, f.daemons[daemon].Report(f.now, req, report))
		})
	}
	f.after(hop, func() {
		f.lastID++
		id := f.lastID
		begin := func() {
			run := float64(work) / s.speed
			if f.now.Before(s.slowUntil) {
				run *= unevenSlowFactor
			}
			if float64(s.limiter.Load().Running) > unevenKnee*unevenSlots {
				run *= unevenKneeFactor
			}
			elapsed = time.Duration(run)
			f.after(elapsed, func() {
				events := s.limiter.Done(f.now, id, slots.Outcome{Elapsed: elapsed})
				reply(Answered, 0)
				s.deliver(events)
			})
		}
		decision := s.limiter.Admit(f.now, slots.Request{ID: id, Kind: req.Route.Name, Objective: req.Objective, Deadline: req.Deadline, MayQueue: step.MayQueue})
		switch decision.Verdict {
		case slots.Start:
			begin()
		case slots.Wait:
			s.waiting[id] = func(started bool, wait time.Duration) {
				if started {
					begin()
				} else {
					reply(Refused, wait)
				}
			}
		default:
			reply(Refused, decision.Wait)
		}
	})
}

func (s *unevenServer) deliver(events []slots.Event) {
	for _, e := range events {
		decide := s.waiting[e.ID]
		delete(s.waiting, e.ID)
		decide(e.Decision.Verdict == slots.Start, e.Decision.Wait)
	}
}

// playUneven plays the fleet with the present choice and with the one by occupancy, and returns the fleets.
func playUneven(seed uint64, load float64) (present, earlier *unevenFleet) {
	present, earlier = newUnevenFleet(seed, load, false), newUnevenFleet(seed, load, true)
	present.play()
	earlier.play()
	return present, earlier
}

// Guards against placement that sends as much to slow upstreams as to fast ones, so that queues there make
// answers late when the demand is above the capacity.
func TestUnevenServersInOverload(t *testing.T) {
	Convey("Above the capacity, at least a tenth more is answered in time than by occupancy, and no less with any seed", t, func() {
		sum, baseline := 0.0, 0.0
		for seed := range uint64(unevenSeeds) {
			present, earlier := playUneven(seed, 1.6)
			t.Logf("seed %d: in time %.3f, by occupancy %.3f", seed, present.inTimeShare(), earlier.inTimeShare())
			So(present.inTimeShare(), ShouldBeGreaterThanOrEqualTo, earlier.inTimeShare())
			sum += present.inTimeShare()
			baseline += earlier.inTimeShare()
		}
		So(sum, ShouldBeGreaterThanOrEqualTo, 1.1*baseline)
	})
}

// Guards against bytes between zones that buy nothing: below the capacity, demand that moves between zones is
// answered as well by the own zone.
func TestUnevenServersBelowCapacity(t *testing.T) {
	Convey("Below the capacity, no less is answered in time than by occupancy, with fewer attempts in other zones", t, func() {
		sum, baseline := 0.0, 0.0
		for seed := range uint64(unevenSeeds) {
			present, earlier := playUneven(seed, 0.8)
			t.Logf("seed %d: in time %.4f, by occupancy %.4f, other zones %d and %d of %d", seed,
				present.inTimeShare(), earlier.inTimeShare(), present.remote, earlier.remote, present.asked)
			So(present.remote, ShouldBeLessThan, earlier.remote)
			sum += present.inTimeShare()
			baseline += earlier.inTimeShare()
		}
		So(sum, ShouldBeGreaterThanOrEqualTo, baseline)
	})
}
