package faults

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// pipeBytes is how much a writer can send before the reader has to read, like the
	// socket buffers of TCP.
	pipeBytes = 64 << 10
	// dialLimit is the dial timeout of a real daemon.
	dialLimit = 500 * time.Millisecond
	// dialPoll is the interval at which a blocked dial checks its link again.
	dialPoll = 5 * time.Millisecond
	// backlog is the maximum number of connections that wait to be accepted.
	backlog = 256
	// anyHost stands for every host in a link.
	anyHost = "*"
)

// link is one direction between two hosts.
type link struct{ from, to string }

// rule holds the faults of one direction.
type rule struct {
	// refuse refuses new connections.
	refuse bool
	// blocked holds back sent data until it is cleared, as lost packets do.
	blocked bool
	// delay is added to everything that is sent.
	delay time.Duration
	// cut ends the connection that sends byte number cutAfter, counted over all
	// connections of the direction.
	cut      bool
	cutAfter int
}

// network is an in-memory network with faults for each direction of each link.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	rules     map[link]*rule
	pipes     map[*pipe]struct{}
	refused   map[string]int // connections that rules refused, by address
}

// refusals returns how many connections to an address were refused by a rule.
func (n *network) refusals(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.refused[address]
}

func newNetwork() *network {
	return &network{
		listeners: make(map[string]*listener),
		rules:     make(map[link]*rule),
		pipes:     make(map[*pipe]struct{}),
		refused:   make(map[string]int),
	}
}

// set changes the rule of one direction and wakes all readers and writers.
func (n *network) set(from, to string, change func(*rule)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.rules[link{from, to}]
	if r == nil {
		r = new(rule)
		n.rules[link{from, to}] = r
	}
	change(r)
	for p := range n.pipes {
		p.cond.Broadcast()
	}
}

// setBothRules changes the rules of both directions.
func (n *network) setBothRules(a, b string, change func(*rule)) {
	n.set(a, b, change)
	n.set(b, a, change)
}

// freeze holds back everything to and from a host.
func (n *network) freeze(host string, frozen bool) {
	n.setBothRules(host, anyHost, func(r *rule) { r.blocked = frozen })
}

// heal removes all faults.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.rules)
	for p := range n.pipes {
		p.cond.Broadcast()
	}
}

// cut resets all connections between two hosts; b may be anyHost.
func (n *network) cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.pipes {
		if p.between(a, b) || p.between(b, a) {
			p.resetBoth()
		}
	}
}

// eachRule calls f for each rule that applies to a direction. n.mu is held.
func (n *network) eachRule(l link, f func(*rule)) {
	for _, key := range [...]link{l, {l.from, anyHost}, {anyHost, l.to}} {
		if r := n.rules[key]; r != nil {
			f(r)
		}
	}
}

// combinedRule returns the combination of all rules of a direction; delays add up. n.mu
// is held.
func (n *network) combinedRule(l link) (refuse, blocked bool, delay time.Duration) {
	n.eachRule(l, func(r *rule) {
		refuse = refuse || r.refuse
		blocked = blocked || r.blocked
		delay += r.delay
	})
	return refuse, blocked, delay
}

// host is one process on the network. It implements daemon.Network.
type host struct {
	net  *network
	name string

	dead     bool // guarded by net.mu
	lastPort int
}

func (n *network) host(name string) *host { return &host{net: n, name: name} }

// kill ends the process for the network: its listeners are closed, its connections are
// reset, and its goroutines that still run cannot open new ones.
func (h *host) kill() {
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	h.dead = true
	for address, l := range n.listeners {
		if l.host == h {
			delete(n.listeners, address)
			l.shutDown()
		}
	}
	for p := range n.pipes {
		if p.fromHost == h || p.toHost == h {
			p.resetBoth()
		}
	}
}

// Listen implements daemon.Network.
func (h *host) Listen(_, address string) (net.Listener, error) {
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if h.dead {
		return nil, net.ErrClosed
	}
	if n.listeners[address] != nil {
		return nil, os.NewSyscallError("bind", syscall.EADDRINUSE)
	}
	l := &listener{host: h, address: address, queue: make(chan *conn, backlog), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// DialContext implements daemon.Network.
func (h *host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	for {
		c, err := h.tryDial(address)
		if c != nil || err != nil {
			return c, err
		}
		select {
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: addr(address), Err: ctx.Err()}
		case <-time.After(dialPoll):
		}
	}
}

// tryDial makes one attempt. It returns neither a connection nor an error while the link
// is blocked.
func (h *host) tryDial(address string) (net.Conn, error) {
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "tcp", Addr: addr(address), Err: syscall.ECONNREFUSED}
	l := n.listeners[address]
	if h.dead {
		return nil, refused
	}
	to := hostOf(address)
	if l != nil {
		to = l.host.name
	}
	refuse, blocked, _ := n.combinedRule(link{h.name, to})
	_, blockedBack, _ := n.combinedRule(link{to, h.name})
	switch {
	case blocked || blockedBack:
		return nil, nil
	case refuse || l == nil:
		if refuse {
			n.refused[address]++
		}
		return nil, refused
	}
	h.lastPort++
	client, server := n.connect(h, l)
	select {
	case l.queue <- server:
		return client, nil
	default:
		client.out.resetBoth()
		return nil, refused
	}
}

// hostOf returns the host part of an address on which nothing listens, to find the rules
// of the link.
func hostOf(address string) string {
	name, _, _ := net.SplitHostPort(address)
	return name
}

type listener struct {
	host    *host
	address string
	queue   chan *conn
	done    chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.done:
		return nil, net.ErrClosed
	default:
	}
	select {
	case <-l.done:
		return nil, net.ErrClosed
	case c := <-l.queue:
		return c, nil
	}
}

// Close implements net.Listener. Connections that were not accepted are reset.
func (l *listener) Close() error {
	n := l.host.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[l.address] == l {
		delete(n.listeners, l.address)
	}
	l.shutDown()
	return nil
}

func (l *listener) shutDown() {
	l.once.Do(func() { close(l.done) })
	for {
		select {
		case c := <-l.queue:
			c.out.resetBoth()
		default:
			return
		}
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }

type addr string

func (addr) Network() string  { return "tcp" }
func (a addr) String() string { return string(a) }
