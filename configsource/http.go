package configsource

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/internal/answercheck"
	"github.com/hawthornpoint/hawthornpoint/internal/headlimit"
)

const (
	// MaxConfigBytes is the largest configuration that the service holds.
	MaxConfigBytes = 1 << 20
	// envelopeOverheadBytes bounds the other fields of an envelope.
	envelopeOverheadBytes = 4 << 10
	// MaxListBytes bounds the VM list: 8,192 VMs at 512 bytes, ten times the
	// planned fleet.
	MaxListBytes = 4 << 20
	// DefaultTimeout bounds one read. The service answers in milliseconds, and a
	// configuration must be in force within 5 s.
	DefaultTimeout = 2 * time.Second
)

// Counts holds the numbers of reads by one client.
type Counts struct {
	// Reads counts all reads, Failed the reads that ended with an error.
	Reads, Failed uint64
}

// client reads one URL of the platform.
type client struct {
	http    *http.Client
	url     string
	timeout time.Duration
	reads   atomic.Uint64
	failed  atomic.Uint64
}

func newClient(url string, transport http.RoundTripper, timeout time.Duration) *client {
	if transport == nil {
		transport = answercheck.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: headlimit.DefaultBytes}, nil)
	}
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	return &client{
		url:     url,
		timeout: timeout,
		http: &http.Client{
			Transport: transport,
			// A redirect would be a second read, to a server that was not configured.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// get makes one read and decodes its JSON answer into out. limit is the maximum size
// of the body in bytes. found is false for status 304.
func (c *client) get(ctx context.Context, query string, limit int64, tag *entityTag, out any) (found bool, err error) {
	c.reads.Add(1)
	defer func() {
		if err != nil {
			c.failed.Add(1)
			err = errors.Wrap(err, c.url)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+query, nil)
	if err != nil {
		return false, err
	}
	// A body without GetBody prevents the transport from retrying the read by
	// itself; such a retry would not be counted.
	req.Body = io.NopCloser(strings.NewReader(""))
	tag.setIfNoneMatch(req)
	resp, err := c.http.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		if err := decode(resp.Body, limit, out); err != nil {
			return false, err
		}
		tag.update(resp)
		return true, nil
	case http.StatusNotModified:
		return false, nil
	default:
		return false, errors.Errorf("status %d", resp.StatusCode)
	}
}

// entityTag is the ETag of the last answer that could be decoded. With a nil tag,
// every read asks for the complete answer.
type entityTag struct{ value string }

func (t *entityTag) setIfNoneMatch(r *http.Request) {
	if t != nil && t.value != "" {
		r.Header.Set("If-None-Match", t.value)
	}
}

func (t *entityTag) update(r *http.Response) {
	if t != nil {
		t.value = r.Header.Get("ETag")
	}
}

// decode decodes a body that is one JSON value of at most limit bytes. Anything after
// the value is an error.
func decode(body io.Reader, limit int64, out any) error {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return errors.Wrap(err, "read body")
	}
	if int64(len(data)) > limit {
		return errors.Errorf("body exceeds %d bytes", limit)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errors.Wrap(err, "decode body")
	}
	return nil
}

func (c *client) counts() Counts {
	return Counts{Reads: c.reads.Load(), Failed: c.failed.Load()}
}

// HTTPConfigSource reads the configuration service over HTTP. It is safe for
// concurrent use.
type HTTPConfigSource struct{ client *client }

// NewHTTPConfigSource returns a client for the published envelope at url. If transport
// is nil or timeout is not positive, a default is used.
func NewHTTPConfigSource(url string, transport http.RoundTripper, timeout time.Duration) *HTTPConfigSource {
	return &HTTPConfigSource{newClient(url, transport, timeout)}
}

// Fetch implements ConfigSource.
func (s *HTTPConfigSource) Fetch(ctx context.Context, newerThan uint64) (config.Envelope, bool, error) {
	var e config.Envelope
	query := "?newer_than=" + strconv.FormatUint(newerThan, 10)
	found, err := s.client.get(ctx, query, MaxConfigBytes+envelopeOverheadBytes, nil, &e)
	if err != nil || !found {
		return config.Envelope{}, false, err
	}
	return e, true, nil
}

// Counts returns the number of reads so far.
func (s *HTTPConfigSource) Counts() Counts { return s.client.counts() }

// HTTPVMList reads the VM list over HTTP. It sends If-None-Match and returns a cached
// copy of a list that has not changed: at 720 VMs, transferring the complete list at
// every read would take 5.2 KB/s, more than the 3 KB/s that a daemon may use. It is
// safe for concurrent use.
type HTTPVMList struct {
	client *client

	mu          sync.Mutex // guards tag and lastRecords, which belong together; not held during a read
	tag         entityTag
	lastRecords []membership.Record
}

// NewHTTPVMList returns a client for the list of VMs at url. If transport is nil or
// timeout is not positive, a default is used.
func NewHTTPVMList(url string, transport http.RoundTripper, timeout time.Duration) *HTTPVMList {
	return &HTTPVMList{client: newClient(url, transport, timeout)}
}

// Fetch implements VMList.
func (l *HTTPVMList) Fetch(ctx context.Context) ([]membership.Record, error) {
	tag, lastRecords := l.cached()
	var records []membership.Record
	found, err := l.client.get(ctx, "", MaxListBytes, &tag, &records)
	if err != nil {
		return nil, err
	}
	if !found && tag.value != "" {
		return slices.Clone(lastRecords), nil
	}
	// A missing list must not be taken for a fleet without VMs.
	if !found || records == nil {
		return nil, errors.Errorf("%s: no list in the answer", l.client.url)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tag, l.lastRecords = tag, slices.Clone(records)
	return records, nil
}

func (l *HTTPVMList) cached() (entityTag, []membership.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tag, l.lastRecords
}

// Counts returns the number of reads so far.
func (l *HTTPVMList) Counts() Counts { return l.client.counts() }
