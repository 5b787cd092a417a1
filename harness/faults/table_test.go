package faults

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// faultsPage is written when writeVariable is set.
	faultsPage    = "../../docs/FAULTS.md"
	writeVariable = "HAWTHORNPOINT_WRITE_DOCS"
	// The table is between these lines; the rest of the page is written by hand.
	tableBegin = "<!-- table: written by go test ./harness/faults -run TestFaultTable -->"
	tableEnd   = "<!-- end of table -->"
)

// result says whether a cell is proved, red or not proved.
func (c cell) result() string {
	switch {
	case c.knownFailure != "":
		return "red: " + c.knownFailure
	case c.unprovedReason != "":
		return "not proved: " + c.unprovedReason
	default:
		return "proved"
	}
}

func (c cell) testName() string {
	switch {
	case c.unprovedReason != "":
		return "none"
	case c.test != "":
		return c.test
	default:
		return "TestFaultMatrix/cells/" + strings.ReplaceAll(c.name(), " ", "_")
	}
}

// table returns the part of the page that is generated from the cells.
func table() string {
	var b strings.Builder
	counts := map[string]int{}
	for _, c := range cells() {
		kind, _, _ := strings.Cut(c.result(), ":")
		counts[kind]++
	}
	fmt.Fprintf(&b, "%d cells: %d proved, %d red, %d not proved.\n\n", len(cells()), counts["proved"], counts["red"], counts["not proved"])
	b.WriteString("| fault | step | invariants | test | result |\n|---|---|---|---|---|\n")
	for _, c := range cells() {
		fmt.Fprintf(&b, "| %s | %s | %s | `%s` | %s |\n", c.fault, c.step, c.invariants, c.testName(), c.result())
	}
	return b.String()
}

// Guards against a page that claims other results than the tests show, and against
// two cells of the same name, of which only one would be listed.
func TestFaultTable(t *testing.T) {
	Convey("The committed table agrees with the cases in the code", t, func() {
		data, err := os.ReadFile(faultsPage)
		So(err, ShouldBeNil)
		before, rest, found := strings.Cut(string(data), tableBegin+"\n")
		So(found, ShouldBeTrue)
		committed, after, found := strings.Cut(rest, tableEnd)
		So(found, ShouldBeTrue)
		if os.Getenv(writeVariable) != "" {
			So(os.WriteFile(faultsPage, []byte(before+tableBegin+"\n"+table()+tableEnd+after), 0o644), ShouldBeNil)
			return
		}
		So(committed, ShouldEqual, table())
		seen := map[string]bool{}
		for _, c := range cells() {
			So(seen[c.name()], ShouldBeFalse)
			seen[c.name()] = true
			So(c.fault != "" && c.step != "" && c.invariants != "", ShouldBeTrue)
			So(c.run != nil || c.test != "" || c.unprovedReason != "", ShouldBeTrue)
		}
	})
}
