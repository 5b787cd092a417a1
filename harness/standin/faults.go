package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Faults is what a backend server does wrong. The zero value is a healthy server.
type Faults struct {
	// SlowFactor multiplies the service time of runs that start from now on; 0
	// counts as 1.
	SlowFactor float64 `json:"slow_factor"`
	// Hang keeps runs from ending until it is cleared.
	Hang bool `json:"hang"`
	// ShedShare is the share of requests that are refused before they run.
	ShedShare float64 `json:"shed_share"`
	// HealthLag and LoadLag are how old the reported values may be.
	HealthLag time.Duration `json:"health_lag"`
	LoadLag   time.Duration `json:"load_lag"`
	// HealthSays replaces the HTTP status of the health endpoint; 0 reports the
	// real one. LoadSays replaces the reported load; nil reports the real one.
	HealthSays int   `json:"health_says"`
	LoadSays   *Load `json:"load_says"`
}

// Load is the answer of the load endpoint.
type Load struct {
	Running int64 `json:"running"`
	Queued  int64 `json:"queued"`
	Slots   int   `json:"slots"`
}

// SetFaults replaces the faults of the server.
func (b *Backend) SetFaults(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	close(b.change)
	b.change = make(chan struct{})
}

func (b *Backend) currentFaults() (Faults, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults, b.change
}

func (b *Backend) shedNow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults.ShedShare > 0 && b.rand.Float64() < b.faults.ShedShare
}

func (b *Backend) serveHealth(w http.ResponseWriter) {
	f, _ := b.currentFaults()
	status := b.health.get(f.HealthLag, b.healthStatus)
	if f.HealthSays != 0 {
		status = f.HealthSays
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
	if f.LoadSays != nil {
		load = *f.LoadSays
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

// lagged returns a value that is read again only when the last reading is older
// than the lag.
type lagged[T any] struct {
	mu    sync.Mutex
	value T
	at    time.Time
}

func (l *lagged[T]) get(lag time.Duration, read func() T) T {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.at.IsZero() || now.Sub(l.at) >= lag {
		l.value, l.at = read(), now
	}
	return l.value
}
