package soak

import (
	"slices"
	"testing"
	"time"
)

// at is a moment of a history, in seconds.
func at(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// cut is a request that was sent within 10 ms and whose connection ended without an answer.
func cut(begin, end float64, change func(*Request)) *Request {
	r := &Request{ID: "q", VM: 0, Begin: at(begin), Sent: at(begin + 0.01), Limit: at(5), Timeout: at(4), Outcome: Cut, At: at(end)}
	if change != nil {
		change(r)
	}
	return r
}

func answered(status int, change func(*Request)) *Request {
	return cut(10, 11, func(r *Request) {
		r.Outcome, r.Status = Answered, status
		if change != nil {
			change(r)
		}
	})
}

func run(vm int, from, to float64, end End) *Run {
	return &Run{ID: "q", VM: vm, Start: at(from), Finished: at(to), End: end}
}

func event(vm int, s float64, kind EventKind) Event {
	return Event{VM: vm, At: at(s), Kind: kind, Grace: at(6)}
}

func reused(r *Request) { r.Reused = true }
func safe(r *Request)   { r.Safe = true }

var checkCases = []struct {
	name    string
	request *Request
	runs    []*Run
	events  []Event
	want    []string
}{
	{name: "kept connection closed while its request runs", request: cut(10, 10.5, reused), runs: []*Run{run(1, 10.1, 10.5, Dropped)}, want: []string{"LOST"}},
	{name: "kept connection closed after the run", request: cut(10, 10.5, reused), runs: []*Run{run(1, 10.1, 10.4, Finished)}, want: []string{"LOST"}},
	{name: "kept connection closed beside the kill of another VM", request: cut(10, 10.5, reused), runs: []*Run{run(1, 10.1, 10.5, Dropped)},
		events: []Event{event(1, 10.4, Kill)}, want: []string{"LOST"}},
	{name: "kept connection closed as a request arrives", request: cut(10, 10.1, reused)},
	{name: "backend server broke off", request: cut(10, 10.5, reused), runs: []*Run{run(1, 10.1, 10.5, BrokenOff)}},
	{name: "process killed", request: cut(10, 10.5, reused), runs: []*Run{run(0, 10.1, 10.5, Dropped)}, events: []Event{event(0, 10.4, Kill)}},
	{name: "process paused until shortly before", request: cut(10, 10.5, reused), events: []Event{event(0, 8, Pause), event(0, 9, Resume)}},
	{name: "process paused and resumed long before", request: cut(10, 10.5, reused), events: []Event{event(0, 3, Pause), event(0, 4, Resume)}, want: []string{"LOST"}},
	{name: "new connection closed during a stop, passed on", request: cut(10, 10.5, nil), runs: []*Run{run(1, 10.1, 10.5, Dropped)},
		events: []Event{event(0, 10.2, Terminate)}, want: []string{"LOST"}},
	{name: "connection closed by a stop after the slack, not passed on", request: cut(10, 10.5, nil), events: []Event{event(0, 9, Terminate)}, want: []string{"LOST"}},
	{name: "connection closed by a stop within the slack, not passed on", request: cut(10, 10.2, nil), events: []Event{event(0, 9, Terminate)}},
	{name: "store away during a stop", request: cut(10, 10.5, nil), events: []Event{event(0, 9, Terminate), event(-1, 8, StoreFault)}, want: []string{"LOST"}},
	{name: "request sent behind another, not passed on", request: cut(10, 10.5, func(r *Request) { r.Behind = true }), events: []Event{event(0, 9, Terminate)}},
	{name: "request sent behind another, passed on", request: cut(10, 10.5, func(r *Request) { r.Behind = true }), runs: []*Run{run(1, 10.1, 10.2, Finished)},
		events: []Event{event(0, 9, Terminate)}, want: []string{"LOST"}},
	{name: "run in the last sixth of the grace time", request: cut(10, 14.4, func(r *Request) { r.Timeout = at(9); r.Limit = at(9) }),
		runs: []*Run{run(1, 10.1, 14.4, Dropped)}, events: []Event{event(0, 9, Terminate)}},
	{name: "run in the last sixth of the grace time, sent late", request: cut(12.5, 14.4, nil),
		runs: []*Run{run(1, 12.6, 14.4, Dropped)}, events: []Event{event(0, 9, Terminate)}, want: []string{"LOST"}},
	{name: "time limit reached", request: cut(10, 14.1, reused), runs: []*Run{run(1, 10.1, 14.1, Dropped)}},
	{name: "half a request", request: cut(10, 11, func(r *Request) { r.Sent = 0 }), events: []Event{event(0, 9, Terminate)}},
	{name: "connection closed beside a reload", request: cut(10, 10.5, nil), events: []Event{event(0, 9.5, Reload), event(-1, 9, StoreFault)}, want: []string{"LOST"}},
	{name: "connection closed long after a reload, store away", request: cut(10, 10.5, nil), events: []Event{event(0, 4, Reload), event(-1, 9, StoreFault)}},
	{name: "connection closed for no reason", request: cut(10, 10.5, nil), want: []string{"LOST"}},
	{name: "run replaced by a stopping daemon", request: answered(502, nil), runs: []*Run{run(1, 10.1, 11, Dropped)},
		events: []Event{event(0, 9, Terminate)}, want: []string{"LOST"}},
	{name: "run replaced by the process after the stop", request: answered(502, nil), runs: []*Run{run(1, 10.1, 11, Dropped)},
		events: []Event{event(0, 7, Terminate), event(0, 8, Start)}},
	{name: "run replaced without a stop", request: answered(502, nil), runs: []*Run{run(1, 10.1, 11, Dropped)}},
	{name: "run twice", request: answered(200, nil), runs: []*Run{run(1, 10.1, 10.2, Dropped), run(2, 10.3, 10.9, Finished)}, want: []string{"TWICE"}},
	{name: "safe request run twice", request: answered(200, safe), runs: []*Run{run(1, 10.1, 10.2, Dropped), run(2, 10.3, 10.9, Finished)}},
	{name: "refused and run later", request: answered(503, nil), runs: []*Run{run(1, 12, 13, Finished)}, want: []string{"REFUSED"}},
	{name: "refused and not run", request: answered(503, nil)},
	{name: "answer of another request", request: answered(200, func(r *Request) { r.Problem = "seal" }), runs: []*Run{run(1, 10.1, 10.2, Finished)}, want: []string{"MIXED"}},
}

func TestCheckFindsBrokenPromisesOfRequests(t *testing.T) {
	for _, test := range checkCases {
		h := NewHistory()
		h.requests, h.runs, h.events = []*Request{test.request}, test.runs, test.events
		if got := rules(Check(h, DefaultTerms)); !slices.Equal(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

func rules(findings []Finding, _ map[string]int) []string {
	var names []string
	for _, f := range findings {
		names = append(names, f.Rule)
	}
	return names
}

func TestCheckFindsFaultsOfProcesses(t *testing.T) {
	failed := Event{VM: 0, At: at(5), Kind: Exit, Failed: true}
	exited := Event{VM: 0, At: at(5), Kind: Exit}
	for _, test := range []struct {
		name   string
		events []Event
		want   []string
	}{
		{name: "stop", events: []Event{event(0, 0, Start), event(0, 4, Terminate), exited, event(0, 6, Start)}},
		{name: "kill", events: []Event{event(0, 0, Start), event(0, 4, Kill), failed}},
		{name: "end by itself", events: []Event{event(0, 0, Start), failed}, want: []string{"FAULT"}},
		{name: "end by itself with exit code 0", events: []Event{event(0, 0, Start), exited}, want: []string{"FAULT"}},
		{name: "end by a reload", events: []Event{event(0, 0, Start), event(0, 4, Reload), failed}, want: []string{"FAULT"}},
		{name: "end with an error after SIGTERM", events: []Event{event(0, 0, Start), event(0, 4, Terminate), failed}, want: []string{"FAULT"}},
		{name: "end by itself after an earlier kill", events: []Event{event(0, 0, Start), event(0, 1, Kill), event(0, 2, Exit), event(0, 3, Start), failed}, want: []string{"FAULT"}},
		{name: "still there after the grace time", events: []Event{event(0, 0, Start), event(0, 4, Terminate), event(0, 4.9, GraceOver), failed}, want: []string{"FAULT"}},
		{name: "paused during the grace time", events: []Event{event(0, 0, Start), event(0, 3, Pause), event(0, 4, Terminate), event(0, 4.5, Resume), event(0, 4.9, GraceOver), failed}},
		{name: "paused before the grace time", events: []Event{event(0, 0, Start), event(0, 2, Pause), event(0, 3, Resume), event(0, 4, Terminate), event(0, 4.9, GraceOver), failed}, want: []string{"FAULT"}},
		{name: "too much memory", events: []Event{event(0, 0, Start), event(0, 4, OverMemory)}, want: []string{"FAULT"}},
		{name: "data race in a log", events: []Event{event(0, 0, Start), event(0, 4, LogProblem)}, want: []string{"FAULT"}},
	} {
		h := NewHistory()
		h.events = test.events
		if got := rules(Check(h, DefaultTerms)); !slices.Equal(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}
