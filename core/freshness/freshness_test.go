package freshness

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const maxAge = 5 * time.Second

// at returns the instant at a number of milliseconds.
func at(ms int64) Instant { return Instant(time.Duration(ms) * time.Millisecond) }

// Guards against requests that are refused, messages that grow and watches that are shortened where no
// maximum age is set.
func TestNoMaximumAge(t *testing.T) {
	Convey("Without a maximum age any configuration is recent, nothing is stated, and no wait is limited", t, func() {
		k := New(0)
		So(k.Renew(at(10), Proof{Version: 1, At: at(5)}, 1, WayStore), ShouldBeFalse)
		So(k.Fresh(at(1<<40), 0), ShouldBeTrue)
		So(k.State(at(10)), ShouldBeNil)
		So(k.Aging(at(1<<40)), ShouldBeFalse)
		So(k.Wait(20*time.Second), ShouldEqual, 20*time.Second)
	})
}

// Guards against a daemon that has started again, and relies on what it knew before or on a configuration
// without any proof.
func TestRestarted(t *testing.T) {
	Convey("A keeper without a proof is never fresh, asks peers and states nothing", t, func() {
		k := New(maxAge)
		So(k.Fresh(at(0), 1), ShouldBeFalse)
		So(k.Aging(at(0)), ShouldBeTrue)
		So(k.State(at(0)), ShouldBeNil)
	})
}

// Guards against a daemon that is frozen, suspended or cut off and relies on its last proof for longer than
// the maximum age, or for much less.
func TestFrozenOrCut(t *testing.T) {
	Convey("A proof counts for the maximum age less the error of clocks, and not again before the next one", t, func() {
		k := New(maxAge)
		So(k.Renew(at(1000), Proof{Version: 7, At: at(1000)}, 7, WayStore), ShouldBeTrue)
		So(k.Fresh(at(1000+4995), 7), ShouldBeTrue)
		So(k.Fresh(at(1000+4996), 7), ShouldBeFalse)
		So(k.Fresh(at(1000+3600_000), 7), ShouldBeFalse)
		So(k.Renew(at(9000), Proof{Version: 7, At: at(8000)}, 7, WayPeer), ShouldBeTrue)
		So(k.Fresh(at(9000), 7), ShouldBeTrue)
	})
	Convey("A loss is reported once, and the next proof once", t, func() {
		k := New(maxAge)
		_, changed := k.Changed(at(0), 7)
		So(changed, ShouldBeFalse)
		k.Renew(at(0), Proof{Version: 7, At: at(0)}, 7, WayStore)
		for _, step := range []struct {
			now            int64
			fresh, changed bool
		}{{1, true, true}, {4000, true, false}, {6000, false, true}, {7000, false, false}} {
			fresh, changed := k.Changed(at(step.now), 7)
			So(fresh, ShouldEqual, step.fresh)
			So(changed, ShouldEqual, step.changed)
		}
	})
}

// Guards against a slow store or a late answer that makes a proof younger than the question for it.
func TestSlowStoreAndLateAnswers(t *testing.T) {
	Convey("An answer proves the instant before its question, however late it comes", t, func() {
		k := New(maxAge)
		So(k.Renew(at(4000), Proof{Version: 7, At: at(0)}, 7, WayStore), ShouldBeTrue)
		So(k.Fresh(at(4900), 7), ShouldBeTrue)
		So(k.Fresh(at(5000), 7), ShouldBeFalse)
		So(k.Renew(at(6000), Proof{Version: 7, At: at(900)}, 7, WayStore), ShouldBeFalse)
	})
	Convey("An answer that was overtaken by a later proof changes nothing", t, func() {
		k := New(maxAge)
		So(k.Renew(at(3000), Proof{Version: 7, At: at(2900)}, 7, WayStore), ShouldBeTrue)
		So(k.Renew(at(3100), Proof{Version: 7, At: at(0)}, 7, WayPeer), ShouldBeFalse)
		So(k.Fresh(at(7000), 7), ShouldBeTrue)
	})
	Convey("Proofs of the future, and ages beyond the range of an instant, are refused", t, func() {
		k := New(maxAge)
		So(k.Renew(at(3000), Statement{Version: 7, Age: -time.Hour}.Proof(at(2900)), 7, WayPeer), ShouldBeFalse)
		for _, age := range []time.Duration{-1 << 63, 1<<63 - 1} {
			So(k.Renew(at(3000), Statement{Version: 7, Age: age}.Proof(at(2900)), 7, WayPeer), ShouldBeFalse)
		}
	})
}

// Guards against a proof of a version that is not in force here, and against a request that is checked by a
// configuration which a newer one with a newer proof has replaced meanwhile.
func TestProofOfOtherVersion(t *testing.T) {
	Convey("A proof of a newer version proves nothing about the one in force", t, func() {
		k := New(maxAge)
		So(k.Renew(at(1000), Proof{Version: 8, At: at(1000)}, 7, WayPeer), ShouldBeFalse)
		So(k.Fresh(at(1000), 7), ShouldBeFalse)
	})
	Convey("A proof does not count for a request that an older version would allow", t, func() {
		k := New(maxAge)
		So(k.Renew(at(1000), Proof{Version: 8, At: at(1000)}, 8, WayStore), ShouldBeTrue)
		So(k.Fresh(at(1000), 7), ShouldBeFalse)
		So(k.Fresh(at(1000), 9), ShouldBeTrue)
	})
}

// Guards against requests that are refused after the store was restored from a copy with an older version.
func TestStoreRestored(t *testing.T) {
	Convey("A proof of an older version keeps the newer one in force fresh", t, func() {
		k := New(maxAge)
		So(k.Renew(at(1000), Proof{Version: 8, At: at(1000)}, 8, WayStore), ShouldBeTrue)
		So(k.Renew(at(4000), Proof{Version: 5, At: at(4000)}, 8, WayStore), ShouldBeTrue)
		So(k.Fresh(at(8000), 8), ShouldBeTrue)
	})
}

// Guards against a proof that gets younger when it is handed on.
func TestHandedOn(t *testing.T) {
	Convey("The receiver dates the proof back from its own question", t, func() {
		source := New(maxAge)
		source.Renew(at(100_000), Proof{Version: 7, At: at(100_000)}, 7, WayStore)
		statement := source.State(at(101_500))
		So(*statement, ShouldResemble, Statement{Version: 7, Age: 1500 * time.Millisecond})
		So(statement.Proof(at(20)), ShouldResemble, Proof{Version: 7, At: at(20 - 1500)})
	})
	Convey("A proof that was renewed while the question waited is dated after the question", t, func() {
		source := New(maxAge)
		source.Renew(at(100_600), Proof{Version: 7, At: at(100_600)}, 7, WayStore)
		So(source.State(at(100_000)).Proof(at(20)), ShouldResemble, Proof{Version: 7, At: at(20 + 600)})
	})
}

// Guards against proofs that age beyond what requests rely on while all works, and against peers that are
// asked for proofs all the time.
func TestCalmAges(t *testing.T) {
	Convey("With the waits that are allowed, the proof of a follower stays younger than the age from which peers are asked", t, func() {
		for _, age := range []time.Duration{time.Second, maxAge, time.Minute} {
			k := New(age)
			oldest := 3 * k.Wait(time.Hour)
			k.Renew(at(0), Proof{Version: 7, At: at(0)}, 7, WayPeer)
			So(k.Aging(Instant(oldest)), ShouldBeFalse)
			So(k.Aging(Instant(age/10*6)), ShouldBeTrue)
		}
		So(New(maxAge).Wait(time.Millisecond), ShouldEqual, time.Millisecond)
	})
}
