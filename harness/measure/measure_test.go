package measure

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const defaultSeed = 1

// shortCases are the cases that run without a selection; the others take too long
// under the race detector.
var shortCases = map[string]bool{
	"quito/steady": true, "quito/load-2": true, "alpenbrett/load-2": true, "alpenbrett/kill-one": true,
}

// selection is what the environment variables select and override; zero values leave
// the defaults of the case.
type selection struct {
	deployment, caseName string
	policy               string
	seed                 uint64
	all                  bool
	load, slowFactor     float64
	scale                float64
	length               time.Duration
}

func selectionFromEnv(t *testing.T) selection {
	s := selection{
		deployment: os.Getenv("HAWTHORNPOINT_DEPLOYMENT"),
		caseName:   os.Getenv("HAWTHORNPOINT_CASE"),
		policy:     os.Getenv("HAWTHORNPOINT_POLICY"),
		all:        os.Getenv("HAWTHORNPOINT_ALL") == "1",
		seed:       uint64(number(t, "HAWTHORNPOINT_SEED", defaultSeed)),
		load:       number(t, "HAWTHORNPOINT_LOAD", 0),
		slowFactor: number(t, "HAWTHORNPOINT_SLOW", 0),
		scale:      number(t, "HAWTHORNPOINT_SCALE", 0),
	}
	s.length = time.Duration(number(t, "HAWTHORNPOINT_DURATION", 0) * float64(time.Second))
	return s
}

// number parses an environment variable as a number or as a duration, which it
// returns in seconds. It returns fallback if the variable is empty.
func number(t *testing.T, name string, fallback float64) float64 {
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	if v, err := strconv.ParseFloat(text, 64); err == nil {
		return v
	}
	if d, err := time.ParseDuration(text); err == nil {
		return d.Seconds()
	}
	t.Fatalf("%s=%q is not a number", name, text)
	return 0
}

func (s selection) includes(dep *Deployment, c *Case) bool {
	if s.deployment != "" && s.deployment != dep.Name {
		return false
	}
	if s.caseName != "" {
		return s.caseName == c.Name
	}
	return s.all || shortCases[dep.Name+"/"+c.Name]
}

func (s selection) override(c *Case) {
	if s.load > 0 {
		c.Load = s.load
	}
	if s.slowFactor > 0 {
		c.SlowFactor = s.slowFactor
	}
	if s.length > 0 {
		c.Length = s.length
	}
}

func descriptions(t *testing.T, dep *Deployment) []byte {
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", dep.Name, "descriptions.jsonc"))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestMeasure guards against the policy "full" breaking a guarantee of the design page
// in any case. It prints the figures; a missed target does not fail the test.
func TestMeasure(t *testing.T) {
	sel := selectionFromEnv(t)
	for _, dep := range Deployments() {
		data := descriptions(t, dep)
		if sel.scale > 0 {
			dep.Scale = sel.scale
		}
		for _, c := range Cases(dep) {
			if !sel.includes(dep, c) {
				continue
			}
			sel.override(c)
			for _, policy := range []string{PolicyNone, PolicyStatic, PolicyFull} {
				if sel.policy != "" && sel.policy != policy {
					continue
				}
				o := Options{Deployment: dep, Case: c, Policy: policy, Seed: sel.seed, Descriptions: data}
				measureOne(t, o)
			}
		}
	}
}

func measureOne(t *testing.T, o Options) {
	if testing.Verbose() {
		o.Trace = limitedTrace(20)
	}
	if o.Policy != PolicyFull {
		o.Trace = nil
	}
	begin := time.Now()
	f, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Println(f.Line(o))
	if o.Policy != PolicyFull {
		return
	}
	for _, line := range f.TargetLines(o) {
		fmt.Println(line)
	}
	if os.Getenv("HAWTHORNPOINT_DETAILS") != "" {
		fmt.Println(f.EndsLine(), "real", time.Since(begin))
	}
	Convey(fmt.Sprintf("Case %s of %s keeps every guarantee", o.Case.Name, o.Deployment.Name), t, func() {
		So(f.Violations, ShouldBeEmpty)
		So(f.Doubled, ShouldEqual, 0)
		So(f.ToldNotRunButRan, ShouldEqual, 0)
		So(f.OverRetried, ShouldEqual, 0)
	})
}

// limitedTrace returns a trace that prints at most count lines.
func limitedTrace(count int) func(string, ...any) {
	return func(format string, args ...any) {
		if count > 0 {
			fmt.Printf("trace "+format+"\n", args...)
		}
		count--
	}
}
