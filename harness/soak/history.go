package soak

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Outcome is how a request ended for its caller.
type Outcome uint8

const (
	// Waiting means that the request had no outcome when the history ended.
	Waiting Outcome = iota
	// Answered means that a complete answer arrived.
	Answered
	// Cut means that the connection ended without a complete answer.
	Cut
	// Left means that the caller closed the connection or reached its time limit.
	Left
)

// Request is one request of a caller. Times count from the start of the history.
type Request struct {
	ID, Kind string
	// VM is the index of the VM whose daemon was asked, Conn identifies the connection.
	VM, Conn int
	// Safe requests may run more than once.
	Safe bool
	// Reused is set if an answer had arrived on the connection before, Behind if the request was
	// sent behind another one without an answer, Call if a backend server sent it.
	Reused, Behind, Call bool
	// Begin is when the first byte was written, Sent when the last one was, 0 if it never was.
	Begin, Sent time.Duration
	// Limit is the time limit stated to the daemon, Timeout the least that a route may set.
	Limit, Timeout time.Duration
	Outcome        Outcome
	// At is when the outcome was known.
	At     time.Duration
	Status int
	// Sealed is set if the answer bears the seal of a backend server.
	Sealed bool
	// Partial is set if part of an answer arrived before the connection ended.
	Partial bool
	// Problem describes an answer that is not the one to this request; Error is that of the connection.
	Problem, Error string
}

// End is how a run ended.
type End uint8

const (
	// Running means that the run had not ended when the history did.
	Running End = iota
	// Finished means that the complete answer was written.
	Finished
	// Dropped means that the connection to the backend server closed while it was running.
	Dropped
	// BrokenOff means that the backend server itself ended the run or its answer early.
	BrokenOff
)

// Run is one execution of a request by the backend server of a VM.
type Run struct {
	ID       string
	VM       int
	Start    time.Duration
	Finished time.Duration
	End      End
}

// EventKind is what happened to the process of a VM, or to the deployment.
type EventKind string

// The kinds of events.
const (
	Start     EventKind = "start"
	Exit      EventKind = "exit"
	Terminate EventKind = "SIGTERM"
	Reload    EventKind = "SIGHUP"
	Kill      EventKind = "SIGKILL"
	Pause     EventKind = "SIGSTOP"
	Resume    EventKind = "SIGCONT"
	// GraceOver is a SIGKILL after the grace time.
	GraceOver EventKind = "SIGKILL after the grace time"
	// OverMemory is a process over its memory limit.
	OverMemory EventKind = "over the memory limit"
	// LogProblem is a line of a log that tells of a panic or a data race.
	LogProblem EventKind = "log"
	// NewConfig is the writing of a configuration.
	NewConfig EventKind = "configuration"
	// StoreFault and StoreSound bound a fault of the store.
	StoreFault EventKind = "store fault"
	StoreSound EventKind = "store sound"
	// LinkFault and LinkSound bound a fault of the connections of other daemons to that of the VM.
	LinkFault EventKind = "link fault"
	LinkSound EventKind = "link sound"
	// UpstreamFault is a fault of the backend server of a VM.
	UpstreamFault EventKind = "backend server"
)

// Event is an event of a VM, or of the deployment, with VM -1.
type Event struct {
	VM     int
	At     time.Duration
	Kind   EventKind
	Detail string
	// Grace is the grace time in force, of Terminate.
	Grace time.Duration
	// Failed is set for an Exit that is not exit code 0.
	Failed bool
}

// History is what was seen on the sockets, and what was done to the processes. It is safe for
// concurrent use until it is checked.
type History struct {
	start time.Time

	mu       sync.Mutex
	requests []*Request
	runs     []*Run
	events   []Event
}

// NewHistory returns an empty history that starts now.
func NewHistory() *History { return &History{start: time.Now()} }

func (h *History) now() time.Duration { return time.Since(h.start) }

func (h *History) addRequest(r *Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, r)
}

// end records the outcome of a request, unless it has one.
func (h *History) end(r *Request, outcome Outcome, set func()) {
	at := h.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.Outcome != Waiting {
		return
	}
	r.Outcome, r.At = outcome, at
	if set != nil {
		set()
	}
}

func (h *History) beginRun(id string, vm int) *Run {
	run := &Run{ID: id, VM: vm, Start: h.now()}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs = append(h.runs, run)
	return run
}

func (h *History) endRun(run *Run, end End) {
	at := h.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	run.Finished, run.End = at, end
}

func (h *History) addEvent(e Event) {
	if e.At == 0 {
		e.At = h.now()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, e)
}

// WriteJSON writes the history as one JSON object. Times are in nanoseconds.
func (h *History) WriteJSON(w io.Writer) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return json.NewEncoder(w).Encode(map[string]any{"requests": h.requests, "runs": h.runs, "events": h.events})
}
