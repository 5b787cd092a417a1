package cli

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against an unknown request that is reported like one without problems, and against
// a log file that cannot be opened and is skipped silently.
func TestExplain(t *testing.T) {
	Convey("Given a log file", t, func() {
		file := filepath.Join(t.TempDir(), "daemon.log")
		So(os.WriteFile(file, []byte("level=info time=2026-04-17T08:40:37.5Z msg=refused id=7f code=shed status=503 reason=all_asked sent=0\nnoise\n"), 0o600), ShouldBeNil)
		Convey("the report on a request is printed", func() {
			code, stdout, _ := run("explain", "7f", file)
			So(code, ShouldEqual, exitOK)
			So(stdout, ShouldContainSubstring, "cause: answered 503 (shed): every upstream that was asked had no room; it has not run")
		})
		Convey("an unknown request is an error that states the number of unreadable lines", func() {
			code, stdout, stderr := run("explain", "80", file)
			So(code, ShouldEqual, exitError)
			So(stdout, ShouldBeEmpty)
			So(stderr, ShouldContainSubstring, "no line names the request")
			So(stderr, ShouldContainSubstring, "1 lines could not be read")
		})
		Convey("a missing file is a usage error", func() {
			code, _, _ := run("explain", "7f", file+".gz")
			So(code, ShouldEqual, exitUsage)
		})
	})
}
