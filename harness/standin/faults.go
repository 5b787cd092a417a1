package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Faults selects the faults that a backend server simulates. The zero value
// selects none.
type Faults struct {
	// SlowFactor multiplies the service time of runs that start after SetFaults;
	// 0 counts as 1.
	SlowFactor float64 `json:"slow_factor"`
	// Hang keeps runs from ending until it is cleared.
	Hang bool `json:"hang"`
	// ShedShare is the share of requests that are refused before they run.
	ShedShare float64 `json:"shed_share"`
	// HealthLag and LoadLag are the maximum ages of the reported values.
	HealthLag time.Duration `json:"health_lag"`
	LoadLag   time.Duration `json:"load_lag"`
	// ReportedStatus replaces the HTTP status of the health endpoint; 0 reports
	// the real one. ReportedLoad replaces the answer of the load endpoint; nil
	// reports the real load.
	ReportedStatus int   `json:"health_says"`
	ReportedLoad   *Load `json:"load_says"`
}

// Load is the number of running and queued requests and of slots, as the load
// endpoint reports them.
type Load struct {
	Running int64 `json:"running"`
	Queued  int64 `json:"queued"`
	Slots   int   `json:"slots"`
}

// SetFaults replaces the faults of the server, also for the runs in progress,
// except for their service time.
func (b *Backend) SetFaults(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	close(b.faultsChanged)
	b.faultsChanged = make(chan struct{})
}

func (b *Backend) currentFaults() (Faults, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults, b.faultsChanged
}

func (b *Backend) shouldShed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults.ShedShare > 0 && b.rand.Float64() < b.faults.ShedShare
}

func (b *Backend) serveHealth(w http.ResponseWriter) {
	f, _ := b.currentFaults()
	status := b.health.get(f.HealthLag, b.healthStatus)
	if f.ReportedStatus != 0 {
		status = f.ReportedStatus
	}
	w.WriteHeader(status)
}

func (b *Backend) healthStatus() int {
	if b.draining.Load() {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

func (b *Backend) serveLoad(w http.ResponseWriter) {
	f, _ := b.currentFaults()
	load := b.load.get(f.LoadLag, b.Load)
	if f.ReportedLoad != nil {
		load = *f.ReportedLoad
	}
	writeJSON(w, load)
}

// Load returns the real load of the server.
func (b *Backend) Load() Load {
	return Load{Running: b.running.Load(), Queued: b.queued.Load(), Slots: b.opts.Slots}
}

func (b *Backend) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&f); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	b.SetFaults(f)
}

// cached holds a value that is read again when it is maxAge old or older.
type cached[T any] struct {
	mu     sync.Mutex
	value  T
	readAt time.Time
}

func (c *cached[T]) get(maxAge time.Duration, read func() T) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); c.readAt.IsZero() || now.Sub(c.readAt) >= maxAge {
		c.value, c.readAt = read(), now
	}
	return c.value
}
