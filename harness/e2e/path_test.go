package e2e

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// Guards against a failure anywhere on the path between separate processes:
// listeners, metadata headers, egress, at-most-once records and complete answers.
func TestRequestsThroughTheWholePath(t *testing.T) {
	f := newFleet(t)
	ctx := context.Background()
	Convey("Separate processes answer requests down the call graph", t, func() {
		entry := f.upstream("catalogue", 0)
		Convey("A read through two services is answered byte for byte", func() {
			a, err := f.send(ctx, entry, "workshop", "cut-sheet", "", nil)
			So(err, ShouldBeNil)
			So(a.status, ShouldEqual, http.StatusOK)
			So(string(a.body), ShouldEqual, f.expected("workshop", "cut-sheet", nil))
		})
		Convey("A confirmation through three services is answered, and resending it through another entry returns the recorded answer", func() {
			key, body := newKey(), []byte("batch 17")
			a, err := f.send(ctx, entry, "batch-order", "confirm", key, body)
			So(err, ShouldBeNil)
			So(a.reply.Cause, ShouldEqual, resultcode.Code(0))
			So(a.reply.Code, ShouldEqual, resultcode.OK)
			So(string(a.body), ShouldEqual, f.expected("batch-order", "confirm", body))
			again, err := f.send(ctx, f.upstream("stock", 1), "batch-order", "confirm", key, body)
			So(err, ShouldBeNil)
			So(again.reply.Code, ShouldEqual, resultcode.Replayed)
			So(string(again.body), ShouldEqual, string(a.body))
		})
		Convey("A token binds a confirmation to one process, through any entry", func() {
			token, body := f.token(entry, "batch-order"), []byte("batch 20")
			a, err := f.sendWith(ctx, entry, "batch-order", "confirm", callmeta.HeaderToken, token, body)
			So(err, ShouldBeNil)
			So(a.reply.Code, ShouldEqual, resultcode.OK)
			again, err := f.sendWith(ctx, f.upstream("workshop", 1), "batch-order", "confirm", callmeta.HeaderToken, token, body)
			So(err, ShouldBeNil)
			So(again.reply.Code, ShouldEqual, resultcode.Replayed)
			So(string(again.body), ShouldEqual, string(a.body))
			other, err := f.sendWith(ctx, entry, "batch-order", "confirm", callmeta.HeaderToken, token, []byte("batch 21"))
			So(err, ShouldBeNil)
			So(other.reply.Code.Kind(), ShouldEqual, resultcode.NotRun)
		})
		Convey("A key that is not a version 7 UUID is refused as not run", func() {
			a, err := f.send(ctx, entry, "batch-order", "confirm", "order-17", []byte("batch 18"))
			So(err, ShouldBeNil)
			So(a.reply.Code, ShouldEqual, resultcode.BadKey)
			So(a.reply.Cause, ShouldEqual, resultcode.Code(0))
		})
		Convey("An unknown service is refused as not run", func() {
			resp, err := f.client.Get("http://" + f.vms[entry].daemonSettings.Listeners.Callers + "/no-such-service/x")
			So(err, ShouldBeNil)
			_ = resp.Body.Close()
			So(resp.StatusCode, ShouldEqual, http.StatusNotFound)
		})
	})
}

// Guards against a graceful stop that aborts requests in flight, or during which the
// daemon keeps accepting new requests.
func TestGracefulStopCutsNothing(t *testing.T) {
	f := newFleet(t)
	Convey("SIGTERM ends a daemon under load with exit code 0 and no failed request", t, func() {
		entry, leaving := f.upstream("catalogue", 0), f.upstream("stock", 0)
		ctx, cancel := context.WithCancel(context.Background())
		var mu sync.Mutex
		var failures []string
		var senders sync.WaitGroup
		for range 8 {
			senders.Go(func() {
				for ctx.Err() == nil {
					a, err := f.send(context.Background(), entry, "workshop", "cut-sheet", "", nil)
					mu.Lock()
					if err != nil {
						failures = append(failures, err.Error())
					} else if a.status != http.StatusOK {
						failures = append(failures, a.reply.Code.String())
					}
					mu.Unlock()
				}
			})
		}
		// A caller that keeps using the leaving daemon as its entry is refused after
		// the grace time, so that it cannot keep the daemon from stopping.
		senders.Go(func() {
			for ctx.Err() == nil {
				a, err := f.send(context.Background(), leaving, "catalogue", "browse", "", nil)
				if err != nil || a.reply.Code == resultcode.Leaving {
					return
				}
			}
		})
		time.Sleep(300 * time.Millisecond)
		f.vms[leaving].daemon.signal(t, syscall.SIGTERM)
		err := f.vms[leaving].daemon.wait(t, 10*time.Second)
		cancel()
		senders.Wait()
		So(err, ShouldBeNil)
		So(failures, ShouldBeEmpty)
	})
}

// Guards against reads that fail because one daemon was killed while another upstream
// of the service is healthy, and against a second run of a confirmation whose home was
// suspended (SIGSTOP) during the first send.
func TestDaemonKilledAndFrozen(t *testing.T) {
	f := newFleet(t)
	ctx := context.Background()
	Convey("When one stock daemon is killed, reads are answered through the other", t, func() {
		entry := f.upstream("catalogue", 0)
		f.vms[f.upstream("stock", 0)].daemon.signal(t, syscall.SIGKILL)
		for range 50 {
			a, err := f.send(ctx, entry, "stock", "check", "", nil)
			So(err, ShouldBeNil)
			So(a.status, ShouldEqual, http.StatusOK)
		}
	})
	Convey("A confirmation sent to a suspended home has an unknown outcome and runs at most once", t, func() {
		entry := f.upstream("catalogue", 0)
		key, body := newKey(), []byte("batch 19")
		for i := range upstreamsPerService {
			f.vms[f.upstream("batch-order", i)].daemon.signal(t, syscall.SIGSTOP)
		}
		short, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		_, err := f.send(short, entry, "batch-order", "confirm", key, body)
		cancel()
		So(err, ShouldNotBeNil)
		for i := range upstreamsPerService {
			f.vms[f.upstream("batch-order", i)].daemon.signal(t, syscall.SIGCONT)
		}
		var last answer
		for range 20 {
			last, err = f.send(ctx, f.upstream("catalogue", 1), "batch-order", "confirm", key, body)
			So(err, ShouldBeNil)
			if last.reply.Code.Kind() == resultcode.Answered {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		So(f.runsOf("batch-order", key), ShouldBeLessThanOrEqualTo, 1)
		if last.reply.Code.Kind() == resultcode.Answered {
			So(f.runsOf("batch-order", key), ShouldEqual, 1)
			So(string(last.body), ShouldEqual, f.expected("batch-order", "confirm", body))
		}
	})
}
