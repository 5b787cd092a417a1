package peerlink

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var start = time.Unix(1000, 0)

// Guards against a peer that is taken for silent because this process was paused itself, and against one
// that stays in use although it does not respond.
func TestSilence(t *testing.T) {
	Convey("Given a connection with a pending call", t, func() {
		var m Monitor
		check := func(at, received time.Duration) Verdict {
			return m.Check(start.Add(at), Traffic{Received: start.Add(received), Pending: 1})
		}
		Convey("a peer that sends nothing is pinged, then silent", func() {
			So(check(0, 0), ShouldEqual, Alive)
			So(check(300*time.Millisecond, 0), ShouldEqual, Ping)
			for at := 500 * time.Millisecond; at <= silentAfter; at += CheckInterval {
				So(check(at, 0), ShouldEqual, Ping)
			}
			So(check(silentAfter+CheckInterval, 0), ShouldEqual, Silent)
		})
		Convey("after a pause of this process the peer gets the whole time again", func() {
			So(check(0, 0), ShouldEqual, Alive)
			So(check(5*time.Second, 0), ShouldEqual, Alive)
			So(check(5*time.Second+CheckInterval+1, 0), ShouldEqual, Ping)
			for at := 5*time.Second + 2*CheckInterval; at <= 5*time.Second+silentAfter; at += CheckInterval {
				So(check(at, 0), ShouldEqual, Ping)
			}
			So(check(6*time.Second+CheckInterval, 0), ShouldEqual, Silent)
		})
		Convey("a peer that answers none of several short calls is silent", func() {
			for at := time.Duration(0); at <= unansweredAfter; at += CheckInterval {
				So(m.Check(start.Add(at), Traffic{Received: start.Add(at), Unanswered: start}), ShouldEqual, Alive)
			}
			So(m.Check(start.Add(unansweredAfter+CheckInterval), Traffic{Received: start.Add(unansweredAfter), Unanswered: start}), ShouldEqual, Silent)
		})
		Convey("without calls it is kept until it is idle for long", func() {
			So(m.Check(start, Traffic{Received: start}), ShouldEqual, Alive)
			So(m.Check(start.Add(CheckInterval), Traffic{Received: start.Add(-time.Hour)}), ShouldEqual, Idle)
		})
	})
}
