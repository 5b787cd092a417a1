package membership

import (
	"slices"
	"time"
)

// maxOpenExchanges bounds the exchanges that are tracked for retries. It exceeds the
// number that a leaving daemon starts at once; an exchange above it is sent but not
// retried.
const maxOpenExchanges = 256

// Exchange is one attempt to exchange digests with a peer. All attempts of an
// exchange have the same ID.
type Exchange struct {
	ID   uint64
	Peer Record
}

// ExchangeTracker decides when an exchange without a reply is retried, and with which
// peer. The zero value is ready for use.
type ExchangeTracker struct {
	lastID uint64
	open   []openExchange // sorted by due
}

type openExchange struct {
	Exchange
	attempts int
	due      time.Time
	samePeer bool
}

// Start begins one exchange with each peer and returns the attempts to send now.
// Retries go to the same peer if samePeer is set, else to a random one.
func (t *ExchangeTracker) Start(now time.Time, peers []Record, samePeer bool) []Exchange {
	out := make([]Exchange, 0, len(peers))
	for _, p := range peers {
		t.lastID++
		out = append(out, t.send(now, openExchange{Exchange: Exchange{t.lastID, p}, samePeer: samePeer}))
	}
	return out
}

func (t *ExchangeTracker) send(now time.Time, o openExchange) Exchange {
	o.attempts++
	o.due = now.Add(ExchangeTimeout)
	if len(t.open) < maxOpenExchanges {
		t.open = append(t.open, o)
	}
	return o.Exchange
}

// Answered ends an exchange whose reply has arrived. A late reply to an earlier
// attempt counts too.
func (t *ExchangeTracker) Answered(id uint64) {
	t.open = slices.DeleteFunc(t.open, func(o openExchange) bool { return o.ID == id })
}

// Overdue returns the attempts to send now because an earlier one had no reply within
// ExchangeTimeout. An exchange ends after ExchangeAttempts attempts. pick returns
// another random peer, if there is one. An attempt that fails sooner is not retried
// sooner, so that a peer that refuses connections is not contacted in a tight loop.
func (t *ExchangeTracker) Overdue(now time.Time, pick func() (Record, bool)) []Exchange {
	var overdue []openExchange
	for len(t.open) > 0 && !t.open[0].due.After(now) {
		overdue = append(overdue, t.open[0])
		t.open = t.open[1:]
	}
	var out []Exchange
	for _, o := range overdue {
		if o.attempts >= ExchangeAttempts {
			continue
		}
		if !o.samePeer {
			if peer, ok := pick(); ok {
				o.Peer = peer
			}
		}
		out = append(out, t.send(now, o))
	}
	return out
}
