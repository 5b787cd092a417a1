package config

import (
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against example files that the checks refuse.
func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"quito", "alpenbrett"} {
		Convey("The files of "+name+" parse, merge, seal and open", t, func() {
			c := loadExample(name)
			So(c.Services, ShouldHaveLength, 4)
			So(c.Sheet.Days, ShouldNotBeEmpty)
			e, err := Seal(c)
			So(err, ShouldBeNil)
			opened, err := Open(e)
			So(err, ShouldBeNil)
			So(opened, ShouldResemble, c)
		})
	}
}

func loadExample(name string) *Config {
	d, problems := ParseDescriptions("descriptions.jsonc", readExample(name, "descriptions.jsonc"))
	So(problems, ShouldBeEmpty)
	s, problems := ParseSheet("sheet.jsonc", readExample(name, "sheet.jsonc"))
	So(problems, ShouldBeEmpty)
	c, problems := Merge(d, s)
	So(problems, ShouldBeEmpty)
	return c
}

func readExample(name, file string) []byte {
	data, err := os.ReadFile("../examples/" + name + "/" + file)
	So(err, ShouldBeNil)
	return data
}

// Guards against a documented format that the parser refuses.
func TestDocumentedExamplesAreValid(t *testing.T) {
	Convey("The code blocks of docs/formats.md parse and merge", t, func() {
		data, err := os.ReadFile("../docs/formats.md")
		So(err, ShouldBeNil)
		var blocks [][]byte
		for i, part := range strings.Split(string(data), "```") {
			if i%2 == 1 {
				blocks = append(blocks, []byte(strings.TrimPrefix(part, "jsonc")))
			}
		}
		So(blocks, ShouldHaveLength, 2)
		d, problems := ParseDescriptions("formats.md", blocks[0])
		So(problems, ShouldBeEmpty)
		s, problems := ParseSheet("formats.md", blocks[1])
		So(problems, ShouldBeEmpty)
		_, problems = Merge(d, s)
		So(problems, ShouldBeEmpty)
	})
}

// Guards against an example call graph whose chains are too short to show overload
// deep in a chain.
func TestExamplesHaveDeepChains(t *testing.T) {
	Convey("The chains of a confirmation and a result contain at least three services", t, func() {
		for name, entry := range map[string]Target{"quito": {"batch-order", "confirm"}, "alpenbrett": {"result", "record"}} {
			So(longestServiceChain(loadExample(name), entry), ShouldBeGreaterThanOrEqualTo, 3)
		}
	})
}

// longestServiceChain returns the number of services in the longest chain from t. It
// counts kinds, which gives the same number because no chain of the examples
// contains a service twice.
func longestServiceChain(c *Config, t Target) int {
	longest := 0
	for _, next := range c.Service(t.Service).Kind(t.Kind).Calls {
		longest = max(longest, longestServiceChain(c, next))
	}
	return 1 + longest
}
