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

// shortCases run without any selection; the others need too long under the race detector.
var shortCases = map[string]bool{
	"quito/steady": true, "quito/load-2": true, "alpenbrett/load-2": true, "alpenbrett/kill-one": true,
}

// selection holds the environment variables.
type selection struct {
	deployment, name string
	policy           string
	seed             uint64
	all              bool
	load, slow       float64
	scale            float64
	length           time.Duration
}

func selected(t *testing.T) selection {
	s := selection{
		deployment: os.Getenv("HAWTHORNPOINT_DEPLOYMENT"),
		name:       os.Getenv("HAWTHORNPOINT_CASE"),
		policy:     os.Getenv("HAWTHORNPOINT_POLICY"),
		all:        os.Getenv("HAWTHORNPOINT_ALL") == "1",
		seed:       uint64(number(t, "HAWTHORNPOINT_SEED", defaultSeed)),
		load:       number(t, "HAWTHORNPOINT_LOAD", 0),
		slow:       number(t, "HAWTHORNPOINT_SLOW", 0),
		scale:      number(t, "HAWTHORNPOINT_SCALE", 0),
	}
	s.length = time.Duration(number(t, "HAWTHORNPOINT_DURATION", 0) * float64(time.Second))
	return s
}

func number(t *testing.T, name string, otherwise float64) float64 {
	text := os.Getenv(name)
	if text == "" {
		return otherwise
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

func (s selection) takes(dep *Deployment, c *Case) bool {
	if s.deployment != "" && s.deployment != dep.Name {
		return false
	}
	if s.name != "" {
		return s.name == c.Name
	}
	return s.all || shortCases[dep.Name+"/"+c.Name]
}

func (s selection) override(c *Case) {
	if s.load > 0 {
		c.Load = s.load
	}
	if s.slow > 0 {
		c.Slow = s.slow
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

// TestMeasure guards against a policy "full" that breaks a guarantee of the design
// page in any case. It prints the figures; targets that are missed do not fail.
func TestMeasure(t *testing.T) {
	sel := selected(t)
	for _, dep := range Deployments() {
		data := descriptions(t, dep)
		if sel.scale > 0 {
			dep.Scale = sel.scale
		}
		for _, c := range Cases(dep) {
			if !sel.takes(dep, c) {
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
		o.Trace = limited(20)
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
		fmt.Println(f.EndLines(), "real", time.Since(begin))
	}
	Convey(fmt.Sprintf("Case %s of %s keeps every guarantee", o.Case.Name, o.Deployment.Name), t, func() {
		So(f.Violations, ShouldBeEmpty)
		So(f.Doubled, ShouldEqual, 0)
		So(f.ToldNotRunButRan, ShouldEqual, 0)
		So(f.OverRetried, ShouldEqual, 0)
	})
}

// limited returns a trace that prints at most count lines.
func limited(count int) func(string, ...any) {
	return func(format string, args ...any) {
		if count > 0 {
			fmt.Printf("trace "+format+"\n", args...)
		}
		count--
	}
}
