package soak

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Terms are the bounds that the promises name.
type Terms struct {
	// Stable is how long a VM must have been undisturbed for the promises to hold for it.
	Stable time.Duration
	// LossSlack is how long a request that crosses a close may have waited.
	LossSlack time.Duration
	// ConfigApply is how long requests count as sent beside a reload.
	ConfigApply time.Duration
}

// DefaultTerms are the terms of the deployments.
var DefaultTerms = Terms{Stable: 3 * time.Second, LossSlack: 200 * time.Millisecond, ConfigApply: 2 * time.Second}

const (
	// measuringSlack allows for the delay between an event and its record.
	measuringSlack = 50 * time.Millisecond
	// lateSentWithin and lastShareOfGrace: a run still under way in the last share of the grace time, of a
	// request that was sent this soon after SIGTERM, may be broken off.
	lateSentWithin   = 3 * time.Second
	lastShareOfGrace = 1.0 / 6
	// afterGrace is how long after the grace time a close still belongs to a stop.
	afterGrace = time.Second
)

// Finding is a broken promise.
type Finding struct {
	Rule   string        `json:"rule"`
	ID     string        `json:"id,omitempty"`
	VM     int           `json:"vm"`
	At     time.Duration `json:"at"`
	Detail string        `json:"detail"`
}

// Check returns the promises that a history breaks, and the number of requests whose connection ended
// without a complete answer, by the reason for which they do not count.
func Check(h *History, terms Terms) ([]Finding, map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := &checker{terms: terms, runs: make(map[string][]*Run), events: make(map[int][]Event), excused: make(map[string]int)}
	for _, run := range h.runs {
		c.runs[run.ID] = append(c.runs[run.ID], run)
	}
	for _, e := range h.events {
		c.events[e.VM] = append(c.events[e.VM], e)
	}
	for _, events := range c.events {
		sort.SliceStable(events, func(i, j int) bool { return events[i].At < events[j].At })
	}
	for _, r := range h.requests {
		c.checkRequest(r)
	}
	for _, events := range c.events {
		c.checkProcess(events)
	}
	sort.Slice(c.findings, func(i, j int) bool { return c.findings[i].At < c.findings[j].At })
	return c.findings, c.excused
}

type checker struct {
	terms    Terms
	runs     map[string][]*Run
	events   map[int][]Event
	findings []Finding
	excused  map[string]int
}

func (c *checker) find(rule string, r *Request, format string, args ...any) {
	detail := fmt.Sprintf(format, args...) + fmt.Sprintf(" [%s conn %d, begin %.3f sent %.3f end %.3f, reused %t behind %t call %t, status %d, %s%s]",
		r.Kind, r.Conn, r.Begin.Seconds(), r.Sent.Seconds(), r.At.Seconds(), r.Reused, r.Behind, r.Call, r.Status, r.Error, c.describeRuns(r))
	c.findings = append(c.findings, Finding{Rule: rule, ID: r.ID, VM: r.VM, At: r.At, Detail: detail})
}

func (c *checker) describeRuns(r *Request) string {
	var text strings.Builder
	for _, run := range c.runs[r.ID] {
		fmt.Fprintf(&text, "; run on vm %d %.3f to %.3f %s", run.VM, run.Start.Seconds(), run.Finished.Seconds(),
			[...]string{"running", "finished", "dropped", "broken off"}[run.End])
	}
	return text.String()
}

func (c *checker) checkRequest(r *Request) {
	runs := c.runs[r.ID]
	if !r.Safe && len(runs) > 1 {
		c.find("TWICE", r, "ran %d times", len(runs))
	}
	if r.Problem != "" {
		c.find("MIXED", r, "%s", r.Problem)
	}
	if r.Outcome == Answered && !r.Safe && len(runs) > 0 {
		switch r.Status {
		case 408, 421, 429, 503:
			c.find("REFUSED", r, "answered %d, and ran", r.Status)
		}
	}
	switch {
	case r.Outcome == Cut:
		c.checkCut(r, runs)
	case r.Outcome == Answered && !r.Sealed && r.Status >= 500:
		c.checkReplaced(r, runs)
	}
}

// checkCut decides whether a request whose connection ended without a complete answer was lost.
func (c *checker) checkCut(r *Request, runs []*Run) {
	passedOn := len(runs) > 0
	excuse := ""
	switch cause := c.plannedWork(r, runs); {
	case r.Sent == 0:
		excuse = "not sent completely"
	case !passedOn && r.Behind:
		excuse = "behind another request"
	case !passedOn && r.At-r.Sent <= c.terms.LossSlack:
		excuse = "crossed the close"
	case r.At >= r.Begin+min(r.Limit, r.Timeout)-measuringSlack:
		excuse = "time limit"
	case brokenOff(runs):
		excuse = "broken off by the backend server"
	case r.Reused && passedOn && !r.Partial && c.inTouch(r.VM, r.At):
		c.find("LOST", r, "kept connection closed without an answer")
	case !c.calm(r, runs):
		excuse = "killed or paused process"
	case cause != "":
		c.find("LOST", r, "beside %s", cause)
	case c.inTouch(r.VM, r.At):
		c.find("LOST", r, "without any cause in the history")
	default:
		excuse = "other"
	}
	if excuse != "" {
		c.excused[excuse]++
	}
}

// checkReplaced decides whether a stopping daemon replaced the answer of a run under way.
func (c *checker) checkReplaced(r *Request, runs []*Run) {
	if r.At >= r.Begin+min(r.Limit, r.Timeout)-measuringSlack || brokenOff(runs) {
		return
	}
	for _, run := range runs {
		if run.Start <= r.At && run.End == Dropped && run.Finished >= r.At-c.terms.LossSlack {
			if term, ok := c.stopOf(r, runs); ok && c.calm(r, runs) {
				c.find("LOST", r, "run broken off and answered by the daemon after the SIGTERM at %.3f", term.At.Seconds())
			}
		}
	}
}

func brokenOff(runs []*Run) bool {
	for _, run := range runs {
		if run.End == BrokenOff {
			return true
		}
	}
	return false
}

// stopOf returns the SIGTERM of the asked VM that binds the request.
func (c *checker) stopOf(r *Request, runs []*Run) (Event, bool) {
	for _, e := range c.events[r.VM] {
		if e.Kind != Terminate || r.At < e.At || r.At > e.At+e.Grace+afterGrace || c.startedBetween(r.VM, e.At, r.Begin) {
			continue
		}
		lastShare := e.At + time.Duration((1-lastShareOfGrace)*float64(e.Grace))
		for _, run := range runs {
			if r.Sent <= e.At+lateSentWithin && (run.End == Running || run.Finished >= lastShare) {
				return Event{}, false
			}
		}
		return e, true
	}
	return Event{}, false
}

// startedBetween reports whether a process of the VM was started between two times.
func (c *checker) startedBetween(vm int, from, to time.Duration) bool {
	for _, e := range c.events[vm] {
		if e.Kind == Start && e.At > from && e.At < to {
			return true
		}
	}
	return false
}

// plannedWork returns the planned work beside which the request was cut, or an empty string.
func (c *checker) plannedWork(r *Request, runs []*Run) string {
	if e, ok := c.stopOf(r, runs); ok {
		return fmt.Sprintf("the SIGTERM at %.3f", e.At.Seconds())
	}
	for _, e := range c.events[r.VM] {
		if e.Kind == Reload && r.Sent >= e.At && r.Sent <= e.At+c.terms.ConfigApply {
			return fmt.Sprintf("the SIGHUP at %.3f", e.At.Seconds())
		}
	}
	return ""
}

// calm reports whether the asked VM and those of the runs had no unplanned disruption from the stable
// time before the request to its end.
func (c *checker) calm(r *Request, runs []*Run) bool {
	vms := []int{r.VM}
	for _, run := range runs {
		vms = append(vms, run.VM)
	}
	for _, vm := range vms {
		if c.impaired(vm, r.Begin-c.terms.Stable, r.At) {
			return false
		}
	}
	return true
}

// impaired reports whether the process of a VM was killed or paused, or its links failed, between two
// times, or was still in that state.
func (c *checker) impaired(vm int, from, to time.Duration) bool {
	down := false
	for _, e := range c.events[vm] {
		if e.At > to {
			break
		}
		switch e.Kind {
		case Kill, Pause, LinkFault:
			down = true
		case Start, Resume, LinkSound:
			if down && e.At >= from {
				return true
			}
			down = false
		}
		if down && e.At >= from {
			return true
		}
	}
	return down
}

// inTouch reports whether the process of a VM had run, and the store had been sound, for the stable time
// before a moment.
func (c *checker) inTouch(vm int, at time.Duration) bool {
	from := at - c.terms.Stable
	if c.impaired(vm, from, at) {
		return false
	}
	for _, e := range c.events[vm] {
		if (e.Kind == Terminate || e.Kind == Start || e.Kind == GraceOver) && e.At >= from && e.At <= at {
			return false
		}
	}
	// A stop that began earlier lasts until the next start.
	stopping := false
	for _, e := range c.events[vm] {
		if e.At > at {
			break
		}
		switch e.Kind {
		case Terminate, GraceOver:
			stopping = true
		case Start:
			stopping = false
		}
	}
	faults := 0
	for _, e := range c.events[-1] {
		if e.At > at {
			break
		}
		switch e.Kind {
		case StoreFault:
			faults++
		case StoreSound:
			faults--
		default:
			continue
		}
		if e.At >= from {
			return false
		}
	}
	return !stopping && faults == 0
}

// checkProcess checks the events of one VM in their order.
func (c *checker) checkProcess(events []Event) {
	fault := func(e Event, format string, args ...any) {
		c.findings = append(c.findings, Finding{Rule: "FAULT", VM: e.VM, At: e.At, Detail: fmt.Sprintf(format, args...)})
	}
	var started time.Duration
	terminated, killed, paused := false, false, false // paused: during a stop
	for _, e := range events {
		switch e.Kind {
		case Start:
			started, terminated, killed, paused = e.At, false, false, false
		case Terminate:
			terminated = true
		case Pause, Resume:
			paused = paused || terminated || e.Kind == Pause
			if e.Kind == Resume && !terminated {
				paused = false
			}
		case Kill:
			killed = true
		case GraceOver:
			killed = true
			if paused {
				continue
			}
			fault(e, "still running at the end of the grace time")
		case OverMemory, LogProblem:
			fault(e, "%s", e.Detail)
		case Exit:
			switch {
			case killed:
			case !terminated:
				fault(e, "process ended by itself %.3f s after its start: %s", (e.At - started).Seconds(), e.Detail)
			case e.Failed:
				fault(e, "process ended with an error after SIGTERM, %.3f s after its start: %s", (e.At - started).Seconds(), e.Detail)
			}
		}
	}
}
