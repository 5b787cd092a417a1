package config

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// smallConfig is a valid configuration. The line numbers in the tests refer to it.
const smallConfig = `{ // line 1
  "version": 7,
  "services": [
    {
      "name": "stock",
      "upstreams": [
        {"name": "stock-a", "zone": "z-a", "region": "r", "slots": 4, "connections": 30},
        {"name": "stock-b", "zone": "z-b", "region": "r", "slots": 4, "connections": 30}
      ],
      "previous_homes": [["stock-a"], ["stock-x", "stock-a"]],
      "kinds": [
        {"name": "check", "method": "GET", "path": "/fabrics/{id}", "rank": 6, "idempotent": true, "patience_ms": 2000, "retries": 2},
        {"name": "reserve", "method": "POST", "path": "/fabrics/{id}", "rank": 0, "idempotent": false, "patience_ms": 5000, "retries": 2,
         "calls": [{"service": "stock", "kind": "check"}]}
      ]
    }
  ],
  "sheet": {"days": [
    {"date": "2026-02-16", "windows": [
      {"start": "06:00", "end": "09:00", "service": "stock", "calls_per_second": 10},
      {"start": "09:00", "end": "24:00", "service": "stock", "calls_per_second": 90}
    ]}
  ]}
}
`

// Guards against a missing check, a wrong line and a wrong field path. Each case
// replaces one part of a valid file and names the only problem expected.
func TestEachFaultIsReportedWithItsLocation(t *testing.T) {
	cases := []struct{ old, new, want string }{
		{`"slots": 4, "connections": 30}` + "\n", `"slot": 4, "slots": 4, "connections": 30}` + "\n", `8: services[0].upstreams[1].slot: unknown field`},
		{`"rank": 6, `, ``, `12: services[0].kinds[0].rank: missing`},
		{`"rank": 6`, `"rank": "6"`, `12: services[0].kinds[0].rank: want a whole number, found a string`},
		{`"rank": 6`, `"rank": 6.5`, `12: services[0].kinds[0].rank: want a whole number, found 6.5`},
		{`"rank": 6`, `"rank": 16`, `12: services[0].kinds[0].rank: 16 is outside 0..15`},
		{`"rank": 6`, `"rank": 6, "rank": 6`, `12: services[0].kinds[0].rank: given twice`},
		{`"rank": 0`, `"rank": 6`, `13: services[0].kinds[1].rank: a non-idempotent kind needs a rank below`},
		{`"idempotent": true`, `"idempotent": null`, `12: services[0].kinds[0].idempotent: want true or false, found null`},
		{`"patience_ms": 2000`, `"patience_ms": 0`, `12: services[0].kinds[0].patience_ms: 0 is outside 1..600000`},
		{`"patience_ms": 2000`, `"patience_ms": 600001`, `12: services[0].kinds[0].patience_ms: 600001 is outside`},
		{`"retries": 2}`, `"retries": 9}`, `12: services[0].kinds[0].retries: 9 is outside 0..8`},
		{`"method": "GET"`, `"method": "get"`, `12: services[0].kinds[0].method: "get" is not one of GET`},
		{`"/fabrics/{id}", "rank": 6`, `"fabrics", "rank": 6`, `12: services[0].kinds[0].path: "fabrics" does not begin with a slash`},
		{`"/fabrics/{id}", "rank": 6`, `"/a//b", "rank": 6`, `12: services[0].kinds[0].path: "" is not a path element`},
		{`"/fabrics/{id}", "rank": 6`, `"/a/../b", "rank": 6`, `12: services[0].kinds[0].path: ".." is not a path element`},
		{`"POST", "path": "/fabrics/{id}"`, `"GET", "path": "/fabrics/new"`, `13: services[0].kinds[1].path: kind check matches the same requests`},
		{`"name": "reserve"`, `"name": "check2/x"`, `13: services[0].kinds[1].name: "check2/x" is not a name`},
		{`"name": "reserve"`, `"name": "` + strings.Repeat("x", 65) + `"`, `13: services[0].kinds[1].name: 65 bytes, at most 64 allowed`},
		{`"name": "stock-b"`, `"name": "stock-a"`, `8: services[0].upstreams[1].name: stock-a is already the name of services[0].upstreams[0]`},
		{`"zone": "z-b"`, `"zone": ""`, `8: services[0].upstreams[1].zone: "" is not a name`},
		{`"slots": 4`, `"slots": 0`, `7: services[0].upstreams[0].slots: 0 is outside 1..1000000`},
		{`"connections": 30`, `"connections": -1`, `7: services[0].upstreams[0].connections: -1 is outside`},
		{`["stock-x", "stock-a"]`, `[]`, `10: services[0].previous_homes[1]: an earlier list of upstreams cannot be empty`},
		{`["stock-x", "stock-a"]`, `["stock-a", "stock-a"]`, `10: services[0].previous_homes[1][1]: stock-a is already`},
		{`"kind": "check"}`, `"kind": "chek"}`, `14: services[0].kinds[1].calls[0].kind: service stock has no kind "chek"`},
		{`{"service": "stock", "kind"`, `{"service": "stok", "kind"`, `14: services[0].kinds[1].calls[0].service: there is no service "stok"`},
		{`"kind": "check"}`, `"kind": "reserve"}`, `14: services[0].kinds[1].calls[0]: the calls form a cycle: stock/reserve -> stock/reserve`},
		{`"2026-02-16"`, `"2026-02-30"`, `19: sheet.days[0].date: "2026-02-30" is not a date`},
		{`"start": "06:00"`, `"start": "6:00"`, `20: sheet.days[0].windows[0].start: "6:00" is not a time of day`},
		{`"end": "24:00"`, `"end": "24:01"`, `21: sheet.days[0].windows[1].end: "24:01" is not a time of day`},
		{`"end": "09:00"`, `"end": "06:00"`, `20: sheet.days[0].windows[0].end: the window ends at 06:00`},
		{`"end": "09:00"`, `"end": "09:01"`, `21: sheet.days[0].windows[1]: the window overlaps an earlier one of stock`},
		{`"end": "24:00", "service": "stock"`, `"end": "24:00", "service": "stok"`, `21: sheet.days[0].windows[1].service: there is no service "stok"`},
		{`: 90`, `: -90`, `21: sheet.days[0].windows[1].calls_per_second: -90 is not a rate`},
		{`: 90`, `: 1e999`, `21: sheet.days[0].windows[1].calls_per_second: want a number, found 1e999`},
		{`"version": 7`, `"version": -7`, `2: version: want a whole number that is not negative, found -7`},
		{`"services": [`, `"services": [[],`, `3: services[0]: want an object, found a list`},
		{`"kinds": [`, `"kinds" [`, `11: column 15: invalid character`},
	}
	Convey("Each fault gives one problem with line, field and reason", t, func() {
		for _, c := range cases {
			text := strings.Replace(smallConfig, c.old, c.new, 1)
			So(text, ShouldNotEqual, smallConfig)
			parsed, problems := Parse("f", []byte(text))
			So(parsed, ShouldBeNil)
			Printf("%v\n", problems)
			So(problems[0].String(), ShouldStartWith, strings.Replace("f:"+c.want, "f::", "f:", 1))
			if !strings.Contains(c.want, "services[0]: want an object") { // this case shifts all indices
				So(problems, ShouldHaveLength, 1)
			}
		}
	})
}

// Guards against a check that stops at the first fault, so that an operator has to
// run it once for each fault.
func TestAllProblemsInOnePass(t *testing.T) {
	Convey("Faults of different types are reported together, ordered by line", t, func() {
		text := strings.NewReplacer(`"version": 7`, `"versions": 7`, `"slots": 4`, `"slots": 0`, `"rank": 6`, `"rank": true`,
			`"kind": "check"`, `"kind": "x"`, `"24:00"`, `"25:00"`).Replace(smallConfig)
		_, problems := Parse("f", []byte(text))
		var lines []int
		for _, p := range problems {
			lines = append(lines, p.Line)
		}
		So(lines, ShouldResemble, []int{2, 7, 8, 12, 14, 21})
		So(Join(problems).Error(), ShouldEndWith, "; and 3 more")
	})
}

// Guards against a faulty file that keeps a daemon busy or exhausts its memory:
// without bounds, 1 MiB with 340,000 faults took 17 s and 498 MiB, with the store
// locked.
func TestProblemsAreBounded(t *testing.T) {
	Convey("A file with too many values is refused before it is parsed", t, func() {
		_, problems := Parse("f", []byte(`{"services": [`+strings.Repeat("{},\n", 32_768)+`]}`))
		So(problems, ShouldResemble, []Problem{{"f", 32_768, "", "more than 65536 fields and list elements"}})
	})
	Convey("Files with very many faults are refused within 5 s, with a bounded number of problems", t, func() {
		padding := "/*" + strings.Repeat(" ", 20) + "*/"
		for _, text := range []string{
			`{"services": [` + strings.Repeat(`{},`+padding, 32_000) + `]}`,
			`{"services": [{"name": "a", "upstreams": [` + strings.Repeat(`{},`+padding, 32_000) + `]}]}`,
			`{"services": [{"name": "a", "kinds": [` + strings.Repeat(`{"method": "GET", "path": "/{a}/b/c"},`, 20_000) + `]}]}`,
			`{"services": [], "sheet": {"days": [` + strings.Repeat(`{"date": ""},`+padding, 25_000) + `]}}`,
		} {
			start := time.Now()
			_, problems := Parse("f", []byte(text))
			So(time.Since(start), ShouldBeLessThan, 5*time.Second)
			So(problems, ShouldHaveLength, MaxProblems+1)
			So(problems[MaxProblems].Message, ShouldEqual, "further problems are not listed")
		}
	})
}

// Guards against input that crashes the process: the parser recurses, and 1 MiB of
// opening brackets exhausts the stack.
func TestHostileInputIsRefused(t *testing.T) {
	Convey("Deep nesting and oversized input are problems", t, func() {
		for _, opening := range []string{"[", `{"services":[`, `/*"*/[`, "//\"\n["} {
			text := strings.Repeat(opening, MaxBytes/len(opening))
			_, problems := Parse("f", []byte(text))
			So(Join(problems).Error(), ShouldContainSubstring, "nested deeper than 32 levels")
		}
		_, problems := Parse("f", []byte(smallConfig+strings.Repeat(" ", MaxBytes)))
		So(Join(problems).Error(), ShouldContainSubstring, "at most 1048576 allowed")
		_, problems = Parse("f", []byte(strings.Replace(smallConfig, "line 1", strings.Repeat(`[{"`, 50), 1)))
		So(problems, ShouldBeEmpty)
	})
}

// Guards against chains of more than seven kinds, for which the latency bound does
// not hold, and against undetected cycles over several services.
func TestCallGraph(t *testing.T) {
	chain := func(length int, last string) []Problem {
		c := &Config{Version: 1}
		for i := range length {
			name := fmt.Sprintf("s%d", i)
			k := Kind{Name: "k", Method: "GET", Path: "/", Rank: 1, Idempotent: true, PatienceMS: 1}
			if next := fmt.Sprintf("s%d", i+1); i+1 < length {
				k.Calls = []Target{{next, "k"}}
			} else if last != "" {
				k.Calls = []Target{{last, "k"}}
			}
			c.Services = append(c.Services, Service{Name: name, Kinds: []Kind{k},
				Upstreams: []Upstream{{name, "z", "r", 1, 1}}})
		}
		return Check(c)
	}
	Convey("Seven kinds in a chain are allowed, eight are not", t, func() {
		So(chain(7, ""), ShouldBeEmpty)
		So(chain(8, "")[0].String(), ShouldEqual, "services[0].kinds[0].calls: a chain of calls from s0/k passes more than 7 kinds")
		So(chain(9, ""), ShouldHaveLength, 1)
	})
	Convey("The problem of a cycle lists the kinds in it", t, func() {
		So(chain(4, "s1")[0].String(), ShouldEqual, "services[3].kinds[0].calls[0]: the calls form a cycle: s1/k -> s2/k -> s3/k -> s1/k")
	})
}

// Guards against accepting a sheet and descriptions that are valid alone but not
// together.
func TestMergeChecksAcrossFiles(t *testing.T) {
	Convey("A service without a description is a problem with its line in the sheet", t, func() {
		d := &Descriptions{Services: []Service{{Name: "stock"}}}
		s, problems := ParseSheet("sheet", []byte("{\"days\": [{\"date\": \"2026-02-16\", \"windows\": [\n"+
			`{"start": "06:00", "end": "09:00", "service": "stok", "calls_per_second": 10}]}]}`))
		So(problems, ShouldBeEmpty)
		_, problems = Merge(d, s)
		So(problems, ShouldResemble, []Problem{{"sheet", 2, "days[0].windows[0].service", `there is no service "stok"`}})
	})
	Convey("Seal refuses values that JSON cannot represent", t, func() {
		c, _ := Parse("f", []byte(smallConfig))
		c.Sheet.Days[0].Windows[0].CallsPerSecond = math.NaN()
		_, err := Seal(c)
		So(err, ShouldNotBeNil)
	})
}
