package quota

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

const (
	// contactTime is how long an owner grants tokens after it sent a question that another daemon with the same
	// list answered.
	contactTime = 750 * time.Millisecond
	// contactInterval is the age of the latest contact at which an owner asks some daemon for one.
	contactInterval = 250 * time.Millisecond
	// handoverTime is how long a new owner grants nothing. The previous one stops contactTime after the change has
	// reached the daemons that it can reach, which takes about as long as the difference.
	handoverTime = time.Second
	// startTime is how long a daemon grants nothing after its first contact. Another one may have owned its
	// tenants, and may receive later that it is listed.
	startTime = 250 * time.Millisecond
	// maxContactGap is the longest time without contact after which buckets go on. It is shorter than the time
	// after which the store removes an upstream that it does not hear of.
	maxContactGap = 2 * time.Second
	// majorityTime is how long a daemon counts that has been reached, or not. It is shorter than the time after
	// which the store removes an upstream that it does not hear of.
	majorityTime = 3 * time.Second
	// minAsked is the number of daemons in majorityTime below which an owner asks some more at random.
	minAsked = 24
	// unreachableTime is how long an owner that has not answered is not waited for.
	unreachableTime = 500 * time.Millisecond
	// disownedTime is how long a daemon that is not the owner, or owns a tenant for too short a time, is not
	// asked again.
	disownedTime = 50 * time.Millisecond
	// idleTime is how long state of a tenant without requests is kept, if it is longer than the window.
	idleTime = time.Minute
	// sweepInterval is the time between two searches for idle tenants.
	sweepInterval = 5 * time.Second
	// maxTickGap is how long the daemon may not have run without losing its contact to others.
	maxTickGap = 300 * time.Millisecond
	// minReturn is the shortest time after which a refused caller may return.
	minReturn = 50 * time.Millisecond
	// maxTenants bounds the tenants of one kind of state. Beyond it, requests of further tenants are refused.
	maxTenants = 1 << 16
	// maxEvents bounds the events between two calls of Events.
	maxEvents = 64
)

// link is what a daemon knows of another one that it asks.
type link struct {
	wants            map[string]int // requests that wait for the next question, by tenant
	unreachableUntil time.Duration
	doubtful         bool // the latest question was not answered
	// endedAt is when the latest question ended, or was sent if none did recently, and reached says that it
	// reached the VM of the daemon.
	endedAt time.Duration
	reached bool
}

// Node is the part of one daemon. It is not safe for concurrent use.
type Node struct {
	self    string
	bounds  Bounds
	random  func() float64
	started time.Duration
	// from is when buckets that are created begin to fill.
	from       time.Duration
	daemons    []string
	known      map[string]bool
	ring       *rendezvous.Rendezvous
	generation int
	list       uint32  // hash of the list of daemons
	version    Version // of the list of daemons
	newer      []newerList
	announces  []string // daemons that are to be asked although they are not listed
	// most is the largest number of daemons that was known in the latest window, until mostUntil.
	most      int
	mostUntil time.Duration
	contact   time.Duration // when the latest question was sent that was answered by a daemon with the same list
	// ticked is the time of the latest Tick, and confirmFrom when a pause was noticed: a contact must be later.
	ticked, confirmFrom time.Duration
	inContact           bool
	met                 bool // there has been a contact
	// majorityAt is the latest time at which the daemon reached most of those that it asked.
	majorityAt time.Duration
	buckets    map[string]*bucket
	holders    map[string]*holder
	links      map[string]*link
	swept      time.Duration
	events     []Event
}

// New returns the part of the daemon with the given name, which starts now. random returns a number from 0 to 1.
func New(self string, bounds Bounds, random func() float64, now time.Duration) *Node {
	return &Node{
		self: self, bounds: bounds, random: random, started: now, from: now, contact: now, confirmFrom: now + 1, ticked: now, majorityAt: now, inContact: true,
		buckets: make(map[string]*bucket), holders: make(map[string]*holder), links: make(map[string]*link),
	}
}

// Knows reports whether a daemon is in the list, and Daemons returns the length of the list.
func (n *Node) Knows(daemon string) bool { return n.known[daemon] }

// Daemons returns the number of daemons in the list.
func (n *Node) Daemons() int { return len(n.daemons) }

// SetDaemons puts a changed list of all daemons in force. Buckets of tenants that have another owner now are
// dropped.
func (n *Node) SetDaemons(now time.Duration, v Version, daemons []string) {
	if len(n.daemons) > 0 || len(daemons) == 1 { // a daemon that is alone has no contact from which to count
		n.from = max(n.from, now+handoverTime)
	}
	n.most, n.mostUntil = max(n.mostDaemons(now), len(daemons)), now+n.bounds.Window
	previous := n.daemons
	n.daemons, n.known, n.list = daemons, make(map[string]bool, len(daemons)), 0
	for _, name := range daemons {
		n.known[name] = true
		n.list += uint32(xxhash.Sum64String(name)) // does not depend on the order
	}
	var removed []string
	for _, name := range previous {
		if !n.known[name] && name != n.self {
			removed = append(removed, name)
		}
	}
	n.announce(removed)
	n.ring = rendezvous.New(daemons, xxhash.Sum64String)
	n.generation++
	n.version = v
	n.dropReceived(now)
	for tenant := range n.buckets {
		if n.ring.Lookup(tenant) != n.self {
			delete(n.buckets, tenant)
		}
	}
	for name, l := range n.links {
		if !n.known[name] && len(l.wants) == 0 {
			delete(n.links, name)
		}
	}
}

// mostDaemons returns the number of daemons among which the floor is divided.
func (n *Node) mostDaemons(now time.Duration) int {
	if now < n.mostUntil {
		return n.most
	}
	return len(n.daemons)
}

// Take requests a token for a request of a tenant. again says that the request has waited for an answer since
// its previous call of Take.
func (n *Node) Take(now time.Duration, tenant string, l Limit, again bool) Decision {
	h := n.holder(now, tenant, l)
	if h == nil {
		return n.unknown()
	}
	if !again {
		h.countRequest(now)
	}
	if token, ok := h.take(now); ok {
		return n.granted(now, tenant, h, token)
	}
	if h.owner == n.self {
		return n.takeOwn(now, tenant, h)
	}
	if now < h.deniedUntil {
		return n.limited(now, tenant, h)
	}
	if h.owner == "" || now < h.disownedUntil || now < n.link(h.owner).unreachableUntil {
		return n.floor(now, tenant, h)
	}
	link := n.link(h.owner)
	if link.wants == nil {
		link.wants = make(map[string]int)
	}
	link.wants[tenant]++
	return Decision{Verdict: Wait, Daemon: h.owner, Doubtful: link.doubtful}
}

// takeOwn takes a token of a tenant that the daemon owns. Without contact to others it asks one of them first.
func (n *Node) takeOwn(now time.Duration, tenant string, h *holder) Decision {
	if !n.mayGrant(now) {
		daemon := n.other()
		if daemon == "" || now < n.link(daemon).unreachableUntil {
			return n.floor(now, tenant, h)
		}
		return Decision{Verdict: Wait, Daemon: daemon, Doubtful: n.link(daemon).doubtful}
	}
	g := n.grant(now, Want{Tenant: tenant, Need: 1}, h.limit)
	switch {
	case g.Tokens > 0:
		return n.granted(now, tenant, h, Token{expires: now + n.bounds.lifetime(h.limit)})
	case g.NotOwner:
		return n.floor(now, tenant, h)
	}
	n.denied(now, h, g)
	return n.limited(now, tenant, h)
}

// TakeFloor is Take for a request that waits for an answer: it never returns Wait, and may use the floor.
func (n *Node) TakeFloor(now time.Duration, tenant string, l Limit) Decision {
	h := n.holder(now, tenant, l)
	if h == nil {
		return n.unknown()
	}
	if token, ok := h.take(now); ok {
		return n.granted(now, tenant, h, token)
	}
	return n.floor(now, tenant, h)
}

// floor uses the floor of the tenant.
func (n *Node) floor(now time.Duration, tenant string, h *holder) Decision {
	daemons := n.mostDaemons(now)
	holders, each := n.bounds.floor(h.limit, daemons)
	if h.rankGeneration != n.generation {
		h.rankGeneration, h.rank = n.generation, n.rank(tenant)
	}
	if h.rank < holders && h.takeFloor(now, n.bounds.Window, n.started, each) {
		return Decision{Verdict: Floor, Token: Token{tenant: tenant}}
	}
	return n.unknown()
}

func (n *Node) unknown() Decision {
	return Decision{Verdict: Unknown, Return: n.spread(unreachableTime)}
}

// Return gives a token back whose request has not run.
func (n *Node) Return(now time.Duration, t Token) {
	if h := n.holders[t.tenant]; h != nil && now < t.expires {
		h.put(1, t.expires)
	}
}

func (n *Node) granted(now time.Duration, tenant string, h *holder, t Token) Decision {
	if h.limited && now-h.refusedAt > n.bounds.Window {
		h.limited = false
		n.event(Event{Kind: TenantUnlimited, Subject: tenant, Limit: h.limit})
	}
	t.tenant = tenant
	return Decision{Verdict: Granted, Token: t}
}

func (n *Node) limited(now time.Duration, tenant string, h *holder) Decision {
	h.refusedAt = now
	if !h.limited {
		h.limited = true
		n.event(Event{Kind: TenantLimited, Subject: tenant, Limit: h.limit})
	}
	// The next caller that is refused here returns when one more token is free, at the latest after a window.
	ahead := max(h.returnAt-now, h.deniedUntil-now, minReturn)
	h.returnAt = min(now+ahead+secondsOf(1/h.limit.Rate), now+n.bounds.Window)
	return Decision{Verdict: Limited, Return: n.spread(ahead)}
}

// spread lengthens a time by up to a half at random, so that callers don't return together.
func (n *Node) spread(t time.Duration) time.Duration {
	return t + time.Duration(n.random()*float64(t)/2)
}

func (n *Node) denied(now time.Duration, h *holder, g Grant) {
	h.deniedUntil = now + g.Free
	h.returnAt = max(h.returnAt, now+g.Return)
}

// holder returns the state of a tenant, nil if there are too many.
func (n *Node) holder(now time.Duration, tenant string, l Limit) *holder {
	h := n.holders[tenant]
	if h == nil {
		if len(n.holders) >= maxTenants {
			return nil
		}
		h = &holder{generation: -1, rankGeneration: -1}
		n.holders[tenant] = h
	}
	if h.limit != l {
		h.limit, h.generation, h.deniedUntil = l, -1, 0
	}
	if h.generation != n.generation {
		h.generation, h.owner, h.deniedUntil, h.disownedUntil = n.generation, "", 0, 0
		if n.ring != nil {
			h.owner = n.ring.Lookup(tenant)
		}
	}
	h.used = now
	return h
}

// rank returns the position of the daemon in an order of all daemons that depends on the tenant.
func (n *Node) rank(tenant string) int {
	own := xxhash.Sum64String(tenant + "\x00" + n.self)
	if !n.known[n.self] {
		return len(n.daemons)
	}
	rank := 0
	for _, name := range n.daemons {
		if hash := xxhash.Sum64String(tenant + "\x00" + name); hash < own {
			rank++
		}
	}
	return rank
}

// other returns another daemon at random, empty if there is none.
func (n *Node) other() string {
	if len(n.daemons) == 0 {
		return ""
	}
	i := min(int(n.random()*float64(len(n.daemons))), len(n.daemons)-1)
	if n.daemons[i] == n.self {
		i = (i + 1) % len(n.daemons)
	}
	if n.daemons[i] == n.self {
		return ""
	}
	return n.daemons[i]
}

func (n *Node) link(daemon string) *link {
	l := n.links[daemon]
	if l == nil {
		l = &link{}
		n.links[daemon] = l
	}
	return l
}

// Question returns what to ask a daemon, on behalf of all requests that wait. It may be empty.
func (n *Node) Question(now time.Duration, daemon string) []Want {
	if len(n.announces) > 0 && n.announces[0] == daemon {
		n.announces = n.announces[1:]
	}
	l := n.link(daemon)
	if l.endedAt == 0 || now-l.endedAt > majorityTime {
		l.endedAt, l.reached = now, false // until it is answered
	}
	wants := make([]Want, 0, len(l.wants))
	for tenant, need := range l.wants {
		w := Want{Tenant: tenant, Need: need}
		if h := n.holders[tenant]; h != nil && now-h.countStart < 2*demandInterval {
			w.Spare = max(h.previousCount, h.count-need)
		}
		wants = append(wants, w)
	}
	sort.Slice(wants, func(i, j int) bool { return wants[i].Tenant < wants[j].Tenant })
	l.wants = nil
	return wants
}

// Answered records the answer to a question that was sent at a time.
func (n *Node) Answered(now, sent time.Duration, daemon string, wants []Want, answer Answer) {
	n.hear(now, answer.Latest)
	if answer.List == n.list {
		n.recordContact(now, sent)
	}
	l := n.link(daemon)
	l.unreachableUntil, l.endedAt, l.reached = 0, now, true
	if l.doubtful {
		l.doubtful = false
		n.event(Event{Kind: OwnerReachable, Subject: daemon})
	}
	for i, w := range wants {
		h := n.holders[w.Tenant]
		if h == nil || i >= len(answer.Grants) {
			continue
		}
		g := answer.Grants[i]
		if g.Tokens > 0 {
			h.put(g.Tokens, sent+n.bounds.lifetime(h.limit))
		}
		switch {
		case g.NotOwner:
			h.disownedUntil = now + disownedTime
		case g.Tokens < w.Need:
			n.denied(now, h, g)
		}
	}
}

// Failed records that a daemon has not answered a question. ended says that its VM was reached, which refused the
// connection, so that the daemon does not run.
func (n *Node) Failed(now time.Duration, daemon string, ended bool) {
	l := n.link(daemon)
	l.unreachableUntil, l.endedAt, l.reached = now+unreachableTime, now, ended
	if !l.doubtful && n.known[daemon] {
		l.doubtful = true
		n.event(Event{Kind: OwnerUnreachable, Subject: daemon})
	}
}

// Serve answers the question of another daemon, with the latest list that it has heard of. limitOf returns the
// limit of a tenant in the configuration of this daemon, and false if it has none.
func (n *Node) Serve(now time.Duration, latest List, wants []Want, limitOf func(tenant string) (Limit, bool)) Answer {
	n.hear(now, latest)
	grants := make([]Grant, len(wants))
	for i, w := range wants {
		l, limited := limitOf(w.Tenant)
		if !limited || n.ring == nil || n.ring.Lookup(w.Tenant) != n.self || !n.mayGrant(now) {
			grants[i] = Grant{NotOwner: true}
			continue
		}
		grants[i] = n.grant(now, w, l)
	}
	return Answer{Grants: grants, List: n.list, Latest: n.Latest()}
}

// grant takes tokens from the bucket of an owned tenant.
func (n *Node) grant(now time.Duration, w Want, l Limit) Grant {
	b := n.buckets[w.Tenant]
	if b == nil {
		if len(n.buckets) >= maxTenants {
			return Grant{NotOwner: true}
		}
		b = &bucket{limit: l, capacity: n.bounds.capacity(l), at: n.from}
		n.buckets[w.Tenant] = b
		if n.from != n.started {
			n.event(Event{Kind: OwnershipBegun, Subject: w.Tenant, Limit: l})
		}
	}
	b.settle(now, l, n.bounds.capacity(l))
	if now < b.at {
		return Grant{NotOwner: true}
	}
	return b.grant(now, min(max(w.Need, 0), maxTokens), min(max(w.Spare, 0), maxTokens), n.bounds.Window)
}

// Tick drops the state of tenants without requests. It is called every 100 ms or more often.
func (n *Node) Tick(now time.Duration) {
	n.mayGrant(now)
	if now-n.swept < sweepInterval {
		return
	}
	n.swept = now
	idle := max(idleTime, 2*n.bounds.Window)
	for tenant, h := range n.holders {
		if now-h.used > idle {
			delete(n.holders, tenant)
		}
	}
	for tenant, b := range n.buckets {
		if now-b.used > idle && b.full(now) {
			delete(n.buckets, tenant) // one that is created later is full, too
		}
	}
}

func (n *Node) event(e Event) {
	if len(n.events) < maxEvents {
		n.events = append(n.events, e)
	}
}

// Events returns the events since the last call.
func (n *Node) Events() []Event {
	events := n.events
	n.events = nil
	return events
}
