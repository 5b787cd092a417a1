package measure

import (
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

const (
	// maxResends is the maximum number of re-sends of a request in a case with
	// re-sends.
	maxResends = 3
	// resendPause is the time between the end of a send and the next one.
	resendPause = 10 * time.Millisecond
)

// request is one request of a caller, including all its sends.
type request struct {
	service            string
	kind               *config.Kind
	arrived            time.Time
	key                string
	print              uint64 // fingerprint of the request
	sends              []*send
	runs               int // of the entry call; only counted if it is not idempotent
	reportedNotRunUpTo int // number of the latest send reported as not run
	answered           bool
}

// send is one transmission of a request by its caller.
type send struct {
	request  *request
	number   int // from 1
	retries  int // on all hops
	slotTime time.Duration
	// slotTimeAt is slotTime by service.
	slotTimeAt map[string]time.Duration
	answered   bool
	over       bool // the caller no longer waits for it
	patience   *Event
	hop        *hop
}

func (s *send) addSlotTime(service string, d time.Duration) {
	s.slotTime += d
	if s.slotTimeAt == nil {
		s.slotTimeAt = make(map[string]time.Duration, 1)
	}
	s.slotTimeAt[service] += d
}

// Callers generates the requests of a mix at random times, independently of the
// answers (open loop).
type Callers struct {
	fleet    *Fleet
	rand     *rand.Rand
	load     float64 // requests per second of the whole mix
	resends  bool    // requests that fail are sent again
	requests []*request
}

// mixEntry is the share of one request kind in a mix.
type mixEntry struct {
	service, kind string
	weight        float64
}

// start starts the arrivals of one kind.
func (c *Callers) start(entry mixEntry) {
	// Each kind has its own random source, so that all policies see the same arrivals.
	r := rand.New(rand.NewPCG(c.rand.Uint64(), c.rand.Uint64()))
	var next func()
	next = func() {
		// Arrivals are generated at the highest load and thinned to the current
		// load, so that a change of the load takes effect at once.
		if r.Float64()*maxLoadFactor*c.fleet.baseLoad < c.load {
			c.arrive(entry, r)
		}
		c.fleet.loop.After(c.interarrivalTime(entry, r), next)
	}
	c.fleet.loop.After(c.interarrivalTime(entry, r), next)
}

// maxLoadFactor bounds the load within one case as a multiple of Fleet.baseLoad.
const maxLoadFactor = 2

func (c *Callers) interarrivalTime(entry mixEntry, r *rand.Rand) time.Duration {
	rate := maxLoadFactor * c.fleet.baseLoad * entry.weight
	return time.Duration(r.ExpFloat64() / rate * float64(time.Second))
}

func (c *Callers) arrive(entry mixEntry, r *rand.Rand) {
	q := &request{
		service: entry.service,
		kind:    c.fleet.kind(entry.service, entry.kind),
		arrived: c.fleet.loop.Now(),
		print:   r.Uint64(),
	}
	if !q.kind.Idempotent {
		q.key = newKey(q.arrived, r)
	}
	c.requests = append(c.requests, q)
	c.send(q)
}

// newKey returns a UUIDv7 for a virtual time.
func newKey(t time.Time, r *rand.Rand) string {
	id := randomID(r)
	ms := t.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6] = id[6]&0x0f | 0x70
	return id.String()
}

func randomID(r *rand.Rand) uuid.UUID {
	var id uuid.UUID
	a, b := r.Uint64(), r.Uint64()
	for i := range 8 {
		id[i], id[8+i] = byte(a>>(8*i)), byte(b>>(8*i))
	}
	id[6], id[8] = id[6]&0x0f|0x40, id[8]&0x3f|0x80
	return id
}

func (c *Callers) send(q *request) {
	s := &send{request: q, number: len(q.sends) + 1}
	q.sends = append(q.sends, s)
	patience := time.Duration(q.kind.PatienceMS) * time.Millisecond
	s.patience = c.fleet.loop.After(patience, func() { c.giveUp(s) })
	c.sendToRandomDaemon(s)
}

// sendToRandomDaemon sends to a random daemon, and repeats this while connections are
// refused and the caller waits.
func (c *Callers) sendToRandomDaemon(s *send) {
	f := c.fleet
	d := f.daemons[c.rand.IntN(len(f.daemons))]
	f.net.Send(clientZone, d.zone, func() {
		if !d.up {
			f.net.Send(d.zone, clientZone, func() {
				if !s.over {
					c.sendToRandomDaemon(s)
				}
			})
			return
		}
		h := f.newHop(s, s.request.service, s.request.kind.Name)
		s.hop = h
		h.onEnd = func(res result) {
			f.net.Send(d.zone, clientZone, func() { c.sendEnded(s, res) })
		}
		h.openAt(d)
	})
}

// giveUp closes the connection when the caller's patience has passed, and re-sends.
func (c *Callers) giveUp(s *send) {
	if s.over {
		return
	}
	s.over = true
	if s.hop != nil {
		h := s.hop
		c.fleet.net.Send(clientZone, h.daemon.zone, h.cancel)
	}
	c.resend(s)
}

func (c *Callers) sendEnded(s *send, res result) {
	if s.over {
		return
	}
	s.over = true
	s.patience.Cancel()
	c.fleet.countEnd(s, res)
	if res.success {
		s.answered, s.request.answered = true, true
		return
	}
	c.resend(s)
}

// resend sends a failed request again after resendPause, if the case has re-sends.
func (c *Callers) resend(s *send) {
	q := s.request
	if !c.resends || len(q.sends) > maxResends {
		return
	}
	c.fleet.loop.After(resendPause, func() { c.send(q) })
}

// connectionReset ends a send whose daemon was killed, once the reset has reached the
// caller.
func (c *Callers) connectionReset(s *send, d *Daemon) {
	c.fleet.net.Send(d.zone, clientZone, func() { c.sendEnded(s, result{code: resultcode.AttemptLost}) })
}
