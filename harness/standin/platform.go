package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/membership"
)

// DefaultReadsPerSecond is the documented capacity of the configuration service
// over all readers.
const DefaultReadsPerSecond = 2000

// PlatformFaults selects the faults that a Platform simulates. The zero value
// selects none.
type PlatformFaults struct {
	// Down closes every connection without an answer.
	Down bool
	// StaleVersion, if not 0, is the version that is served instead of the newest.
	StaleVersion uint64
	// IgnoreNewerThan sends the envelope even if newer_than says that the reader
	// has that version.
	IgnoreNewerThan bool
	// Garbage replaces the answers of both reads by bytes that are not JSON.
	Garbage bool
	// Delay is the time by which every answer is delayed.
	Delay time.Duration
	// ListLag is the age of the VM list that is served.
	ListLag time.Duration
}

// Reads counts the reads of the platform.
type Reads struct {
	// Config and VMs count all reads that reached the server, including those
	// that failed by a fault.
	Config int `json:"config"`
	VMs    int `json:"vms"`
	// Refused counts reads above the allowed rate; they are not in the others.
	Refused int `json:"refused"`
}

// Platform is a stand-in for the configuration service and the VM list.
type Platform struct {
	limiter *rate.Limiter

	mu        sync.Mutex
	published map[uint64]config.Envelope
	newest    uint64
	lists     []datedList
	faults    PlatformFaults
	reads     Reads
}

// datedList is a VM list and the time at which it was set.
type datedList struct {
	at   time.Time
	list []membership.Record
}

// NewPlatform returns a platform without a configuration and with an empty list.
// readsPerSecond of 0 means DefaultReadsPerSecond.
func NewPlatform(readsPerSecond int) *Platform {
	if readsPerSecond <= 0 {
		readsPerSecond = DefaultReadsPerSecond
	}
	return &Platform{
		limiter:   rate.NewLimiter(rate.Limit(readsPerSecond), readsPerSecond),
		published: make(map[uint64]config.Envelope),
	}
}

// Publish makes an envelope available. Nothing is checked, so that tests can
// publish what a daemon must not accept; the highest version is served.
func (p *Platform) Publish(e config.Envelope) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.published[e.Version] = e
	p.newest = max(p.newest, e.Version)
}

// SetVMs replaces the VM list. It keeps the earlier lists for ListLag.
func (p *Platform) SetVMs(list []membership.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, datedList{time.Now(), append([]membership.Record(nil), list...)})
}

// SetFaults replaces the faults of the platform.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Reads returns the numbers of reads since the platform was created.
func (p *Platform) Reads() Reads {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// ServeHTTP answers GET /v1/config and GET /v1/vms.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || (r.URL.Path != "/v1/config" && r.URL.Path != "/v1/vms") {
		http.NotFound(w, r)
		return
	}
	f, admitted := p.countRead(r.URL.Path)
	if !admitted {
		http.Error(w, "too many reads", http.StatusTooManyRequests)
		return
	}
	// A timer that expires immediately makes the race detector of Go 1.26 abort a
	// process that runs in a synctest bubble, so none is created without a delay.
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-r.Context().Done():
		}
	}
	switch {
	case f.Down:
		panic(http.ErrAbortHandler)
	case f.Garbage:
		_, _ = w.Write([]byte("\x00<html>not the answer"))
	case r.URL.Path == "/v1/config":
		p.serveConfig(w, r, f)
	default:
		serveList(w, r, p.listAt(time.Now().Add(-f.ListLag)))
	}
}

// serveList answers with the list, or with 304 when the reader names its entity tag.
func serveList(w http.ResponseWriter, r *http.Request, list []membership.Record) {
	data, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("\"%016x\"", xxhash.Sum64(data))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

func (p *Platform) countRead(path string) (PlatformFaults, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.limiter.Allow() {
		p.reads.Refused++
		return p.faults, false
	}
	if path == "/v1/config" {
		p.reads.Config++
	} else {
		p.reads.VMs++
	}
	return p.faults, true
}

func (p *Platform) serveConfig(w http.ResponseWriter, r *http.Request, f PlatformFaults) {
	newerThan, err := strconv.ParseUint(r.URL.Query().Get("newer_than"), 10, 64)
	if err != nil {
		http.Error(w, "newer_than is not a version", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	version := p.newest
	if f.StaleVersion != 0 {
		version = f.StaleVersion
	}
	e, ok := p.published[version]
	p.mu.Unlock()
	if !ok || (version <= newerThan && !f.IgnoreNewerThan) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, e)
}

// listAt returns the VM list as it was at the given time.
func (p *Platform) listAt(at time.Time) []membership.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.lists) - 1; i >= 0; i-- {
		if !p.lists[i].at.After(at) {
			return p.lists[i].list
		}
	}
	return []membership.Record{}
}

// PlatformOptions describes a platform that runs as a process of its own.
type PlatformOptions struct {
	// Address is the TCP address to listen on.
	Address string `json:"address"`
	// ReadsPerSecond is the read capacity; 0 means DefaultReadsPerSecond.
	ReadsPerSecond int `json:"reads_per_second"`
	// Envelope and VMs are served from the start.
	Envelope config.Envelope     `json:"envelope"`
	VMs      []membership.Record `json:"vms"`
}

// RunPlatform serves a Platform on o.Address until ctx ends. It returns nil then,
// or an error if it cannot listen or serve.
func RunPlatform(ctx context.Context, o PlatformOptions) error {
	p := NewPlatform(o.ReadsPerSecond)
	if o.Envelope.Version != 0 {
		p.Publish(o.Envelope)
	}
	p.SetVMs(o.VMs)
	l, err := net.Listen("tcp", o.Address)
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	server := &http.Server{Handler: p}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "platform")
	}
	return nil
}
