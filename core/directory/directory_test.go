package directory

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var start = time.Unix(1000, 0)

func servingIDs(d *Directory, service string) []string {
	list := []string{}
	for _, u := range d.Serving(service) {
		list = append(list, u.ID)
	}
	return list
}

func twoUpstreams() *Directory {
	d := New()
	d.Put(Upstream{ID: "u1", Service: "s", Address: "1:1", Incarnation: 10, Slots: 4})
	d.Put(Upstream{ID: "u2", Service: "s", Address: "2:1", Incarnation: 10, Slots: 4})
	return d
}

// Guards against new work for an upstream that leaves or has left.
func TestLeaving(t *testing.T) {
	Convey("Draining and removed upstreams take no new work", t, func() {
		d := twoUpstreams()
		d.Put(Upstream{ID: "u1", Service: "s", Address: "1:1", Incarnation: 10, Draining: true})
		So(servingIDs(d, "s"), ShouldResemble, []string{"u2"})
		d.Remove(start, "u2")
		So(servingIDs(d, "s"), ShouldBeEmpty)
		_, known := d.At("1:1")
		So(known, ShouldBeTrue)
	})
}

// Guards against losing all upstreams because they could not renew their entries during an
// outage of the store, and against keeping those that do not renew them afterwards.
func TestLapsed(t *testing.T) {
	Convey("Given a store that recovers from an outage without entries", t, func() {
		d := twoUpstreams()
		d.MarkStoreUnavailable()
		d.Remove(start, "u1")
		So(servingIDs(d, "s"), ShouldResemble, []string{"u1", "u2"})
		d.MarkStoreAvailable(start)
		d.Remove(start.Add(RecoveryGrace/2), "u2")
		So(d.Expire(start.Add(RecoveryGrace/2)), ShouldBeEmpty)
		So(servingIDs(d, "s"), ShouldResemble, []string{"u1", "u2"})
		Convey("an entry that is renewed in time stays", func() {
			d.Put(Upstream{ID: "u1", Service: "s", Address: "1:1", Incarnation: 10})
			So(d.Expire(start.Add(RecoveryGrace)), ShouldResemble, []string{"u2"})
			So(servingIDs(d, "s"), ShouldResemble, []string{"u1"})
		})
		Convey("a draining upstream is removed at once", func() {
			d.Put(Upstream{ID: "u1", Service: "s", Address: "1:1", Incarnation: 10, Draining: true})
			d.Remove(start.Add(RecoveryGrace/2), "u1")
			_, known := d.At("1:1")
			So(known, ShouldBeFalse)
		})
	})
}

// Guards against new work for an upstream that left just after the store recovered: new work
// must end within the drain time of 2 s.
func TestRemovedAfterRecovery(t *testing.T) {
	Convey("An upstream that is removed just after the store recovered is out of use within 2 s", t, func() {
		d := twoUpstreams()
		d.MarkStoreUnavailable()
		d.MarkStoreAvailable(start)
		d.Remove(start.Add(time.Millisecond), "u1")
		So(d.Expire(start.Add(1900*time.Millisecond)), ShouldResemble, []string{"u1"})
		So(servingIDs(d, "s"), ShouldResemble, []string{"u2"})
	})
}

// Guards against an outdated entry that removes the upstream at the address it names.
func TestOutdatedEntryChangesNothing(t *testing.T) {
	Convey("An entry of an earlier incarnation leaves the upstream at its former address in use", t, func() {
		d := twoUpstreams()
		d.Put(Upstream{ID: "u1", Service: "s", Address: "3:1", Incarnation: 30})
		d.Put(Upstream{ID: "v1", Service: "s", Address: "1:1", Incarnation: 15})
		So(servingIDs(d, "s"), ShouldResemble, []string{"u1", "u2", "v1"})
		d.Put(Upstream{ID: "u1", Service: "s", Address: "1:1", Incarnation: 20})
		_, known := d.At("1:1")
		So(known, ShouldBeTrue)
		So(servingIDs(d, "s"), ShouldResemble, []string{"u1", "u2", "v1"})
	})
}

// Guards against dropping upstreams that a store restored from an older copy does not list yet.
func TestMissingFromRestoredStore(t *testing.T) {
	Convey("An upstream that the restored store lacks stays for RecoveryGrace", t, func() {
		d := twoUpstreams()
		d.MarkStoreRestored(start)
		d.Remove(start, "u1")
		So(servingIDs(d, "s"), ShouldResemble, []string{"u1", "u2"})
		So(d.Doubtful(start), ShouldEqual, RecoveryGrace)
		So(d.Expire(start.Add(RecoveryGrace)), ShouldResemble, []string{"u1"})
	})
}

// Guards against sending requests for one service to an address that another one has taken
// over, and against an old entry that replaces a newer incarnation.
func TestAddressReused(t *testing.T) {
	Convey("The upstream that started last owns the address", t, func() {
		d := twoUpstreams()
		d.Put(Upstream{ID: "v1", Service: "other", Address: "1:1", Incarnation: 20})
		So(servingIDs(d, "s"), ShouldResemble, []string{"u2"})
		So(servingIDs(d, "other"), ShouldResemble, []string{"v1"})
		d.Put(Upstream{ID: "u1", Service: "s", Address: "1:1", Incarnation: 10})
		So(servingIDs(d, "other"), ShouldResemble, []string{"v1"})
		d.Put(Upstream{ID: "u2", Service: "s", Address: "2:1", Incarnation: 5, Draining: true})
		So(servingIDs(d, "s"), ShouldResemble, []string{"u2"})
	})
}

// Guards against requests to an upstream that has left. It stayed in use because daemons kept
// extending the grace of others although the store was unavailable to themselves alone.
func TestGraceEnds(t *testing.T) {
	Convey("A removed upstream stays for RecoveryGrace at most while the store is available", t, func() {
		d := New()
		d.Put(Upstream{ID: "u", Service: "s", Address: "1:1"})
		d.ExtendGrace(start, RecoveryGrace)
		d.Remove(start, "u")
		So(d.Serving("s"), ShouldHaveLength, 1)
		for at := time.Duration(0); at < RecoveryGrace; at += 100 * time.Millisecond {
			d.ExtendGrace(start.Add(at), RecoveryGrace)
			d.Remove(start.Add(at), "u")
			So(d.Expire(start.Add(at)), ShouldBeEmpty)
		}
		So(d.Expire(start.Add(RecoveryGrace)), ShouldResemble, []string{"u"})
		So(d.Serving("s"), ShouldBeEmpty)
	})
	Convey("A grace that has ended keeps no removed upstream", t, func() {
		d := New()
		d.Put(Upstream{ID: "u", Service: "s", Address: "1:1"})
		d.ExtendGrace(start, 100*time.Millisecond)
		So(d.Doubtful(start), ShouldEqual, 100*time.Millisecond)
		d.Remove(start.Add(200*time.Millisecond), "u")
		So(d.Serving("s"), ShouldBeEmpty)
	})
}

// Guards against sending to an upstream that has stated that it leaves because the store lists it
// as ready, and against avoiding another incarnation for it.
func TestStatedLeaving(t *testing.T) {
	Convey("An incarnation that states that it leaves serves nothing, whatever the store lists; a later one serves", t, func() {
		d := New()
		u := Upstream{ID: "a", Incarnation: 5, Sequence: 1, Service: "s", Address: "1:1"}
		d.Put(u)
		So(d.MarkLeaving("a", 4), ShouldBeFalse)
		So(d.Serving("s"), ShouldHaveLength, 1)
		So(d.StatedLeaving("a"), ShouldBeFalse)
		So(d.MarkLeaving("a", 5), ShouldBeTrue)
		So(d.StatedLeaving("a"), ShouldBeTrue)
		So(d.MarkLeaving("a", 5), ShouldBeFalse)
		So(d.Serving("s"), ShouldBeEmpty)
		u.Sequence = 2
		So(d.Put(u), ShouldBeTrue)
		So(d.Serving("s"), ShouldBeEmpty)
		d.Remove(start, "a")
		Convey("also after its entry was removed and is listed again", func() {
			u.Sequence = 3
			So(d.Put(u), ShouldBeTrue)
			So(d.Serving("s"), ShouldBeEmpty)
			So(d.StatedLeaving("a"), ShouldBeTrue)
		})
		Convey("also after a restored store lists an earlier entry", func() {
			So(d.Put(u), ShouldBeFalse)
			So(d.Relist(start, 0), ShouldBeEmpty)
			So(d.Relist(start.Add(RecoveryGrace+1), 0), ShouldHaveLength, 1)
			So(d.Serving("s"), ShouldBeEmpty)
		})
		u.Incarnation, u.Sequence = 6, 1
		So(d.Put(u), ShouldBeTrue)
		So(d.Serving("s"), ShouldHaveLength, 1)
	})
}

// Guards against an entry of another writer that takes the place of an upstream at its address, before
// and after the services are known.
func TestEntryOfUnnamedService(t *testing.T) {
	Convey("Given an upstream and a later entry at its address whose service is not named", t, func() {
		d := New()
		foreign := Upstream{ID: "invalid", Incarnation: 9, Service: "x", Address: "1:1"}
		upstream := Upstream{ID: "u", Incarnation: 5, Service: "s", Address: "1:1"}
		serves := func() {
			So(d.Serving("s"), ShouldResemble, []Upstream{upstream})
			at, _ := d.At("1:1")
			So(at.ID, ShouldEqual, "u")
			So(d.All(), ShouldHaveLength, 1)
		}
		Convey("the upstream serves in either order of the entries and of the services", func() {
			for _, order := range [][]Upstream{{foreign, upstream}, {upstream, foreign}} {
				for _, setAfter := range []int{0, 1, 2} {
					d = New()
					for i, u := range append(order, Upstream{}) {
						if i == setAfter {
							d.SetServices(map[string]bool{"s": true})
						}
						if i < len(order) {
							So(d.Put(u), ShouldBeTrue)
						}
					}
					serves()
				}
			}
		})
		Convey("the entry is used once its service is named, and the upstream has ended", func() {
			d.SetServices(map[string]bool{"s": true})
			d.Put(upstream)
			d.Put(foreign)
			serves()
			d.SetServices(map[string]bool{"s": true, "x": true})
			So(d.Serving("s"), ShouldBeEmpty)
			So(d.Serving("x"), ShouldResemble, []Upstream{foreign})
			So(d.Put(upstream), ShouldBeFalse)
		})
		Convey("its removal changes nothing for the upstream", func() {
			d.SetServices(map[string]bool{"s": true})
			d.Put(foreign)
			d.Put(upstream)
			d.Remove(time.Unix(1, 0), "invalid")
			serves()
		})
	})
}

// Guards against a daemon that has lost the store alone and still counts an upstream as a member that all
// others have removed.
func TestMembersWithoutStore(t *testing.T) {
	Convey("Given an upstream that is removed while the store is unavailable", t, func() {
		d := twoUpstreams()
		d.MarkStoreUnavailable()
		d.Remove(start, "u1")
		So(d.Members(), ShouldHaveLength, 2)
		Convey("it is no member once the removal is settled, and stays in use", func() {
			So(d.SettleRemovals(), ShouldBeTrue)
			So(d.Members(), ShouldResemble, []string{"2:1"})
			So(servingIDs(d, "s"), ShouldResemble, []string{"u1", "u2"})
			So(d.SettleRemovals(), ShouldBeFalse)
			Convey("and a member again when it is listed again", func() {
				d.Put(Upstream{ID: "u1", Service: "s", Address: "1:1", Incarnation: 10})
				So(d.Members(), ShouldHaveLength, 2)
			})
		})
	})
}
