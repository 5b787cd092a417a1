package membership

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"
)

var t0 = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func id(n byte) uuid.UUID { return uuid.UUID{15: n} }

// testRecord returns a live record of an incarnation that started n seconds after t0.
func testRecord(name string, n byte) Record {
	return Record{Name: name, Service: "stock", Incarnation: id(n), Started: t0.Add(time.Duration(n) * time.Second), State: Live}
}

func withState(r Record, state string, seq uint64, age time.Duration) Record {
	r.State, r.Seq, r.Age = state, seq, age
	return r
}

func newView() *View {
	v := New(Record{Name: "self", Service: "order", Incarnation: id(9), Started: t0.Add(9 * time.Second), State: Live})
	v.SetCalledServices([]string{"stock"})
	return v
}

// stateOf returns the state and the last byte of the incarnation that Endpoints has for
// the named upstream of the service stock, or zero values if there is none.
func stateOf(v *View, name string) (string, byte) {
	for _, r := range v.Endpoints("stock") {
		if r.Name == name {
			return r.State, r.Incarnation[15]
		}
	}
	return "", 0
}

func after(seconds int) time.Time { return t0.Add(time.Duration(seconds) * time.Second) }

// Guards against new calls to a VM that is shutting down or was replaced, which a
// lagging source still reports as live (invariant 6).
func TestOutdatedSourcesAreOverridden(t *testing.T) {
	Convey("Given a listed VM", t, func() {
		v := newView()
		v.MergeList(t0, []Record{testRecord("a", 1)})
		check := func(state string, inc byte) {
			gotState, gotInc := stateOf(v, "a")
			So(gotState, ShouldEqual, state)
			So(gotInc, ShouldEqual, inc)
		}
		Convey("a leaving mark from a response overrides later lists and peer records, also after the record was removed", func() {
			v.MarkLeaving(after(1), "a", id(1))
			v.MergeList(after(2), []Record{testRecord("a", 1)})
			So(v.MergePeerRecord(after(2), withState(testRecord("a", 1), Live, 5, 0)), ShouldBeFalse)
			check(Leaving, 1)
			v.MergeList(after(3), nil)
			v.MergeList(after(120), nil)
			check("", 0)
			v.MergeList(after(130), []Record{testRecord("a", 1)})
			check(Leaving, 1)
		})
		Convey("a mark for an incarnation without a record applies when its record arrives", func() {
			v.MarkLeaving(after(1), "a", id(2))
			check(Live, 1)
			So(v.MergePeerRecord(after(2), withState(testRecord("a", 2), Live, 1, 0)), ShouldBeTrue)
			check(Leaving, 2)
		})
		Convey("a later incarnation replaces it and the list does not restore the earlier one", func() {
			So(v.MergePeerRecord(after(1), withState(testRecord("a", 2), Live, 1, 0)), ShouldBeTrue)
			So(v.MergePeerRecord(after(1), withState(testRecord("a", 1), Leaving, 9, 0)), ShouldBeFalse)
			v.MergeList(after(2), []Record{testRecord("a", 1)})
			check(Live, 2)
			v.MergeList(after(100), []Record{testRecord("a", 1)})
			v.MergeList(after(900), []Record{testRecord("a", 1)})
			check("", 0)
		})
		Convey("a list with both incarnations yields the later one", func() {
			v.MergeList(after(1), []Record{testRecord("a", 2), testRecord("a", 1)})
			check(Live, 2)
		})
		Convey("equal start times are ordered by id", func() {
			r := testRecord("a", 1)
			r.Incarnation = id(7)
			So(v.MergePeerRecord(after(1), withState(r, Live, 1, 0)), ShouldBeTrue)
			So(v.MergePeerRecord(after(1), withState(testRecord("a", 1), Live, 3, 0)), ShouldBeFalse)
		})
		Convey("a malformed record is ignored", func() {
			So(v.MergePeerRecord(after(1), withState(testRecord("a", 3), Live, 1, -time.Hour)), ShouldBeFalse)
			for _, bad := range []Record{{}, withState(testRecord("a", 3), "dead", 1, 0)} {
				So(v.MergePeerRecord(after(1), bad), ShouldBeFalse)
				v.MergeList(after(1), []Record{testRecord("a", 1), bad})
			}
			check(Live, 1)
		})
	})
}

// Guards against live VMs that are removed while a source lags, and against records of
// stopped VMs that never expire.
func TestGracePeriod(t *testing.T) {
	held := func(v *View) bool { s, _ := stateOf(v, "a"); return s != "" }
	Convey("A peer record that is not listed is kept for the grace period after the last refresh by its owner", t, func() {
		v := newView()
		v.MergePeerRecord(t0, withState(testRecord("a", 1), Live, 1, 0))
		v.MergeList(after(50), nil)
		So(held(v), ShouldBeTrue)
		v.MergePeerRecord(after(55), withState(testRecord("a", 1), Live, 2, 0))
		v.Expire(after(114))
		So(held(v), ShouldBeTrue)
		v.Expire(after(116))
		So(held(v), ShouldBeFalse)
		So(v.MergePeerRecord(after(117), withState(testRecord("a", 1), Live, 3, time.Second)), ShouldBeTrue)
		So(held(v), ShouldBeTrue)
	})
	Convey("A VM that the list drops is removed after the grace period", t, func() {
		v := newView()
		v.MergeList(t0, []Record{testRecord("a", 1)})
		v.MergeList(after(600), nil)
		v.Expire(after(659))
		So(held(v), ShouldBeTrue)
		v.Expire(after(661))
		So(held(v), ShouldBeFalse)
	})
	Convey("A record that daemons pass on without a refresh by its owner expires, even if a daemon starts anew", t, func() {
		views := []*View{newView(), newView(), newView()}
		views[0].MergePeerRecord(t0, withState(testRecord("a", 1), Live, 4, 0))
		for s := 1; s < 200; s++ {
			views[s%3].Expire(after(s))
			for _, r := range views[s%3].RecordsForDigest(after(s), 16) {
				views[(s+1)%3].MergePeerRecord(after(s), r)
			}
			if s == 30 {
				So(held(views[2]), ShouldBeTrue)
				So(views[2].RecordsForDigest(after(s), 16)[0].Age, ShouldBeBetween, 25*time.Second, 31*time.Second)
			}
			if s == 59 {
				views[1] = newView()
			}
		}
		for _, v := range views {
			So(held(v), ShouldBeFalse)
		}
	})
}

// Guards against a replaced daemon that still acts as the home of keys for its upstream.
func TestLaterIncarnationOfSelf(t *testing.T) {
	Convey("Only a later incarnation of the own upstream counts as a replacement", t, func() {
		v := newView()
		earlier, later := testRecord("self", 3), testRecord("self", 12)
		earlier.Service, later.Service = "order", "order"
		v.MergeList(t0, []Record{earlier, v.Self()})
		_, replaced := v.LaterIncarnation()
		So(replaced, ShouldBeFalse)
		So(v.Endpoints("order"), ShouldHaveLength, 1)
		v.MergePeerRecord(after(1), withState(later, Live, 1, 0))
		r, replaced := v.LaterIncarnation()
		So(replaced, ShouldBeTrue)
		So(r.Incarnation, ShouldEqual, id(12))
		So(v.Endpoints("order"), ShouldResemble, []Record{withState(later, Live, 1, 0)})
	})
}

// Guards against unbounded state, and against gossip that stays within one group of
// related daemons.
func TestPeersAndBounds(t *testing.T) {
	var list []Record
	for i := range 500 {
		r := testRecord(fmt.Sprintf("x%03d", i), byte(1+i%200))
		r.Service = fmt.Sprintf("service%d", i%20)
		list = append(list, r)
	}
	Convey("Given a large list", t, func() {
		v := newView()
		v.SetCalledServices([]string{"service3"})
		v.RecordCaller(t0, "x100")
		v.MergeList(t0, list)
		random := rand.New(rand.NewPCG(7, 7))
		Convey("all records of called services are kept, others up to the bound", func() {
			So(v.Endpoints("service3"), ShouldHaveLength, 25)
			So(len(v.entries), ShouldEqual, 25+1+MaxUnrelated)
			So(v.Daemons(), ShouldEqual, 500)
			other := New(testRecord("other", 1))
			other.MergeList(t0, list)
			So(len(other.entries), ShouldEqual, MaxUnrelated)
		})
		Convey("half of the peers are related, all are distinct and live", func() {
			v.MarkLeaving(t0, "x003", list[3].Incarnation)
			related := 0
			for range 1000 {
				peers := v.Peers(4, random)
				seen := map[string]bool{}
				for _, p := range peers {
					seen[p.Name] = true
					if p.Service == "service3" || p.Name == "x100" {
						related++
					}
				}
				So(len(seen), ShouldEqual, 4)
				So(seen["x003"], ShouldBeFalse)
			}
			// Two of four are drawn from the 25 related, the others from all 89.
			So(float64(related)/4000, ShouldBeBetween, 0.55, 0.70)
			So(len(v.Peers(1000, random)), ShouldEqual, len(v.entries)-1)
		})
		Convey("callers are the daemons that called within the last minute", func() {
			So(v.Callers(10), ShouldHaveLength, 1)
			v.Expire(after(61))
			So(v.Callers(10), ShouldBeEmpty)
		})
	})
}

// Guards against a digest that grows without bound, and against records that are never
// sent.
func TestRecordsForDigestRotate(t *testing.T) {
	Convey("Every unlisted record is sent in turn, changes first", t, func() {
		v := newView()
		for i := range 100 {
			v.MergePeerRecord(t0, withState(testRecord(fmt.Sprintf("a%02d", i), 1), Live, 1, 0))
		}
		at := after(31) // the first changes have lost their priority
		v.MergePeerRecord(at, withState(testRecord("news", 1), Leaving, 1, 0))
		sent := map[string]bool{}
		for i := range 8 {
			out := v.RecordsForDigest(at, 16)
			So(len(out), ShouldEqual, 16)
			So(out[0].Name, ShouldEqual, "news")
			for _, r := range out {
				sent[r.Name] = true
			}
			So(len(sent), ShouldEqual, min(1+15*(i+1), 101))
		}
	})
	Convey("Live records from the list are not sent", t, func() {
		v := newView()
		v.MergeList(t0, []Record{testRecord("a", 1), withState(testRecord("b", 1), Leaving, 0, 0)})
		So(v.RecordsForDigest(t0, 16), ShouldHaveLength, 1)
	})
}

// Guards against repeated pushes of one change, lost pushes, and fetches that stop after
// one failure.
func TestDisseminator(t *testing.T) {
	Convey("Each change is pushed once", t, func() {
		d := NewDisseminator(5)
		left := withState(testRecord("a", 1), Leaving, 1, 0)
		So(d.Config(5), ShouldBeFalse)
		So(d.Config(6), ShouldBeTrue)
		So(d.Config(6), ShouldBeFalse)
		So(d.Leaving(t0, testRecord("a", 1)), ShouldBeFalse)
		So(d.Leaving(t0, left), ShouldBeTrue)
		So(d.Leaving(t0, left), ShouldBeFalse)
		So(d.Leaving(t0, withState(testRecord("b", 1), Leaving, 1, 2*GracePeriod)), ShouldBeFalse)
		first, second := ReportID{Fingerprint: 77, Incarnation: uuid.New()}, ReportID{Fingerprint: 77, Incarnation: uuid.New()}
		So(d.Quarantine(t0, first), ShouldBeTrue)
		So(d.Quarantine(t0, first), ShouldBeFalse)
		So(d.Quarantine(t0, second), ShouldBeTrue)
		So(d.TakePending(), ShouldResemble, Push{Version: 6, Leaving: []Record{left}, Reports: []ReportID{first, second}})
		So(d.TakePending().Empty(), ShouldBeTrue)
	})
	Convey("A configuration is fetched from one holder at a time until it is in force", t, func() {
		d := NewDisseminator(1)
		d.ObserveVersion(t0, 2, testRecord("a", 1))
		d.ObserveVersion(t0, 2, testRecord("b", 1))
		fetch := func(at time.Time) string { h, _ := d.Fetch(at); return h.Name }
		So(fetch(t0), ShouldEqual, "a")
		So(fetch(t0), ShouldEqual, "")
		So(fetch(t0.Add(FetchTimeout)), ShouldEqual, "b")
		d.FetchFailed(t0.Add(FetchTimeout), "b", true)
		d.ObserveVersion(after(1), 2, testRecord("b", 1))
		So(fetch(after(1)), ShouldEqual, "a")
		So(fetch(after(2)), ShouldEqual, "a")
		d.Config(2)
		So(fetch(after(3)), ShouldEqual, "")
	})
}

// Guards against a process that relies on outdated state after a pause.
func TestPauseDetector(t *testing.T) {
	Convey("Only a gap above the threshold is a pause", t, func() {
		var d PauseDetector
		So(d.Observe(t0), ShouldEqual, 0)
		So(d.Observe(t0.Add(PauseThreshold)), ShouldEqual, 0)
		So(d.Observe(after(5)), ShouldEqual, 4*time.Second)
		So(d.Observe(after(4)), ShouldEqual, 0)
	})
}

// Guards against a list whose JSON lacks a field that the merge rules need.
func TestRecordJSON(t *testing.T) {
	Convey("A record is unchanged after a round trip through JSON", t, func() {
		r := withState(testRecord("a", 1), Leaving, 3, time.Second)
		data, err := json.Marshal(r)
		So(err, ShouldBeNil)
		var back Record
		So(json.Unmarshal(data, &back), ShouldBeNil)
		So(back, ShouldResemble, r)
	})
}
