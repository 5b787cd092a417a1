package mesh

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/core/directory"
	"github.com/hawthornpoint/hawthornpoint/core/replica"
)

// Guards against members that are dropped because of an outage for all or a restored store, and against ones that are
// kept although a peer with the store has removed them.
func TestSettledRemovals(t *testing.T) {
	at := func(era, revision int64) replica.Position { return replica.Position{Era: era, Revision: revision} }
	Convey("Given a daemon that has lost the store and received a removal from a peer", t, func() {
		d := New(Options{HeaderConvention: conventionStub{}, Decoder: memberDecoder{}})
		d.apply(replica.Update{Items: []replica.Item{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}}, At: at(1, 2)}, "store")
		for range unavailableFailures {
			d.recordStoreFailure(unavailableFailures, errOtherEra)
		}
		d.apply(replica.Update{Items: []replica.Item{{Key: "a", Revision: 3, Removed: true}}, At: at(1, 3)}, "peer")
		members := func() int { return len(d.dir.Members()) }
		So(members(), ShouldEqual, 2)
		Convey("an older position settles nothing", func() {
			d.settleAsPeer(at(1, 2))
			So(members(), ShouldEqual, 2)
			So(d.settledAt.IsZero(), ShouldBeTrue)
		})
		Convey("the position of the removal settles it, and is passed on", func() {
			d.settleAsPeer(at(1, 3))
			So(members(), ShouldEqual, 1)
			So(d.Upstreams(), ShouldEqual, 2)
			So(d.settledAt, ShouldResemble, at(1, 3))
		})
		Convey("a read of its own settles nothing during the grace after the outage", func() {
			d.recordStoreRead(unavailableFailures)
			d.settleOwn(at(1, 4))
			So(d.settledAt.IsZero(), ShouldBeTrue)
		})
	})
	Convey("A read settles what it returns, and the first one after a restore of the store does not", t, func() {
		d := New(Options{HeaderConvention: conventionStub{}, Decoder: memberDecoder{}})
		d.settleOwn(at(1, 2))
		d.apply(replica.Update{Items: []replica.Item{{Key: "a", Revision: 1}}, At: at(1, 2), Whole: true}, "store")
		So(d.settledAt, ShouldResemble, at(1, 2))
		d.settleOwn(at(2, 1))
		d.apply(replica.Update{At: at(2, 1), Whole: true}, "store")
		d.settleOwn(at(2, 1))
		So(d.settledAt, ShouldResemble, at(1, 2))
		So(len(d.dir.Members()), ShouldEqual, 1)
	})
}

// memberDecoder decodes items as entries of upstreams with an address of their own.
type memberDecoder struct{}

// Decode implements Decoder.
func (memberDecoder) Decode(_ time.Time, item replica.Item) (Change, error) {
	if item.Removed {
		return Change{Unlisted: item.Key}, nil
	}
	return Change{Upstream: &directory.Upstream{ID: item.Key, Service: "s", Address: item.Key + ":1", Slots: 1, Incarnation: 1}}, nil
}
