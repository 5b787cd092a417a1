package mesh

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

const (
	// peerDialTimeout bounds the opening of a connection to another daemon. It is several
	// round trips inside a region; a lost first packet is not waited for.
	peerDialTimeout = 400 * time.Millisecond
	// pingAfter is how long a connection with calls under way may be silent before it is
	// tested, and deadAfter how long before it is given up.
	pingAfter = 250 * time.Millisecond
	deadAfter = time.Second
	// answerWithin bounds the reply to a question that may not wait for a slot.
	answerWithin = 500 * time.Millisecond
	// idlePeerLife is how long a connection without calls is kept.
	idlePeerLife = time.Minute
)

// errUnreachable says that nothing was sent to the peer.
var errUnreachable = errors.New("the peer is unreachable")

// peer is the connection to another daemon. It is safe for concurrent use.
type peer struct {
	daemon  *Daemon
	address string

	mu     sync.Mutex
	link   *peerLink
	dialed chan struct{} // closed when the dial under way has ended
}

// peerLink is one connection. It counts the calls under way.
type peerLink struct {
	client  *rpc.Client
	since   time.Time
	heard   atomic.Int64 // time of the last bytes, in ns after since
	pending atomic.Int64
	broken  atomic.Bool
}

// hearingConn notes when bytes arrive, and when the connection ends: before the library
// does, so that a call that finds it open was sent.
type hearingConn struct {
	net.Conn
	heard, ended func()
}

// Write implements net.Conn. A peer that takes nothing for deadAfter is given up: writers
// would wait for it beyond the time of their calls.
func (c *hearingConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(deadAfter)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.ended()
	}
	return n, err
}

// Read implements net.Conn.
func (c *hearingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heard()
	}
	if err != nil {
		c.ended()
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

// connect returns the open connection, or opens one. Only one dial is under way.
func (p *peer) connect(ctx context.Context) (*peerLink, error) {
	for {
		p.mu.Lock()
		if p.link != nil && !p.link.broken.Load() {
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
	p.dialed = make(chan struct{})
	p.mu.Unlock()
	link, err := p.dial()
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.dialed)
	p.dialed = nil
	if err != nil {
		p.link = nil
		return nil, errors.Wrap(errUnreachable, err.Error())
	}
	p.link = link
	return link, nil
}

func (p *peer) dial() (*peerLink, error) {
	d := p.daemon
	ctx, cancel := context.WithTimeout(d.ctx, peerDialTimeout)
	defer cancel()
	c, err := d.opts.Dial(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	link := &peerLink{since: d.started}
	link.hear()
	link.client = rpc.NewClient(&hearingConn{Conn: c, heard: link.hear, ended: func() { link.broken.Store(true) }})
	d.workers.Go(func() { p.watch(link) })
	return link, nil
}

// watch closes a connection that has gone silent or is not used.
func (p *peer) watch(link *peerLink) {
	ticker := time.NewTicker(pingAfter)
	defer ticker.Stop()
	d := p.daemon
	pinging := make(chan struct{}, 1)
	for {
		select {
		case <-d.ctx.Done():
			link.close()
			return
		case <-ticker.C:
		}
		silent := time.Since(link.since) - time.Duration(link.heard.Load())
		switch pending := link.pending.Load(); {
		case link.broken.Load():
			link.close()
			return
		case pending == 0 && silent > idlePeerLife:
			link.close()
			return
		case pending > 0 && silent > deadAfter:
			d.log.Warn(eventSilent, zap.String("peer", p.address), zap.Duration("silent", silent), zap.Int64("calls", pending))
			link.close()
			return
		case pending > 0 && silent > pingAfter:
			select {
			case pinging <- struct{}{}:
				link.client.Go(peerService+".Ping", &PingArgs{}, &PingReply{}, make(chan *rpc.Call, 1))
			default:
			}
		}
		select {
		case <-pinging:
		default:
		}
	}
}

func (l *peerLink) hear() { l.heard.Store(int64(time.Since(l.since))) }

func (l *peerLink) close() {
	l.broken.Store(true)
	_ = l.client.Close()
}

// callPeer calls a method of the peer. The error is errUnreachable when nothing was sent.
func callPeer[T any](ctx context.Context, p *peer, method string, args any) (T, error) {
	link, err := p.connect(ctx)
	if err != nil {
		var none T
		return none, err
	}
	return callLink[T](ctx, link, method, args)
}

// callLink calls a method on a connection. A reply that comes after ctx has ended is still
// written by the library, so that the result is a copy of it.
func callLink[T any](ctx context.Context, l *peerLink, method string, args any) (T, error) {
	if l.pending.Add(1) == 1 {
		l.hear() // silence counts from the first call that waits
	}
	defer l.pending.Add(-1)
	return waitLink[T](ctx, l, method, args)
}

// awaitLink is callLink for a call that may stay unanswered for long: the connection is not
// tested meanwhile, and one that can't be written to delays the caller no longer than ctx.
func awaitLink[T any](ctx context.Context, l *peerLink, method string, args any) (T, error) {
	type result struct {
		reply T
		err   error
	}
	done := make(chan result, 1)
	go func() {
		r, err := waitLink[T](ctx, l, method, args)
		done <- result{r, err}
	}()
	select {
	case r := <-done:
		return r.reply, r.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

func waitLink[T any](ctx context.Context, l *peerLink, method string, args any) (T, error) {
	var none T
	if l.broken.Load() {
		return none, errUnreachable
	}
	reply := new(T)
	call := l.client.Go(peerService+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			if _, answered := call.Error.(rpc.ServerError); !answered {
				l.broken.Store(true)
			}
			return none, errors.Wrap(call.Error, method)
		}
		return *reply, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// cancel tells the peer that an attempt is over; nobody waits for the reply.
func (l *peerLink) cancel(id uint64) {
	if !l.broken.Load() {
		l.client.Go(peerService+".Cancel", &CallID{ID: id}, &PingReply{}, make(chan *rpc.Call, 1))
	}
}
