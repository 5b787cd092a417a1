package idempotency

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

var upstreamNames = []string{"a", "b", "c", "d"}

const (
	simSkew     = time.Second
	simTTL      = 30 * time.Second
	maxStep     = 30 * time.Millisecond
	maxRequests = 400 // number of latest requests that may be sent again
)

// request is a caller's request, which may be sent several times.
type request struct {
	id       Identity
	upstream string   // upstream named in the token; "" for a key
	owner    Identity // the attempt that got Run last
	runs     int
	answer   *Answer
}

// attempt is one attempt to send a request: a message from an entry daemon to a
// process.
type attempt struct {
	req         *request
	id          Identity
	destination string
	process     *process // nil for the current process of the upstream at the time of arrival
	at          time.Duration
	refused     bool // whether the backend server refuses it
}

// process is one incarnation of the daemon of an upstream.
type process struct {
	upstream    string
	table       *Table
	clockOffset time.Duration
	phase       int
	resumesAt   time.Duration // end of the last pause
	learnsAt    time.Duration // when it learns whether it was replaced
	replaced    bool
	queue       []*attempt
	running     []*attempt
	dead        bool
}

// simulation simulates, in virtual time, the daemons of four upstreams, two entry
// daemons and callers that send requests again. Configurations have versions
// (phases) that reach the daemons one by one; see upstreamLists.
type simulation struct {
	rng               *rand.Rand
	now               time.Duration
	phase             int
	lastOutdated      time.Duration // the latest time at which a daemon did not have the newest list
	entryPhases       [2]int        // phase of each entry daemon
	current           map[string]*process
	replacedProcesses []*process
	requests          []*request
	messages          []*attempt
	codes             map[resultcode.Code]int
	verdicts          map[Verdict]int
	runs              int
	violations        []string
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		rng:      rand.New(rand.NewPCG(seed, 1)),
		current:  map[string]*process{},
		codes:    map[resultcode.Code]int{},
		verdicts: map[Verdict]int{},
	}
	for _, upstream := range upstreamNames {
		s.restart(upstream)
	}
	return s
}

func (s *simulation) chance(percent float64) bool { return s.rng.Float64()*100 < percent }

func (s *simulation) randomUpstream() string { return upstreamNames[s.rng.IntN(len(upstreamNames))] }

func (s *simulation) addViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("at %v: ", s.now)+fmt.Sprintf(format, args...))
}

func (s *simulation) uuid() (id uuid.UUID) {
	binary.LittleEndian.PutUint64(id[:8], s.rng.Uint64())
	binary.LittleEndian.PutUint64(id[8:], s.rng.Uint64())
	return id
}

// clockTime returns the time on a clock that is ahead of virtual time by offset.
func (s *simulation) clockTime(offset time.Duration) time.Time {
	return time.UnixMilli(1_700_000_000_000).Add(s.now + offset)
}

// randomOffset returns a random clock offset; two such offsets differ by at most
// simSkew.
func (s *simulation) randomOffset() time.Duration {
	return time.Duration(s.rng.Int64N(int64(simSkew)+1)) - simSkew/2
}

// restart replaces the process of an upstream. The earlier one either dies, or is
// paused and, some time after it resumes, learns that it was replaced.
func (s *simulation) restart(upstream string) {
	if earlier := s.current[upstream]; earlier != nil {
		if s.chance(50) {
			s.pause(earlier, 10*time.Second)
			earlier.replaced = true
			s.replacedProcesses = append(s.replacedProcesses, earlier)
		} else {
			earlier.dead = true
		}
	}
	p := &process{upstream: upstream, clockOffset: s.randomOffset(), phase: max(s.phase-s.rng.IntN(2), 0)}
	p.table = NewTable(Config{
		Service: "result", Upstream: upstream, Incarnation: s.uuid(), Started: s.clockTime(p.clockOffset),
		Skew: simSkew, TTL: simTTL, MaxRecords: 24, MaxAnswerBytes: 1200,
		OnViolation: func(msg string) { s.addViolation("violation: %s", msg) },
	})
	s.current[upstream] = p
}

// pause stops a process for a random time. For up to a second after it resumes, it
// does not know whether it was replaced.
func (s *simulation) pause(p *process, maxDuration time.Duration) {
	p.resumesAt = s.now + time.Duration(s.rng.Int64N(int64(maxDuration)))
	p.learnsAt = p.resumesAt + time.Duration(s.rng.Int64N(int64(time.Second)))
	p.table.SuspendNewKeys()
}

// learnReplaced lets a process find out after a pause whether it was replaced.
func (p *process) learnReplaced() {
	if p.replaced {
		p.table.LaterIncarnation()
	}
	p.table.ResumeNewKeys()
}

// upstreamLists returns the upstream lists of a phase. Each odd phase switches to
// the other list and names the list before it as previous; the even phase after it
// drops the previous list.
func upstreamLists(phase int) (current []string, previous [][]string) {
	lists := [][]string{{"a", "b", "c"}, {"b", "d", "a"}}
	current = lists[(phase+1)/2%2]
	if phase%2 == 1 {
		previous = [][]string{lists[(phase/2)%2]}
	}
	return current, previous
}

// advancePhase starts a new phase when it is allowed: an odd one when every daemon
// has the phase before it, an even one when all records made under the previous
// list have expired.
func (s *simulation) advancePhase() {
	lowestPhase := min(s.entryPhases[0], s.entryPhases[1])
	for _, p := range s.current {
		lowestPhase = min(lowestPhase, p.phase)
	}
	if lowestPhase < s.phase {
		s.lastOutdated = s.now
	}
	if s.phase%2 == 0 && lowestPhase == s.phase || s.now > s.lastOutdated+simTTL+2*simSkew {
		s.phase++
	}
}

// distributePhase gives the newest phase to one entry daemon and one upstream.
func (s *simulation) distributePhase() {
	s.entryPhases[s.rng.IntN(2)] = s.phase
	s.current[s.randomUpstream()].phase = s.phase
}

func (s *simulation) newRequest() {
	callerOffset := s.randomOffset()
	if s.chance(15) { // a caller whose clock is ahead by up to 20 times the skew
		callerOffset = time.Duration(s.rng.Int64N(int64(20 * simSkew)))
	}
	req := &request{id: Identity{Service: "result", Kind: "record", Fingerprint: s.rng.Uint64()}}
	if s.chance(25) {
		req.upstream = s.randomUpstream()
		req.id.Token, _ = NewToken(Token{
			Service: "result", Upstream: req.upstream, Nonce: s.uuid(), Issued: s.clockTime(callerOffset),
			Incarnation: s.current[req.upstream].table.cfg.Incarnation,
		})
	} else {
		req.id.Key = testKey(s.clockTime(callerOffset), s.rng.Uint64()).String()
	}
	s.requests = append(s.requests, req)
	if len(s.requests) > maxRequests {
		s.requests = s.requests[1:]
	}
	s.attempt(req)
}

// testKey returns a version 7 UUID with the given time and random bits.
func testKey(at time.Time, random uint64) (id uuid.UUID) {
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16|0x7000|random&0xfff)
	binary.BigEndian.PutUint64(id[8:], random>>2|1<<63)
	return id
}

// attempt sends a request through one of the two entry daemons to its home, sometimes
// to a process of the home that was replaced.
func (s *simulation) attempt(req *request) {
	a := &attempt{req: req, id: req.id, destination: req.upstream, at: s.now, refused: s.chance(10)}
	a.id.Call = s.uuid()
	if req.upstream == "" {
		names, _ := upstreamLists(s.entryPhases[s.rng.IntN(2)])
		a.destination = Home(req.id.Key, names)
	}
	if s.chance(4) {
		a.id.Fingerprint++
	}
	if s.chance(60) {
		a.at += time.Duration(s.rng.Int64N(int64(3 * time.Second)))
	}
	for _, earlier := range s.replacedProcesses {
		if earlier.upstream == a.destination && s.chance(40) {
			a.process = earlier
		}
	}
	s.messages = append(s.messages, a)
}

func (s *simulation) resend() {
	n := len(s.requests)
	if n == 0 {
		return
	}
	if recent := 12; n > recent && s.chance(70) {
		s.attempt(s.requests[n-1-s.rng.IntN(recent)])
		return
	}
	s.attempt(s.requests[s.rng.IntN(n)])
}

// deliver hands over the messages that are due to processes that are not paused.
func (s *simulation) deliver() {
	pending := s.messages[:0]
	for _, a := range s.messages {
		p := a.process
		if p == nil {
			p = s.current[a.destination]
		}
		if p.dead || a.at > s.now || p.resumesAt > s.now {
			if !p.dead {
				pending = append(pending, a)
			}
			continue
		}
		s.arrive(p, a)
	}
	s.messages = pending
}

func (s *simulation) arrive(p *process, a *attempt) {
	if a.id.Key != "" {
		names, previous := upstreamLists(p.phase)
		if Home(a.id.Key, names) != p.upstream || HomeMoving(a.id.Key, names, previous) {
			return
		}
	}
	now := s.clockTime(p.clockOffset)
	if s.chance(2) {
		now = now.Add(-time.Duration(s.rng.Int64N(int64(5 * time.Second))))
	}
	d := p.table.Begin(now, a.id)
	s.verdicts[d.Verdict]++
	s.check(a, d)
	if d.Verdict == Run {
		p.queue = append(p.queue, a)
	}
}

// check records a violation if a decision contradicts what has happened to the request.
func (s *simulation) check(a *attempt, d Decision) {
	switch {
	case d.Verdict == Run && a.req.runs > 0:
		s.addViolation("Run for a request that has already run: %+v", a.id)
	case d.Verdict == Run:
		a.req.owner = a.id
	case d.Verdict != Refuse && a.id.Fingerprint != a.req.owner.Fingerprint:
		s.addViolation("verdict %d for an attempt with another fingerprint: %+v", d.Verdict, a.id)
	case d.Verdict == Join && d.Owner != a.req.owner.Call, d.Verdict == Replay && d.Answer != a.req.answer:
		s.addViolation("verdict %d with the owner or the answer of another request: %+v", d.Verdict, a.id)
	case d.Verdict == Refuse:
		s.codes[d.Code]++
		if d.Code.Kind() != resultcode.NotRun && d.Code.Kind() != resultcode.OutcomeUnknown {
			s.addViolation("refused with code %v of an unexpected kind", d.Code)
		}
	}
}

// work starts queued requests and ends running requests of one process.
func (s *simulation) work(p *process) {
	if p.dead || p.resumesAt > s.now {
		return
	}
	if p.learnsAt <= s.now {
		p.learnReplaced()
	}
	for len(p.queue) > 0 && s.chance(50) {
		a := p.queue[0]
		p.queue = p.queue[1:]
		s.start(p, a)
	}
	for len(p.running) > 0 && s.chance(40) {
		i := s.rng.IntN(len(p.running))
		a := p.running[i]
		p.running = slices.Delete(p.running, i, i+1)
		s.end(p, a)
	}
}

// start sends a queued request to the backend server, or ends it as not run.
func (s *simulation) start(p *process, a *attempt) {
	if s.chance(10) {
		if a.req.runs > 0 {
			s.addViolation("a request that has run is reported as not run: %+v", a.id)
		}
		p.table.MarkNotRun(a.id)
		return
	}
	if !p.table.MarkSent(a.id) {
		return
	}
	if p.table.MarkSent(Identity{Key: a.id.Key, Token: a.id.Token, Service: "result", Call: s.uuid()}) {
		s.addViolation("MarkSent returned true to an attempt that does not own the record: %+v", a.id)
	}
	p.running = append(p.running, a)
	if a.refused {
		return
	}
	s.runs++
	a.req.runs++
	if a.req.runs > 1 {
		s.addViolation("run %d of %+v at %s", a.req.runs, a.id, p.upstream)
	}
}

// end ends a running request: refused by the backend server, with an unknown
// outcome or answered.
func (s *simulation) end(p *process, a *attempt) {
	now := s.clockTime(p.clockOffset)
	switch {
	case a.refused && s.chance(80):
		if a.req.runs > 0 {
			s.addViolation("a request that has run is reported as not run: %+v", a.id)
		}
		p.table.MarkRefused(a.id)
	case a.refused || s.chance(15):
		p.table.Finish(now, a.id, nil)
	default:
		a.req.answer = &Answer{Status: 200, Body: make([]byte, s.rng.IntN(150))}
		p.table.Finish(now, a.id, a.req.answer)
	}
	if stats := p.table.Stats(); stats.Records > 24 || stats.AnswerBytes > 1200 {
		s.addViolation("bounds exceeded: %+v", stats)
	}
}

// step advances virtual time and lets at most one random event happen, then
// delivers the messages that are due and lets every process work.
func (s *simulation) step() {
	s.now += time.Duration(s.rng.Int64N(int64(maxStep)))
	switch upstream := s.randomUpstream(); {
	case s.chance(0.15):
		s.now += time.Duration(s.rng.Int64N(int64(simTTL)))
	case s.chance(0.4):
		s.restart(upstream)
	case s.chance(0.5):
		s.pause(s.current[upstream], 5*time.Second)
	case s.chance(5):
		s.distributePhase()
	case s.chance(5):
		p, peer := s.current[upstream], s.current[s.randomUpstream()]
		p.table.RaiseFence(s.clockTime(p.clockOffset), s.clockTime(peer.clockOffset))
	case s.chance(20):
		s.newRequest()
	case s.chance(40):
		s.resend()
	}
	s.advancePhase()
	s.deliver()
	for _, upstream := range upstreamNames {
		s.work(s.current[upstream])
	}
	for _, earlier := range s.replacedProcesses {
		s.work(earlier)
	}
	if len(s.replacedProcesses) > 6 {
		s.replacedProcesses[0].dead = true
		s.replacedProcesses = s.replacedProcesses[1:]
	}
}

// randomSteps returns the number of steps per seed; HAWTHORNPOINT_RANDOM_STEPS
// overrides it.
func randomSteps(t *testing.T) int {
	text := os.Getenv("HAWTHORNPOINT_RANDOM_STEPS")
	if text == "" {
		return 20_000
	}
	steps, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("HAWTHORNPOINT_RANDOM_STEPS: %v", err)
	}
	return steps
}

// Guards against a second run of a request, or an answer of another request, when
// restarts, pauses, skewed clocks, outdated upstream lists and repeated attempts
// through two entry daemons coincide.
func TestRandomRunsAtMostOnce(t *testing.T) {
	Convey("No request runs twice under random combinations of faults", t, func() {
		for _, seed := range []uint64{1, 2, 3, uint64(time.Now().UnixNano())} {
			s := newSimulation(seed)
			steps := randomSteps(t)
			for i := 0; i < steps && len(s.violations) == 0; i++ {
				s.step()
			}
			t.Logf("seed %d: %d steps, virtual time %v, %d phases, %d runs, verdicts %v, refusals %v", seed, steps, s.now, s.phase, s.runs, s.verdicts, s.codes)
			So(s.violations, ShouldBeEmpty)
			So(s.runs, ShouldBeGreaterThan, steps/100)
			for _, code := range []resultcode.Code{
				resultcode.KeyFromFuture, resultcode.HomeUnavailable, resultcode.KeyBeforeIncarnation, resultcode.KeyExpired, resultcode.RunLost, resultcode.AnswerNotKept,
				resultcode.RecordsFull, resultcode.NotHome, resultcode.BadKey, resultcode.BadToken, resultcode.TokenIncarnationGone, resultcode.TokenExpired,
			} {
				So(fmt.Sprintf("%v seen: %t", code, s.codes[code] > 0), ShouldEndWith, "true")
			}
		}
	})
}
