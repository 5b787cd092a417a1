package mesh

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/core/replica"
	"github.com/hawthornpoint/hawthornpoint/core/routing"
)

// conventionStub is a HeaderConvention without headers.
type conventionStub struct{ HeaderConvention }

func (conventionStub) Names() []string { return nil }

func (conventionStub) Prepare(http.Header, UpstreamHead) {}

// panickingReader panics when it is read.
type panickingReader struct{}

func (panickingReader) Read([]byte) (int, error) { panic("in Read") }

// Guards against a panic in a call of a peer that ends the process, and against a process that
// goes on with state that a panic has left half changed.
func TestPanicOfPeerCall(t *testing.T) {
	Convey("Given a daemon and a connection of a peer", t, func() {
		d := New(Options{HeaderConvention: conventionStub{}})
		c := &PeerConn{daemon: d, ctx: t.Context(), attempts: make(map[uint64]*localAttempt)}
		// The attempts lack what the calls about them need, and the replies are nil.
		c.attempts[0] = &localAttempt{}
		for id := range uint64(3) {
			c.attempts[id+1] = &localAttempt{rest: &exchange{}, cancel: func() {}}
		}
		calls := []func() error{
			func() error { return c.Ask(&AskArgs{ID: 4}, nil) },
			func() error { return c.Run(&RunArgs{ID: 1}, nil) },
			func() error { return c.Chunk(&ChunkArgs{ID: 2}, nil) },
			func() error { return c.More(&CallID{ID: 3}, nil) },
			func() error { return c.Cancel(&CallID{ID: 0}, nil) },
		}
		Convey("a panic ends the call with an error, and its attempt", func() {
			for _, call := range calls {
				So(call(), ShouldEqual, errPanicked)
			}
			for id := range uint64(5) {
				So(c.findAttempt(id), ShouldBeNil)
			}
		})
		Convey("a panic releases the slot of its attempt", func() {
			a := &localAttempt{cancel: func() {}} // without a context
			So(func() { d.ask(a, &AskArgs{Left: time.Second, UntilObjective: time.Second}) }, ShouldPanic)
			So(a.id, ShouldBeGreaterThan, 0)
			So(d.limiter.Load().Running, ShouldEqual, 0)
		})
		Convey("a panic while a long body is written ends the exchange with an error", func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer l.Close()
			d.backend.address = l.Addr().String()
			req, err := http.NewRequest(http.MethodPut, "http://h/", io.MultiReader(panickingReader{}))
			So(err, ShouldBeNil)
			req.ContentLength = -1
			_, sent, err := d.backend.roundTrip(t.Context(), t.Context(), req, func() {})
			So(err, ShouldNotBeNil)
			So(sent, ShouldBeTrue)
		})
		Convey("a panic while the state of a peer is compared is not recovered, and the mutex is unlocked", func() {
			d.routes.Store(new(routing.Table)) // without a configuration
			So(func() {
				defer d.recoverPanic(panicCaller, new(string), func() {})
				d.notePeerState(replica.State{}, "10.0.0.1:1")
			}, ShouldPanic)
			So(d.mu.TryLock(), ShouldBeTrue)
		})
		Convey("a panic of code that holds the mutex is not recovered, and the mutex is unlocked", func() {
			So(func() {
				defer d.recoverPanic(panicPeer, new(string), func() {})
				d.mu.Lock()
				defer d.mu.Unlock()
				panic("half changed")
			}, ShouldPanicWith, "half changed")
			So(d.mu.TryLock(), ShouldBeTrue)
		})
	})
}

// panickingDecoder panics on the item "invalid" and decodes others as pausingDecoder does.
type panickingDecoder struct{ pausingDecoder }

func (p panickingDecoder) Decode(now time.Time, item replica.Item) (Change, error) {
	if item.Key == "invalid" {
		panic("in Decode")
	}
	return p.pausingDecoder.Decode(now, item)
}

// Guards against an item of the store that ends the process whenever it is read.
func TestPanicOfDecoder(t *testing.T) {
	Convey("An item whose decoding panics does not keep the others of an update out of force", t, func() {
		d := New(Options{HeaderConvention: conventionStub{}, Decoder: panickingDecoder{}})
		items := []replica.Item{{Key: "invalid", Revision: 1}, {Key: "u", Revision: 2}}
		So(d.apply(replica.Update{Items: items, At: replica.Position{Era: 1, Revision: 2}}, "store"), ShouldEqual, 2)
		So(d.Upstreams(), ShouldEqual, 1)
		So(d.applyConfig(&StoredItem{Item: items[0], Era: 1}, "peer"), ShouldBeFalse)
	})
}
