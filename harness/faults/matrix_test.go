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
	// run returns what went wrong beside what the judge finds.
	run func(f *fleet) []string
	// test is the name of the test if it is not TestFaultMatrix.
	test string
	// red says what is wrong, and open why a cell is not proved.
	red, open string
	// fixedSeed replaces the seed that follows from the name.
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
	for _, x := range faultList() {
		steps := x.steps
		if steps == nil {
			steps = requestSteps
		}
		for _, at := range steps {
			all = append(all, cell{fault: x.name, step: string(at), invariants: x.invariants,
				run: func(f *fleet) []string { return requestCell(f, at, x) }})
		}
	}
	all = append(all, specialCells()...)
	all = append(all, configCells()...)
	all = append(all, stopCells()...)
	return append(all, otherCells()...)
}

// fleetSlots bounds the fleets that run at once, and with them the memory.
var fleetSlots = make(chan struct{}, 6)

// prove runs one cell on a fleet of its own.
func (c cell) prove(t *testing.T) []string {
	fleetSlots <- struct{}{}
	defer func() { <-fleetSlots }()
	var problems []string
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, c.seed())
		defer f.close()
		problems = c.run(f)
		problems = append(problems, f.judge()...)
		if len(problems) > 0 {
			t.Log(strings.Join(problems, "\n"), f.tally())
		}
	})
	return problems
}

// Guards against any single fault that makes the daemon run something twice, tell a
// caller wrongly that a request was not run, give it an incomplete or foreign
// answer, exceed the retry bound, or stay broken after the cause has ended.
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
	Convey("Every cell of the table that is called proved holds", t, func() {
		So(failed, ShouldBeEmpty)
	})
}
