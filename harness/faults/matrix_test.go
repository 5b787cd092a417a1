package faults

import (
	"hash/fnv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"
)

// cell is one row of the table: a fault at a step.
type cell struct {
	fault, step, invariants string
	// run returns the problems that checkInvariants does not find.
	run func(f *fleet) []string
	// test is the name of the test if it is not TestFaultMatrix.
	test string
	// knownFailure describes what goes wrong in a cell that fails; unprovedReason says
	// why a cell has no test.
	knownFailure, unprovedReason string
	// fixedSeed replaces the seed that is hashed from the name; 0 uses the hash.
	fixedSeed uint64
}

func (c cell) name() string { return c.fault + ", " + c.step }

func (c cell) seed() uint64 {
	if c.fixedSeed != 0 {
		return c.fixedSeed
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.name()))
	return h.Sum64()
}

func cells() []cell {
	var all []cell
	for _, flt := range requestFaults() {
		steps := flt.steps
		if steps == nil {
			steps = requestSteps
		}
		for _, at := range steps {
			all = append(all, cell{fault: flt.name, step: string(at), invariants: flt.invariants,
				run: func(f *fleet) []string { return runRequestCell(f, at, flt) }})
		}
	}
	all = append(all, scenarioCells()...)
	all = append(all, configCells()...)
	all = append(all, stopCells()...)
	return append(all, otherCells()...)
}

// fleetSlots limits the number of concurrent fleets, and with it the memory used.
var fleetSlots = make(chan struct{}, 6)

// prove runs one cell on a fleet of its own and returns the problems found.
func (c cell) prove(t *testing.T) []string {
	fleetSlots <- struct{}{}
	defer func() { <-fleetSlots }()
	var problems []string
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, c.seed())
		defer f.close()
		problems = c.run(f)
		problems = append(problems, f.checkInvariants()...)
		if len(problems) > 0 {
			t.Log(strings.Join(problems, "\n"), f.resultCounts())
		}
	})
	return problems
}

// Guards against any single fault that makes the daemon run a request twice, report a
// request as not run that has run, return an incomplete answer or that of another
// request, exceed the retry bound, or keep failing after the cause has ended.
func TestFaultMatrix(t *testing.T) {
	var mu sync.Mutex
	failed := make(map[string]string)
	t.Run("cells", func(t *testing.T) {
		for _, c := range cells() {
			if c.run == nil || c.test != "" {
				continue
			}
			t.Run(c.name(), func(t *testing.T) {
				t.Parallel()
				if problems := c.prove(t); len(problems) > 0 {
					mu.Lock()
					defer mu.Unlock()
					failed[c.name()] = strings.Join(problems, "; ")
				}
			})
		}
	})
	Convey("Every cell that the table lists as proved keeps its invariants", t, func() {
		So(failed, ShouldBeEmpty)
	})
}
