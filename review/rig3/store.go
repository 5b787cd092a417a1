package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPageItems is the number of items in a page of a listing.
const maxPageItems = 500

// item is one item of the store, or an event of a watch.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	address string

	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision int64
	changed  chan struct{}
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), items: make(map[string]item), revision: 1, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes a value as JSON. Its return is the acknowledgement.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Value: data, Revision: s.revision, Created: s.revision}
	if known, ok := s.items[key]; ok {
		i.Created = known.Created
	}
	s.items[key] = i
	s.publish(i)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.publish(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) publish(event item) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/api/kv-range":
		s.serveRange(w, r)
	case "/api/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			items = append(items, i)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	truncated := len(items) > maxPageItems
	if truncated {
		items = items[:maxPageItems]
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "truncated": truncated, "asOf": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		changed, asOf := s.changed, s.revision
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || over {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// route is a route of a configuration.
type route struct {
	name, prefix, routeType, service string
	timeoutS                         float64
}

const routeHost = "h.example"

// putConfig writes a configuration.
func (s *store) putConfig(version int, routes []route) {
	rows, services, named := [][]any{}, [][]any{}, make(map[string]bool)
	for _, r := range routes {
		rows = append(rows, []any{r.name, routeHost, r.prefix, r.routeType, r.timeoutS, 1.0, 0, nil, 2, r.service})
		if !named[r.service] {
			named[r.service] = true
			services = append(services, []any{r.service, "/healthz", 358})
		}
	}
	s.put("op/config", map[string]any{
		"version": fmt.Sprintf("%08x", version),
		"routes": map[string]any{"columns": []string{"name", "host", "prefix", "routeType", "timeoutS", "targetLatencyS",
			"priority", "trafficSplit", "maxAttempts", "service"}, "rows": rows},
		"services": map[string]any{"columns": []string{"name", "healthPath", "maxConnections"}, "rows": services},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutS": 3, "idleTimeoutS": 15},
	})
}
