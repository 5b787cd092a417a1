package quarantine

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	fleetSize           = 6
	fleetSlots          = 12
	lastPoison          = uint64(2)  // fingerprints 1 to lastPoison crash every server that runs them
	sharedLimit         = uint64(10) // harmless fingerprints below it are sent by many callers
	maxExchangedReports = 16
)

// fleet simulates, in virtual time, backend servers with a tracker and a minimal
// admission each, callers who send a request again after a crash (a poison request
// also after a refusal), and a slow and lossy exchange of reports.
type fleet struct {
	rng             *rand.Rand
	now             time.Duration
	events          eventHeap
	seq             int
	servers         []*server
	lossProbability float64       // probability that a push is lost
	exchangePeriod  time.Duration // longest time between exchanges of one server; the shortest is half of it
	crashes         int
	refused         map[uint64]int
	unanswered      int // harmless requests without an answer
}

type server struct {
	tracker     *Tracker
	incarnation uuid.UUID
	down        bool
	queue       []uint64
	running     map[uuid.UUID]uint64
}

type event struct {
	at     time.Duration
	seq    int
	action func()
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

func newFleet(seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 2)), refused: map[uint64]int{}}
	f.lossProbability = []float64{0, 0.3, 0.9}[f.rng.IntN(3)]
	f.exchangePeriod = []time.Duration{100 * time.Millisecond, time.Second}[f.rng.IntN(2)]
	for range fleetSize {
		f.servers = append(f.servers, &server{tracker: New(Config{}), incarnation: f.uuid(), running: map[uuid.UUID]uint64{}})
	}
	for _, s := range f.servers {
		f.exchange(s)
	}
	return f
}

func (f *fleet) clockTime() time.Time { return time.UnixMilli(1_700_000_000_000).Add(f.now) }

func (f *fleet) uuid() (id uuid.UUID) {
	binary.LittleEndian.PutUint64(id[:8], f.rng.Uint64())
	binary.LittleEndian.PutUint64(id[8:], f.rng.Uint64())
	return id
}

func (f *fleet) schedule(minDelay, maxDelay time.Duration, action func()) {
	f.seq++
	at := f.now + minDelay + time.Duration(f.rng.Int64N(int64(maxDelay-minDelay)+1))
	heap.Push(&f.events, event{at: at, seq: f.seq, action: action})
}

func (f *fleet) randomServer() *server { return f.servers[f.rng.IntN(len(f.servers))] }

// send lets a request arrive at a random server after a delay of up to 40 ms.
func (f *fleet) send(fp uint64) {
	f.schedule(0, 40*time.Millisecond, func() { f.arrive(f.randomServer(), fp) })
}

func (f *fleet) arrive(s *server, fp uint64) {
	if s.tracker.Check(f.clockTime(), fp) == Refuse {
		f.refused[fp]++
		if fp <= lastPoison {
			f.schedule(20*time.Millisecond, 200*time.Millisecond, func() { f.send(fp) })
		}
		return
	}
	s.queue = append(s.queue, fp)
	f.dispatch(s)
}

// dispatch starts the queued requests that the slots and the isolation allow.
func (f *fleet) dispatch(s *server) {
	waiting := s.queue
	s.queue = nil
	for _, fp := range waiting {
		verdict := s.tracker.Check(f.clockTime(), fp)
		switch {
		case verdict == Refuse:
			f.arrive(s, fp)
		case s.down || len(s.running) >= fleetSlots || verdict == Isolate && s.isolatedRunning(f) > 0:
			s.queue = append(s.queue, fp)
		default:
			f.start(s, fp)
		}
	}
}

// isolatedRunning counts the running calls that the tracker would now isolate or
// refuse.
func (s *server) isolatedRunning(f *fleet) (n int) {
	for _, fp := range s.running {
		if s.tracker.Check(f.clockTime(), fp) != Allow {
			n++
		}
	}
	return n
}

func (f *fleet) start(s *server, fp uint64) {
	call, incarnation := f.uuid(), s.incarnation
	s.running[call] = fp
	s.tracker.CallStarted(fp, call)
	if fp <= lastPoison {
		f.schedule(time.Millisecond, 30*time.Millisecond, func() { f.crash(s, incarnation) })
		return
	}
	f.schedule(5*time.Millisecond, 120*time.Millisecond, func() {
		if s.incarnation == incarnation {
			f.answer(s, call, fp)
		}
	})
}

func (f *fleet) answer(s *server, call uuid.UUID, fp uint64) {
	delete(s.running, call)
	f.unanswered--
	f.push(s, s.tracker.CallEnded(call, true))
	f.dispatch(s)
}

func (f *fleet) crash(s *server, incarnation uuid.UUID) {
	if s.incarnation != incarnation {
		return
	}
	f.crashes++
	reports := s.tracker.BackendCrashed(f.clockTime(), incarnation)
	s.incarnation, s.down = f.uuid(), true
	for _, fp := range sortedValues(s.running) {
		f.send(fp)
	}
	clear(s.running)
	f.push(s, reports)
	f.schedule(10*time.Millisecond, 200*time.Millisecond, func() { s.down = false; f.dispatch(s) })
}

func sortedValues(running map[uuid.UUID]uint64) []uint64 {
	var reports []Report
	for _, fp := range running {
		reports = append(reports, Report{Fingerprint: fp})
	}
	sortReports(reports)
	fps := make([]uint64, len(reports))
	for i, r := range reports {
		fps[i] = r.Fingerprint
	}
	return fps
}

// push sends reports to up to 4 random servers; each of them does the same with the
// reports that are new to it.
func (f *fleet) push(from *server, reports []Report) {
	for range 4 {
		to := f.randomServer()
		if len(reports) == 0 || to == from || f.rng.Float64() < f.lossProbability {
			continue
		}
		f.schedule(time.Millisecond, 20*time.Millisecond, func() {
			f.push(to, to.tracker.Merge(f.clockTime(), reports))
			f.dispatch(to)
		})
	}
}

func (f *fleet) exchange(s *server) {
	f.schedule(f.exchangePeriod/2, f.exchangePeriod, func() {
		peer := f.randomServer()
		reports := s.tracker.Reports(f.clockTime(), maxExchangedReports)
		s.tracker.Merge(f.clockTime(), peer.tracker.Reports(f.clockTime(), maxExchangedReports))
		peer.tracker.Merge(f.clockTime(), reports)
		f.dispatch(s)
		f.dispatch(peer)
		f.exchange(s)
	})
}

// run sends harmless requests for sendPeriod and, at its start, copies of each of the
// poison requests, whose number is causes. It runs until no events are left or
// 4*sendPeriod has passed.
func (f *fleet) run(sendPeriod time.Duration, causes, copies int) {
	unique := sharedLimit
	var arrival func()
	arrival = func() {
		if f.now < sendPeriod {
			f.unanswered++
			unique++
			fp := unique
			if f.rng.IntN(5) == 0 {
				fp = lastPoison + 1 + f.rng.Uint64N(sharedLimit-lastPoison-1)
			}
			f.send(fp)
			f.schedule(0, 3*time.Millisecond, arrival)
		}
	}
	arrival()
	for c := range causes * copies {
		f.send(lastPoison - uint64(c%causes))
	}
	for len(f.events) > 0 && f.now < 4*sendPeriod {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.action()
	}
}

// seedCount returns the number of seeds: 40, or a 500th of the value of
// HAWTHORNPOINT_RANDOM_STEPS if that is more.
func seedCount(t *testing.T) int {
	text := os.Getenv("HAWTHORNPOINT_RANDOM_STEPS")
	if text == "" {
		return 40
	}
	steps, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("HAWTHORNPOINT_RANDOM_STEPS: %v", err)
	}
	return max(40, steps/500)
}

// runAndCheck runs the simulation and returns a description of each violated
// expectation.
func (f *fleet) runAndCheck(causes, copies int) (violations []string) {
	f.run(5*time.Second, causes, copies)
	for fp, n := range f.refused {
		if fp > lastPoison {
			violations = append(violations, fmt.Sprintf("harmless request %d refused %d times", fp, n))
		}
	}
	if f.unanswered > 0 {
		violations = append(violations, fmt.Sprintf("%d harmless requests without an answer", f.unanswered))
	}
	// Without any reports from others, each daemon refuses a cause after
	// DefaultThreshold crashes of its own server.
	if maxCrashes := causes * fleetSize * DefaultThreshold; f.crashes > maxCrashes || f.refused[lastPoison] == 0 {
		violations = append(violations, fmt.Sprintf("%d crashes, at most %d expected", f.crashes, maxCrashes))
	}
	return violations
}

// Guards against refusing a harmless request that ran at the same time as the cause
// of several crashes, and against a cause that is not refused and keeps crashing
// servers.
func TestRandomPoison(t *testing.T) {
	Convey("Only poison requests are refused, and each causes no more crashes than servers times threshold", t, func() {
		for _, c := range []struct{ causes, copies int }{{1, 1}, {1, 3}, {2, 1}} {
			seeds, violations := seedCount(t), 0
			maxCrashes, totalCrashes, runs := map[float64]int{}, map[float64]int{}, map[float64]int{}
			for seed := range seeds {
				f := newFleet(uint64(seed))
				for _, violation := range f.runAndCheck(c.causes, c.copies) {
					t.Logf("seed %d, %+v: %s", seed, c, violation)
					violations++
				}
				maxCrashes[f.lossProbability] = max(maxCrashes[f.lossProbability], f.crashes)
				totalCrashes[f.lossProbability] += f.crashes
				runs[f.lossProbability]++
			}
			t.Logf("seeds 0..%d, %+v, by probability of lost pushes: runs %v, crashes in total %v, most in one run %v", seeds-1, c, runs, totalCrashes, maxCrashes)
			So(violations, ShouldEqual, 0)
		}
	})
}
