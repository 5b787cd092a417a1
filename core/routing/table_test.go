package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func route(name, host, prefix string, destinations ...Destination) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Destinations: destinations, Timeout: time.Second, MaxUpstreams: 2}
}

// Guards against a shorter prefix that takes precedence over a longer one, against a match
// that ends within a path element, and against a host comparison that includes the port or
// is case-sensitive.
func TestMatch(t *testing.T) {
	Convey("The longest matching prefix of the host is selected", t, func() {
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

// Guards against shares that deviate from the weights over a short span, and against the
// selection of a destination of weight 0.
func TestSplitter(t *testing.T) {
	Convey("The counts stay within one request of the shares", t, func() {
		r := route("r", "h", "/", Destination{"a", 90}, Destination{"b", 10}, Destination{"c", 0})
		var s Splitter
		count := map[string]int{}
		for i := 1; i <= 200; i++ {
			count[s.Next(&r)]++
			So(float64(count["b"]), ShouldBeBetween, float64(i)*0.1-1.01, float64(i)*0.1+1.01)
		}
		So(count["c"], ShouldEqual, 0)
	})
}

// Guards against daemons that all begin a new split with the same destination: with few
// requests at each, the fleet as a whole then deviates from the shares.
func TestSplitsStartAtRandomSteps(t *testing.T) {
	Convey("Five requests at each of 100 daemons follow the weights in total", t, func() {
		r := route("r", "h", "/", Destination{"a", 90}, Destination{"b", 10})
		countB := 0
		for i := range 100 {
			s := Splitter{Rand: rand.New(rand.NewPCG(1, uint64(i)))}
			for range 5 {
				if s.Next(&r) == "b" {
					countB++
				}
			}
		}
		So(countB, ShouldBeBetween, 30, 70)
	})
	Convey("A configuration with the same weights keeps the state of the split", t, func() {
		r := route("r", "h", "/", Destination{"a", 50}, Destination{"b", 50})
		var s Splitter
		count := map[string]int{}
		for range 100 {
			same := route("r", "h", "/", Destination{"a", 50}, Destination{"b", 50})
			count[s.Next(&same)]++
			s.Prune(&Config{Routes: []Route{r}})
		}
		So(count["a"], ShouldEqual, 50)
	})
}

// Guards against applying a configuration that can't be served.
func TestCheck(t *testing.T) {
	Convey("The error names the invalid route and its field", t, func() {
		invalid := route("r", "h", "/x", Destination{"a", 1})
		So((&Config{Routes: []Route{invalid}}).Check().Error(), ShouldContainSubstring, `routes[0] "r": prefix`)
		invalid = route("r", "h", "/x/", Destination{"a", 0})
		So((&Config{Routes: []Route{invalid}}).Check().Error(), ShouldContainSubstring, "weight")
		valid := route("r", "h", "/x/", Destination{"a", 1})
		So((&Config{Routes: []Route{valid}}).Check(), ShouldBeNil)
	})
}
