package mesh

import (
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/core/directory"
	"github.com/hawthornpoint/hawthornpoint/core/replica"
)

// slowDecoder decodes each item as an entry of the upstream u, or as its removal. It blocks in
// the first entry until proceed is closed.
type slowDecoder struct {
	once     sync.Once
	decoding chan struct{}
	proceed  chan struct{}
}

// Decode implements Decoder.
func (d *slowDecoder) Decode(_ time.Time, item replica.Item) (Change, error) {
	if item.Removed {
		return Change{Unlisted: "u"}, nil
	}
	d.once.Do(func() {
		close(d.decoding)
		<-d.proceed
	})
	return Change{Upstream: &directory.Upstream{ID: "u", Address: "10.0.0.1:1", Service: "s", Slots: 1}}, nil
}

// Guards against an upstream that stays in use after its removal, because the store and a peer
// deliver its entry and its removal at the same time.
func TestUpdatesFromTwoSources(t *testing.T) {
	Convey("A removal that is received while the entry is being applied takes effect after it", t, func() {
		decoder := &slowDecoder{decoding: make(chan struct{}), proceed: make(chan struct{})}
		d := New(Options{HeaderConvention: conventionStub{}, Decoder: decoder})
		var applying sync.WaitGroup
		applying.Go(func() {
			d.apply(replica.Update{Items: []replica.Item{{Key: "k", Revision: 5}}, At: replica.Position{Revision: 5}}, "store")
		})
		<-decoder.decoding
		applying.Go(func() {
			d.apply(replica.Update{Items: []replica.Item{{Key: "k", Revision: 6, Removed: true}}, At: replica.Position{Revision: 6}}, "peer")
		})
		time.Sleep(50 * time.Millisecond)
		close(decoder.proceed)
		applying.Wait()
		So(d.Upstreams(), ShouldEqual, 0)
	})
}
