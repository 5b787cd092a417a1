package mesh

import (
	"context"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/core/peerlink"
)

const (
	// peerDialTimeout limits the time for opening a connection to another daemon. It covers
	// several round trips inside a region, but not the retransmission of a lost first packet.
	peerDialTimeout = 400 * time.Millisecond
	// askTimeout limits the time for the reply to a request for a slot that may not be queued.
	askTimeout = 500 * time.Millisecond
)

// errUnreachable is returned when nothing was sent to the peer.
var errUnreachable = errors.New("the peer is unreachable")

// errSilent is returned when the peer has stopped responding. It may still have the call.
var errSilent = errors.New("the peer is silent")

// peer is the connection to another daemon. It is safe for concurrent use.
type peer struct {
	daemon  *Daemon
	address string

	mu     sync.Mutex
	link   *peerLink
	dialed chan struct{} // closed when the current dial has ended; nil if there is none
	ended  bool          // the latest dial was refused by the VM
}

// peerLink is one connection to a peer.
type peerLink struct {
	client       *rpc.Client
	writer       *peerWriter
	epoch        time.Time
	lastReceived atomic.Int64 // time of the latest received bytes, in ns after epoch
	unanswered   atomic.Int64 // time of the first bytes sent since then, in ns after epoch; 0 for none
	pending      atomic.Int64 // number of pending calls
	// broken says that no further calls are made on the connection: it has ended or is silent.
	broken atomic.Bool
	// silent is closed when the peer has stopped responding. Calls that can be made elsewhere then end.
	silent chan struct{}
	// ended says that the connection has ended.
	ended atomic.Bool
	// closed says that this daemon closes the connection.
	closed  atomic.Bool
	pinging bool // a ping has not been answered; used by watch only
}

// notifyConn calls onSend when bytes are sent, onReceive when bytes arrive, and onEnd when the connection
// ends. It does so before net/rpc notices the end, so that a call that finds the connection open was sent.
type notifyConn struct {
	net.Conn
	writer            *peerWriter
	onSend, onReceive func()
	onEnd             func(error)
}

// Write implements net.Conn. It does not block.
func (c *notifyConn) Write(p []byte) (int, error) {
	c.onSend()
	n, err := c.writer.Write(p)
	if err != nil {
		c.onEnd(err)
	}
	return n, err
}

// Read implements net.Conn.
func (c *notifyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.onReceive()
	}
	if err != nil {
		c.onEnd(err)
	}
	return n, err
}

func (d *Daemon) peer(address string) *peer {
	d.peersMu.Lock()
	defer d.peersMu.Unlock()
	p := d.peers[address]
	if p == nil {
		p = &peer{daemon: d, address: address}
		d.peers[address] = p
	}
	return p
}

// connect returns the open connection, or opens one. There is only one dial at a time.
func (p *peer) connect(ctx context.Context) (*peerLink, error) {
	for {
		p.mu.Lock()
		if p.link != nil && p.link.isUsable() {
			defer p.mu.Unlock()
			return p.link, nil
		}
		if p.dialed == nil {
			break
		}
		dialed := p.dialed
		p.mu.Unlock()
		select {
		case <-dialed:
		case <-ctx.Done():
			return nil, errUnreachable
		}
	}
	p.dialed, p.ended = make(chan struct{}), false
	p.mu.Unlock()
	link, err := p.dial()
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.dialed)
	p.dialed = nil
	p.ended = errors.Is(err, syscall.ECONNREFUSED)
	if err != nil {
		p.link = nil
		return nil, errors.Wrap(errUnreachable, err.Error())
	}
	p.link = link
	return link, nil
}

// hasEnded reports whether the VM of the peer refused the latest connection, so that no daemon ran there.
func (p *peer) hasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

func (p *peer) dial() (*peerLink, error) {
	d := p.daemon
	ctx, cancel := context.WithTimeout(d.ctx, peerDialTimeout)
	defer cancel()
	c, err := d.opts.Dial(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	// Runs wait for a peer that is paused. Monitor keeps other calls from waiting.
	if err := setUnackedTimeout(c, lateReadTimeout); err != nil {
		d.log.Warn(eventTimeoutKept, zap.String("peer", p.address), errorField(err))
	}
	link := &peerLink{epoch: d.started, silent: make(chan struct{})}
	link.markReceived()
	ended := func(err error) { p.linkEnded(link, err) }
	link.writer = newPeerWriter(c, d.workers.Go, func(err error) {
		ended(err)
		_ = c.Close() // ends the calls that wait for their replies
	})
	link.client = rpc.NewClient(&notifyConn{Conn: d.limitMessages(c), writer: link.writer, onSend: link.markSent, onReceive: link.markReceived, onEnd: ended})
	d.workers.Go(func() { p.watch(link) })
	return link, nil
}

// watch closes a connection that has failed or is not used, and one that does not respond as soon as
// no call waits on it.
func (p *peer) watch(link *peerLink) {
	ticker := time.NewTicker(peerlink.CheckInterval)
	defer ticker.Stop()
	defer link.close()
	var monitor peerlink.Monitor
	d, silent := p.daemon, false
	pinging := make(chan *rpc.Call, 1)
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
		}
		pending := link.pending.Load()
		if link.broken.Load() && (!silent || pending == 0 || link.ended.Load()) {
			return
		}
		received := link.received()
		switch monitor.Check(time.Now(), peerlink.Traffic{Received: received, Unanswered: link.unansweredSince(), Pending: pending}) {
		case peerlink.Idle:
			return
		case peerlink.Silent:
			if !silent {
				silent = true
				d.log.Warn(eventPeerSilent, zap.String("peer", p.address), zap.Duration("silent", time.Since(received)), zap.Int64("calls", pending))
				link.markSilent()
			}
		case peerlink.Ping:
			link.ping(pinging)
		}
	}
}

// ping tests the connection, unless a ping has not been answered.
func (l *peerLink) ping(answered chan *rpc.Call) {
	if !l.pinging {
		l.pinging = true
		l.client.Go(peerService+".Ping", &PingArgs{}, &PingReply{}, answered)
		return
	}
	select {
	case <-answered:
		l.pinging = false
	default:
	}
}

// markSilent ends the calls that can be made elsewhere, and keeps further ones from being made.
func (l *peerLink) markSilent() {
	l.broken.Store(true)
	close(l.silent)
}

// received returns when bytes were received, or began to be waited for, most recently.
func (l *peerLink) received() time.Time { return l.epoch.Add(time.Duration(l.lastReceived.Load())) }

// unansweredSince returns when the first bytes were sent after the latest ones were received, zero if none were.
func (l *peerLink) unansweredSince() time.Time {
	if sent := l.unanswered.Load(); sent != 0 {
		return l.epoch.Add(time.Duration(sent))
	}
	return time.Time{}
}

// linkEnded records the end of a connection. Calls that wait for a reply then end without one.
func (p *peer) linkEnded(l *peerLink, err error) {
	l.broken.Store(true)
	if l.ended.Swap(true) || l.closed.Load() {
		return
	}
	p.daemon.log.Info(eventPeerLinkEnded, zap.String("peer", p.address), zap.Int64("calls", l.pending.Load()),
		zap.Int("queued", l.writer.queuedBytes()), zap.Duration("quiet", time.Since(l.received())), errorField(err))
}

// isUsable reports whether further calls may be made on the connection. The goroutine that reads it may get
// to its end late: what was sent until then would be lost, and count as possibly run.
func (l *peerLink) isUsable() bool { return !l.broken.Load() && !l.writer.isClosedByPeer() }

func (l *peerLink) markSent() { l.unanswered.CompareAndSwap(0, int64(time.Since(l.epoch))) }

func (l *peerLink) markReceived() {
	l.lastReceived.Store(int64(time.Since(l.epoch)))
	l.unanswered.Store(0)
}

func (l *peerLink) close() {
	l.broken.Store(true)
	l.closed.Store(true)
	_ = l.client.Close()
}

// callPeer calls a method of the peer. It returns errUnreachable if nothing was sent.
func callPeer[T any](ctx context.Context, p *peer, method string, args any) (T, error) {
	link, err := p.connect(ctx)
	if err != nil {
		var zero T
		return zero, err
	}
	return callLink[T](ctx, link, method, args)
}

// callLink calls a method on a connection. It returns a copy of the reply, because net/rpc
// still writes to a reply that arrives after ctx has ended.
func callLink[T any](ctx context.Context, l *peerLink, method string, args any) (T, error) {
	defer l.beginCall()()
	return invokeUnlessBroken[T](ctx, l, method, args)
}

// callRun is callLink for a call about a run that can't be made elsewhere. It waits for the reply of a
// peer that is silent until ctx ends: the peer may only be paused or slow.
func callRun[T any](ctx context.Context, l *peerLink, method string, args any) (T, error) {
	defer l.beginCall()()
	if l.ended.Load() || l.writer.isClosedByPeer() {
		var zero T
		return zero, errUnreachable
	}
	return invokeLink[T](ctx, l, nil, nil, method, args)
}

// callElsewhere is callLink for a call that can be made elsewhere if elsewhere reports so when the peer
// becomes silent. Otherwise it waits for the reply until ctx ends.
func callElsewhere[T any](ctx context.Context, l *peerLink, elsewhere func() bool, method string, args any) (T, error) {
	defer l.beginCall()()
	if !l.isUsable() || l.writer.queuedBytes() > maxQueuedBytes {
		var zero T
		return zero, errUnreachable
	}
	return invokeLink[T](ctx, l, l.silent, elsewhere, method, args)
}

// beginCall counts a pending call and returns the function that ends it. The time without received bytes
// counts from the first pending call.
func (l *peerLink) beginCall() (end func()) {
	if l.pending.Add(1) == 1 {
		l.lastReceived.Store(int64(time.Since(l.epoch)))
	}
	return func() { l.pending.Add(-1) }
}

// longPollLink is callLink for a call whose reply may take long. The call does not count as
// pending, so that the connection is not tested for it.
func longPollLink[T any](ctx context.Context, l *peerLink, method string, args any) (T, error) {
	return invokeUnlessBroken[T](ctx, l, method, args)
}

// invokeUnlessBroken calls a method on a connection without counting the call as pending. It returns
// errUnreachable if the connection has ended, is silent or has too much to send, and errSilent when it becomes silent.
func invokeUnlessBroken[T any](ctx context.Context, l *peerLink, method string, args any) (T, error) {
	if l.broken.Load() || l.writer.queuedBytes() > maxQueuedBytes {
		var zero T
		return zero, errUnreachable
	}
	return invokeLink[T](ctx, l, l.silent, nil, method, args)
}

// neverSent reports whether a call that failed with the error can't have reached the peer: the connection had
// ended before, or did not take the last bytes of the call. net/rpc returns rpc.ErrShutdown also for calls
// that wait for their reply, but only when the connection is closed here.
func (l *peerLink) neverSent(err error) bool {
	var failed *net.OpError
	return err == rpc.ErrShutdown && !l.closed.Load() || errors.As(err, &failed) && strings.HasPrefix(failed.Op, "write")
}

// invokeLink calls a method on a connection. It returns errUnreachable if nothing was sent, and errSilent
// when giveUp is closed, unless elsewhere is set and reports false then.
func invokeLink[T any](ctx context.Context, l *peerLink, giveUp <-chan struct{}, elsewhere func() bool, method string, args any) (T, error) {
	var zero T
	reply := new(T)
	call := l.client.Go(peerService+"."+method, args, reply, make(chan *rpc.Call, 1))
	if err := awaitCall(ctx, call, giveUp, elsewhere); err != nil {
		return zero, err
	}
	if call.Error == nil {
		return *reply, nil
	}
	if _, answered := call.Error.(rpc.ServerError); !answered {
		l.broken.Store(true)
	}
	if l.neverSent(call.Error) {
		return zero, errors.Wrap(errUnreachable, call.Error.Error())
	}
	return zero, errors.Wrap(call.Error, method)
}

// awaitCall returns nil when the call has ended, and an error when it is given up.
func awaitCall(ctx context.Context, call *rpc.Call, giveUp <-chan struct{}, elsewhere func() bool) error {
	for {
		select {
		case <-call.Done:
			return nil
		case <-giveUp:
		case <-ctx.Done():
		}
		select {
		case <-call.Done: // a reply that is there counts, also after a pause of this process
			return nil
		default:
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		if elsewhere == nil || elsewhere() {
			return errors.Wrap(errSilent, call.ServiceMethod)
		}
		giveUp = nil
	}
}

// cancel informs the peer that an attempt has ended, also one that is silent. The reply is ignored.
func (l *peerLink) cancel(id uint64) {
	if !l.ended.Load() {
		l.client.Go(peerService+".Cancel", &CallID{ID: id}, &PingReply{}, make(chan *rpc.Call, 1))
	}
}

// withdraw asks the peer to refuse an attempt that still waits for a slot. The reply is ignored:
// the outcome comes with the reply to Ask.
func (l *peerLink) withdraw(id uint64) {
	if !l.broken.Load() {
		l.client.Go(peerService+".Withdraw", &CallID{ID: id}, &PingReply{}, make(chan *rpc.Call, 1))
	}
}
