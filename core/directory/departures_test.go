package directory

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against an old entry, which a store restored from an older copy lists again, that
// puts an upstream back into use after it drained or left.
func TestOldEntryAfterRestore(t *testing.T) {
	Convey("Given an upstream whose fifth entry is known", t, func() {
		d := New()
		entry := Upstream{ID: "u", Service: "s", Address: "1:1", Incarnation: 10, Sequence: 5}
		earlier, later := entry, entry
		earlier.Sequence, later.Sequence = 4, 6
		So(d.Put(entry), ShouldBeTrue)
		Convey("an earlier entry does not end its draining, a later one does", func() {
			draining := entry
			draining.Draining = true
			So(d.Put(draining), ShouldBeTrue)
			So(d.Put(earlier), ShouldBeFalse)
			So(servingIDs(d, "s"), ShouldBeEmpty)
			So(d.Put(later), ShouldBeTrue)
			So(servingIDs(d, "s"), ShouldResemble, []string{"u"})
		})
		Convey("after it left, only a later entry or incarnation puts it back", func() {
			d.Remove(start, "u")
			So(d.Put(earlier), ShouldBeFalse)
			So(d.Put(entry), ShouldBeFalse)
			So(d.Len(), ShouldEqual, 0)
			restarted := Upstream{ID: "u", Service: "s", Address: "1:1", Incarnation: 11, Sequence: 1}
			So(d.Put(restarted), ShouldBeTrue)
			d.Remove(start, "u")
			So(d.Put(later), ShouldBeFalse)
			So(d.Len(), ShouldEqual, 0)
		})
		Convey("after it expired, only a later entry puts it back", func() {
			d.MarkStoreRestored(start)
			d.Remove(start, "u")
			d.Expire(start.Add(RecoveryGrace))
			So(d.Put(entry), ShouldBeFalse)
			So(d.Put(later), ShouldBeTrue)
		})
		Convey("an earlier entry that the store keeps for longer than it keeps unrenewed ones puts it back", func() {
			const lifetime = 4 * time.Second
			d.Remove(start, "u")
			So(d.Put(entry), ShouldBeFalse)
			So(d.Relist(start, lifetime), ShouldBeEmpty)
			So(d.Relist(start.Add(lifetime+RecoveryGrace), lifetime), ShouldBeEmpty)
			d.MarkStoreUnavailable()
			So(d.Relist(start.Add(time.Hour), lifetime), ShouldBeEmpty)
			d.MarkStoreAvailable(start.Add(time.Hour))
			So(d.Relist(start.Add(time.Hour), lifetime), ShouldBeEmpty)
			So(d.Relist(start.Add(2*time.Hour), lifetime), ShouldResemble, []Upstream{entry})
			So(servingIDs(d, "s"), ShouldResemble, []string{"u"})
			So(d.Relist(start.Add(3*time.Hour), lifetime), ShouldBeEmpty)
		})
		Convey("an earlier entry that the store removes again does not put it back", func() {
			d.Remove(start, "u")
			So(d.Put(entry), ShouldBeFalse)
			So(d.Relist(start, time.Second), ShouldBeEmpty)
			d.Remove(start, "u")
			So(d.Relist(start.Add(time.Hour), time.Second), ShouldBeEmpty)
		})
		Convey("entries without incarnation or sequence number are not compared", func() {
			d.Remove(start, "u")
			unknown := Upstream{ID: "u", Service: "s", Address: "1:1"}
			So(d.Put(unknown), ShouldBeTrue)
			d.Remove(start, "u")
			So(d.Put(unknown), ShouldBeTrue)
		})
	})
}

// Guards against an upstream that is reported as back in use although a later one has taken over
// its address.
func TestOldEntryAtAddressInUse(t *testing.T) {
	Convey("An entry from before its upstream left is not put back while a later upstream is at its address", t, func() {
		d := New()
		left := Upstream{ID: "u", Service: "s", Address: "1:1", Incarnation: 10, Sequence: 5}
		So(d.Put(left), ShouldBeTrue)
		d.Remove(start, "u")
		So(d.Put(left), ShouldBeFalse)
		So(d.Put(Upstream{ID: "v", Service: "s2", Address: "1:1", Incarnation: 11, Sequence: 1}), ShouldBeTrue)
		So(d.Relist(start, time.Second), ShouldBeEmpty)
		So(d.Relist(start.Add(time.Hour), time.Second), ShouldBeEmpty)
		So(servingIDs(d, "s"), ShouldBeEmpty)
		So(servingIDs(d, "s2"), ShouldResemble, []string{"v"})
	})
}

// Guards against memory that grows with each upstream that ever left.
func TestDeparturesAreBounded(t *testing.T) {
	Convey("The latest departures are kept, up to a limit", t, func() {
		d := New()
		for i := range 3 * maxDepartures {
			u := Upstream{ID: fmt.Sprint(i % (2 * maxDepartures)), Service: "s", Address: fmt.Sprint(i), Incarnation: int64(1 + i), Sequence: 1}
			So(d.Put(u), ShouldBeTrue)
			d.Remove(start.Add(time.Second), u.ID)
		}
		So(len(d.departures.latest), ShouldBeLessThanOrEqualTo, maxDepartures)
		So(len(d.departures.order), ShouldBeLessThanOrEqualTo, maxDepartures)
		last := Upstream{ID: fmt.Sprint(maxDepartures - 1), Service: "s", Address: "x", Incarnation: int64(3 * maxDepartures), Sequence: 1}
		So(d.Put(last), ShouldBeFalse)
	})
}
