package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/config"
)

func run(args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	code = Main(args, &out, &err)
	return code, out.String(), err.String()
}

// Guards against a trial that reports success although an invariant was violated, and
// against changed keys in the JSON report, which other programs read.
func TestTry(t *testing.T) {
	Convey("A short trial of each deployment ends without a violated invariant", t, func() {
		for _, deployment := range []string{"quito", "alpenbrett"} {
			code, stdout, stderr := run("try", "--deployment", deployment, "--duration", "3s", "--rate", "60", "--json")
			So(stderr, ShouldContainSubstring, "leaves")
			var report map[string]any
			So(json.Unmarshal([]byte(stdout), &report), ShouldBeNil)
			for _, key := range []string{"deployment", "kinds", "goodput", "retries_max_per_request", "doubled",
				"told_not_run_but_ran", "wrong_answers", "invariant_violations"} {
				So(report, ShouldContainKey, key)
			}
			So(report["deployment"], ShouldEqual, deployment)
			So(code, ShouldEqual, exitOK)
		}
	})
}

// Guards against problems that are printed without file, line and field, and against
// a check that exits with success although there are problems.
func TestCheck(t *testing.T) {
	Convey("Given files", t, func() {
		dir := t.TempDir()
		write := func(name, text string) string {
			file := filepath.Join(dir, name)
			So(os.WriteFile(file, []byte(text), 0o600), ShouldBeNil)
			return file
		}
		Convey("the bundled examples have no problems", func() {
			code, stdout, _ := run("check", "../../examples/settings.jsonc", "../../examples/quito/descriptions.jsonc",
				"../../examples/quito/sheet.jsonc")
			So(code, ShouldEqual, exitOK)
			So(stdout, ShouldContainSubstring, "3 files checked")
		})
		Convey("a problem is printed with file, line and field", func() {
			file := write("bad.jsonc", "{\n  \"services\": [\n    {\"name\": \"stock\", \"upstreams\": [], \"kinds\": [], \"colour\": 1}\n  ]\n}\n")
			code, _, stderr := run("check", file)
			So(code, ShouldEqual, exitError)
			So(stderr, ShouldContainSubstring, file+":3: services[0].colour: unknown field")
		})
		Convey("a file that can't be read is an error", func() {
			code, _, stderr := run("check", filepath.Join(dir, "missing"))
			So(code, ShouldEqual, exitError)
			So(stderr, ShouldContainSubstring, "missing")
		})
	})
}

// Guards against an envelope that daemons would refuse.
func TestSeal(t *testing.T) {
	Convey("The envelope of the examples can be opened", t, func() {
		code, stdout, _ := run("seal", "--descriptions", "../../examples/alpenbrett/descriptions.jsonc",
			"--sheet", "../../examples/alpenbrett/sheet.jsonc")
		So(code, ShouldEqual, exitOK)
		var envelope config.Envelope
		So(json.Unmarshal([]byte(stdout), &envelope), ShouldBeNil)
		conf, err := config.Open(envelope)
		So(err, ShouldBeNil)
		So(conf.Service("pairing"), ShouldNotBeNil)
		So(conf.Sheet.Days, ShouldNotBeEmpty)
	})
}

// Guards against invalid usage or settings that end with the exit code of success.
func TestUsage(t *testing.T) {
	Convey("Unknown commands and values out of range are usage errors; version succeeds", t, func() {
		code, _, _ := run("no-such-command")
		So(code, ShouldEqual, exitUsage)
		code, _, stderr := run("try", "--rate", "0")
		So(code, ShouldEqual, exitUsage)
		So(stderr, ShouldContainSubstring, "--rate")
		code, stdout, _ := run("version")
		So(code, ShouldEqual, exitOK)
		So(stdout, ShouldContainSubstring, "version=")
	})
	Convey("A daemon without valid settings does not start", t, func() {
		code, _, stderr := run("daemon", "--settings", "../../examples/quito/sheet.jsonc")
		So(code, ShouldEqual, exitError)
		So(stderr, ShouldContainSubstring, "settings")
	})
}
