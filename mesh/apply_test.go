package mesh

import (
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/core/directory"
	"github.com/hawthornpoint/hawthornpoint/core/replica"
)

// pausingDecoder decodes items as entries of upstreams, whose sequence number is the revision. It
// waits for resume before it returns a removal.
type pausingDecoder struct{ removing, resume chan struct{} }

func (p pausingDecoder) Decode(_ time.Time, item replica.Item) (Change, error) {
	if item.Removed {
		close(p.removing)
		<-p.resume
		return Change{Unlisted: item.Key}, nil
	}
	return Change{Upstream: &directory.Upstream{ID: item.Key, Service: "s", Address: "10.0.0.1:1", Slots: 1, Incarnation: 1, Sequence: item.Revision}}, nil
}

// Guards against an upstream that stays out of use because its removal, received from the store,
// was put in force after its next entry, received from a peer.
func TestConcurrentUpdates(t *testing.T) {
	Convey("Given an upstream whose removal and next entry arrive from two sources at once", t, func() {
		decoder := pausingDecoder{removing: make(chan struct{}), resume: make(chan struct{})}
		d := New(Options{HeaderConvention: conventionStub{}, Decoder: decoder})
		update := func(removed bool, revision int64) replica.Update {
			return replica.Update{Items: []replica.Item{{Key: "u", Revision: revision, Removed: removed}}, At: replica.Position{Era: 1, Revision: revision}}
		}
		d.apply(update(false, 1), "store")
		So(d.Upstreams(), ShouldEqual, 1)
		var sources sync.WaitGroup
		sources.Go(func() { d.apply(update(true, 2), "store") })
		<-decoder.removing
		listed := make(chan struct{})
		sources.Go(func() {
			d.apply(update(false, 3), "peer")
			close(listed)
		})
		select {
		case <-listed:
		case <-time.After(100 * time.Millisecond):
		}
		close(decoder.resume)
		sources.Wait()
		Convey("it is in use after both", func() {
			So(d.Position(), ShouldResemble, replica.Position{Era: 1, Revision: 3})
			So(d.Upstreams(), ShouldEqual, 1)
		})
	})
}
