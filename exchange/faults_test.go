package exchange

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/core/node"
)

// Guards against clients and servers that leave goroutines behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newEnvelope returns an envelope of a valid configuration with about size bytes. Names
// and numbers are random, so that it does not compress better than a real one.
func newEnvelope(t *testing.T, version uint64, size int) config.Envelope {
	c, r := &config.Config{Version: version}, rand.New(rand.NewPCG(version, 0))
	for i := 0; len(c.Services) == 0 || i < size; i += 515 {
		name := fmt.Sprintf("s%d-%08x", len(c.Services), r.Uint32())
		s := config.Service{Name: name}
		for _, zone := range []string{"a", "b", "c"} {
			s.Upstreams = append(s.Upstreams, config.Upstream{Name: name + "-" + zone, Zone: "sierra-norte-" + zone,
				Region: "sierra-norte", Slots: 15 + r.IntN(126), Connections: 200 + r.IntN(700)})
		}
		s.Kinds = []config.Kind{{Name: "read", Method: http.MethodGet, Path: fmt.Sprintf("/%08x/{id}", r.Uint32()),
			Rank: 1 + r.IntN(9), Idempotent: true, PatienceMS: 500 + r.IntN(9000), Retries: 2}}
		c.Services = append(c.Services, s)
	}
	e, err := config.Seal(c)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func (f *fleet) offer(i int, e config.Envelope) config.Verdict {
	f.endpoints[i].mu.Lock()
	defer f.endpoints[i].mu.Unlock()
	verdict, _ := f.endpoints[i].node.Offer(f.now(), e)
	return verdict
}

func (f *fleet) allHaveVersion(version uint64, first, step int) func() bool {
	return func() bool {
		for i := first; i < len(f.endpoints); i += step {
			if e, _ := f.endpoints[i].ConfigNewerThan(0); e.Version != version {
				return false
			}
		}
		return true
	}
}

// Guards against a starting daemon that waits for the configuration service while a
// peer has the configuration, and against configurations that go back to an older
// version.
func TestConfigurationSpreads(t *testing.T) {
	Convey("Given 12 starting daemons of which one can read the configuration service", t, func() {
		c := newClock()
		f := newFleet(t, 12, c.now)
		Reset(f.close)
		f.withList()
		So(f.offer(0, newEnvelope(t, 5, 100_000)), ShouldEqual, config.Accepted)
		So(f.run(c, 10*time.Second, f.allHaveVersion(5, 0, 1)), ShouldBeLessThanOrEqualTo, time.Second)
		Convey("an older configuration from a stale service or a peer is not accepted", func() {
			So(f.offer(1, newEnvelope(t, 4, 0)), ShouldEqual, config.Older)
			claimVersion := func(claimed uint64) membership.Record {
				h := &fixedHandler{envelope: newEnvelope(t, 4, 0)}
				r := membership.Record{Name: "liar", Service: "service00", Incarnation: f.list[0].Incarnation, Started: f.now(),
					State: membership.Live, ControlAddress: h.serve(t)}
				f.endpoints[2].Exchange(node.Digest{Sender: r, Clock: f.now(), ConfigVersion: claimed})
				return r
			}
			claimVersion(9)
			f.run(c, 2*time.Second, never)
			So(f.allHaveVersion(5, 0, 1)(), ShouldBeTrue)
			Convey("and an announced version that is never delivered does not block a newer configuration", func() {
				claimVersion(1 << 63)
				So(f.offer(3, newEnvelope(t, 6, 0)), ShouldEqual, config.Accepted)
				So(f.run(c, 10*time.Second, f.allHaveVersion(6, 0, 1)), ShouldBeLessThan, 5*time.Second)
			})
		})
	})
}

// fixedHandler returns the peer's own digest to every exchange and the same envelope to
// every fetch.
type fixedHandler struct{ envelope config.Envelope }

func (h *fixedHandler) Exchange(d node.Digest) node.Digest             { return d }
func (h *fixedHandler) ConfigNewerThan(uint64) (config.Envelope, bool) { return h.envelope, true }

func (h *fixedHandler) serve(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := NewServer(l, h)
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(func(error) {})
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// Guards against daemons that stay on an older configuration after a partition has
// healed.
func TestPartitionHeals(t *testing.T) {
	Convey("A configuration reaches all daemons after a partition heals", t, func() {
		c := newClock()
		f := newFleet(t, 12, c.now)
		Reset(f.close)
		f.reachable = func(from, to int) bool { return from%2 == to%2 }
		f.withList()
		f.offer(0, newEnvelope(t, 1, 0))
		So(f.run(c, 5*time.Second, f.allHaveVersion(1, 0, 2)), ShouldBeLessThan, 5*time.Second)
		f.run(c, time.Minute, never)
		So(f.allHaveVersion(0, 1, 2)(), ShouldBeTrue)
		f.reachable = nil
		So(f.run(c, 10*time.Second, f.allHaveVersion(1, 0, 1)), ShouldBeLessThan, 5*time.Second)
	})
}

// Guards against malformed or oversized messages of a peer that stop a daemon, block it
// or exhaust its memory.
func TestMalformedMessages(t *testing.T) {
	Convey("A server that received malformed messages still answers", t, func() {
		f := newFleet(t, 2, time.Now)
		Reset(f.close)
		f.withList()
		address, peer := f.list[0].ControlAddress, f.endpoints[1]
		oversized := node.Digest{Sender: f.list[1], Records: make([]membership.Record, 100_000)}
		huge, err := encode(oversized)
		So(err, ShouldBeNil)
		wrongTypes, err := encode(map[string]any{"Sender": 3, "Clock": []int{1}, "Records": "x"})
		So(err, ShouldBeNil)
		for _, body := range [][]byte{nil, {0}, {formatVersion}, huge, huge[:len(huge)/2], wrongTypes, bytes.Repeat([]byte{0xff}, 60_000)} {
			client := NewClient(new(net.Dialer).DialContext)
			conn, err := client.client(context.Background(), address)
			So(err, ShouldBeNil)
			_, err = call(context.Background(), conn, "Exchange", body)
			So(err, ShouldNotBeNil)
			if len(body) < maxDigestMessage { // longer ones also end the connection
				So(isServerError(err), ShouldBeTrue)
			}
			client.Close()
		}
		for _, raw := range []string{"GET / HTTP/1.1\r\n\r\n", strings.Repeat("\xf8\x7f\xff\xff\xff\xff\xff\xff\xff", 100_000), "\x07"} {
			conn, err := net.Dial("tcp", address)
			So(err, ShouldBeNil)
			_, _ = conn.Write([]byte(raw))
			_ = conn.Close()
		}
		_, err = peer.client.Exchange(context.Background(), address, peer.node.Digest(time.Now()))
		So(err, ShouldBeNil)
	})
	Convey("Peers cannot exhaust the memory with many upstreams and long names", t, func() {
		f := newFleet(t, 1, time.Now)
		Reset(f.close)
		n := f.endpoints[0].node
		for i := range 10_000 {
			r := f.list[0]
			r.Name = fmt.Sprintf("place-%d", i)
			longZone := r
			longZone.Zone = strings.Repeat("x", 10_000)
			n.Receive(time.Now(), node.Digest{Records: []membership.Record{r, longZone}})
		}
		So(n.FleetSize(), ShouldBeLessThan, 5000)
	})
	Convey("A reply above the size limit ends the fetch with an error", t, func() {
		body, err := json.Marshal(strings.Repeat("x", 2<<20))
		So(err, ShouldBeNil)
		h := &fixedHandler{envelope: config.Envelope{Version: 2, Body: body}}
		client := NewClient(new(net.Dialer).DialContext)
		Reset(client.Close)
		_, err = client.Config(context.Background(), h.serve(t), 1)
		So(err.Error(), ShouldContainSubstring, "more than")
	})
}

// Guards against a change, or a leaving daemon, that waits for a peer which accepts
// connections and never answers.
func TestUnresponsivePeers(t *testing.T) {
	Convey("With 3 of 12 peers unresponsive a configuration reaches the others in time", t, func() {
		f := newFleet(t, 12, time.Now)
		Reset(f.close)
		for i := range 3 {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			Reset(func() { _ = l.Close() })
			f.list[9+i].ControlAddress = l.Addr().String()
			_ = f.endpoints[9+i].server.Close()
		}
		f.endpoints = f.endpoints[:9]
		f.withList()
		f.offer(0, newEnvelope(t, 1, 0))
		began := time.Now()
		for !f.allHaveVersion(1, 0, 1)() && time.Since(began) < 10*time.Second {
			for _, e := range f.endpoints {
				e.tick()
			}
			time.Sleep(10 * time.Millisecond)
		}
		So(time.Since(began), ShouldBeLessThan, 5*time.Second)
	})
}
