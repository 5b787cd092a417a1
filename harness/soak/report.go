package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// Report is the result of a run.
type Report struct {
	Seed     uint64        `json:"seed"`
	Duration time.Duration `json:"duration"`
	// Requests counts the requests by outcome: the status of the answer, or how they ended without one.
	Requests map[string]int `json:"requests"`
	Runs     int            `json:"runs"`
	// Events counts what was done to processes and the store.
	Events map[EventKind]int `json:"events"`
	// Faults are the injected faults in their order.
	Faults   []Event   `json:"faults"`
	PeakMB   int64     `json:"peak_mb"`
	Findings []Finding `json:"findings"`
	// Excused counts the requests without a complete answer that break no promise, by the reason.
	Excused map[string]int `json:"excused"`
	// Logs holds the paths of the daemons' logs, by VM.
	Logs []string `json:"logs"`
	// Seconds holds the load over time.
	Seconds []Second `json:"seconds"`
	// History is what the report was made from.
	History *History `json:"-"`
}

// Second counts the requests that ended within one second of the run.
type Second struct {
	Served  int `json:"served"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	Cut     int `json:"cut"`
	Left    int `json:"left"`
}

// OK reports whether no promise was broken.
func (r *Report) OK() bool { return len(r.Findings) == 0 }

func (s *soak) report() *Report {
	h := s.history
	report := &Report{History: h, Seed: s.options.Seed, Duration: s.options.Duration, Requests: make(map[string]int), Events: make(map[EventKind]int)}
	report.Findings, report.Excused = Check(h, DefaultTerms)
	h.mu.Lock()
	defer h.mu.Unlock()
	report.Runs = len(h.runs)
	for _, e := range h.events {
		report.Events[e.Kind]++
		switch e.Kind {
		case Start, Exit, LogProblem:
		default:
			report.Faults = append(report.Faults, e)
		}
	}
	report.Seconds = make([]Second, int(h.now().Seconds())+1)
	for _, r := range h.requests {
		name := [...]string{"waiting", "", "cut", "left"}[r.Outcome]
		second := &report.Seconds[min(int(r.At.Seconds()), len(report.Seconds)-1)]
		switch {
		case r.Outcome == Cut:
			second.Cut++
		case r.Outcome == Left:
			second.Left++
		case r.Outcome == Answered:
			name = fmt.Sprint(r.Status)
			switch {
			case r.Status/100 == 2:
				second.Served++
			case r.Status == 503 || r.Status == 429:
				second.Refused++
			default:
				second.Failed++
			}
		}
		report.Requests[name]++
	}
	for _, v := range s.vms {
		report.PeakMB = max(report.PeakMB, v.peakMB)
		report.Logs = append(report.Logs, v.log)
	}
	return report
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes a summary and the findings.
func (r *Report) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "seed %d: %d runs, requests %v, events %v, excused %v, peak %d MB, %d findings\n", r.Seed, r.Runs, r.Requests, r.Events, r.Excused, r.PeakMB, len(r.Findings))
	for _, f := range r.Findings {
		log := ""
		if f.VM >= 0 && f.VM < len(r.Logs) {
			log = r.Logs[f.VM]
		}
		if err == nil {
			_, err = fmt.Fprintf(w, "%s %s vm %d at %.3f s: %s (log %s)\n", f.Rule, f.ID, f.VM, f.At.Seconds(), f.Detail, log)
		}
	}
	return err
}
