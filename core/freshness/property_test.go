package freshness

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulated is one daemon of the simulated fleet. Its clock has an offset, and a rate that differs from that
// of true time by rate parts in a million.
type simulated struct {
	offset, rate int64
	version      uint64
	keeper       *Keeper
	starts       int
}

func (s *simulated) clock(now time.Duration) Instant {
	return Instant(int64(now) + int64(now)/1e6*s.rate + s.offset)
}

// message is a question to the store or to a daemon, or its answer.
type message struct {
	from, to  int // to is -1 for the store
	starts    int // of the daemon that asked
	asked     Instant
	arrival   Instant // at the daemon asked
	arrived   bool
	answered  bool
	version   uint64
	statement *Statement
}

// simulation is a store, some daemons, and the messages between them, which take any time and may be lost.
type simulation struct {
	rand     *rand.Rand
	now      time.Duration
	written  uint64
	acked    []time.Duration // when the versions from 1 on were acknowledged, -1 before that
	daemons  []*simulated
	messages []*message
}

// step lets one thing happen, drawn with equal chances, which the ranges of rapid do not have.
func (s *simulation) step() {
	switch s.rand.IntN(12) {
	case 0:
		s.now += s.untilBound()
	case 1, 2, 3:
		s.now += time.Duration(s.rand.Int64N(int64(time.Second)))
	}
	i := s.rand.IntN(len(s.daemons))
	d := s.daemons[i]
	switch s.rand.IntN(20) {
	case 0:
		if len(s.acked) == int(s.written) {
			s.acked = append(s.acked, -1)
		}
	case 1, 2:
		if int(s.written) < len(s.acked) {
			s.acked[s.written] = s.now
			s.written++
		}
	case 3, 4:
		s.messages = append(s.messages, &message{from: i, to: -1, starts: d.starts, asked: d.clock(s.now)})
	case 5, 6, 7:
		s.messages = append(s.messages, &message{from: i, to: s.rand.IntN(len(s.daemons)), starts: d.starts, asked: d.clock(s.now)})
	case 8:
		if len(s.messages) > 0 {
			s.remove(s.rand.IntN(len(s.messages)))
		}
	case 9:
		if s.rand.IntN(4) == 0 {
			d.keeper, d.version = New(maxAge), 0
			d.starts++
		}
	default:
		if len(s.messages) > 0 {
			s.advance(s.rand.IntN(len(s.messages)))
		}
	}
}

// untilBound returns the time until a version is replaced for just over maxAge, 0 for none.
func (s *simulation) untilBound() time.Duration {
	for _, acked := range s.acked {
		if left := acked + maxAge + 1 - s.now; acked >= 0 && left > 0 {
			return left
		}
	}
	return 0
}

func (s *simulation) remove(i int) { s.messages = append(s.messages[:i], s.messages[i+1:]...) }

// advance lets a message arrive, be answered, or return.
func (s *simulation) advance(i int) {
	m := s.messages[i]
	d := s.daemons[m.from]
	switch {
	case m.to == -1 && !m.answered:
		m.version, m.answered = s.written, true // a version may also be read before it is acknowledged
		if int(s.written) < len(s.acked) && s.rand.IntN(2) == 0 {
			m.version++
		}
	case m.to >= 0 && !m.arrived:
		m.arrival, m.arrived = s.daemons[m.to].clock(s.now), true
	case m.to >= 0 && !m.answered:
		m.statement, m.version, m.answered = s.daemons[m.to].keeper.State(m.arrival), s.daemons[m.to].version, true
	default:
		s.remove(i)
		if m.starts != d.starts {
			return
		}
		switch {
		case m.to == -1:
			d.version = max(d.version, m.version)
			d.keeper.Renew(d.clock(s.now), Proof{Version: m.version, At: m.asked}, d.version, WayStore)
		case m.statement != nil:
			if s.rand.IntN(3) > 0 { // the configuration itself may be missing in the reply
				d.version = max(d.version, m.version)
			}
			d.keeper.Renew(d.clock(s.now), m.statement.Proof(m.asked), d.version, WayPeer)
		}
	}
}

// check fails if a daemon would allow a request by a version that was replaced longer than maxAge ago.
func (s *simulation) check() error {
	for i, d := range s.daemons {
		if d.version == 0 || !d.keeper.Fresh(d.clock(s.now), d.version) {
			continue
		}
		if int(d.version) < len(s.acked) {
			if next := s.acked[d.version]; next >= 0 && s.now-next > maxAge {
				return fmt.Errorf("daemon %d allows requests by version %d, %s after version %d was acknowledged", i, d.version, s.now-next, d.version+1)
			}
		}
	}
	return nil
}

// newSimulation draws the clocks of the daemons and the course of what happens.
func newSimulation(t *rapid.T) *simulation {
	s := &simulation{now: time.Hour, rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
	for range rapid.IntRange(1, 5).Draw(t, "daemons") {
		s.daemons = append(s.daemons, &simulated{keeper: New(maxAge),
			offset: rapid.Int64Range(0, int64(1000*time.Hour)).Draw(t, "offset"), rate: rapid.Int64Range(-400, 400).Draw(t, "rate")})
	}
	return s
}

// Guards against a request that runs later than the maximum age after the removal of its key was
// acknowledged: proofs are handed on in chains, with any delays, losses, restarts and clocks.
func TestNeverLaterThanMaximumAge(t *testing.T) {
	handed := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range 1000 {
			s.step()
			if err := s.check(); err != nil {
				t.Fatal(err)
			}
			for _, d := range s.daemons {
				if _, way := d.keeper.Latest(); way == WayPeer && d.keeper.Fresh(d.clock(s.now), d.version) {
					handed++
				}
			}
		}
	})
	if handed == 0 {
		t.Fatal("no daemon was fresh by a proof of a peer, so that the test could not fail")
	}
}
