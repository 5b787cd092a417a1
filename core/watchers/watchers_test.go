package watchers

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var start = time.Unix(1000, 0)

func fleet(n, zones int) []Daemon {
	var all []Daemon
	for i := range n {
		all = append(all, Daemon{Address: fmt.Sprintf("10.%d.0.%d:1", i%zones, i), Zone: fmt.Sprint(i % zones)})
	}
	return all
}

// Guards against a number of store reads that grows with the fleet, against a source that
// does not watch the store, and against traffic between zones.
func TestFewWatch(t *testing.T) {
	Convey("In a fleet of 720 daemons in 6 zones, two daemons of each zone watch, and the others are distributed between them", t, func() {
		all := fleet(720, 6)
		watching, followers := map[string]bool{}, map[string]int{}
		zoneOf := map[string]string{}
		for _, d := range all {
			zoneOf[d.Address] = d.Zone
		}
		for _, d := range all {
			source := New(d).Source(start, all)
			if source == "" {
				watching[d.Address] = true
				continue
			}
			So(zoneOf[source], ShouldEqual, d.Zone)
			followers[source]++
		}
		So(len(watching), ShouldEqual, 12)
		So(Count(all), ShouldEqual, 12)
		for source, n := range followers {
			So(watching[source], ShouldBeTrue)
			So(n, ShouldBeLessThan, 90)
		}
	})
	Convey("In a zone of two daemons both watch", t, func() {
		for _, d := range fleet(6, 3) {
			So(New(d).Source(start, fleet(6, 3)), ShouldBeEmpty)
		}
	})
	Convey("A daemon that is not listed in the fleet is counted in its zone", t, func() {
		So(New(Daemon{Address: "10.9.0.9:1", Zone: "9"}).Source(start, fleet(12, 3)), ShouldBeEmpty)
	})
}

// Guards against a daemon that receives no changes because its sources have failed, and
// against one that never returns to them.
func TestSourcesFail(t *testing.T) {
	Convey("A daemon skips failed sources, then watches the store itself, and returns after the exclusion", t, func() {
		all := fleet(40, 1)
		var follower Daemon
		for _, d := range all {
			if New(d).Source(start, all) != "" {
				follower = d
			}
		}
		s, tried := New(follower), map[string]bool{}
		first := s.Source(start, all)
		for source := first; source != ""; source = s.Source(start, all) {
			So(tried[source], ShouldBeFalse)
			tried[source] = true
			s.Exclude(start, source)
		}
		So(len(tried), ShouldBeBetweenOrEqual, watchersPerZone, maxSkipped)
		So(s.Source(start.Add(exclusionTime), all), ShouldEqual, first)
	})
}
