package standin

import (
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
)

// Counts holds the counters of a backend server since it was created. A simulated
// crash does not reset them: they belong to the test, not to the simulated process.
type Counts struct {
	// Arrived counts requests of a described kind; Refused those that were
	// refused before they ran; CanceledInQueue those that their caller or a crash
	// canceled before they ran.
	Arrived         int `json:"arrived"`
	Refused         int `json:"refused"`
	CanceledInQueue int `json:"canceled_in_queue"`
	// Started counts runs. Each run that has ended is in exactly one of the next
	// four counters.
	Started  int `json:"started"`
	Answered int `json:"answered"`
	Failed   int `json:"failed"`
	Canceled int `json:"canceled"`
	Crashed  int `json:"crashed"`
	// Crashes counts crashes of the server.
	Crashes int `json:"crashes"`
	// Busy is the time spent in runs, with downstream calls; Wasted is the part
	// of it that did not end in an answer.
	Busy   time.Duration `json:"busy"`
	Wasted time.Duration `json:"wasted"`
	// MaxRunning is the highest number of runs at once.
	MaxRunning int `json:"max_running"`
	// ByKind counts runs per kind, ByKey per idempotency key and ByRequest per
	// request id and kind, joined by a slash.
	ByKind    map[string]int `json:"by_kind"`
	ByKey     map[string]int `json:"by_key"`
	ByRequest map[string]int `json:"by_request"`
	// Requests counts runs per request id over all kinds.
	Requests map[string]int `json:"requests"`
}

type outcome int

const (
	outcomeAnswered outcome = iota
	outcomeFailed
	outcomeCanceled
	outcomeCrashed
)

// recorder updates the counters of a backend server. Copies share their state.
type recorder struct {
	mu      *sync.Mutex
	counts  *Counts
	running *int
}

func newRecorder() recorder {
	return recorder{mu: new(sync.Mutex), running: new(int), counts: &Counts{
		ByKind: map[string]int{}, ByKey: map[string]int{},
		ByRequest: map[string]int{}, Requests: map[string]int{},
	}}
}

func (r recorder) update(f func(c *Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.counts)
}

func (r recorder) arrived()         { r.update(func(c *Counts) { c.Arrived++ }) }
func (r recorder) refused()         { r.update(func(c *Counts) { c.Refused++ }) }
func (r recorder) canceledInQueue() { r.update(func(c *Counts) { c.CanceledInQueue++ }) }
func (r recorder) crashed()         { r.update(func(c *Counts) { c.Crashes++ }) }

// begin records the start of a run and returns the function that records its end.
func (r recorder) begin(h http.Header, kind string) func(outcome, time.Duration) {
	meta, err := callmeta.Decode(h, time.Now())
	r.update(func(c *Counts) {
		c.Started++
		c.ByKind[kind]++
		if key := h.Get(callmeta.HeaderKey); key != "" {
			c.ByKey[key]++
		}
		if err == nil {
			id := meta.RequestID.String()
			c.Requests[id]++
			c.ByRequest[id+"/"+kind]++
		}
		*r.running++
		c.MaxRunning = max(c.MaxRunning, *r.running)
	})
	return r.end
}

func (r recorder) end(o outcome, spent time.Duration) {
	r.update(func(c *Counts) {
		*r.running--
		c.Busy += spent
		if o != outcomeAnswered {
			c.Wasted += spent
		}
		switch o {
		case outcomeAnswered:
			c.Answered++
		case outcomeFailed:
			c.Failed++
		case outcomeCanceled:
			c.Canceled++
		case outcomeCrashed:
			c.Crashed++
		}
	})
}

// Counts returns a copy of the server's counters.
func (b *Backend) Counts() Counts {
	b.recorder.mu.Lock()
	defer b.recorder.mu.Unlock()
	c := *b.recorder.counts
	c.ByKind, c.ByKey = maps.Clone(c.ByKind), maps.Clone(c.ByKey)
	c.ByRequest, c.Requests = maps.Clone(c.ByRequest), maps.Clone(c.Requests)
	return c
}
