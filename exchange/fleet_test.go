package exchange

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/core/node"
)

// endpoint is the control exchange of one daemon: a node, a client and a server, with
// real connections over loopback.
type endpoint struct {
	fleet    *fleet
	mu       sync.Mutex
	node     *node.Node
	client   *Client
	server   *Server
	requests sync.WaitGroup
}

// fleet is a set of endpoints that share the clock now.
type fleet struct {
	now       func() time.Time
	endpoints []*endpoint
	list      []membership.Record
	reachable func(from, to int) bool // nil: all peers are reachable
	index     map[string]int          // of endpoints, by control address
	sent      atomic.Int64            // bytes on all connections, both ways
}

func newFleet(t *testing.T, n int, now func() time.Time) *fleet {
	f := &fleet{now: now, index: make(map[string]int)}
	services := min(21, max(4, n/12))
	r := rand.New(rand.NewPCG(7, uint64(n)))
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address, service := l.Addr().String(), fmt.Sprintf("service%02d", i%services)
		f.index[address] = i
		self := membership.Record{
			Name: fmt.Sprintf("%s-%03d", service, i), Service: service, Incarnation: uuid.New(), Started: now(), State: membership.Live,
			PeerAddress: fmt.Sprintf("10.20.%d.%d:7101", i/250, i%250), ControlAddress: address, Zone: "sierra-norte-a", Region: "sierra-norte",
		}
		e := &endpoint{fleet: f, node: node.New(node.Config{Self: self, Started: now(), Rand: rand.New(rand.NewPCG(r.Uint64(), 0))})}
		e.client = NewClient(e.dial(i))
		if e.server, err = NewServer(l, e); err != nil {
			t.Fatal(err)
		}
		go e.server.Serve(func(error) {})
		f.endpoints, f.list = append(f.endpoints, e), append(f.list, self)
	}
	return f
}

func (f *fleet) close() {
	for _, e := range f.endpoints {
		e.client.Close()
		_ = e.server.Close()
		e.requests.Wait()
	}
}

// withList gives all endpoints the complete list of VMs.
func (f *fleet) withList() {
	for _, e := range f.endpoints {
		e.node.SetVMs(f.now(), f.list)
	}
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	count *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.Add(int64(n))
	return n, err
}

func (e *endpoint) dial(from int) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to, known := e.fleet.index[address]
		if e.fleet.reachable != nil && known && !e.fleet.reachable(from, to) {
			return nil, net.ErrClosed
		}
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return countingConn{conn, &e.fleet.sent}, err
	}
}

// Exchange implements Handler.
func (e *endpoint) Exchange(in node.Digest) node.Digest {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.node.Receive(e.fleet.now(), in)
	return e.node.DigestFor(e.fleet.now(), in.Sender)
}

// ConfigNewerThan implements Handler.
func (e *endpoint) ConfigNewerThan(version uint64) (config.Envelope, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.node.Envelope(), e.node.ConfigVersion() > version
}

// tick advances the node and sends what it has to send, as package daemon does.
func (e *endpoint) tick() {
	e.mu.Lock()
	e.node.Tick(e.fleet.now())
	out := e.node.Outbox(e.fleet.now())
	e.mu.Unlock()
	for _, attempt := range out.Exchanges {
		e.requests.Go(func() { e.exchange(attempt, out.Digest) })
	}
	if out.Fetch {
		e.requests.Go(func() { e.fetch(out.FetchFrom, out.NewerThan) })
	}
}

func (e *endpoint) exchange(attempt membership.Exchange, digest node.Digest) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*membership.ExchangeTimeout)
	defer cancel()
	sent := e.fleet.now()
	if in, err := e.client.Exchange(ctx, attempt.Peer.ControlAddress, digest); err == nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.node.Answered(e.fleet.now(), sent, attempt.ID, in)
	}
}

func (e *endpoint) fetch(from membership.Record, newerThan uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	envelope, err := e.client.Config(ctx, from.ControlAddress, newerThan)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.node.FetchFailed(e.fleet.now(), from)
		return
	}
	_, _ = e.node.Fetched(e.fleet.now(), from, envelope)
}

// clock is a virtual clock.
type clock struct{ at atomic.Int64 }

func newClock() *clock {
	c := new(clock)
	c.at.Store(time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC).UnixNano())
	return c
}

func (c *clock) now() time.Time { return time.Unix(0, c.at.Load()).UTC() }

// run advances the fleet on a virtual clock in steps, until done returns true or limit
// has passed. All messages of a step are answered within it. It returns the virtual
// time that took.
func (f *fleet) run(c *clock, limit time.Duration, done func() bool) time.Duration {
	const step = 50 * time.Millisecond
	begin := f.now()
	for f.now().Sub(begin) < limit && !done() {
		c.at.Add(int64(step))
		for _, e := range f.endpoints {
			e.tick()
		}
		for _, e := range f.endpoints {
			e.requests.Wait()
		}
	}
	return f.now().Sub(begin)
}

func never() bool { return false }
