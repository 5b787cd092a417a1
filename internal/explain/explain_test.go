package explain

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"
)

const entryLog = `level=info time=2026-04-17T08:40:37.500Z msg=attempt id=7f route=browse service=shop upstream=i-1 zone=a load_age=0.05 result=misplaced next=i-2
level=info time=2026-04-17T08:40:37.900Z msg=refused id=7f route=browse service=shop upstream=i-2 result=refused wait=0.79 running=34 waiting=56 limit=34 code=shed status=503 reason=wait_too_long sent=0
level=info time=2026-04-17T08:40:36.000Z msg="upstream removed" upstream=i-1 revision=7
level=info time=2026-04-17T08:40:36.000Z msg="upstream removed" upstream=i-9 revision=8
level=info time=2026-04-17T08:40:37.950Z msg=refused id=80 code=shed status=503 reason=all_asked sent=0
not a line at all
level=info time=yesterday msg=refused id=7f
`

const peerLog = `vm-2 level=info time=2026-04-17T08:40:37.800Z msg="slot refused" id=7f kind=browse waited=0.3 wait=0.79 reason=wait_too_long
vm-2 level=info time=2026-04-17T08:40:37.850Z msg="backend exchange failed" id=7f.1 upstream=i-4 sent=true elapsed=0.2 reason=no_answer error="read answer: \"connection\" reset"
`

func readLogs(id string) (*Report, error) {
	r := NewReader(id)
	So(r.Read("a.log", strings.NewReader(entryLog)), ShouldBeNil)
	So(r.Read("b.log", strings.NewReader(peerLog)), ShouldBeNil)
	return r.Report()
}

// Guards against a report that is out of order, lacks the lines of the other daemon, mixes
// requests, or stops at a line that cannot be parsed.
func TestReport(t *testing.T) {
	Convey("The lines of a request from several logs are reported in order of time", t, func() {
		report, err := readLogs("7f")
		So(err, ShouldBeNil)
		var events []string
		for _, l := range report.Lines {
			events = append(events, l.Event)
		}
		So(events, ShouldResemble, []string{"attempt", "slot refused", "backend exchange failed", "refused"})
		So(report.Lines[1].Source, ShouldEqual, "b.log vm-2")
		So(report.UpstreamLines, ShouldHaveLength, 1)
		So(report.Unreadable, ShouldEqual, 2)
		var out strings.Builder
		So(report.Write(&out), ShouldBeNil)
		So(out.String(), ShouldContainSubstring, "+0.400 s  a.log  refused")
		So(out.String(), ShouldContainSubstring, "-1.500 s  a.log  upstream removed")
		So(out.String(), ShouldContainSubstring, "call 7f.1")
		So(out.String(), ShouldContainSubstring, "cause: answered 503 (shed): the expected wait of 0.79 s for one of the 34 slots of upstream i-2, with 56 waiting, was more than the request could afford; it has not run")
		So(out.String(), ShouldContainSubstring, `cause: its call 7f.1: the backend server of upstream i-4 broke off after 0.2 s: read answer: "connection" reset`)
		So(out.String(), ShouldContainSubstring, "2 lines could not be read")
	})
	Convey("A run that ended with its caller is not attributed to the backend server", t, func() {
		r := NewReader("8c")
		So(r.Read("a.log", strings.NewReader(`level=info time=2026-04-17T08:40:37Z msg="backend exchange failed" id=8c upstream=i-4 elapsed=0.2 reason=canceled error="use of closed network connection"`+"\n")), ShouldBeNil)
		report, err := r.Report()
		So(err, ShouldBeNil)
		So(report.Causes(), ShouldResemble, []string{"it was ended 0.2 s after it went to the backend server of upstream i-4: its caller left, or the connection to the daemon that had sent it broke"})
	})
	Convey("An unknown request is an error", t, func() {
		_, err := readLogs("no-such")
		So(errors.Is(err, ErrRequestNotFound), ShouldBeTrue)
	})
}

// Guards against a report on a lost request that does not state that a daemon was killed.
func TestKilledDaemon(t *testing.T) {
	const log = `level=info time=2026-04-17T08:40:30Z msg=started name=vm-2 backend=10.0.0.2:1
level=info time=2026-04-17T08:40:30Z msg="upstream listed" upstream=i-2 address=10.0.0.2:1 revision=3
level=info time=2026-04-17T08:40:37Z msg=attempt id=9a upstream=i-2 result=lost reason=not_idempotent
level=info time=2026-04-17T08:40:37Z msg=refused id=9a upstream=i-2 result=lost code=attempt_lost status=502 reason=not_idempotent sent=1
level=info time=2026-04-17T08:40:37.5Z msg=started name=vm-2 backend=10.0.0.2:1
level=info time=2026-04-17T08:40:37.6Z msg=started name=vm-3 backend=10.0.0.3:1
`
	Convey("The start of the daemon after the request is reported as the cause", t, func() {
		r := NewReader("9a")
		So(r.Read("a.log", strings.NewReader(log)), ShouldBeNil)
		report, err := r.Report()
		So(err, ShouldBeNil)
		So(report.UpstreamLines, ShouldHaveLength, 2)
		So(report.Causes(), ShouldContain, "the daemon beside upstream i-2 had ended; it started again at 2026-04-17T08:40:37.5Z")
	})
}

// Guards against a request without a trace: the process that accepted it ended without a line
// about it.
func TestAbruptEnds(t *testing.T) {
	const log = `vm-1 level=info time=2026-04-17T08:40:30Z msg=started name=vm-1 backend=10.0.0.1:1
vm-2 level=info time=2026-04-17T08:40:30Z msg=started name=vm-2 backend=10.0.0.2:1
vm-2 level=info time=2026-04-17T08:40:36Z msg="slot refused" id=9a waited=0.3 reason=no_room
vm-1 level=info time=2026-04-17T08:40:37Z msg=started name=vm-1 backend=10.0.0.1:1
vm-2 level=info time=2026-04-17T08:40:38Z msg=stopped idle=true
vm-2 level=info time=2026-04-17T08:40:39Z msg=started name=vm-2 backend=10.0.0.2:1
`
	report := func(id string) (*Report, error) {
		r := NewReader(id)
		So(r.Read("a.log", strings.NewReader(log)), ShouldBeNil)
		return r.Report()
	}
	Convey("A process without a line about its end is reported, one that stopped is not", t, func() {
		found, err := report("9a")
		So(err, ShouldBeNil)
		var out strings.Builder
		So(found.Write(&out), ShouldBeNil)
		So(out.String(), ShouldContainSubstring, "during the request: the daemon vm-1 ended without a stop; it started again at 2026-04-17T08:40:37Z")
		So(out.String(), ShouldNotContainSubstring, "vm-2 ended")
		unknown, err := report("9b")
		So(errors.Is(err, ErrRequestNotFound), ShouldBeTrue)
		So(unknown.AbruptEnds, ShouldHaveLength, 1)
	})
}

// Guards against unbounded memory use for a log without line ends.
func TestLongLine(t *testing.T) {
	Convey("An overlong line without pairs counts as unreadable", t, func() {
		r := NewReader("7f")
		So(r.Read("a.log", strings.NewReader(strings.Repeat("7f", 2*maxLine)+"\n"+entryLog)), ShouldBeNil)
		report, err := r.Report()
		So(err, ShouldBeNil)
		So(report.Unreadable, ShouldEqual, 3)
	})
}
