package node

import (
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// Guards against a second run of a key by a daemon that was replaced while its
// process was paused.
func TestPausedDaemonConfirmsBeforeKeyedCalls(t *testing.T) {
	Convey("Given a home that did not tick for 5 s", t, func() {
		f, peer := newFixture("order-a", "order"), newFixture("order-b", "order")
		f.Tick(at(-1000))
		So(f.Outbox(at(-1000)).Exchanges, ShouldNotBeEmpty)
		keyedCallCode := func(ms int) resultcode.Code {
			return f.Arrive(at(ms), incomingCall(f, "confirm", false, homeKey("order-a", at(ms)))).Reply.Code
		}
		So(keyedCallCode(4000), ShouldEqual, resultcode.HomeUnavailable)
		So(f.Outbox(at(4000)).Exchanges, ShouldHaveLength, 3+3) // retries of the first three, and the burst after a pause
		f.Answered(at(4010), at(-1000), 1, peer.Digest(at(-1000)))
		So(keyedCallCode(4010), ShouldEqual, resultcode.HomeUnavailable)
		Convey("the answers of most peers to digests sent after the pause resume keyed calls", func() {
			f.Answered(at(4020), at(4005), 2, peer.DigestFor(at(4010), f.Self()))
			So(keyedCallCode(4020), ShouldEqual, resultcode.HomeUnavailable)
			f.Answered(at(4020), at(4005), 3, newFixture("stock-a", "stock").DigestFor(at(4010), f.Self()))
			So(f.Arrive(at(4020), incomingCall(f, "confirm", false, homeKey("order-a", at(4020)))).Verdict, ShouldEqual, Run)
		})
		Convey("an answer with the record of its replacement does not", func() {
			replacement := f.Self()
			replacement.Incarnation, replacement.Started, replacement.Seq = uuid.New(), at(0), 1
			peer.Receive(at(1000), Digest{Sender: replacement, Clock: at(1000)})
			f.Answered(at(4020), at(4005), 2, peer.DigestFor(at(4010), f.Self()))
			So(keyedCallCode(4020), ShouldEqual, resultcode.NotHome)
		})
	})
}

// Guards against a leaving daemon that notifies its callers only once, and against
// endless retries with a peer that does not answer.
func TestExchangesAreRetried(t *testing.T) {
	Convey("An exchange is retried until it is answered or out of attempts", t, func() {
		var exchanges membership.ExchangeTracker
		a, b := membership.Record{Name: "a"}, membership.Record{Name: "b"}
		pick := func() (membership.Record, bool) { return b, true }
		same, other := exchanges.Start(at(0), []membership.Record{a}, true)[0], exchanges.Start(at(0), []membership.Record{a}, false)[0]
		So(exchanges.Overdue(at(299), pick), ShouldBeEmpty)
		So(exchanges.Overdue(at(300), pick), ShouldResemble, []membership.Exchange{same, {ID: other.ID, Peer: b}})
		exchanges.Answered(other.ID)
		last := 300
		for ms := 301; ms < 5000; ms++ {
			for _, e := range exchanges.Overdue(at(ms), pick) {
				So(e, ShouldResemble, same)
				last = ms
			}
		}
		So(time.Duration(last)*time.Millisecond, ShouldEqual, (membership.ExchangeAttempts-1)*membership.ExchangeTimeout)
	})
}
