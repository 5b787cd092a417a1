package measure

import (
	"math/rand/v2"
	"time"
)

// clientZone is the zone of all callers.
const clientZone = "clients"

// firstRetransmit is the usual lower bound of TCP's retransmission timeout, which
// doubles with each further loss of the same data.
const firstRetransmit = 200 * time.Millisecond

// Network delivers messages with a fixed one-way latency per pair of zones. Packets
// are lost at random or because a zone is isolated, and retransmitted as TCP does.
type Network struct {
	loop                         *Loop
	rand                         *rand.Rand
	intraZone, interZone, client time.Duration
	lossRate                     float64 // share of packets between zones that are lost
	isolatedZone                 string  // zone that other zones cannot reach; empty for none
}

func (n *Network) latency(from, to string) time.Duration {
	switch {
	case from == clientZone || to == clientZone:
		return n.client
	case from == to:
		return n.intraZone
	default:
		return n.interZone
	}
}

// Send delivers a message after the latency of the link, plus the retransmission
// timeouts if packets are lost.
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

// lost reports whether one transmission of a message is lost. Callers reach every
// zone: in a partition of the fleet each part still serves its callers.
func (n *Network) lost(from, to string) bool {
	if from == to || from == clientZone || to == clientZone {
		return false
	}
	if n.isolatedZone != "" && (from == n.isolatedZone || to == n.isolatedZone) {
		return true
	}
	return n.lossRate > 0 && n.rand.Float64() < n.lossRate
}
