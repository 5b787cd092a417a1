package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func route(name, host, prefix string, parts ...Part) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Parts: parts, Timeout: time.Second, MaxUpstreams: 2}
}

// Guards against a shorter prefix that hides a longer one, against matching in the middle
// of a path element, and against a host that is compared with its port or in its case.
func TestMatch(t *testing.T) {
	Convey("Given overlapping prefixes on two hosts", t, func() {
		table := NewTable(&Config{Routes: []Route{
			route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/"),
		}})
		cases := []struct{ host, path, want string }{
			{"a.example", "/x/", "short"}, {"a.example", "/x/1", "short"}, {"a.example", "/x/y/", "long"},
			{"a.example", "/x/y/z/1", "long"}, {"a.example", "/x/yz/", "short"}, {"a.example", "/x", ""},
			{"a.example", "/", ""}, {"A.Example:80", "/x/1", "short"}, {"b.example", "/x/y/", "other"}, {"c.example", "/x/", ""},
		}
		for _, c := range cases {
			got := ""
			if r := table.Match(c.host, c.path); r != nil {
				got = r.Name
			}
			So(fmt.Sprint(c.host, c.path, " ", got), ShouldEqual, fmt.Sprint(c.host, c.path, " ", c.want))
		}
	})
}

// Guards against shares that drift from the weights over a short span, and against a part
// of weight 0 that is chosen.
func TestSplitter(t *testing.T) {
	Convey("Shares follow the weights within one request", t, func() {
		r := route("r", "h", "/", Part{"a", 90}, Part{"b", 10}, Part{"c", 0})
		var s Splitter
		count := map[string]int{}
		for i := 1; i <= 200; i++ {
			count[s.Next(&r)]++
			So(float64(count["b"]), ShouldBeBetween, float64(i)*0.1-1.01, float64(i)*0.1+1.01)
		}
		So(count["c"], ShouldEqual, 0)
	})
}

// Guards against a fleet whose daemons all begin a new split with the same part, so that few
// requests at each miss the shares together.
func TestSplitsBeginApart(t *testing.T) {
	Convey("Five requests at each of 100 daemons keep the shares", t, func() {
		r := route("r", "h", "/", Part{"a", 90}, Part{"b", 10})
		light := 0
		for i := range 100 {
			s := Splitter{Rand: rand.New(rand.NewPCG(1, uint64(i)))}
			for range 5 {
				if s.Next(&r) == "b" {
					light++
				}
			}
		}
		So(light, ShouldBeBetween, 30, 70)
	})
	Convey("A configuration that leaves the weights leaves the split", t, func() {
		r := route("r", "h", "/", Part{"a", 50}, Part{"b", 50})
		var s Splitter
		count := map[string]int{}
		for range 100 {
			same := route("r", "h", "/", Part{"a", 50}, Part{"b", 50})
			count[s.Next(&same)]++
			s.Keep(&Config{Routes: []Route{r}})
		}
		So(count["a"], ShouldEqual, 50)
	})
}

// Guards against a configuration that can't be served being put in force.
func TestCheck(t *testing.T) {
	Convey("A faulty route is named with its field", t, func() {
		bad := route("r", "h", "/x", Part{"a", 1})
		So((&Config{Routes: []Route{bad}}).Check().Error(), ShouldContainSubstring, `routes[0] "r": prefix`)
		bad = route("r", "h", "/x/", Part{"a", 0})
		So((&Config{Routes: []Route{bad}}).Check().Error(), ShouldContainSubstring, "weight")
		good := route("r", "h", "/x/", Part{"a", 1})
		So((&Config{Routes: []Route{good}}).Check(), ShouldBeNil)
	})
}
