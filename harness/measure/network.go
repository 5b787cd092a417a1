package measure

import (
	"math/rand/v2"
	"time"
)

// clientZone is where callers are.
const clientZone = "clients"

// firstRetransmit is the usual lower bound of TCP's retransmission timeout, which
// doubles with each further loss of the same data.
const firstRetransmit = 200 * time.Millisecond

// Network has a fixed one-way latency per pair of zones. Packets are lost at random
// or because a zone is cut off, and sent again as TCP does.
type Network struct {
	loop                    *Loop
	rand                    *rand.Rand
	inside, between, client time.Duration
	loss                    float64 // share of lost packets between zones
	cut                     string  // zone that other zones can't reach
}

func (n *Network) latency(from, to string) time.Duration {
	switch {
	case from == clientZone || to == clientZone:
		return n.client
	case from == to:
		return n.inside
	default:
		return n.between
	}
}

// Send delivers a message, late if the link loses it.
func (n *Network) Send(from, to string, deliver func()) {
	n.transmit(from, to, firstRetransmit, deliver)
}

func (n *Network) transmit(from, to string, timeout time.Duration, deliver func()) {
	if n.lost(from, to) {
		n.loop.After(timeout, func() { n.transmit(from, to, 2*timeout, deliver) })
		return
	}
	n.loop.After(n.latency(from, to), deliver)
}

// lost decides about one message. Callers reach every zone: a partition of the
// fleet leaves each part serving its callers.
func (n *Network) lost(from, to string) bool {
	if from == to || from == clientZone || to == clientZone {
		return false
	}
	if n.cut != "" && (from == n.cut || to == n.cut) {
		return true
	}
	return n.loss > 0 && n.rand.Float64() < n.loss
}
