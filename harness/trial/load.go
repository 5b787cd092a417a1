package trial

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/harness/standin"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// maxSends is the highest number of times that a caller sends one non-idempotent
// request under its key while the outcome is unknown.
const maxSends = 3

// target is a request kind that callers use.
type target struct {
	service string
	kind    config.Kind
	weight  float64
}

// entryTargets returns the kinds that no other kind calls, and all idempotent
// kinds. Idempotent kinds have a higher weight than the others.
func entryTargets(conf *config.Config) []target {
	called := make(map[config.Target]bool)
	for _, s := range conf.Services {
		for _, k := range s.Kinds {
			for _, t := range k.Calls {
				called[t] = true
			}
		}
	}
	var targets []target
	for _, s := range conf.Services {
		for _, k := range s.Kinds {
			switch {
			case k.Idempotent:
				targets = append(targets, target{service: s.Name, kind: k, weight: readWeight})
			case !called[config.Target{Service: s.Name, Kind: k.Name}]:
				targets = append(targets, target{service: s.Name, kind: k, weight: writeWeight})
			}
		}
	}
	return targets
}

// readWeight and writeWeight are the relative frequencies of an idempotent and of
// a non-idempotent kind.
const (
	readWeight  = 3
	writeWeight = 2
)

// send is the outcome of sending a request once.
type send struct {
	reply   callmeta.Reply
	status  int
	latency time.Duration
	wrong   bool // the answer differs from the expected bytes or has no valid metadata
}

// request is one request of a caller with the outcomes of all its sends.
type request struct {
	target int
	key    string
	body   []byte
	sends  []send
}

// last returns the outcome of the last send, which is final for the caller.
func (r *request) last() send { return r.sends[len(r.sends)-1] }

// load sends requests at random times and records their outcomes.
type load struct {
	fleet   *fleet
	client  *http.Client
	targets []target

	mu       sync.Mutex // guards rand, requests and their sends, and vm.left
	rand     *rand.Rand
	requests []*request
	inFlight sync.WaitGroup
}

func newLoad(f *fleet, seed uint64) *load {
	return &load{
		fleet:   f,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		targets: entryTargets(f.conf),
		rand:    rand.New(rand.NewPCG(seed, 0)),
	}
}

// run sends rate requests per second on average, with exponentially distributed
// gaps, until ctx ends. It then waits for the requests in flight.
func (l *load) run(ctx context.Context, rate float64) {
	defer l.client.CloseIdleConnections()
	next := time.Now()
	for {
		next = next.Add(time.Duration(l.exponential() / rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			l.inFlight.Wait()
			return
		case <-time.After(time.Until(next)):
			l.inFlight.Add(1)
			go l.request(l.newRequest())
		}
	}
}

func (l *load) exponential() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rand.ExpFloat64()
}

func (l *load) newRequest() *request {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0.0
	for _, t := range l.targets {
		total += t.weight
	}
	remaining := l.rand.Float64() * total
	i := 0
	for remaining >= l.targets[i].weight && i < len(l.targets)-1 {
		remaining -= l.targets[i].weight
		i++
	}
	id := uuid.New()
	r := &request{target: i, body: append([]byte("order "), id[:]...)}
	if !l.targets[i].kind.Idempotent {
		r.key = newKey()
	}
	l.requests = append(l.requests, r)
	return r
}

// request sends one request; while the outcome of a non-idempotent one is
// unknown, it is sent again under the same key, each time through a randomly chosen
// entry daemon, at most maxSends times in all.
func (l *load) request(r *request) {
	defer l.inFlight.Done()
	for range maxSends {
		s := l.send(r)
		l.mu.Lock()
		r.sends = append(r.sends, s)
		l.mu.Unlock()
		if r.key == "" || s.reply.Code.Kind() != resultcode.OutcomeUnknown {
			return
		}
	}
}

// entry returns the address for callers of a random daemon that has not left.
func (l *load) entry() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		v := l.fleet.vms[l.rand.IntN(len(l.fleet.vms))]
		if !v.left {
			return v.daemon.Addr("callers")
		}
	}
}

// markLeft makes callers stop using the daemon of a VM as their entry daemon.
func (l *load) markLeft(v *vm) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v.left = true
}

func (l *load) send(r *request) send {
	t := l.targets[r.target]
	url := "http://" + l.entry() + standin.Path(t.service, t.kind, r.body)
	lost := send{reply: callmeta.Reply{Code: resultcode.AttemptLost}}
	var body io.Reader
	sentBody := r.body
	if t.kind.Method == http.MethodGet {
		sentBody = nil
	} else {
		body = bytes.NewReader(r.body)
	}
	req, err := http.NewRequest(t.kind.Method, url, body)
	if err != nil {
		return lost
	}
	// Without GetBody, and with the key in a header that net/http does not know,
	// the client does not resend the request by itself.
	req.GetBody = nil
	if r.key != "" {
		req.Header.Set(callmeta.HeaderKey, r.key)
	}
	started := time.Now()
	resp, err := l.client.Do(req)
	if err != nil {
		return lost
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return lost
	}
	reply, err := callmeta.DecodeReply(resp.Header)
	if err != nil {
		return send{reply: lost.reply, wrong: true}
	}
	s := send{reply: reply, status: resp.StatusCode, latency: time.Since(started)}
	if reply.Code.Kind() == resultcode.Answered && resp.StatusCode/100 == 2 {
		s.wrong = !bytes.Equal(answer, standin.Expected(l.fleet.conf, t.service, t.kind.Name, sentBody))
	}
	return s
}
