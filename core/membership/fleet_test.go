package membership

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"
)

const (
	tickInterval = 10 * time.Millisecond
	latencyTicks = 2 // one-way delay of a message, in ticks
)

// digest has the fields of a control exchange.
type digest struct {
	Sender  Record
	Clock   time.Time
	Version uint64
	Records []Record
}

type message struct {
	from, to int
	id       uint64 // of an exchange and its reply
	kind     string // exchange, reply, fetch, config
	digest   digest
}

type daemon struct {
	view         *View
	disseminator *Disseminator
	exchanges    ExchangeTracker
	version      uint64
	calls        []string
	phase        int // tick within a second at which it starts an exchange
}

// fleet runs daemons in virtual time with a seeded random generator.
type fleet struct {
	rng         *rand.Rand
	start, now  time.Time
	tick        int
	daemons     []*daemon
	index       map[string]int
	inFlight    map[int][]message
	lossRate    float64
	partitioned bool // daemons with even and odd index are disconnected
	messages    int
	bytes       byteCount
	encoder     *gob.Encoder // nil: sizes are not measured
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		rng:      rand.New(rand.NewPCG(seed, 0)),
		start:    time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		index:    make(map[string]int),
		inFlight: make(map[int][]message),
	}
	f.now = f.start
	services := map[int]int{12: 4, 48: 8, 144: 12, 720: 21}[n]
	list := make([]Record, n)
	for i := range list {
		list[i] = f.newRecord(i, services)
		f.index[list[i].Name] = i
	}
	for i := range list {
		f.daemons = append(f.daemons, f.newDaemon(list, i, services))
	}
	return f
}

func (f *fleet) newRecord(i, services int) Record {
	return Record{
		Name: fmt.Sprintf("service%02d-%03d", i%services, i), Service: fmt.Sprintf("service%02d", i%services),
		Incarnation: f.newID(), Started: f.start, State: Live, Zone: "sierra-norte-a", Region: "sierra-norte",
		PeerAddress: fmt.Sprintf("10.20.%d.%d:7101", i/250, i%250), ControlAddress: fmt.Sprintf("10.20.%d.%d:7103", i/250, i%250),
	}
}

func (f *fleet) newID() (id uuid.UUID) {
	for i := range id {
		id[i] = byte(f.rng.Uint32())
	}
	return id
}

func (f *fleet) newDaemon(list []Record, i, services int) *daemon {
	d := &daemon{view: New(list[i]), disseminator: NewDisseminator(1), version: 1, phase: f.rng.IntN(100)}
	for offset := 1; offset <= 2; offset++ {
		d.calls = append(d.calls, fmt.Sprintf("service%02d", (i%services+offset)%services))
	}
	d.view.SetCalledServices(d.calls)
	f.recordCallers(d, i, len(list), services)
	d.view.MergeList(f.now, list)
	return d
}

// recordCallers records all daemons of the services that call daemon i as its callers.
func (f *fleet) recordCallers(d *daemon, i, n, services int) {
	for j := range n {
		if distance := (i%services - j%services + services) % services; distance == 1 || distance == 2 {
			d.view.RecordCaller(f.now, fmt.Sprintf("service%02d-%03d", j%services, j))
		}
	}
}

// run advances the fleet until done returns true or limit has passed, and returns the
// virtual time that took.
func (f *fleet) run(limit time.Duration, done func() bool) time.Duration {
	start := f.now
	for f.now.Sub(start) < limit && !done() {
		f.advance()
	}
	return f.now.Sub(start)
}

func (f *fleet) advance() {
	f.tick++
	f.now = f.now.Add(tickInterval)
	arrived := f.inFlight[f.tick]
	delete(f.inFlight, f.tick)
	for _, m := range arrived {
		f.receive(m)
	}
	for i, d := range f.daemons {
		f.sendAll(i, d.exchanges.Overdue(f.now, func() (Record, bool) { return f.randomPeer(d) }))
		if f.tick%100 == d.phase {
			d.view.Expire(f.now)
			f.exchange(i, d.view.Peers(1, f.rng))
		}
		if holder, ok := d.disseminator.Fetch(f.now); ok {
			f.send(message{from: i, to: f.index[holder.Name], kind: "fetch"})
		}
		if p := d.disseminator.TakePending(); !p.Empty() {
			f.exchange(i, d.view.Peers(Fanout, f.rng))
		}
	}
}

// measureIdle measures messages and bytes per daemon and second while nothing changes.
// All messages share one gob stream, so type information is sent once.
func (f *fleet) measureIdle(length time.Duration) (messages, bytes float64) {
	f.messages, f.bytes, f.encoder = 0, 0, gob.NewEncoder(&f.bytes)
	f.run(length, func() bool { return false })
	f.encoder = nil
	daemonSeconds := length.Seconds() * float64(len(f.daemons))
	return float64(f.messages) / daemonSeconds, float64(f.bytes) / daemonSeconds
}

func (f *fleet) exchange(from int, peers []Record) {
	f.sendAll(from, f.daemons[from].exchanges.Start(f.now, peers, false))
}

func (f *fleet) sendAll(from int, attempts []Exchange) {
	for _, a := range attempts {
		f.send(message{from: from, to: f.index[a.Peer.Name], id: a.ID, kind: "exchange", digest: f.digest(from)})
	}
}

func (f *fleet) randomPeer(d *daemon) (Record, bool) {
	peers := d.view.Peers(1, f.rng)
	if len(peers) == 0 {
		return Record{}, false
	}
	return peers[0], true
}

func (f *fleet) digest(i int) digest {
	d := f.daemons[i]
	return digest{Sender: d.view.NextAnnouncement(), Clock: f.now, Version: d.version, Records: d.view.RecordsForDigest(f.now, DigestRecords)}
}

func (f *fleet) send(m message) {
	f.messages++
	if f.encoder != nil {
		_ = f.encoder.Encode(m.digest)
	}
	blocked := f.partitioned && m.from%2 != m.to%2
	if blocked || f.rng.Float64() < f.lossRate {
		return
	}
	f.inFlight[f.tick+latencyTicks] = append(f.inFlight[f.tick+latencyTicks], m)
}

func (f *fleet) receive(m message) {
	d := f.daemons[m.to]
	switch m.kind {
	case "fetch":
		f.send(message{from: m.to, to: m.from, kind: "config", digest: f.digest(m.to)})
		return
	case "config":
		f.applyConfig(d, m.digest.Version)
	case "exchange":
		f.send(message{from: m.to, to: m.from, id: m.id, kind: "reply", digest: f.digest(m.to)})
	case "reply":
		d.exchanges.Answered(m.id)
	}
	for _, r := range append(m.digest.Records, m.digest.Sender) {
		d.view.MergePeerRecord(f.now, r)
		d.disseminator.Leaving(f.now, r)
	}
	d.disseminator.ObserveVersion(f.now, m.digest.Version, m.digest.Sender)
}

func (f *fleet) applyConfig(d *daemon, version uint64) {
	if version > d.version {
		d.version = version
		d.disseminator.Config(version)
	}
}

// leave makes daemon i leave: it notifies Fanout random peers and all recent callers.
func (f *fleet) leave(i int) {
	d := f.daemons[i]
	d.view.Leave()
	d.disseminator.Leaving(f.now, d.view.Self())
	f.sendAll(i, d.exchanges.Start(f.now, d.view.Callers(256), true))
}

func (f *fleet) allHaveVersion(version uint64) func() bool {
	return func() bool {
		return !slices.ContainsFunc(f.daemons, func(d *daemon) bool { return d.version < version })
	}
}

// callersSeeLeaving reports whether all daemons that call daemon i see it as leaving.
func (f *fleet) callersSeeLeaving(i int) func() bool {
	leaver := f.daemons[i].view.Self()
	return func() bool {
		for j, d := range f.daemons {
			if j != i && slices.Contains(d.calls, leaver.Service) && !hasState(d.view, leaver.Name, Leaving) {
				return false
			}
		}
		return true
	}
}

func hasState(v *View, name, state string) bool {
	e, ok := v.entries[name]
	return ok && v.usable(e) && e.record.State == state
}

// typeSize is the size of the type information that starts each gob stream.
var typeSize = func() int {
	var once, twice bytes.Buffer
	_ = gob.NewEncoder(&once).Encode(digest{})
	enc := gob.NewEncoder(&twice)
	_ = enc.Encode(digest{})
	_ = enc.Encode(digest{})
	return once.Len() - (twice.Len() - once.Len())
}()

// byteCount is an io.Writer that counts bytes.
type byteCount int

func (c *byteCount) Write(p []byte) (int, error) {
	*c += byteCount(len(p))
	return len(p), nil
}
