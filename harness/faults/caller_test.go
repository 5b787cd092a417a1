package faults

import (
	"context"
	"encoding/binary"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/call"
	"github.com/hawthornpoint/hawthornpoint/codes"
	"github.com/hawthornpoint/hawthornpoint/core/idempotency"
	"github.com/hawthornpoint/hawthornpoint/harness/standin"
)

// callerHost is the caller's name on the network.
const callerHost = "caller"

// spec is one request. A re-send has the same key or token and body.
type spec struct {
	entry, service, kind string
	key, token, body     string
	// patience is how long the caller waits; zero waits for the daemon.
	patience time.Duration
}

// told is what the caller was told about one send.
type told struct {
	spec
	status  int
	reply   call.Reply
	body    []byte
	err     error
	ranPast int // runs of the key before this send began
	began   time.Time
	ended   time.Time
}

// code is the result code; 0 when no complete answer came.
func (t *told) code() codes.Code {
	if t.err != nil {
		return 0
	}
	return t.reply.Code
}

// kind is Unknown when no complete answer came.
func (t *told) kindOfCode() codes.Kind {
	if t.err != nil {
		return codes.Unknown
	}
	return t.reply.Code.Kind()
}

// ok reports a complete answer with status 200.
func (t *told) ok() bool {
	return t.err == nil && t.status == http.StatusOK && t.kindOfCode() == codes.Answered
}

// caller sends requests and records what it was told.
type caller struct {
	fleet  *fleet
	client *http.Client
	host   *host

	mu    sync.Mutex
	all   []*told
	keys  uint64
	sends sync.WaitGroup
}

func newCaller(f *fleet) *caller {
	h := f.net.host(callerHost)
	transport := &http.Transport{DialContext: h.DialContext, MaxIdleConnsPerHost: 16, DisableCompression: true}
	return &caller{fleet: f, host: h, client: &http.Client{Transport: transport}}
}

// newKey returns a version 7 UUID of the present virtual time. The UUID library
// keeps its last time across tests, whose clocks all start at the same time.
func (c *caller) newKey() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys++
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:], uint64(time.Now().UnixMilli())<<16|0x7000)
	binary.BigEndian.PutUint64(id[8:], c.keys*0x9e3779b97f4a7c15>>2|1<<63)
	return id.String()
}

// keyFor returns a key whose home is the named place.
func (c *caller) keyFor(home string) string {
	names := c.fleet.names(c.fleet.byName[home].service)
	for {
		if key := c.newKey(); idempotency.Home(key, names) == home {
			return key
		}
	}
}

// send sends one request and waits for its end.
func (c *caller) send(s spec) *told { return c.sendContext(context.Background(), s) }

func (c *caller) sendContext(ctx context.Context, s spec) *told {
	t := &told{spec: s, began: time.Now()}
	if s.key != "" || s.token != "" {
		t.ranPast = c.fleet.runsOfName(c.fleet.counts(), s)
	}
	if s.patience > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.patience)
		defer cancel()
	}
	c.exchange(ctx, t)
	t.ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, t)
	return t
}

func (c *caller) exchange(ctx context.Context, t *told) {
	req, err := c.request(ctx, t.spec)
	if err != nil {
		t.err = err
		return
	}
	resp, err := c.client.Do(req)
	if err != nil {
		t.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	t.status = resp.StatusCode
	if t.body, t.err = io.ReadAll(resp.Body); t.err != nil {
		return
	}
	t.reply, t.err = call.DecodeReply(resp.Header)
}

func (c *caller) request(ctx context.Context, s spec) (*http.Request, error) {
	p := c.fleet.byName[s.entry]
	k := c.fleet.conf.Service(s.service).Kind(s.kind)
	url := "http://" + p.set.Listeners.Callers + standin.Path(s.service, *k, []byte(s.body))
	req, err := http.NewRequestWithContext(ctx, k.Method, url, io.NopCloser(strings.NewReader(s.body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(s.body))
	if s.key != "" {
		req.Header.Set(call.HeaderKey, s.key)
	}
	if s.token != "" {
		req.Header.Set(call.HeaderToken, s.token)
	}
	return req, nil
}

// start sends in the background; the returned channel delivers the result.
func (c *caller) start(s spec) <-chan *told {
	done := make(chan *told, 1)
	c.sends.Go(func() { done <- c.send(s) })
	return done
}

// token asks a daemon for a token of a service. A daemon issues one only after it
// has learned the incarnation of an upstream from an exchange.
func (c *caller) token(entry, service string) string {
	for range 40 {
		if token := c.tokenOnce(entry, service); token != "" {
			return token
		}
		time.Sleep(250 * time.Millisecond)
	}
	c.fleet.t.Errorf("%s issues no token of %s", entry, service)
	return ""
}

func (c *caller) tokenOnce(entry, service string) string {
	url := "http://" + c.fleet.byName[entry].set.Listeners.Callers + "/-/tokens/" + service
	resp, err := c.client.Post(url, "", nil)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return ""
	}
	return string(text)
}

func (c *caller) close() {
	c.sends.Wait()
	c.client.CloseIdleConnections()
}
