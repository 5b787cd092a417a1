package mesh

import (
	"context"
	"maps"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/core/membudget"
	"github.com/hawthornpoint/hawthornpoint/internal/acceptloop"
)

// peerService is the name of the net/rpc service through which daemons call each other.
const peerService = "Peer"

// peerCloseTimeout bounds the time for delivering the last replies to a peer when the daemon closes
// without a graceful stop.
const peerCloseTimeout = 300 * time.Millisecond

// PeerConn serves one connection of another daemon over net/rpc. The attempts that were made
// over a connection are cancelled when it ends. Its methods are safe for concurrent use.
type PeerConn struct {
	daemon *Daemon
	ctx    context.Context

	mu       sync.Mutex
	attempts map[uint64]*localAttempt
	// withdrawn holds the attempts whose withdrawal was handled before their request. Only a
	// daemon that stops withdraws attempts, so that the connection ends soon.
	withdrawn map[uint64]bool
}

// servePeers accepts connections of other daemons until the listener closes.
func (d *Daemon) servePeers(l net.Listener) {
	acceptloop.Run(l, func(c net.Conn) {
		if !d.workers.TryGo(func() { d.servePeer(c) }) {
			_ = c.Close() // the listener is closed only after the group is cancelled
		}
	}, d.acceptFailed(l.Addr().String()))
}

func (d *Daemon) servePeer(c net.Conn) {
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	stop := context.AfterFunc(d.ctx, func() {
		// Ends the reading of calls. The connection is closed when those read are answered.
		_ = c.SetWriteDeadline(d.linksCloseBy())
		_ = c.SetReadDeadline(time.Now())
	})
	defer stop()
	conn := &PeerConn{daemon: d, ctx: ctx, attempts: make(map[uint64]*localAttempt)}
	defer conn.removeAttempts()
	server := rpc.NewServer()
	if err := server.RegisterName(peerService, conn); err != nil {
		d.log.Error("register peer service", errorField(err))
		_ = c.Close()
		return
	}
	// ServeCodec returns only after all calls have returned. The end of the connection cancels
	// them.
	server.ServeCodec(newPeerCodec(d, c, &endNotifyConn{Conn: d.limitMessages(c), onEnd: cancel}))
}

// endNotifyConn calls onEnd when reading from the connection fails.
type endNotifyConn struct {
	net.Conn
	onEnd func()
}

// Read implements net.Conn.
func (c *endNotifyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.onEnd()
	}
	return n, err
}

func (c *PeerConn) addAttempt(id uint64) (*localAttempt, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts[id] != nil {
		return nil, false
	}
	a := newLocalAttempt(c.ctx, func() { c.removeAttempt(id) })
	a.withdrawn = c.withdrawn[id]
	delete(c.withdrawn, id)
	c.attempts[id] = a
	c.daemon.peerAttempts.Add(1)
	return a, true
}

func (c *PeerConn) findAttempt(id uint64) *localAttempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempts[id]
}

func (c *PeerConn) removeAttempt(id uint64) {
	c.mu.Lock()
	a := c.attempts[id]
	delete(c.attempts, id)
	held := int64(0)
	if a != nil {
		held, a.held = a.held, 0
	}
	c.mu.Unlock()
	c.daemon.memory.Release(membudget.Peers, held)
	if a != nil {
		c.daemon.peerAttempts.Add(-1)
		a.abandon()
	}
}

// removeAttempts removes the attempts that were left when the connection ended.
func (c *PeerConn) removeAttempts() {
	c.mu.Lock()
	ids := slices.Collect(maps.Keys(c.attempts))
	c.mu.Unlock()
	for _, id := range ids {
		c.removeAttempt(id)
	}
}

// Ask serves a request for a slot.
func (c *PeerConn) Ask(args *AskArgs, reply *Reply) (err error) {
	defer c.recoverCall(args.ID, &err)
	if args.room.refused {
		*reply = c.daemon.refuseForMemory(&localAttempt{requestID: args.RequestID, instance: args.Instance, kind: args.Kind,
			origin: args.CallerService, fingerprint: args.Fingerprint})
		return nil
	}
	a, ok := c.addAttempt(args.ID)
	c.hold(args.ID, a, args.room)
	if !ok {
		return errors.Errorf("attempt %d exists", args.ID)
	}
	*reply = c.daemon.ask(a, args)
	if reply.Outcome != OutcomeGranted && (reply.Answer == nil || !reply.Answer.More) {
		c.removeAttempt(args.ID)
	}
	return nil
}

// Run serves a request for which a slot was granted.
func (c *PeerConn) Run(args *RunArgs, reply *Reply) (err error) {
	defer c.recoverCall(args.ID, &err)
	a := c.findAttempt(args.ID)
	c.hold(args.ID, a, args.room)
	if a == nil || !a.claim() {
		*reply = Reply{Outcome: OutcomeUnsent, Reason: "grant_expired"}
		return nil
	}
	if args.room.refused {
		c.daemon.withdrawGrant(a, string(noMemory))
		c.removeAttempt(args.ID)
		*reply = c.daemon.refuseForMemory(a)
		return nil
	}
	*reply = c.daemon.run(a, &args.Payload, args.Left)
	if reply.Answer == nil || !reply.Answer.More {
		c.removeAttempt(args.ID)
	}
	return nil
}

// Chunk serves a further part of a request's body. It returns after the part has been passed to
// the backend server.
func (c *PeerConn) Chunk(args *ChunkArgs, reply *PingReply) (err error) {
	defer c.recoverCall(args.ID, &err)
	a := c.findAttempt(args.ID)
	if a == nil {
		return errors.Errorf("no attempt %d", args.ID)
	}
	return a.writeChunk(args.Data, args.Last)
}

// More serves a further part of an answer's body.
func (c *PeerConn) More(args *CallID, reply *MoreReply) (err error) {
	defer c.recoverCall(args.ID, &err)
	a := c.findAttempt(args.ID)
	if a == nil {
		return errors.Errorf("no attempt %d", args.ID)
	}
	*reply, err = a.more(c.daemon.partBytes(args.MaxPart))
	if err != nil || reply.Last {
		c.removeAttempt(args.ID)
	}
	return err
}

// Cancel ends an attempt whose outcome is not needed, usually because its caller has left.
func (c *PeerConn) Cancel(args *CallID, reply *PingReply) (err error) {
	defer c.recoverCall(args.ID, &err)
	if a := c.findAttempt(args.ID); a != nil && a.claim() {
		c.daemon.withdrawGrant(a, "canceled")
	}
	c.removeAttempt(args.ID)
	return nil
}

// Withdraw refuses an attempt that waits for a slot or will request one. Others continue.
func (c *PeerConn) Withdraw(args *CallID, reply *PingReply) error {
	if a := c.findOrWithdraw(args.ID); a != nil {
		c.daemon.withdrawWaiting(a)
	}
	return nil
}

// findOrWithdraw returns an attempt. If there is none, it records that the attempt is withdrawn.
func (c *PeerConn) findOrWithdraw(id uint64) *localAttempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.attempts[id]
	if a == nil {
		if c.withdrawn == nil {
			c.withdrawn = make(map[uint64]bool)
		}
		c.withdrawn[id] = true
	}
	return a
}

// Reports merges crash reports and, for an exchange, returns some of the daemon's.
func (c *PeerConn) Reports(args *ReportsArgs, reply *ReportsReply) error {
	d := c.daemon
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mergeReports(args.Reports)
	if args.Exchange {
		reply.Reports = d.crashes.Reports(d.timeOfDay(), maxExchangedReports)
	}
	reply.Clock = d.statedTime()
	return nil
}

// Ping returns the state of the daemon.
func (c *PeerConn) Ping(args *PingArgs, reply *PingReply) error {
	if args.From != "" {
		c.daemon.notePeerState(args.State, c.daemon.peerAddress(args.From))
	}
	c.daemon.mu.Lock()
	defer c.daemon.mu.Unlock()
	if args.From != "" {
		c.daemon.observeClock(c.daemon.peerAddress(args.From), time.Now(), args.Clock)
	}
	reply.State, reply.Clock = c.daemon.state(), c.daemon.statedTime()
	return nil
}

// Follow waits for changes after a state, up to a limit, and returns them.
func (c *PeerConn) Follow(args *FollowArgs, reply *FollowReply) error {
	arrival := c.daemon.arrival()
	if args.From != "" {
		c.daemon.notePeerState(args.Since, c.daemon.peerAddress(args.From))
	}
	*reply = c.daemon.awaitChanges(c.ctx, args.Since, min(args.Wait, maxFollowWait))
	reply.Clock = c.daemon.statedTime()
	c.daemon.mu.Lock()
	defer c.daemon.mu.Unlock()
	reply.Proven = c.daemon.stateProof(arrival)
	return nil
}

// Sync returns the changes after a state at once.
func (c *PeerConn) Sync(args *SyncArgs, reply *SyncReply) error {
	arrival := c.daemon.arrival()
	c.daemon.mu.Lock()
	defer c.daemon.mu.Unlock()
	reply.Update, reply.Config = c.daemon.changesSince(args.Since)
	reply.Proven, reply.Settled = c.daemon.stateProof(arrival), c.daemon.settledAt
	return nil
}
