package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/idempotency"
	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

var start = time.Date(2026, 4, 3, 8, 0, 0, 0, time.UTC)

// testConfig returns a configuration with an order service that calls a stock service.
func testConfig(version uint64) *config.Config {
	upstream := func(name string) config.Upstream {
		return config.Upstream{Name: name, Zone: "z1", Region: "r1", Slots: 2, Connections: 10}
	}
	return &config.Config{Version: version, Services: []config.Service{
		{Name: "order", Upstreams: []config.Upstream{upstream("order-a"), upstream("order-b")}, Kinds: []config.Kind{
			{Name: "confirm", Method: "POST", Path: "/confirm", Rank: 0, PatienceMS: 5000, Retries: 2,
				Calls: []config.Target{{Service: "stock", Kind: "check"}}},
			{Name: "status", Method: "GET", Path: "/status", Rank: 5, Idempotent: true, PatienceMS: 2000, Retries: 2,
				Calls: []config.Target{{Service: "stock", Kind: "check"}}},
		}},
		{Name: "stock", Upstreams: []config.Upstream{upstream("stock-a"), upstream("stock-b")}, Kinds: []config.Kind{
			{Name: "check", Method: "GET", Path: "/check", Rank: 6, Idempotent: true, PatienceMS: 2000, Retries: 2},
		}},
	}}
}

// fixture is one node with a configuration and the complete list of VMs.
type fixture struct {
	*Node
	violations []Violation
}

func newFixture(name, service string) *fixture {
	f := newUnlistedFixture(name, service)
	var list []membership.Record
	for _, n := range []string{"order-a", "order-b", "stock-a", "stock-b"} {
		list = append(list, membership.Record{Name: n, Service: n[:5], State: membership.Live,
			PeerAddress: n, ControlAddress: n, Zone: "z1", Region: "r1"})
	}
	f.SetVMs(start, list)
	return f
}

// newUnlistedFixture returns a node that has not read the list of VMs.
func newUnlistedFixture(name, service string) *fixture {
	f := &fixture{}
	r := rand.New(rand.NewPCG(1, 2))
	f.Node = New(Config{
		Self: membership.Record{Name: name, Service: service, Incarnation: uuid.New(), Started: start,
			State: membership.Live, PeerAddress: name, ControlAddress: name, Zone: "z1", Region: "r1"},
		Started:     start,
		Rand:        r,
		ClockSkew:   time.Millisecond,
		OnViolation: func(v Violation) { f.violations = append(f.violations, v) },
	})
	f.offer(testConfig(1))
	f.Ready()
	return f
}

func (f *fixture) offer(c *config.Config) config.Verdict {
	e, err := config.Seal(c)
	if err != nil {
		panic(err)
	}
	verdict, _ := f.Offer(start, e)
	return verdict
}

// at returns a time after the fence of the fixture's at-most-once table.
func at(ms int) time.Time { return start.Add(time.Minute + time.Duration(ms)*time.Millisecond) }

func keyAt(now time.Time) string {
	id := uuid.Must(uuid.NewV7())
	ms := uint64(now.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return id.String()
}

func statusRequest() OpenRequest {
	return OpenRequest{Service: "order", Method: "GET", Path: "/status"}
}

func confirmRequest(k string) OpenRequest {
	return OpenRequest{Service: "order", Method: "POST", Path: "/confirm", Key: k}
}

func refusedAttempt(code resultcode.Code) AttemptResult {
	return AttemptResult{Code: code, Reply: &callmeta.Reply{Code: code, Threshold: callmeta.MaxPriority, Incarnation: uuid.New()}}
}

// Guards against reporting a call as not run when an earlier attempt may have run.
func TestLaterRefusalDoesNotHideALostAttempt(t *testing.T) {
	Convey("A lost attempt followed by a refusal is reported as unknown", t, func() {
		f := newFixture("stock-a", "stock")
		o, step := f.Open(at(0), statusRequest())
		So(step.Action, ShouldEqual, Send)
		step = f.Report(at(10), o, AttemptResult{Code: resultcode.AttemptLost})
		// The retries leased to the lost attempt count as used, so that one is left.
		for step.Action == Wait {
			step = f.Resume(step.Until, o)
			So(step.Action, ShouldEqual, Send)
			step = f.Report(at(20), o, refusedAttempt(resultcode.Quarantined))
		}
		So(step.Action, ShouldEqual, Finish)
		So(step.Reply.Code, ShouldEqual, resultcode.AttemptLost)
		So(step.Reply.Code.Kind(), ShouldEqual, resultcode.OutcomeUnknown)
		So(f.Idle(), ShouldBeTrue)
	})
}

// Guards against reporting a keyed call as not run although its home was not asked:
// an earlier send of the key through another entry daemon may have run.
func TestKeyedRefusalNeedsTheHome(t *testing.T) {
	Convey("Given an entry daemon", t, func() {
		f := newFixture("stock-a", "stock")
		Convey("a keyed call whose home cannot be reached ends with home_not_asked", func() {
			o, step := f.Open(at(0), confirmRequest(keyAt(at(0))))
			for step.Action != Finish {
				if step.Action == Wait {
					step = f.Resume(step.Until, o)
					continue
				}
				step = f.Report(at(1), o, AttemptResult{Code: resultcode.ConnectFailed})
			}
			So(step.Reply.Code, ShouldEqual, resultcode.HomeNotAsked)
			So(step.Reply.Cause, ShouldEqual, resultcode.ConnectFailed)
		})
		Convey("a key that is not a version 7 UUID cannot have run and is refused at once", func() {
			_, step := f.Open(at(0), confirmRequest("order-17"))
			So(step.Reply.Code, ShouldEqual, resultcode.BadKey)
		})
		Convey("a refusal by the home itself is passed on", func() {
			o, _ := f.Open(at(0), confirmRequest(keyAt(at(0))))
			step := f.Report(at(1), o, refusedAttempt(resultcode.RecordsFull))
			for step.Action != Finish {
				if step.Action == Wait {
					step = f.Resume(step.Until, o)
					continue
				}
				step = f.Report(at(2), o, refusedAttempt(resultcode.RecordsFull))
			}
			So(step.Reply.Code, ShouldEqual, resultcode.RecordsFull)
		})
		Convey("a refusal of a call without a key is passed on", func() {
			o, _ := f.Open(at(0), statusRequest())
			step := f.Report(at(1), o, refusedAttempt(resultcode.Quarantined))
			So(step.Reply.Code, ShouldEqual, resultcode.Quarantined)
		})
	})
}

func incomingCall(f *fixture, kind string, idempotent bool, k string) callmeta.Meta {
	return callmeta.Meta{RequestID: uuid.New(), CallID: uuid.New(), Service: "order", Kind: kind, Rank: 0,
		Deadline: at(5000), Retries: 2, Idempotent: idempotent, Key: k}
}

// homeKey returns a key whose home is the given upstream.
func homeKey(upstream string, now time.Time) string {
	for {
		if k := keyAt(now); idempotency.Home(k, []string{"order-a", "order-b"}) == upstream {
			return k
		}
	}
}

// Guards against a second run of a key, and against a leaving home that refuses a key
// as not run although it has run it.
func TestIdentifiedCallRunsOnce(t *testing.T) {
	Convey("Given a home with an answered key", t, func() {
		f := newFixture("order-a", "order")
		k := homeKey("order-a", at(0))
		m := incomingCall(f, "confirm", false, k)
		So(f.Arrive(at(0), m).Verdict, ShouldEqual, Run)
		second := incomingCall(f, "confirm", false, k)
		joined := f.Arrive(at(1), second)
		So(joined.Verdict, ShouldEqual, Join)
		So(joined.JoinedCall, ShouldEqual, m.CallID)
		f.Done(at(20), m.CallID, Outcome{Code: resultcode.OK, Answer: &idempotency.Answer{Status: 200, Body: []byte("done")}})
		Convey("a repeated send gets the recorded answer, also while leaving", func() {
			f.Leave(at(30))
			a := f.Arrive(at(9000), incomingCall(f, "confirm", false, k))
			So(a.Verdict, ShouldEqual, Replay)
			So(string(a.Answer.Body), ShouldEqual, "done")
		})
		Convey("another upstream refuses the key with not_home", func() {
			otherHome := newFixture("order-b", "order")
			So(otherHome.Arrive(at(30), incomingCall(otherHome, "confirm", false, k)).Reply.Code, ShouldEqual, resultcode.NotHome)
		})
		So(f.violations, ShouldBeEmpty)
	})
}

// Guards against retries that multiply per hop: a run may not use more retries than it
// was leased, whatever its downstream calls do.
func TestDownstreamRetriesStayWithinTheLease(t *testing.T) {
	Convey("Downstream calls of one run together use at most the run's retries", t, func() {
		f := newFixture("order-a", "order")
		m := incomingCall(f, "status", true, "")
		So(f.Arrive(at(0), m).Verdict, ShouldEqual, Run)
		retries := 0
		for i := range 10 {
			o, step := f.Open(at(i*100), OpenRequest{Parent: m.CallID, Service: "stock", Method: "GET", Path: "/check"})
			for step.Action != Finish {
				if step.Action == Wait {
					retries++
					step = f.Resume(step.Until, o)
					continue
				}
				step = f.Report(at(i*100+1), o, AttemptResult{Code: resultcode.ConnectFailed})
			}
		}
		So(retries, ShouldEqual, 2)
		So(f.Reply(at(1100), m.CallID).RetriesUsed, ShouldEqual, 2)
		So(f.violations, ShouldBeEmpty)
	})
}

// Guards against a leaving daemon that accepts new calls after its grace period, or
// drops the calls that it holds.
func TestLeavingRefusesNewWorkAfterTheGrace(t *testing.T) {
	Convey("A leaving daemon finishes its calls and refuses new ones after the grace period", t, func() {
		f := newFixture("order-a", "order")
		m := incomingCall(f, "status", true, "")
		So(f.Arrive(at(0), m).Verdict, ShouldEqual, Run)
		f.Leave(at(10))
		late := incomingCall(f, "status", true, "")
		So(f.Arrive(at(1000), late).Verdict, ShouldEqual, Run)
		So(f.Reply(at(1000), late.CallID).Leaving, ShouldBeTrue)
		So(f.Arrive(at(2010), incomingCall(f, "status", true, "")).Reply.Code, ShouldEqual, resultcode.Leaving)
		_, step := f.Open(at(2010), statusRequest())
		So(step.Reply.Code, ShouldEqual, resultcode.Leaving)
		downstream, step := f.Open(at(2010), OpenRequest{Parent: m.CallID, Service: "stock", Method: "GET", Path: "/check"})
		So(step.Action, ShouldEqual, Send)
		f.Report(at(2015), downstream, AttemptResult{Code: resultcode.OK})
		So(f.Idle(), ShouldBeFalse)
		f.Done(at(2020), m.CallID, Outcome{Code: resultcode.OK})
		f.Done(at(2030), late.CallID, Outcome{Code: resultcode.OK})
		So(f.Idle(), ShouldBeTrue)
		f.Drained()
		So(f.Arrive(at(2040), incomingCall(f, "status", true, "")).Reply.Code, ShouldEqual, resultcode.Leaving)
	})
}

// Guards against a configuration that is replaced by an older version, or by one of
// the same version with other contents.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	Convey("Only a valid and newer configuration is put in force", t, func() {
		f := newFixture("order-a", "order")
		So(f.offer(testConfig(3)), ShouldEqual, config.Accepted)
		So(f.offer(testConfig(2)), ShouldEqual, config.Older)
		other := testConfig(3)
		other.Services[0].Kinds[1].PatienceMS = 1000
		So(f.offer(other), ShouldEqual, config.Conflict)
		So(f.ConfigVersion(), ShouldEqual, 3)
		So(f.violations, ShouldBeEmpty)
	})
}

// Guards against a request that crashes one backend server after another.
func TestRequestThatCrashesBackendsIsQuarantined(t *testing.T) {
	Convey("After three crashes the request is refused, also by a daemon that only received the reports", t, func() {
		f := newFixture("order-a", "order")
		poison := func() callmeta.Meta {
			m := incomingCall(f, "status", true, "")
			m.Fingerprint = 42
			return m
		}
		for i := range 3 {
			m := poison()
			So(f.Arrive(at(i*1000), m).Verdict, ShouldEqual, Run)
			f.BackendDown(at(i*1000 + 5))
			f.Done(at(i*1000+6), m.CallID, Outcome{Code: resultcode.BackendCrashed})
			f.BackendUp()
		}
		So(f.Arrive(at(4000), poison()).Reply.Code, ShouldEqual, resultcode.Quarantined)
		So(f.Arrive(at(4000), incomingCall(f, "status", true, "")).Verdict, ShouldEqual, Run)
		entry := newFixture("stock-a", "stock")
		entry.Receive(at(4100), f.Digest(at(4100)))
		request := statusRequest()
		request.Fingerprint = 42
		_, step := entry.Open(at(4200), request)
		So(step.Reply.Code, ShouldEqual, resultcode.Quarantined)
	})
}

// Guards against a request that keeps running because only the report of its first crash
// was pushed.
func TestEveryCrashOfARequestIsPushed(t *testing.T) {
	Convey("Each new report of a request is pushed at once, also by the daemons that receive it", t, func() {
		f, peer := newFixture("order-a", "order"), newFixture("order-b", "order")
		f.Outbox(at(0))
		peer.Outbox(at(0))
		for i := range 2 {
			m := incomingCall(f, "status", true, "")
			m.Fingerprint = 42
			So(f.Arrive(at(10*i), m).Verdict, ShouldEqual, Run)
			f.BackendDown(at(10*i + 1))
			f.Done(at(10*i+1), m.CallID, Outcome{Code: resultcode.BackendCrashed})
			f.BackendUp()
			out := f.Outbox(at(10*i + 2))
			So(out.Push, ShouldBeTrue)
			peer.Receive(at(10*i+3), out.Digest)
			So(peer.Outbox(at(10*i+3)).Push, ShouldBeTrue)
			peer.Receive(at(10*i+4), out.Digest)
			So(peer.Outbox(at(10*i+4)).Push, ShouldBeFalse)
		}
	})
}

// Guards against an answer that reaches the caller of another request, and against
// violated invariants that are not reported.
func TestInvariantViolationsAreReported(t *testing.T) {
	Convey("The answer to another request counts as lost and is reported", t, func() {
		f := newFixture("stock-a", "stock")
		o, step := f.Open(at(0), statusRequest())
		So(step.Action, ShouldEqual, Send)
		other := &callmeta.Reply{Code: resultcode.OK, RequestID: uuid.New(), Threshold: callmeta.MaxPriority, Incarnation: uuid.New()}
		step = f.Report(at(5), o, AttemptResult{Code: resultcode.OK, Reply: other})
		So(step.Reply.Code.Kind(), ShouldNotEqual, resultcode.Answered)
		So(f.violations, ShouldHaveLength, 1)
		So(f.violations[0].Invariant, ShouldEqual, InvariantOwnAnswer)
		So(f.violations[0].RequestID, ShouldEqual, o.Meta().RequestID)
	})
	Convey("A stop with calls in flight is reported", t, func() {
		f := newFixture("order-a", "order")
		So(f.Arrive(at(0), incomingCall(f, "status", true, "")).Verdict, ShouldEqual, Run)
		f.Leave(at(10))
		f.Drained()
		So(f.violations, ShouldHaveLength, 1)
		So(f.violations[0].Invariant, ShouldEqual, InvariantGracefulStop)
	})
	Convey("An upstream that used more retries than it was leased is reported", t, func() {
		f := newFixture("stock-a", "stock")
		o, _ := f.Open(at(0), statusRequest())
		reply := &callmeta.Reply{Code: resultcode.OK, RequestID: o.Meta().RequestID, RetriesUsed: callmeta.MaxRetries, Incarnation: uuid.New()}
		f.Report(at(5), o, AttemptResult{Code: resultcode.OK, Reply: reply})
		So(f.violations, ShouldNotBeEmpty)
		So(f.violations[0].Invariant, ShouldEqual, InvariantRetryBound)
	})
}

// Guards against evictions that operators can't see, and against an eviction that
// leaves the evicted call without its refusal.
func TestEvictionsAreObserved(t *testing.T) {
	Convey("A more important call evicts a queued one", t, func() {
		f := newFixture("order-a", "order")
		evicted := 0
		f.cfg.Observe = func(o Observation) {
			if o.Type == ObservedEvicted {
				evicted++
			}
		}
		var events []Event
		for i := range 200 {
			m := incomingCall(f, "status", true, "")
			m.Rank = 8
			if i >= 100 {
				m.Rank = 0
			}
			events = append(events, f.Arrive(at(0), m).Events...)
		}
		So(evicted, ShouldBeGreaterThan, 0)
		So(events, ShouldHaveLength, evicted)
		for _, e := range events {
			So(e.Start, ShouldBeFalse)
			So(e.Reply.Code, ShouldEqual, resultcode.QueueFull)
		}
		So(f.violations, ShouldBeEmpty)
	})
}
