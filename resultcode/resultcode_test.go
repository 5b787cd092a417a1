package resultcode

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a documented code that differs from the table. Callers who follow the
// page would then mistake an unknown outcome for a call that was not run.
func TestReferenceMatchesTable(t *testing.T) {
	Convey("docs/result-codes.md lists all codes of the table, in its order, and no others", t, func() {
		data, err := os.ReadFile("../docs/result-codes.md")
		So(err, ShouldBeNil)
		var rows, want []string
		for line := range strings.Lines(string(data)) {
			if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| code |") {
				rows = append(rows, strings.TrimSpace(line))
			}
		}
		for _, info := range All() {
			status := "the backend server's"
			if info.HTTPStatus != 0 {
				status = fmt.Sprint(info.HTTPStatus)
			}
			want = append(want, fmt.Sprintf("| %d | `%s` | %s | %s | %s |", info.Code, info.Name, info.Kind, status, info.Meaning))
		}
		So(strings.Join(rows, "\n"), ShouldEqual, strings.Join(want, "\n"))
	})
}

// Guards against a code outside the range of its kind, a repeated number or name, and a
// refusal without an HTTP status of its own, which could be mistaken for the answer of
// a backend server.
func TestTableIsConsistent(t *testing.T) {
	Convey("Numbers ascend, names are unique, and each code is in the range of its kind", t, func() {
		names := make(map[string]bool)
		last := Code(0)
		for _, info := range All() {
			So(info.Code, ShouldBeGreaterThan, last)
			So(names[info.Name], ShouldBeFalse)
			So(info.Kind, ShouldEqual, Kind(info.Code/100))
			So(info.HTTPStatus == 0, ShouldEqual, info.Kind == Answered)
			So(info.Code.Valid(), ShouldBeTrue)
			So(info.Code.String(), ShouldEqual, info.Name)
			last, names[info.Name] = info.Code, true
		}
		So(Code(1).Valid(), ShouldBeFalse)
		So(Code(1).String(), ShouldEqual, "invalid")
	})
}
