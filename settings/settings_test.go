package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const exampleFile = "../examples/settings.jsonc"

func exampleText() string {
	data, err := os.ReadFile(exampleFile)
	So(err, ShouldBeNil)
	return string(data)
}

// Guards against an example that does not load, and against defaults that
// overwrite given values or are not filled in.
func TestExampleLoads(t *testing.T) {
	Convey("The example loads with its values and the defaults", t, func() {
		s, err := Load(exampleFile)
		So(err, ShouldBeNil)
		So(s.Name, ShouldEqual, "stock-a")
		So(s.Limits.MaxBodyBytes, ShouldEqual, 65536)
		So(s.Limits.MaxCalls, ShouldEqual, 4096)
		So(s.DrainLimit(), ShouldEqual, 11*time.Minute)
		So(s.LeaveGrace(), ShouldEqual, 2*time.Second)
		So(s.ClockSkew(), ShouldEqual, time.Second)
		So(Check(s), ShouldBeEmpty)
	})
}

// Guards against a missing check. Each case replaces one part of the valid example and
// names the only problem expected.
func TestEachFaultIsReported(t *testing.T) {
	cases := []struct{ old, new, want string }{
		{`"name": "stock-a"`, `"name": "stock a"`, `name: "stock a" is not a name`},
		{`"zone": "sierra-norte-a",`, ``, `zone: missing`},
		{`"log_level": "info"`, `"log_level": "trace"`, `log_level: "trace" is not one of`},
		{`"log_level"`, `"loglevel"`, `loglevel: unknown field`},
		{`127.0.0.1:7000`, `localhost:7000`, `listeners.callers: "localhost:7000" is not an address`},
		{`127.0.0.1:7000`, `127.0.0.1`, `listeners.callers: "127.0.0.1" is not an address`},
		{`127.0.0.1:7000`, `127.0.0.1:0`, `listeners.callers: 127.0.0.1:0 has port 0`},
		{`127.0.0.1:7001`, `0.0.0.0:7001`, `listeners.peers: 0.0.0.0:7001 is an unspecified address`},
		{`127.0.0.1:7002`, `10.0.0.1:7002`, `listeners.egress: 10.0.0.1:7002 is not a loopback address`},
		{`127.0.0.1:7003`, `[::]:7003`, `listeners.control: [::]:7003 is an unspecified address`},
		{`127.0.0.1:7004`, `127.0.0.1:7003`, `listeners.operator: 127.0.0.1:7003 is already the address of listeners.control`},
		{`127.0.0.1:8080`, `127.0.0.1:7000`, `backend: 127.0.0.1:7000 is already the address of listeners.callers`},
		{`http://127.0.0.1:8500/v1/config`, `http://config:8500/v1/config`, `platform.config_url: host "config" is not an IP address`},
		{`http://127.0.0.1:8500/v1/config`, `https://127.0.0.1/v1/config`, `platform.config_url: "https://127.0.0.1/v1/config" is not an http URL`},
		{`/v1/vms`, `/v1/vms?all`, `platform.vms_url: user, query and fragment are not allowed`},
		{`65536`, `0`, `limits.max_body_bytes: 0 is outside 1..1073741824`},
		{`65536`, `"64k"`, `limits.max_body_bytes: want a whole number, found a string`},
		{`"log_level"`, `"leave_grace_ms": 5001, "log_level"`, `leave_grace_ms: 5001 is outside 0..5000`},
	}
	Convey("Each fault gives one problem", t, func() {
		for _, c := range cases {
			text := strings.Replace(exampleText(), c.old, c.new, 1)
			s, problems := Parse("f", []byte(text))
			So(s, ShouldBeNil)
			So(problems, ShouldHaveLength, 1)
			p := problems[0]
			So(p.Field+": "+p.Message, ShouldStartWith, c.want)
			So(p.Line, ShouldBeGreaterThan, 0)
		}
	})
	Convey("Load returns the problems of a file, and another error for an unreadable file", t, func() {
		file := filepath.Join(t.TempDir(), "settings.jsonc")
		So(os.WriteFile(file, []byte("{\n]"), 0o600), ShouldBeNil)
		_, err := Load(file)
		var problems *Error
		So(errors.As(err, &problems), ShouldBeTrue)
		So(problems.Problems[0].Line, ShouldEqual, 2)
		_, err = Load(file + ".none")
		So(err, ShouldNotBeNil)
		So(errors.As(err, &problems), ShouldBeFalse)
	})
}

// Guards against a reference in docs/settings.md that differs from the code, and
// against a field without a meaning.
func TestReferenceMatchesFields(t *testing.T) {
	Convey("docs/settings.md lists exactly the fields, in order", t, func() {
		data, err := os.ReadFile("../docs/settings.md")
		So(err, ShouldBeNil)
		var rows []string
		for line := range strings.Lines(string(data)) {
			if strings.HasPrefix(line, "| `") {
				rows = append(rows, strings.TrimSpace(line))
			}
		}
		var want []string
		for _, f := range Fields() {
			So(f.Meaning, ShouldEndWith, ".")
			want = append(want, f.Row())
		}
		So(strings.Join(rows, "\n"), ShouldEqual, strings.Join(want, "\n"))
	})
	Convey("Every default is within its bounds", t, func() {
		for _, p := range Check(Default()) {
			So(p.Message, ShouldNotContainSubstring, "is outside")
		}
	})
}
