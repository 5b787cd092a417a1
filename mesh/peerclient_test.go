package mesh

import (
	"context"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a connection that stays in use although its peer answers nothing, because each call ends
// before the peer counts as silent.
func TestPeerThatAnswersNoShortCall(t *testing.T) {
	Convey("A new connection is opened to a peer that answers none of several short calls", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		var accepted atomic.Int32
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				accepted.Add(1)
			}
		}()
		d := New(Options{HeaderConvention: conventionStub{}})
		defer d.Close()
		for end := time.Now().Add(4 * time.Second); accepted.Load() < 2 && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			_, err := callPeer[PingReply](ctx, d.peer(l.Addr().String()), "Ping", &PingArgs{})
			cancel()
			So(err, ShouldNotBeNil)
		}
		So(accepted.Load(), ShouldEqual, 2)
	})
}

// Guards against a run that counts as started although its connection had ended before it was sent.
func TestRunIsNotSentOverEndedConnection(t *testing.T) {
	run := func(connect func(c net.Conn) net.Conn) error {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		c, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer c.Close()
		remote, err := l.Accept()
		So(err, ShouldBeNil)
		defer remote.Close()
		link := &peerLink{epoch: time.Now(), silent: make(chan struct{}), writer: &peerWriter{}, client: rpc.NewClient(connect(c))}
		_ = remote.(*net.TCPConn).CloseWrite()
		time.Sleep(50 * time.Millisecond) // the client has read the end
		_, err = callRun[Reply](t.Context(), link, "Run", &RunArgs{ID: 1})
		return err
	}
	Convey("A run on a connection that has ended was not sent", t, func() {
		So(errors.Is(run(func(c net.Conn) net.Conn { return c }), errUnreachable), ShouldBeTrue)
	})
	Convey("Nor was one that the connection did not take", t, func() {
		err := run(func(c net.Conn) net.Conn {
			w := newPeerWriter(c, func(f func()) { go f() }, func(error) {})
			_ = c.(*net.TCPConn).CloseWrite()
			return &notifyConn{Conn: blockingReader{c}, writer: w, onSend: func() {}, onReceive: func() {}, onEnd: func(error) {}}
		})
		So(errors.Is(err, errUnreachable), ShouldBeTrue)
	})
}

// blockingReader is a connection on which nothing arrives.
type blockingReader struct{ net.Conn }

// Read implements net.Conn.
func (blockingReader) Read([]byte) (int, error) { select {} }

// unreadConn is a connection of which nobody reads what arrives.
type unreadConn struct{ *net.TCPConn }

// Read implements net.Conn.
func (unreadConn) Read([]byte) (int, error) { select {} }

// Guards against calls on a connection that the peer has closed, while the goroutine that reads it has not
// run: they would count as possibly run.
func TestUnreadEndOfConnection(t *testing.T) {
	Convey("Given a connection whose end has arrived and is not read", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		d := New(Options{HeaderConvention: conventionStub{}, Dial: func(_ context.Context, network, address string) (net.Conn, error) {
			c, err := net.Dial(network, address)
			if err != nil {
				return nil, err
			}
			return unreadConn{c.(*net.TCPConn)}, nil
		}})
		defer d.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		link, err := d.peer(l.Addr().String()).connect(ctx)
		So(err, ShouldBeNil)
		remote, err := l.Accept()
		So(err, ShouldBeNil)
		So(remote.Close(), ShouldBeNil)
		time.Sleep(50 * time.Millisecond) // until the end has arrived
		Convey("a request for a slot and a run on it were not sent", func() {
			_, err := callElsewhere[Reply](ctx, link, nil, "Ask", &AskArgs{ID: 1})
			So(errors.Is(err, errUnreachable), ShouldBeTrue)
			_, err = callRun[Reply](ctx, link, "Run", &RunArgs{ID: 1})
			So(errors.Is(err, errUnreachable), ShouldBeTrue)
		})
		Convey("the next call gets a new one", func() {
			next, err := d.peer(l.Addr().String()).connect(ctx)
			So(err, ShouldBeNil)
			So(next == link, ShouldBeFalse)
		})
	})
}

// readyCodec is the connection of an rpc.Client whose calls have their reply when they have been sent.
type readyCodec struct {
	sent    chan uint64
	replied chan struct{}
}

// WriteRequest implements rpc.ClientCodec.
func (c readyCodec) WriteRequest(r *rpc.Request, _ any) error {
	c.sent <- r.Seq
	<-c.replied
	return nil
}

// ReadResponseHeader implements rpc.ClientCodec. It is called when the call before has its reply.
func (c readyCodec) ReadResponseHeader(r *rpc.Response) error {
	select {
	case c.replied <- struct{}{}:
	default:
	}
	r.Seq = <-c.sent
	return nil
}

// ReadResponseBody implements rpc.ClientCodec.
func (readyCodec) ReadResponseBody(any) error { return nil }

// Close implements rpc.ClientCodec.
func (readyCodec) Close() error { return nil }

// Guards against a reply that is dropped because the time of its call has ended when both are noticed, as
// after a pause of the process.
func TestReplyAtEndOfCall(t *testing.T) {
	Convey("A reply that is there when its call ends is returned", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		codec := readyCodec{sent: make(chan uint64), replied: make(chan struct{}, 1)}
		link := &peerLink{epoch: time.Now(), silent: make(chan struct{}), writer: &peerWriter{}, client: rpc.NewClientWithCodec(codec)}
		<-codec.replied // of the first ReadResponseHeader
		for range 50 {
			_, err := callRun[Reply](ctx, link, "Run", &RunArgs{ID: 1})
			So(err, ShouldBeNil)
		}
	})
	Convey("So is one that is there when its peer counts as silent", t, func() {
		codec := readyCodec{sent: make(chan uint64), replied: make(chan struct{}, 1)}
		link := &peerLink{epoch: time.Now(), silent: make(chan struct{}), writer: &peerWriter{}, client: rpc.NewClientWithCodec(codec)}
		<-codec.replied
		close(link.silent)
		for range 50 {
			_, err := invokeLink[Reply](t.Context(), link, link.silent, nil, "Ask", &AskArgs{ID: 1})
			So(err, ShouldBeNil)
		}
	})
}
