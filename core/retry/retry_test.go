package retry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

var epoch = time.Date(2026, 2, 17, 6, 0, 0, 0, time.UTC)

// callTree is a random call tree: every hop calls 1 to 2 services one level down.
type callTree struct {
	draw        func(n int) int
	retries     int // sent by all hops
	failPercent int // percentage of attempts that fail
}

// hop runs a call that was leased the given number of retries and returns its reply.
func (t *callTree) hop(depth, retries int) callmeta.Reply {
	if depth == 7 {
		return callmeta.Reply{Code: t.result()}
	}
	l := NewLedger(retries)
	reply := callmeta.Reply{Code: resultcode.OK}
	for range 1 + t.draw(2) {
		if got := t.send(l, depth); got.Code != resultcode.OK {
			reply = got
		}
		if l.Used()+l.Leased()+l.Remaining() != retries {
			panic("the sum of used, leased and remaining retries changed")
		}
	}
	reply.RetriesUsed = l.Close()
	if reply.Code == resultcode.OK {
		reply.Code = t.result()
	}
	return reply
}

// send makes one downstream call and retries it.
func (t *callTree) send(l *Ledger, depth int) callmeta.Reply {
	b := NewBudget(1, 100)
	for {
		leased := l.Lease()
		reply := t.hop(depth+1, leased)
		used := reply.RetriesUsed
		if reply.Code == resultcode.AttemptLost {
			used = leased
		}
		if err := l.Return(leased, used); err != nil {
			panic(err)
		}
		a := Attempt{Code: reply.Code, Idempotent: true, TimeLeft: time.Second}
		if !Admit(epoch, a, l, b).Retry() {
			return reply
		}
		t.retries++
	}
}

func (t *callTree) result() resultcode.Code {
	if t.draw(100) >= t.failPercent {
		return resultcode.OK
	}
	return []resultcode.Code{resultcode.AttemptLost, resultcode.Shed, resultcode.BackendCrashed, resultcode.ConnectFailed}[t.draw(4)]
}

// Guards invariant 1 of docs/design.md against retries that multiply from hop to hop in a
// deep call tree. The replies do not set RetriedBelow, so that the ledger alone must keep the bound.
func TestCallTreeRetriesAreBounded(t *testing.T) {
	trees, most := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, callmeta.MaxRetries).Draw(t, "retries")
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		calls := &callTree{draw: r.IntN, failPercent: rapid.IntRange(0, 100).Draw(t, "fail")}
		reply := calls.hop(0, n)
		trees, most = trees+1, max(most, calls.retries)
		if calls.retries > n || reply.RetriesUsed > n || calls.retries > reply.RetriesUsed {
			t.Fatalf("%d retries sent, %d reported, %d allowed", calls.retries, reply.RetriesUsed, n)
		}
	})
	fmt.Printf("call trees of depth 7: %d, most retries %d, allowed up to %d\n", trees, most, callmeta.MaxRetries)
}

// Guards against a faulty or duplicated reply that adds retries to the ledger or removes
// some.
func TestLedgerViolations(t *testing.T) {
	Convey("A lease is half of the remaining retries, rounded up", t, func() {
		l := NewLedger(5)
		So([]int{l.Lease(), l.Lease(), l.Lease(), l.Lease()}, ShouldResemble, []int{3, 1, 1, 0})
		So(l.Return(3, 1), ShouldBeNil)
		So([]int{l.Used(), l.Leased(), l.Remaining()}, ShouldResemble, []int{1, 2, 2})
		So(l.Close(), ShouldEqual, 3)
	})
	Convey("Invalid returns are errors and keep the sum of used, leased and remaining", t, func() {
		l := NewLedger(4)
		leased := l.Lease()
		So(errors.Is(l.Return(leased, leased+1), ErrOverused), ShouldBeTrue)
		So(errors.Is(l.Return(leased, 0), ErrNotLeased), ShouldBeTrue)
		So(errors.Is(l.Return(-1, 0), ErrNotLeased), ShouldBeTrue)
		So(errors.Is(l.Return(1000, 0), ErrNotLeased), ShouldBeTrue)
		So([]int{l.Used(), l.Leased(), l.Remaining()}, ShouldResemble, []int{2, 0, 2})
		So(NewLedger(1000).Remaining(), ShouldEqual, callmeta.MaxRetries)
		So(NewLedger(-1).Use(), ShouldBeFalse)
	})
}

// Guards against retries that add to an overload, and against a budget that allows no
// retry at low traffic.
func TestBudget(t *testing.T) {
	allowed := func(b *Budget, now time.Time) (n int) {
		for n < 1000 && b.Allow(now) {
			n++
		}
		return n
	}
	Convey("The number of retries follows the recent successes", t, func() {
		b := NewBudget(0.1, 1)
		So(allowed(b, epoch), ShouldEqual, 1)
		now := epoch
		for range 1000 {
			now = now.Add(5 * time.Millisecond)
			b.RecordSuccess(now)
		}
		So(allowed(b, now), ShouldBeBetween, 98, 100)
		So(allowed(b, now.Add(20*time.Second)), ShouldEqual, 1)
		b.SetRatio(0.02)
		So(allowed(b, now.Add(20*time.Second)), ShouldEqual, 0)
	})
	Convey("It allows none while refusals outnumber successes, and some again 1 s later", t, func() {
		b := NewBudget(0.1, 1)
		for range 100 {
			b.RecordSuccess(epoch)
		}
		now := epoch.Add(2 * time.Second)
		b.RecordSuccess(now)
		b.RecordOverload(now)
		b.RecordOverload(now)
		So(b.Allow(now), ShouldBeFalse)
		So(b.Allow(now.Add(time.Second)), ShouldBeTrue)
	})
}

// Guards against more than 0.1 retries per request in overload, the bound of the design page.
func TestRetriesInOverload(t *testing.T) {
	Convey("At 2x and 10x load, where 1/2 and 9/10 are refused, retries stay within 0.1 per request", t, func() {
		for _, load := range []int{2, 10} {
			r := rand.New(rand.NewPCG(7, uint64(load)))
			b, now, retries := NewBudget(0.1, 1), epoch, 0
			const requests = 20000
			for range requests {
				now = now.Add(time.Millisecond)
				l := NewLedger(2)
				for {
					if r.IntN(load) == 0 {
						b.RecordSuccess(now)
						break
					}
					b.RecordOverload(now)
					if !Admit(now, Attempt{Code: resultcode.Shed, TimeLeft: time.Second}, l, b).Retry() {
						break
					}
					retries++
				}
			}
			fmt.Printf("\n%dx load: %.4f retries per request (seed 7)\n", load, float64(retries)/requests)
			So(float64(retries)/requests, ShouldBeLessThanOrEqualTo, 0.1)
		}
	})
}

// Guards against callers whose requests failed at the same time and that retry at the same
// time or late.
func TestBackoff(t *testing.T) {
	Convey("Backoff is spread between 0 and a limit that doubles up to a bound", t, func() {
		r := rand.New(rand.NewPCG(7, 7))
		for retryNumber := -1; retryNumber < 100; retryNumber++ {
			var all []time.Duration
			for range 1000 {
				all = append(all, Backoff(retryNumber, r))
			}
			limit := BackoffLimit(retryNumber)
			So(slices.Min(all), ShouldBeLessThan, limit/20)
			So(slices.Max(all), ShouldBeBetween, limit*9/10, limit+1)
			So(limit, ShouldBeLessThanOrEqualTo, 200*time.Millisecond)
		}
		So(BackoffLimit(3), ShouldEqual, 4*BackoffLimit(1))
	})
}

// Guards invariants 1, 4 and 5 of docs/design.md against a retry that multiplies retries,
// that may run a non-idempotent request twice, or that cannot succeed.
func TestDecide(t *testing.T) {
	retryable := func(c resultcode.Code) Attempt {
		return Attempt{Code: c, Idempotent: true, TimeLeft: time.Second, TimeNeeded: time.Millisecond, RetriesLeft: 1}
	}
	notRetryable := map[resultcode.Code]bool{
		resultcode.Quarantined: true, resultcode.BadRequest: true, resultcode.BodyTooLarge: true, resultcode.UnknownService: true,
		resultcode.UnknownKind: true, resultcode.BadKey: true, resultcode.BadToken: true, resultcode.KeyFromFuture: true,
		resultcode.ShedEarly: true, resultcode.TooDeep: true, resultcode.HomeMoving: true, resultcode.OK: true, resultcode.Replayed: true,
	}
	Convey("Retries of every code are refused when unsafe or pointless", t, func() {
		for _, info := range resultcode.All() {
			a := retryable(info.Code)
			if notRetryable[info.Code] {
				So(Decide(a).Retry(), ShouldBeFalse)
			}
			a.Idempotent = false
			So(Decide(a).Retry() && info.Kind != resultcode.NotRun, ShouldBeFalse)
			below, late, short, spent := retryable(info.Code), retryable(info.Code), retryable(info.Code), retryable(info.Code)
			below.RetriedBelow, late.TimeLeft, short.TimeLeft, spent.RetriesLeft = true, 0, short.TimeNeeded-1, 0
			for _, a := range []Attempt{below, late, short, spent} {
				So(Decide(a).Retry(), ShouldBeFalse)
			}
		}
		So(Decide(retryable(999)), ShouldEqual, NoRetryPointless)
	})
	Convey("Failures that may not recur at another upstream are retried", t, func() {
		for code, want := range map[resultcode.Code]Reason{
			resultcode.ConnectFailed: RetryConnectFailed, resultcode.Shed: RetryOverloaded, resultcode.BackendDown: RetryBackendDown,
			resultcode.Leaving: RetryLeaving, resultcode.AttemptLost: RetryLost, resultcode.BackendCrashed: RetryCrashed,
		} {
			So(Decide(retryable(code)), ShouldEqual, want)
		}
	})
	Convey("Every reason has a unique name", t, func() {
		names := map[string]bool{"invalid": true}
		for _, r := range Reasons() {
			names[r.String()] = true
		}
		So(names, ShouldHaveLength, 19)
	})
	Convey("A refused retry takes nothing from the budget or the ledger", t, func() {
		l, b := NewLedger(2), NewBudget(0, 1)
		late := retryable(resultcode.Shed)
		late.TimeLeft = 0
		So(Admit(epoch, late, l, b), ShouldEqual, NoRetryTimeLeft)
		So(Admit(epoch, retryable(resultcode.Shed), l, b), ShouldEqual, RetryOverloaded)
		So(Admit(epoch, retryable(resultcode.Shed), l, b), ShouldEqual, NoRetryBudget)
		So(l.Remaining(), ShouldEqual, 1)
	})
}
