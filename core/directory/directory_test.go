package directory

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var start = time.Unix(1000, 0)

func names(d *Directory, service string) []string {
	list := []string{}
	for _, u := range d.Serving(service) {
		list = append(list, u.ID)
	}
	return list
}

func filled() *Directory {
	d := New()
	d.Put(Upstream{ID: "u1", Service: "s", Address: "1:1", Incarnation: 10, Slots: 4})
	d.Put(Upstream{ID: "u2", Service: "s", Address: "2:1", Incarnation: 10, Slots: 4})
	return d
}

// Guards against new work for an upstream that leaves or has left.
func TestLeaving(t *testing.T) {
	Convey("Draining and removed upstreams take no new work", t, func() {
		d := filled()
		d.Put(Upstream{ID: "u1", Service: "s", Address: "1:1", Incarnation: 10, Draining: true})
		So(names(d, "s"), ShouldResemble, []string{"u2"})
		d.Remove(start, "u2")
		So(names(d, "s"), ShouldBeEmpty)
		_, known := d.At("1:1")
		So(known, ShouldBeTrue)
	})
}

// Guards against losing all upstreams because they could not renew their entries while the
// store was away, and against keeping those that do not come back.
func TestLapsed(t *testing.T) {
	Convey("Given a store that comes back without entries", t, func() {
		d := filled()
		d.StoreAway()
		d.Remove(start, "u1")
		So(names(d, "s"), ShouldResemble, []string{"u1", "u2"})
		d.StoreBack(start)
		d.Remove(start.Add(ReturnGrace/2), "u2")
		So(d.Expire(start.Add(ReturnGrace/2)), ShouldBeEmpty)
		So(names(d, "s"), ShouldResemble, []string{"u1", "u2"})
		Convey("an entry that is renewed in time stays", func() {
			d.Put(Upstream{ID: "u1", Service: "s", Address: "1:1", Incarnation: 10})
			So(d.Expire(start.Add(ReturnGrace)), ShouldResemble, []string{"u2"})
			So(names(d, "s"), ShouldResemble, []string{"u1"})
		})
		Convey("a draining upstream does not come back", func() {
			d.Put(Upstream{ID: "u1", Service: "s", Address: "1:1", Incarnation: 10, Draining: true})
			d.Remove(start.Add(ReturnGrace/2), "u1")
			_, known := d.At("1:1")
			So(known, ShouldBeFalse)
		})
	})
}

// Guards against new work for an upstream that left just as the store came back, later than
// the drain time of 2 s allows.
func TestLeftAtReturn(t *testing.T) {
	Convey("An upstream that is removed at the return of the store is not used for 2 s", t, func() {
		d := filled()
		d.StoreAway()
		d.StoreBack(start)
		d.Remove(start.Add(time.Millisecond), "u1")
		So(d.Expire(start.Add(1900*time.Millisecond)), ShouldResemble, []string{"u1"})
		So(names(d, "s"), ShouldResemble, []string{"u2"})
	})
}

// Guards against sending requests of one service to an address that another has taken over,
// and against an old entry that replaces a newer incarnation.
func TestAddressReused(t *testing.T) {
	Convey("The upstream that started last owns the address", t, func() {
		d := filled()
		d.Put(Upstream{ID: "v1", Service: "other", Address: "1:1", Incarnation: 20})
		So(names(d, "s"), ShouldResemble, []string{"u2"})
		So(names(d, "other"), ShouldResemble, []string{"v1"})
		d.Put(Upstream{ID: "u1", Service: "s", Address: "1:1", Incarnation: 10})
		So(names(d, "other"), ShouldResemble, []string{"v1"})
		d.Put(Upstream{ID: "u2", Service: "s", Address: "2:1", Incarnation: 5, Draining: true})
		So(names(d, "s"), ShouldResemble, []string{"u2"})
	})
}

// Guards against requests at an upstream that has left, because daemons that had lost the
// store for themselves kept raising doubts about its removal.
func TestDoubtsEnd(t *testing.T) {
	Convey("A removed upstream stays for the grace at most while the store answers", t, func() {
		d := New()
		d.Put(Upstream{ID: "u", Service: "s", Address: "1:1"})
		d.Doubt(start, ReturnGrace)
		d.Remove(start, "u")
		So(d.Serving("s"), ShouldHaveLength, 1)
		for at := time.Duration(0); at < ReturnGrace; at += 100 * time.Millisecond {
			d.Doubt(start.Add(at), ReturnGrace)
			d.Remove(start.Add(at), "u")
			So(d.Expire(start.Add(at)), ShouldBeEmpty)
		}
		So(d.Expire(start.Add(ReturnGrace)), ShouldResemble, []string{"u"})
		So(d.Serving("s"), ShouldBeEmpty)
	})
	Convey("A doubt that is over keeps nothing", t, func() {
		d := New()
		d.Put(Upstream{ID: "u", Service: "s", Address: "1:1"})
		d.Doubt(start, 100*time.Millisecond)
		So(d.Doubtful(start), ShouldEqual, 100*time.Millisecond)
		d.Remove(start.Add(200*time.Millisecond), "u")
		So(d.Serving("s"), ShouldBeEmpty)
	})
}
