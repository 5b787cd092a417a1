package tenancy

import (
	"math"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against one invalid tenant that takes the others of a configuration with it.
func TestInvalidTenantBindsOnlyItself(t *testing.T) {
	Convey("Invalid tenants are reported by field and left out", t, func() {
		table, problems := NewTable([]Tenant{
			{Name: "a", Keys: []string{"key-a"}},
			{Keys: []string{"key-b"}},
			{Name: "c", Keys: []string{"key-c"}, Rate: -1},
			{Name: "d", Keys: []string{"key-d"}, Burst: math.NaN()},
			{Name: "a", Keys: []string{"key-e"}},
		})
		So(table.Len(), ShouldEqual, 1)
		So(table.ByKey("key-a").Name, ShouldEqual, "a")
		for _, key := range []string{"key-b", "key-c", "key-d", "key-e", "", strings.Repeat("k", 16<<10)} {
			So(table.ByKey(key), ShouldBeNil)
		}
		So(problems, ShouldHaveLength, 4)
		for i, field := range []string{"name: missing", "rate", "burst", "name: used twice"} {
			So(problems[i].Error(), ShouldContainSubstring, field)
		}
	})
}

// Guards against requests that run for the wrong one of two tenants, and against a key in an error.
func TestKeyOfTwoTenantsBelongsToNone(t *testing.T) {
	Convey("The key is refused, the other keys of the tenants are not", t, func() {
		table, problems := NewTable([]Tenant{
			{Name: "a", Keys: []string{"shared-secret", "key-a"}}, {Name: "b", Keys: []string{"shared-secret", "key-b"}},
		})
		So(table.ByKey("shared-secret"), ShouldBeNil)
		So(table.ByKey("key-a").Name, ShouldEqual, "a")
		So(table.ByKey("key-b").Name, ShouldEqual, "b")
		So(problems, ShouldHaveLength, 1)
		So(problems[0].Error(), ShouldNotContainSubstring, "secret")
	})
}
