package mesh

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/core/answerclass"
	"github.com/hawthornpoint/hawthornpoint/core/membudget"
)

// matchingConvention takes each answer for that to its request.
type matchingConvention struct{ conventionStub }

func (matchingConvention) Answer(string, int, http.Header) AnswerHead {
	return AnswerHead{MatchesRequest: true, Run: answerclass.Head{Success: true, Signed: true}}
}

// heldBackend is a backend server that answers no request before release is closed.
type heldBackend struct {
	received atomic.Int64
	release  chan struct{}
}

func (b *heldBackend) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer server.Close()
		for br := bufio.NewReader(server); ; {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			b.received.Add(1)
			<-b.release
			_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}()
	return client, nil
}

// connectPeer connects a peer to a daemon.
func connectPeer(d *Daemon) *rpc.Client {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	So(err, ShouldBeNil)
	accepted, err := l.Accept()
	So(err, ShouldBeNil)
	go d.servePeer(accepted)
	return rpc.NewClient(c)
}

func askWithBody(id uint64, size int) *AskArgs {
	return &AskArgs{ID: id, Left: 20 * time.Second, UntilObjective: 20 * time.Second, MayQueue: true, Rank: 1,
		Payload: &Payload{Method: "POST", Target: "/", Host: "h", Body: make([]byte, size)}}
}

// Guards against many daemons that together send one more than its memory holds, and against a refusal of a
// request that runs.
func TestRequestsOfPeersAreRefusedAtTheBudget(t *testing.T) {
	Convey("Given a daemon with room for about 14 first parts, and four daemons that send it 40", t, func() {
		backend := &heldBackend{release: make(chan struct{})}
		d := New(Options{Settings: Settings{MemoryBytes: 8 << 20}, HeaderConvention: matchingConvention{}, Dial: backend.dial})
		defer d.Close()
		const peers, each = 4, 10
		replies := make(chan *rpc.Call, peers*each)
		var clients []*rpc.Client
		for range peers {
			client := connectPeer(d)
			defer client.Close()
			clients = append(clients, client)
			for id := range uint64(each) {
				client.Go("Peer.Ask", askWithBody(id+1, maxPartBytes), new(Reply), replies)
			}
		}
		refused := 0
		for end := time.Now().Add(10 * time.Second); int(d.peerAttempts.Load())+refused < peers*each && time.Now().Before(end); {
			select {
			case call := <-replies:
				So(call.Error, ShouldBeNil)
				So(call.Reply.(*Reply).Outcome, ShouldEqual, OutcomeRefused)
				So(call.Reply.(*Reply).Reason, ShouldEqual, "no_memory")
				refused++
			case <-time.After(10 * time.Millisecond):
			}
		}
		So(d.memory.Held(membudget.Peers), ShouldBeBetween, 0, d.memory.Limit()*9/10+1)
		accepted := int64(peers*each - refused)
		So(accepted, ShouldBeBetween, 0, peers*each)
		d.mu.Lock()
		d.limiter.SetSlots(100)
		d.deliverDecisions(d.limiter.Tick(time.Now())) // so that none starts because the grant ends
		d.mu.Unlock()
		for end := time.Now().Add(5 * time.Second); backend.received.Load() < accepted && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
		Convey("a granted request for which there is no room is refused, has not run, and leaves no slot behind", func() {
			var reply Reply
			So(clients[0].Call("Peer.Ask", &AskArgs{ID: 100, Left: time.Second, UntilObjective: time.Second}, &reply), ShouldBeNil)
			So(reply.Outcome, ShouldEqual, OutcomeGranted)
			reply = Reply{}
			So(clients[0].Call("Peer.Run", &RunArgs{ID: 100, Left: time.Second, Payload: *askWithBody(0, maxPartBytes).Payload}, &reply), ShouldBeNil)
			So(reply.Outcome, ShouldEqual, OutcomeRefused)
			So(d.load().Running, ShouldEqual, accepted)
			So(backend.received.Load(), ShouldEqual, accepted)
			close(backend.release)
		})
		Convey("a granted request that needs no further room is answered while there is none", func() {
			var reply Reply
			So(clients[0].Call("Peer.Ask", &AskArgs{ID: 100, Left: time.Second, UntilObjective: time.Second}, &reply), ShouldBeNil)
			So(reply.Outcome, ShouldEqual, OutcomeGranted)
			close(backend.release)
			d.memory.Force(membudget.Answers, d.memory.Limit())
			reply = Reply{}
			So(clients[0].Call("Peer.Run", &RunArgs{ID: 100, Left: time.Second, Payload: *askWithBody(0, 10).Payload}, &reply), ShouldBeNil)
			So(reply.Outcome, ShouldEqual, OutcomeAnswered)
		})
		Convey("the others are answered, and so is an ordinary request afterwards", func() {
			close(backend.release)
			for range accepted {
				call := <-replies
				So(call.Error, ShouldBeNil)
				So(call.Reply.(*Reply).Outcome, ShouldEqual, OutcomeAnswered)
			}
			var reply Reply
			So(connectPeer(d).Call("Peer.Ask", askWithBody(1, 10), &reply), ShouldBeNil)
			So(reply.Outcome, ShouldEqual, OutcomeAnswered)
			So(backend.received.Load(), ShouldEqual, accepted+1)
			So(d.memory.Held(membudget.Peers), ShouldEqual, 0)
		})
	})
}
