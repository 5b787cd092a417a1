package mesh

import (
	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/core/membudget"
	"github.com/hawthornpoint/hawthornpoint/core/slots"
)

const (
	// peerRequestBytes is what a request of a peer takes here: its goroutines and contexts, the buffers of its
	// connection to the backend server, and a head and a body of up to coveredPeerBytes together.
	peerRequestBytes = 32 << 10
	coveredPeerBytes = 8 << 10
	// peerHeadFactor is the ratio of the memory for a head to its packed length: packed and unpacked.
	peerHeadFactor = 2
)

// noMemory is the reason of a refusal for want of room in the memory budget.
const noMemory slots.Reason = "no_memory"

// bytes returns what a request takes beside peerRequestBytes. Further parts of a body arrive one at a time.
func (p *Payload) bytes() int64 {
	if p == nil {
		return 0
	}
	n := max(peerHeadFactor*(len(p.Header)+len(p.Target)+len(p.Host))+len(p.Body)-coveredPeerBytes, 0)
	if p.More {
		n += maxPartBytes
	}
	return int64(n)
}

// peerRoom is the reservation for a message of a peer, made when it has been read.
type peerRoom struct {
	held    int64
	refused bool
}

// reserveForPeer reserves for a request, and drops its payload if there is no room. It is called for one
// message of a connection after the other, so that each has one payload at most for which nothing is reserved.
func (d *Daemon) reserveForPeer(body any) {
	switch args := body.(type) {
	case *AskArgs:
		args.room = d.newPeerRoom(peerRequestBytes + args.Payload.bytes())
		if args.room.refused {
			args.Payload = nil
		}
	case *RunArgs:
		args.room = d.newPeerRoom(args.Payload.bytes())
		if args.room.refused {
			args.Payload = Payload{}
		}
	}
}

func (d *Daemon) newPeerRoom(n int64) peerRoom {
	if n == 0 || d.memory.TryReserve(membudget.Peers, membudget.Accepted, n) {
		return peerRoom{held: n}
	}
	return peerRoom{refused: true}
}

// hold passes a reservation to an attempt, which keeps it until it is removed. Without the attempt it is
// released at once.
func (c *PeerConn) hold(id uint64, a *localAttempt, room peerRoom) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a == nil || c.attempts[id] != a {
		c.daemon.memory.Release(membudget.Peers, room.held)
		return
	}
	a.held += room.held
}

// refuseForMemory refuses an attempt that has not run.
func (d *Daemon) refuseForMemory(a *localAttempt) Reply {
	d.metrics.Count(metricSlots, string(noMemory))
	d.log.Info(eventSlotRefused, zap.String("id", a.requestID), zap.String("kind", a.kind), zap.String("origin", a.origin),
		zap.Duration("waited", 0), zap.String("reason", string(noMemory)), zap.Int64("reserved", d.memory.Used()), zap.Int64("limit", d.memory.Limit()))
	return d.reply(a, OutcomeRefused, slots.Decision{Reason: noMemory})
}
