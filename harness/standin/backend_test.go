package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/config"
)

func testConfig() *config.Config {
	return &config.Config{Version: 1, Services: []config.Service{
		{Name: "order", Kinds: []config.Kind{
			{Name: "confirm", Method: "POST", Path: "/confirm/{id}", Calls: []config.Target{{Service: "stock", Kind: "sheet"}, {Service: "stock", Kind: "page"}}},
		}},
		{Name: "stock", Kinds: []config.Kind{
			{Name: "sheet", Method: "GET", Path: "/sheet/{id}"},
			{Name: "page", Method: "GET", Path: "/page"},
		}},
	}}
}

// serve starts a backend server on a loopback socket and returns its base URL.
func serve(o BackendOptions) (*Backend, string) {
	if o.Config == nil {
		o.Config = testConfig()
	}
	b, err := NewBackend(o)
	So(err, ShouldBeNil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	b.Start(l)
	Reset(b.Close)
	return b, "http://" + l.Addr().String()
}

func do(ctx context.Context, method, url, body string, h http.Header) (int, string, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", nil, err
	}
	for k, v := range h {
		req.Header[k] = v
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), resp.Header, err
}

func eventually(condition func() bool) bool {
	for range 400 {
		if condition() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

// Guards against answers that differ from Expected, and runs that are not counted.
func TestCallTree(t *testing.T) {
	Convey("Given two services", t, func() {
		stock, stockURL := serve(BackendOptions{Service: "stock", Slots: 2})
		order, orderURL := serve(BackendOptions{Service: "order", Slots: 2, Egress: stockURL})
		h := http.Header{}
		meta := callmeta.Meta{RequestID: uuid.New(), CallID: uuid.New(), Service: "order", Kind: "confirm", Key: "k1", Deadline: time.Now().Add(time.Minute)}
		callmeta.Encode(h, meta, time.Now())
		ctx := context.Background()

		Convey("the answer of a tree is the expected one, for each body", func() {
			seen := map[string]bool{}
			for _, body := range []string{"", "a", "b bytes=100000"} {
				status, answer, _, err := do(ctx, "POST", orderURL+"/order/confirm/7", body, h)
				So(err, ShouldBeNil)
				So(status, ShouldEqual, 200)
				So(answer == string(Expected(testConfig(), "order", "confirm", []byte(body))), ShouldBeTrue)
				seen[answer] = true
			}
			So(seen, ShouldHaveLength, 3)
			So(Expected(testConfig(), "order", "nothing", nil), ShouldBeNil)
			c := stock.Counts()
			So(c.Requests[meta.RequestID.String()], ShouldEqual, 6)
			So(c.ByRequest[meta.RequestID.String()+"/page"], ShouldEqual, 3)
			So(order.Counts().ByKey["k1"], ShouldEqual, 3)
			So(c.ByKey, ShouldBeEmpty)
		})
		Convey("a request whose downstream call fails is answered with 503, without the header of a refusal", func() {
			stock.SetFaults(Faults{ShedShare: 1})
			status, _, header, err := do(ctx, "POST", orderURL+"/order/confirm/7", "x", h)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 503)
			So(header.Get(callmeta.HeaderRefused), ShouldEqual, "")
			So(order.Counts().Failed, ShouldEqual, 1)
			So(stock.Counts().Started, ShouldEqual, 0)
		})
		Convey("a crash aborts the call, and the server listens again", func() {
			_, _, _, err := do(ctx, "GET", stockURL+"/stock/page?crash=stock", "", nil)
			So(err, ShouldNotBeNil)
			So(eventually(func() bool { s, _, _, _ := do(ctx, "GET", stockURL+"/stock/page", "", nil); return s == 200 }), ShouldBeTrue)
			status, _, _, err := do(ctx, "POST", orderURL+"/order/confirm/7", "crash=stock/page", h)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 503)
			So(stock.Counts().Crashes, ShouldEqual, 2)
			So(order.Counts().Crashes, ShouldEqual, 0)
		})
	})
}

// Guards against more concurrent runs than slots, refused requests that ran, and
// cancellation that does not end a run or a wait in the queue.
func TestSlotsAndCancellation(t *testing.T) {
	Convey("Given one slot, a queue of one and a hanging run", t, func() {
		b, url := serve(BackendOptions{Service: "stock", Slots: 1, QueueLimit: 1})
		b.SetFaults(Faults{Hang: true})
		ctx := context.Background()
		var cancel [2]context.CancelFunc
		var callers sync.WaitGroup
		statuses := make(chan int, 2)
		for i := range 2 {
			caller, stop := context.WithCancel(ctx)
			defer stop()
			cancel[i] = stop
			callers.Go(func() {
				s, _, _, _ := do(caller, "GET", url+"/stock/page", "", nil)
				statuses <- s
			})
			So(eventually(func() bool { return b.Load().Running+b.Load().Queued == int64(i+1) }), ShouldBeTrue)
		}
		Convey("the third request is refused before it runs", func() {
			status, _, header, err := do(ctx, "GET", url+"/stock/page", "", nil)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 503)
			So(header.Get(callmeta.HeaderRefused), ShouldNotEqual, "")
			So(b.Counts().Started, ShouldEqual, 1)
			b.SetFaults(Faults{})
			callers.Wait()
			So([]int{<-statuses, <-statuses}, ShouldResemble, []int{200, 200})
			So(b.Counts().MaxRunning, ShouldEqual, 1)
		})
		Convey("callers that disconnect cancel the run and leave the queue", func() {
			cancel[1]()
			So(eventually(func() bool { return b.Counts().CanceledInQueue == 1 }), ShouldBeTrue)
			cancel[0]()
			So(eventually(func() bool { return b.Counts().Canceled == 1 }), ShouldBeTrue)
			callers.Wait()
			So(b.Counts().Started, ShouldEqual, 1)
			So(b.Load(), ShouldResemble, Load{Slots: 1})
			So(b.Counts().Wasted, ShouldBeGreaterThan, 0)
		})
		Convey("a crash closes the connections of both callers", func() {
			b.Crash()
			callers.Wait()
			So(<-statuses+<-statuses, ShouldEqual, 0)
			So(eventually(func() bool { return b.Counts().Crashed == 1 }), ShouldBeTrue)
		})
		Convey("a drain refuses new requests and finishes the queued and running ones", func() {
			drained := make(chan error, 1)
			go func() { drained <- b.Drain(context.Background()) }()
			So(eventually(func() bool { s, _, _, _ := do(ctx, "GET", url+"/healthz", "", nil); return s == 503 }), ShouldBeTrue)
			_, _, header, err := do(ctx, "GET", url+"/stock/page", "", nil)
			So(err, ShouldBeNil)
			So(header.Get(callmeta.HeaderRefused), ShouldNotEqual, "")
			b.SetFaults(Faults{})
			callers.Wait()
			So([]int{<-statuses, <-statuses}, ShouldResemble, []int{200, 200})
			So(<-drained, ShouldBeNil)
		})
	})
}

// Guards against a backend server whose service time or whose health and load
// reports ignore its options and faults.
func TestTimesAndReports(t *testing.T) {
	Convey("Cold start and slow factor multiply the service time", t, func() {
		b, url := serve(BackendOptions{Service: "stock", DefaultTime: ServiceTime{Mean: 10 * time.Millisecond}, ColdStart: time.Hour, ColdFactor: 2})
		b.SetFaults(Faults{SlowFactor: 3})
		begin := time.Now()
		_, _, _, err := do(context.Background(), "GET", url+"/page", "", nil)
		So(err, ShouldBeNil)
		So(time.Since(begin), ShouldBeGreaterThanOrEqualTo, 60*time.Millisecond)
	})
	Convey("Health and load endpoints can report false and outdated values", t, func() {
		b, url := serve(BackendOptions{Service: "stock", Slots: 3})
		get := func(path string) (int, string) {
			s, body, _, _ := do(context.Background(), "GET", url+path, "", nil)
			return s, strings.TrimSpace(body)
		}
		b.SetFaults(Faults{ReportedStatus: 500, ReportedLoad: &Load{Running: 7}, HealthLag: time.Hour})
		s, _ := get("/healthz")
		_, load := get("/load")
		So(s, ShouldEqual, 500)
		So(load, ShouldEqual, `{"running":7,"queued":0,"slots":0}`)
		s, _, _, err := do(context.Background(), "POST", url+"/faults", `{"health_lag":3600000000000}`, nil)
		So(err, ShouldBeNil)
		So(s, ShouldEqual, 200)
		b.draining.Store(true)
		s, _ = get("/healthz")
		_, load = get("/load")
		So(s, ShouldEqual, 200)
		So(load, ShouldEqual, `{"running":0,"queued":0,"slots":3}`)
	})
}
