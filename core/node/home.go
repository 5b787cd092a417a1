package node

import (
	"time"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/idempotency"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

const (
	// homeDiscoveryTime is how long after the start of a daemon that has read no list of
	// VMs a call waits for the address of its home. The read that follows a failed first
	// one starts within 2.4 s.
	homeDiscoveryTime = 3 * time.Second
	// homeLookupInterval is the time between two checks whether the address is known.
	homeLookupInterval = 50 * time.Millisecond
)

// findHome sets the only upstream that may run a request with a key or token.
func (n *Node) findHome(o *OutgoingCall) resultcode.Code {
	switch {
	case o.meta.Token != "":
		o.meta.Key = ""
		token, err := idempotency.ParseToken(o.meta.Token)
		if err != nil || token.Service != o.meta.Service {
			return resultcode.BadToken
		}
		o.home = token.Upstream
	case o.meta.Key != "":
		if _, _, err := idempotency.ParseKey(o.meta.Key); err != nil {
			return resultcode.BadKey
		}
		names := upstreamNames(n.conf.Service(o.meta.Service))
		previous := n.conf.Service(o.meta.Service).PreviousHomes
		if idempotency.HomeMoving(o.meta.Key, names, previous) {
			return resultcode.HomeMoving
		}
		o.home = idempotency.Home(o.meta.Key, names)
	}
	return 0
}

func upstreamNames(s *config.Service) []string {
	names := make([]string, len(s.Upstreams))
	for i, u := range s.Upstreams {
		names[i] = u.Name
	}
	return names
}

// awaitHome returns the next step of a call whose home has no known address. While a
// starting daemon knows only some of the fleet, the call waits; the wait uses no retry,
// because nothing was sent.
func (n *Node) awaitHome(now time.Time, o *OutgoingCall) Step {
	next := now.Add(homeLookupInterval)
	if n.listRead || !next.Before(n.cfg.Started.Add(homeDiscoveryTime)) || !next.Before(o.meta.Deadline) {
		return n.finish(now, o, resultcode.HomeUnavailable)
	}
	return Step{Action: Wait, Until: next}
}
