package mesh

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/core/directory"
	"github.com/hawthornpoint/hawthornpoint/core/replica"
	"github.com/hawthornpoint/hawthornpoint/core/routing"
)

// pausingDecoder decodes items as entries of upstreams, whose sequence number is the revision. It
// waits for resume before it returns the change of the given revision.
type pausingDecoder struct {
	revision          int64
	decoding, resumed chan struct{}
}

// Decode implements Decoder.
func (p pausingDecoder) Decode(_ time.Time, item replica.Item) (Change, error) {
	if item.Revision == p.revision {
		close(p.decoding)
		<-p.resumed
	}
	if item.Removed {
		return Change{Unlisted: item.Key}, nil
	}
	return Change{Upstream: &directory.Upstream{ID: item.Key, Service: "s", Address: "10.0.0.1:1", Slots: 1, Incarnation: 1, Sequence: item.Revision}}, nil
}

// Guards against an upstream that stays out of use, or in use, because its entry and its removal,
// received from the store and a peer, were put in force in the wrong order.
func TestUpdatesFromTwoSources(t *testing.T) {
	// applyAtOnce applies an entry at revision 1, and then the updates of revisions 2 and 3, the
	// second one while the change of the first is being decoded.
	applyAtOnce := func(first, second replica.Item) *Daemon {
		decoder := pausingDecoder{revision: 2, decoding: make(chan struct{}), resumed: make(chan struct{})}
		d := New(Options{HeaderConvention: conventionStub{}, Decoder: decoder})
		apply := func(item replica.Item, source string) {
			d.apply(replica.Update{Items: []replica.Item{item}, At: replica.Position{Era: 1, Revision: item.Revision}}, source)
		}
		apply(replica.Item{Key: "u", Revision: 1}, "store")
		var sources sync.WaitGroup
		sources.Go(func() { apply(first, "store") })
		<-decoder.decoding
		applied := make(chan struct{})
		sources.Go(func() {
			apply(second, "peer")
			close(applied)
		})
		select {
		case <-applied:
		case <-time.After(100 * time.Millisecond):
		}
		close(decoder.resumed)
		sources.Wait()
		So(d.Position(), ShouldResemble, replica.Position{Era: 1, Revision: 3})
		return d
	}
	Convey("An upstream is in use when its next entry follows its removal", t, func() {
		d := applyAtOnce(replica.Item{Key: "u", Revision: 2, Removed: true}, replica.Item{Key: "u", Revision: 3})
		So(d.Upstreams(), ShouldEqual, 1)
	})
	Convey("An upstream is out of use when its removal follows its next entry", t, func() {
		d := applyAtOnce(replica.Item{Key: "u", Revision: 2}, replica.Item{Key: "u", Revision: 3, Removed: true})
		So(d.Upstreams(), ShouldEqual, 0)
	})
}

// Guards against callers that are sent to a daemon which knows the routes but not yet the upstreams.
func TestReadyOnceTheFirstUpdateIsInForce(t *testing.T) {
	Convey("A daemon is ready when its first update is in force completely, not when its configuration is", t, func() {
		decoder := pausingDecoder{revision: 2, decoding: make(chan struct{}), resumed: make(chan struct{})}
		d := New(Options{Settings: Settings{ReadyPath: "/ready"}, HeaderConvention: conventionStub{}, Decoder: decoder})
		ready := func() int {
			w := httptest.NewRecorder()
			d.serveReady(w, httptest.NewRequest(http.MethodGet, "/ready", nil))
			return w.Code
		}
		applied := make(chan struct{})
		go func() {
			defer close(applied)
			d.apply(replica.Update{Items: []replica.Item{{Key: "u", Revision: 2}}, At: replica.Position{Era: 1, Revision: 2}}, "store")
		}()
		<-decoder.decoding
		d.routes.Store(routing.NewTable(&routing.Config{Version: 1}))
		So(ready(), ShouldEqual, http.StatusServiceUnavailable)
		close(decoder.resumed)
		<-applied
		So(ready(), ShouldEqual, http.StatusOK)
	})
}
