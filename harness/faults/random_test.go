package faults

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/harness/standin"
)

const (
	// runsVariable sets the number of random runs of each test, firstSeedVariable the
	// first seed, to repeat a run.
	runsVariable      = "HAWTHORNPOINT_RANDOM_RUNS"
	firstSeedVariable = "HAWTHORNPOINT_RANDOM_SEED"
	// pairRuns and hardestRuns are the default numbers of runs, which CI uses.
	pairRuns, hardestRuns = 6, 3
	firstSeed             = 1
)

func positiveFromEnv(variable string, defaultValue int) int {
	if n, err := strconv.Atoi(os.Getenv(variable)); err == nil && n > 0 {
		return n
	}
	return defaultValue
}

// randomRuns runs one scenario with consecutive seeds and returns the failures.
func randomRuns(t *testing.T, defaultRuns int, run func(f *fleet) []string) []string {
	var failed []string
	first, runs := positiveFromEnv(firstSeedVariable, firstSeed), positiveFromEnv(runsVariable, defaultRuns)
	t.Logf("seeds %d to %d (%s, %s)", first, first+runs-1, runsVariable, firstSeedVariable)
	results := make(chan string, runs)
	t.Run("seeds", func(t *testing.T) {
		for i := range runs {
			seed := uint64(first + i)
			t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
				t.Parallel()
				c := cell{fault: fmt.Sprintf("seed %d", seed), run: run, fixedSeed: seed}
				if problems := c.prove(t); len(problems) > 0 {
					results <- fmt.Sprintf("seed %d: %s", seed, strings.Join(problems, "; "))
				}
			})
		}
	})
	close(results)
	for r := range results {
		failed = append(failed, r)
	}
	return failed
}

// Guards against two faults that break an invariant only in combination.
// The seed fixes the faults, their steps and times; goroutines still interleave freely.
func TestRandomPairs(t *testing.T) {
	failed := randomRuns(t, pairRuns, randomPair)
	Convey("Every pair of faults keeps the invariants", t, func() {
		So(failed, ShouldBeEmpty)
	})
}

// longestInject is an upper bound for the longest fault that ends by itself, a pause.
const longestInject = 6 * time.Second

func randomPair(f *fleet) []string {
	all := requestFaults()
	first, second := all[f.rand.IntN(len(all))], all[f.rand.IntN(len(all))]
	at := requestSteps[f.rand.IntN(len(requestSteps))]
	after := time.Duration(f.rand.IntN(1500)) * time.Millisecond
	f.t.Logf("%q at %s, %q after %v", first.name, at, second.name, after)
	combined := fault{inject: func(f *fleet) {
		f.background(func() {
			time.Sleep(after)
			second.inject(f)
			time.Sleep(second.duration)
			if second.clear != nil {
				second.clear(f)
			}
		})
		first.inject(f)
	}, clear: first.clear, duration: max(first.duration, after+second.duration+longestInject)}
	return runRequestCell(f, at, combined)
}

// Guards against a second run in the combination of faults that is hardest for
// at-most-once execution: the home of a keyed confirmation restarts, is paused, and is
// missing from the VM list or wrongly in it, while the caller re-sends the confirmation
// through other entries.
func TestHardest(t *testing.T) {
	failed := randomRuns(t, hardestRuns, hardest)
	Convey("No confirmation runs twice, and none that ran is reported to its caller as not run", t, func() {
		So(failed, ShouldBeEmpty)
	})
}

const (
	hardestDuration = 30 * time.Second
	// hardestGap is the mean time between two new confirmations.
	hardestGap = 60 * time.Millisecond
)

func hardest(f *fleet) []string {
	until := time.Now().Add(hardestDuration)
	for _, name := range f.upstreamNames("order") {
		r := rand.New(rand.NewPCG(f.rand.Uint64(), 3))
		f.background(func() { f.disruptHome(name, r, until) })
	}
	r := rand.New(rand.NewPCG(f.rand.Uint64(), 4))
	f.background(func() { f.disruptVMList(r, until) })
	for time.Now().Before(until) {
		f.sendRepeatedly(rand.New(rand.NewPCG(f.rand.Uint64(), 5)))
		f.sleep(time.Duration(f.rand.Int64N(int64(2 * hardestGap))))
	}
	f.sleep(10 * time.Second)
	f.platform.SetVMs(f.records)
	f.platform.SetFaults(standin.PlatformFaults{})
	f.net.heal()
	// A home that restarted while the platform was unreachable must have a configuration
	// and the VM list within the bound for configurations.
	f.sleep(inForceWithin)
	return f.recovered()
}

// sendRepeatedly sends one confirmation several times through random entries. Some sends
// overlap, and the caller abandons some early.
func (f *fleet) sendRepeatedly(r *rand.Rand) {
	s := spec{service: "order", kind: "confirm", key: f.caller.newKey()}
	s.body = s.key
	f.background(func() {
		for range 2 + r.IntN(5) {
			s.entry = f.upstreams[r.IntN(len(f.upstreams))].name
			s.timeout = time.Duration(20+r.IntN(2000)) * time.Millisecond
			if r.IntN(3) == 0 {
				f.caller.start(s)
			} else if f.caller.send(s).ok() && r.IntN(2) == 0 {
				return
			}
			time.Sleep(time.Duration(r.IntN(700)) * time.Millisecond)
		}
	})
}

// disruptHome repeatedly restarts, pauses, stops or crashes one home, or cuts and delays
// its connections, at random until the given time.
func (f *fleet) disruptHome(name string, r *rand.Rand, until time.Time) {
	u := f.byName[name]
	for time.Now().Before(until) {
		time.Sleep(time.Duration(500+r.IntN(3000)) * time.Millisecond)
		switch r.IntN(7) {
		case 0, 1:
			f.restart(name, time.Duration(r.IntN(400))*time.Millisecond)
		case 2:
			f.pause(name, time.Duration(200+r.IntN(4000))*time.Millisecond)
		case 3:
			u.gate.hold()
			f.net.freeze(name, true)
			time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
			f.net.freeze(name, false)
			f.restart(name, time.Duration(r.IntN(100))*time.Millisecond)
		case 4:
			u.backend.Crash()
		case 5:
			other := f.upstreams[r.IntN(len(f.upstreams))].name
			f.net.set(name, other, cutAt(r.IntN(1500)))
			f.net.set(other, name, delayed(time.Duration(r.IntN(1500))*time.Millisecond))
			time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
			f.net.set(name, other, clearCut)
			f.net.set(other, name, delayed(0))
		case 6:
			f.stopAndRestart(name)
		}
	}
}

// disruptVMList repeatedly makes the VM list of the platform stale, wrong, unreachable or
// correct, at random until the given time.
func (f *fleet) disruptVMList(r *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		switch r.IntN(4) {
		case 0:
			f.platform.SetFaults(standin.PlatformFaults{ListLag: time.Duration(r.IntN(20)) * time.Second})
		case 1:
			f.platform.SetFaults(standin.PlatformFaults{Down: true})
		case 2:
			f.removeFromVMList(f.upstreams[r.IntN(len(f.upstreams))].name)
		case 3:
			f.platform.SetFaults(standin.PlatformFaults{})
			f.platform.SetVMs(f.records)
		}
		time.Sleep(time.Duration(500+r.IntN(3000)) * time.Millisecond)
	}
}
