package mesh

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"github.com/go-faster/errors"
)

// peerService is the name under which daemons call each other.
const peerService = "Peer"

// PeerConn serves one connection of another daemon over net/rpc. The attempts that came
// over a connection end with it.
type PeerConn struct {
	daemon *Daemon
	ctx    context.Context

	mu       sync.Mutex
	attempts map[uint64]*held
}

// servePeers accepts connections of other daemons until the listener closes.
func (d *Daemon) servePeers(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			if d.ctx.Err() == nil {
				d.log.Error("peer listener failed", errorField(err))
			}
			return
		}
		d.workers.Go(func() { d.servePeer(c) })
	}
}

func (d *Daemon) servePeer(c net.Conn) {
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	stop := context.AfterFunc(d.ctx, func() { _ = c.Close() })
	defer stop()
	conn := &PeerConn{daemon: d, ctx: ctx, attempts: make(map[uint64]*held)}
	server := rpc.NewServer()
	if err := server.RegisterName(peerService, conn); err != nil {
		d.log.Error("peer service", errorField(err))
		_ = c.Close()
		return
	}
	// ServeConn returns only when all calls have; the end of the connection ends them.
	server.ServeConn(&endingConn{Conn: c, ended: cancel})
}

// endingConn reports the end of the connection, as seen by its reader.
type endingConn struct {
	net.Conn
	ended func()
}

// Read implements net.Conn.
func (c *endingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.ended()
	}
	return n, err
}

func (c *PeerConn) add(id uint64) (*held, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts[id] != nil {
		return nil, false
	}
	h := newHeld(c.ctx)
	c.attempts[id] = h
	return h, true
}

func (c *PeerConn) get(id uint64) *held {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempts[id]
}

func (c *PeerConn) forget(id uint64) {
	c.mu.Lock()
	h := c.attempts[id]
	delete(c.attempts, id)
	c.mu.Unlock()
	if h != nil {
		h.abandon()
	}
}

// Ask serves a question for a slot.
func (c *PeerConn) Ask(a *AskArgs, r *Reply) error {
	h, ok := c.add(a.ID)
	if !ok {
		return errors.Errorf("attempt %d exists", a.ID)
	}
	*r = c.daemon.ask(h, a)
	if r.Outcome != OutcomeGranted && (r.Answer == nil || !r.Answer.More) {
		c.forget(a.ID)
	}
	return nil
}

// Run serves a request for which a slot was granted.
func (c *PeerConn) Run(a *RunArgs, r *Reply) error {
	h := c.get(a.ID)
	if h == nil || !h.claim() {
		*r = Reply{Outcome: OutcomeUnsent, Reason: "grant_expired"}
		return nil
	}
	*r = c.daemon.run(h, &a.Payload, a.Left)
	if r.Answer == nil || !r.Answer.More {
		c.forget(a.ID)
	}
	return nil
}

// Chunk serves a further part of a request's body. It returns when the part was taken.
func (c *PeerConn) Chunk(a *ChunkArgs, r *PingReply) error {
	h := c.get(a.ID)
	if h == nil {
		return errors.Errorf("no attempt %d", a.ID)
	}
	return h.chunk(a.Data, a.Last)
}

// More serves a further part of an answer's body.
func (c *PeerConn) More(a *CallID, r *MoreReply) (err error) {
	h := c.get(a.ID)
	if h == nil {
		return errors.Errorf("no attempt %d", a.ID)
	}
	*r, err = h.more()
	if err != nil || r.Last {
		c.forget(a.ID)
	}
	return err
}

// Cancel ends an attempt whose caller has gone.
func (c *PeerConn) Cancel(a *CallID, r *PingReply) error {
	if h := c.get(a.ID); h != nil && h.claim() {
		c.daemon.withdraw(h, "canceled")
	}
	c.forget(a.ID)
	return nil
}

// Ping answers with the revision of the replica.
func (c *PeerConn) Ping(a *PingArgs, r *PingReply) error {
	if a.From != "" {
		c.daemon.heardOf(a.AsOf, a.From)
	}
	c.daemon.mu.Lock()
	defer c.daemon.mu.Unlock()
	r.AsOf = c.daemon.replica.AsOf()
	return nil
}

// Follow returns what changes after a revision, as soon as anything does.
func (c *PeerConn) Follow(a *FollowArgs, r *FollowReply) error {
	if a.From != "" {
		c.daemon.heardOf(a.After, a.From)
	}
	*r = c.daemon.awaitChanges(c.ctx, a.After, min(a.Wait, maxFollow))
	return nil
}

// Sync returns what changed after a revision.
func (c *PeerConn) Sync(a *SyncArgs, r *SyncReply) error {
	c.daemon.mu.Lock()
	defer c.daemon.mu.Unlock()
	r.Update = c.daemon.replica.Since(a.After)
	return nil
}
