package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems and pageBytes bound one page of kv-range.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

// history is historyS of the settings: how long the store keeps its events.
const history = 20 * time.Second

// item is an item of the store, or the removal of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
	at       time.Time
}

// store is a sound metadata store: linearizable, without faults.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	items    map[string]item
	events   []item
	dropped  int64 // revision of the latest event that is not kept any more
	revision int64
	changed  chan struct{}
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, items: make(map[string]item), revision: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.serveKey)
	mux.HandleFunc("GET /api/kv-range", s.serveRange)
	mux.HandleFunc("GET /api/kv-watch", s.serveWatch)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes an item and returns its revision.
func (s *store) put(key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.putBytes(key, data)
}

func (s *store) putBytes(key string, data []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Value: data, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.notify(i)
	return s.revision
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.notify(item{Key: key, Revision: s.revision, Removed: true})
}

// notify records an event and wakes the watches. s.mu is held.
func (s *store) notify(i item) {
	i.at = time.Now()
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, i)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	page := make([]item, 0)
	s.mu.Lock()
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page = append(page, i)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(page, func(a, b int) bool { return page[a].Key < page[b].Key })
	n, bytes := 0, 0
	for n < len(page) && n < pageItems && (n == 0 || bytes+len(page[n].Value) <= pageBytes) {
		bytes += len(page[n].Value)
		n++
	}
	truncated := n < len(page)
	page = page[:n]
	writeJSON(w, map[string]any{"items": page, "truncated": truncated, "asOf": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timeout.Stop()
	for {
		events := make([]item, 0)
		s.mu.Lock()
		for len(s.events) > 0 && time.Since(s.events[0].at) > history {
			s.dropped = s.events[0].Revision
			s.events = s.events[1:]
		}
		gone := after < s.dropped
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeJSON(w, map[string]any{"events": events, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// table encodes records by columns.
func table(columns []string, rows ...[]any) map[string]any {
	if rows == nil {
		rows = [][]any{}
	}
	return map[string]any{"columns": columns, "rows": rows}
}

// route is a route of a configuration.
type route struct {
	name, prefix, kind, service string
	timeoutS, targetS           float64
	priority, maxAttempts       int
}

// host is the host of all routes.
const host = "hulo84.example"

// putConfig writes a configuration.
func (s *store) putConfig(version int, services []string, limits map[string]any, routes ...route) {
	var routeRows, serviceRows [][]any
	for _, r := range routes {
		routeRows = append(routeRows, []any{r.name, host, r.prefix, r.service, nil, r.kind, r.timeoutS, r.targetS, r.priority, r.maxAttempts})
	}
	for _, name := range services {
		serviceRows = append(serviceRows, []any{name, "/healthz", 358})
	}
	s.put("op/config", map[string]any{
		"version":  versionText(version),
		"routes":   table([]string{"name", "host", "prefix", "service", "trafficSplit", "routeType", "timeoutS", "targetLatencyS", "priority", "maxAttempts"}, routeRows...),
		"services": table([]string{"name", "healthPath", "maxConnections"}, serviceRows...),
		"limits":   limits,
	})
}

func versionText(version int) string {
	text := strconv.FormatInt(int64(version), 16)
	return strings.Repeat("0", 8-len(text)) + text
}

// usualLimits are the limits of requests in a configuration.
func usualLimits() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutS": 3, "idleTimeoutS": 15}
}
