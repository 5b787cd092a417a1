package dispatch

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/core/directory"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// Guards against an attempt that is given up although its request can't be sent elsewhere.
func TestCanRepeatAgreesWithTheStepAfterALostAttempt(t *testing.T) {
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
			So(d.CanRepeat(start, req, c.quiet), ShouldEqual, c.want)
			step := d.Report(start, req, Report{Result: Lost, Retryable: true, Quarantined: c.quiet})
			So(step.Code == 0, ShouldEqual, c.want)
		})
	}
}
