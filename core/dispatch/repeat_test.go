package dispatch

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/core/directory"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// Guards against an attempt that is given up although its request can't be sent elsewhere.
func TestReserveRepeatAgreesWithTheStepAfterALostAttempt(t *testing.T) {
	for _, c := range []struct {
		name              string
		upstreams         int
		idempotent, quiet bool
		prepare           func(d *Dispatcher, dir *directory.Directory, req *OutgoingRequest)
		want              bool
	}{
		{name: "another upstream", upstreams: 3, idempotent: true, want: true},
		{name: "only upstream", upstreams: 1, idempotent: true},
		{name: "not idempotent", upstreams: 3},
		{name: "stopping", upstreams: 3, idempotent: true, prepare: func(d *Dispatcher, _ *directory.Directory, _ *OutgoingRequest) { d.Close() }},
		{name: "quarantined", upstreams: 3, idempotent: true, quiet: true},
		{name: "attempts spent", upstreams: 3, idempotent: true, prepare: func(d *Dispatcher, _ *directory.Directory, req *OutgoingRequest) {
			d.Report(start, req, Report{Result: Lost, Retryable: true})
		}},
		{name: "budget spent", upstreams: 3, idempotent: true, prepare: func(d *Dispatcher, _ *directory.Directory, req *OutgoingRequest) {
			d.budget(req.Service).Charge(start, 1000)
		}},
		{name: "the others asked", upstreams: 2, idempotent: true, prepare: func(d *Dispatcher, _ *directory.Directory, req *OutgoingRequest) {
			d.Report(start, req, Report{Result: NoReply, Retryable: true})
		}},
	} {
		Convey(c.name, t, func() {
			d, dir := fleet(c.upstreams)
			req := open(d, c.idempotent)
			So(d.Next(start, req).Code, ShouldEqual, resultcode.Code(0))
			if c.prepare != nil {
				c.prepare(d, dir, req)
			}
			So(d.ReserveRepeat(start, req, c.quiet), ShouldEqual, c.want)
			step := d.Report(start, req, Report{Result: Lost, Retryable: true, Quarantined: c.quiet})
			So(step.Code == 0, ShouldEqual, c.want)
		})
	}
}

// Guards against attempts that are given up at once although the retry budget suffices for one of them only.
func TestRepeatsTogetherStayWithinTheBudget(t *testing.T) {
	Convey("Of several requests on an upstream that becomes silent, those that may be given up are sent again", t, func() {
		d, _ := fleet(3)
		requests := make([]*OutgoingRequest, 5)
		for i := range requests {
			requests[i] = open(d, true)
			So(d.Next(start, requests[i]).Code, ShouldEqual, resultcode.Code(0))
		}
		for d.budget("s").Available(start) {
			d.budget("s").Charge(start, 1)
		}
		d.budget("s").Charge(start, -2)
		var givenUp []*OutgoingRequest
		for _, req := range requests {
			if d.ReserveRepeat(start, req, false) {
				givenUp = append(givenUp, req)
			}
		}
		So(givenUp, ShouldHaveLength, 2)
		for _, req := range givenUp {
			So(d.Report(start, req, Report{Result: Lost, Retryable: true}).Code, ShouldEqual, resultcode.Code(0))
		}
		So(d.budget("s").Available(start), ShouldBeFalse)
	})
}

// Guards against running a tree of calls again, which fails for lack of capacity further down, at another upstream.
func TestFailuresAreNotRepeatedWhileCallsAreBlocked(t *testing.T) {
	for _, blocked := range []bool{false, true} {
		Convey(fmt.Sprint("A run fails; calls of the upstream are blocked: ", blocked), t, func() {
			d, _ := fleet(3)
			req := open(d, true)
			So(d.Next(start, req).Code, ShouldEqual, resultcode.Code(0))
			step := d.Report(start, req, Report{Result: Failed, Retryable: true, BlockedBelow: blocked})
			So(step.Deliver, ShouldEqual, blocked)
		})
	}
}
