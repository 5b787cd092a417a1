package measure

import (
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/codes"
	"github.com/hawthornpoint/hawthornpoint/config"
)

const (
	// hardResends is how often a caller sends again in a hard re-send case.
	hardResends = 3
	// hardPause is the pause before it does.
	hardPause = 10 * time.Millisecond
)

// request is what a caller wants, over all its sends.
type request struct {
	service  string
	kind     *config.Kind
	arrived  time.Time
	key      string
	print    uint64
	sends    []*send
	runs     int // of the entry kind
	toldUpTo int // the latest send that was told that it was not run
	answered bool
}

// send is one send of a request into the call graph.
type send struct {
	request  *request
	number   int // from 1
	retries  int // in the whole chain
	slotTime time.Duration
	// slotTimeAt is the slot time by service.
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

// Callers make open-loop requests of all kinds of the mix.
type Callers struct {
	fleet    *Fleet
	rand     *rand.Rand
	load     float64 // requests per second over all kinds
	hard     bool
	requests []*request
}

// share is the part of a kind in the mix.
type share struct {
	service, kind string
	weight        float64
}

// start begins the arrivals of one kind.
func (c *Callers) start(s share) {
	// Each kind has its own source, so that all policies see the same arrivals.
	r := rand.New(rand.NewPCG(c.rand.Uint64(), c.rand.Uint64()))
	var next func()
	next = func() {
		// Arrivals above the highest load are thinned, so that a change of the
		// load takes effect at once.
		if r.Float64()*maxLoadFactor*c.fleet.baseLoad < c.load {
			c.arrive(s, r)
		}
		c.fleet.loop.After(c.gap(s, r), next)
	}
	c.fleet.loop.After(c.gap(s, r), next)
}

// maxLoadFactor bounds the rise of the load within one case.
const maxLoadFactor = 2

func (c *Callers) gap(s share, r *rand.Rand) time.Duration {
	rate := maxLoadFactor * c.fleet.baseLoad * s.weight
	return time.Duration(r.ExpFloat64() / rate * float64(time.Second))
}

func (c *Callers) arrive(s share, r *rand.Rand) {
	q := &request{
		service: s.service,
		kind:    c.fleet.kind(s.service, s.kind),
		arrived: c.fleet.loop.Now(),
		print:   r.Uint64(),
	}
	if !q.kind.Idempotent {
		q.key = keyAt(q.arrived, r)
	}
	c.requests = append(c.requests, q)
	c.send(q)
}

// keyAt makes a UUIDv7 of the virtual time.
func keyAt(t time.Time, r *rand.Rand) string {
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
	c.enter(s)
}

// enter sends to a random daemon, and to another one when the connection is refused.
func (c *Callers) enter(s *send) {
	f := c.fleet
	d := f.daemons[c.rand.IntN(len(f.daemons))]
	f.net.Send(clientZone, d.zone, func() {
		if !d.up {
			f.net.Send(d.zone, clientZone, func() {
				if !s.over {
					c.enter(s)
				}
			})
			return
		}
		h := f.newHop(s, s.request.service, s.request.kind.Name)
		s.hop = h
		h.end = func(res result) {
			f.net.Send(d.zone, clientZone, func() { c.ended(s, res) })
		}
		h.openAt(d)
	})
}

// giveUp ends the wait at the caller's patience and closes the connection.
func (c *Callers) giveUp(s *send) {
	if s.over {
		return
	}
	s.over = true
	if s.hop != nil {
		h := s.hop
		c.fleet.net.Send(clientZone, h.daemon.zone, h.cancel)
	}
	c.again(s)
}

func (c *Callers) ended(s *send, res result) {
	if s.over {
		return
	}
	s.over = true
	s.patience.Cancel()
	c.fleet.countEnd(s, res)
	if res.whole {
		s.answered, s.request.answered = true, true
		return
	}
	c.again(s)
}

func (c *Callers) again(s *send) {
	q := s.request
	if !c.hard || len(q.sends) > hardResends {
		return
	}
	c.fleet.loop.After(hardPause, func() { c.send(q) })
}

// reset is what a caller sees when its entry daemon dies.
func (c *Callers) reset(s *send, d *Daemon) {
	c.fleet.net.Send(d.zone, clientZone, func() { c.ended(s, result{code: codes.AttemptLost}) })
}
