package node

import (
	"time"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/membership"
)

const (
	// exchangeInterval is the mean time between two exchanges with a random peer.
	exchangeInterval = time.Second
	// maxNotifiedCallers bounds the callers that a leaving daemon notifies directly.
	maxNotifiedCallers = 64
)

// outboxState records which exchanges are open and which have to be started.
type outboxState struct {
	exchanges    membership.ExchangeTracker
	nextExchange time.Time // when the next exchange with a random peer is due
	// announced is set once a starting daemon has started its first exchanges.
	announced bool
	// burst requests exchanges with membership.Fanout random peers at once.
	burst bool
	// notifyCallers requests exchanges with up to maxNotifiedCallers recent callers.
	notifyCallers bool
}

// Outbox holds the control messages that the daemon has to send now.
type Outbox struct {
	// Digest is sent in each of the Exchanges.
	Digest    Digest
	Exchanges []membership.Exchange
	// Push is set when the digest carries changes that were not pushed before.
	Push bool
	// FetchFrom is the peer to ask for a configuration newer than NewerThan, if
	// Fetch is set.
	Fetch     bool
	FetchFrom membership.Record
	NewerThan uint64
}

// Outbox returns the exchanges and the fetch that are due. It must be called on each
// tick and after Receive, SetVMs, Offer and Leave. The daemon sends each returned
// exchange once and calls Answered if it is answered; a later Outbox returns the
// exchanges to be retried.
func (n *Node) Outbox(now time.Time) Outbox {
	var out Outbox
	out.Exchanges = n.outboxState.exchanges.Overdue(now, n.randomPeer)
	out.Push = !n.disseminator.TakePending().Empty()
	if count := n.newExchanges(now, out.Push); count > 0 {
		out.Exchanges = append(out.Exchanges, n.outboxState.exchanges.Start(now, n.view.Peers(count, n.cfg.Rand), false)...)
	}
	if n.outboxState.notifyCallers {
		n.outboxState.notifyCallers = false
		out.Exchanges = append(out.Exchanges, n.outboxState.exchanges.Start(now, n.view.Callers(maxNotifiedCallers), true)...)
	}
	if len(out.Exchanges) > 0 {
		records := membership.DigestRecords
		if out.Push {
			records = membership.PushRecords
		}
		out.Digest = n.digest(now, records)
	}
	out.FetchFrom, out.Fetch = n.disseminator.Fetch(now)
	out.NewerThan = n.ConfigVersion()
	return out
}

// newExchanges returns the number of random peers to exchange with now.
func (n *Node) newExchanges(now time.Time, push bool) int {
	count := 0
	if !now.Before(n.outboxState.nextExchange) {
		count = 1
		jitter := time.Duration(n.cfg.Rand.Int64N(int64(exchangeInterval)))
		n.outboxState.nextExchange = now.Add(exchangeInterval/2 + jitter)
	}
	// A daemon that knew no peer at its start announces itself as soon as it knows one.
	announce := !n.outboxState.announced && n.view.Daemons() > 1
	if push || announce || n.outboxState.burst {
		count = membership.Fanout
		n.outboxState.announced = n.outboxState.announced || announce
		n.outboxState.burst = false
	}
	return count
}

func (n *Node) randomPeer() (membership.Record, bool) {
	peers := n.view.Peers(1, n.cfg.Rand)
	if len(peers) == 0 {
		return membership.Record{}, false
	}
	return peers[0], true
}

// Answered merges the answer to an exchange that was sent at the given time.
func (n *Node) Answered(now, sent time.Time, id uint64, d Digest) {
	n.outboxState.exchanges.Answered(id)
	// The peer read its clock after the digest was sent. With the time of the merge
	// instead, the fence would be too low by the time that the answer took.
	n.table.RaiseFence(sent, d.Clock)
	n.Receive(now, d)
	n.confirmByPeer(sent, d.Sender)
}

// Fetched offers a configuration that was fetched from a peer. Unless it is accepted,
// it counts as a failed fetch.
func (n *Node) Fetched(now time.Time, holder membership.Record, e config.Envelope) (config.Verdict, error) {
	verdict, err := n.Offer(now, e)
	if verdict != config.Accepted {
		n.disseminator.FetchFailed(now, holder.Name, true)
	}
	return verdict, err
}

// FetchFailed records that a peer did not send a configuration.
func (n *Node) FetchFailed(now time.Time, holder membership.Record) {
	n.disseminator.FetchFailed(now, holder.Name, false)
}
