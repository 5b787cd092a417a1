package mesh

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/core/slots"
)

func (d *Daemon) load() slots.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limiter.Load()
}

// Guards against a backend server that is taken for unreachable or failing because the time of a
// request ended, or its caller left, while a connection was being opened.
func TestDialEndsWithRequest(t *testing.T) {
	Convey("Given a backend server to which connections open slowly", t, func() {
		dialing := make(chan struct{}, 1)
		d := New(Options{HeaderConvention: conventionStub{}, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			select {
			case dialing <- struct{}{}:
			default:
			}
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		a := newLocalAttempt(ctx, nil)
		args := &AskArgs{ID: 1, Left: time.Minute, UntilObjective: time.Second, Payload: &Payload{Method: "GET", Target: "/"}}
		check := func(reply Reply) {
			So(reply.Outcome, ShouldNotEqual, OutcomeBackendDown)
			load := d.load()
			for end := time.Now().Add(time.Second); load.Running > 0 && time.Now().Before(end); load = d.load() {
				time.Sleep(time.Millisecond)
			}
			So(load.Running, ShouldEqual, 0)
			So(load.Failing, ShouldEqual, 0)
		}
		Convey("a request whose time ends does not count against it", func() {
			args.Left = 50 * time.Millisecond
			check(d.ask(a, args))
			_, err := d.backend.openConnection(ctx)
			So(errors.Is(err, errBackendDown), ShouldBeTrue)
		})
		Convey("nor does a request whose caller leaves", func() {
			go func() {
				<-dialing
				cancel()
			}()
			check(d.ask(a, args))
			_, err := d.backend.openConnection(ctx)
			So(errors.Is(err, errBackendDown), ShouldBeFalse)
		})
	})
}
