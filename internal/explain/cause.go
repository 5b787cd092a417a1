package explain

import (
	"fmt"
	"time"
)

// Causes says in sentences why the request, and calls that were made for it, ended as they
// did. It is empty for a request without trouble.
func (s *Story) Causes() []string {
	var causes []string
	told := make(map[string]bool)
	for i := range s.Lines {
		cause := cause(&s.Lines[i])
		if cause == "" {
			continue
		}
		if s.Lines[i].ID != s.ID {
			cause = fmt.Sprintf("its call %s: %s", s.Lines[i].ID, cause)
		}
		if !told[cause] {
			told[cause] = true
			causes = append(causes, cause)
		}
	}
	for i := range s.Around {
		l := &s.Around[i]
		if l.Event == "daemon started again" && s.lost(l.Get("upstream")) {
			causes = append(causes, fmt.Sprintf("the daemon beside upstream %s had ended; it started again at %s",
				l.Get("upstream"), l.Time.UTC().Format(time.RFC3339Nano)))
		}
	}
	return causes
}

// failed reports whether a line says that the request itself ended without success.
func (s *Story) failed() bool {
	for i := range s.Lines {
		l := &s.Lines[i]
		if l.ID != s.ID {
			continue
		}
		switch l.Event {
		case "refused", "not let in", "answer broke off", "caller left":
			return true
		case "answered":
			return l.Get("failed") == "true"
		}
	}
	return false
}

// lost reports whether an attempt at the upstream has no known end.
func (s *Story) lost(upstream string) bool {
	for i := range s.Lines {
		if l := &s.Lines[i]; l.Event == "attempt" && l.Get("result") == "lost" && l.Get("upstream") == upstream {
			return true
		}
	}
	return false
}

// cause explains a line that ends a request or an exchange against its caller.
func cause(l *Line) string {
	switch l.Event {
	case "refused":
		return refusal(l)
	case "not let in":
		return fmt.Sprintf("the service %s has no room for the calls that such requests cause (level %s of the gate)", l.Get("blocked"), l.Get("level"))
	case "backend exchange failed":
		return exchange(l)
	case "slot refused":
		return fmt.Sprintf("it waited %s s for a slot and was refused (%s)", l.Get("waited"), l.Get("reason"))
	case "answer broke off":
		return "the answer broke off while it was passed on: " + l.Get("error")
	case "caller left":
		return fmt.Sprintf("the caller left after %s s, while upstream %s had the request", l.Get("held"), l.Get("upstream"))
	case "answered":
		if l.Get("failed") == "true" {
			return fmt.Sprintf("the backend server of upstream %s answered with a failure of its own", l.Get("upstream"))
		}
	case "attempt":
		return attempt(l)
	}
	return ""
}

func attempt(l *Line) string {
	switch upstream := l.Get("upstream"); l.Get("result") {
	case "misplaced":
		return fmt.Sprintf("another backend server was at the address of upstream %s and did not run the request", upstream)
	case "silent":
		return fmt.Sprintf("the daemon beside upstream %s did not reply; the request had not been sent", upstream)
	case "lost":
		return fmt.Sprintf("upstream %s had the request and gave no complete answer", upstream)
	case "rejected":
		return fmt.Sprintf("the backend server of upstream %s refused the request without running it", upstream)
	}
	return ""
}

func exchange(l *Line) string {
	switch {
	case l.Get("reason") == "backend_down":
		return fmt.Sprintf("the backend server of upstream %s accepted no connection", l.Get("upstream"))
	case l.Get("reason") == "time_over":
		return fmt.Sprintf("the time was over %s s after the request went to the backend server of upstream %s", l.Get("elapsed"), l.Get("upstream"))
	}
	return fmt.Sprintf("the backend server of upstream %s broke off after %s s: %s", l.Get("upstream"), l.Get("elapsed"), l.Get("error"))
}

// refusal explains a final answer of a daemon's own by what decided it.
func refusal(l *Line) string {
	run := "it has not run"
	if l.Get("sent") != "0" && l.Get("sent") != "" {
		run = "it may have run"
	}
	left := "too little time was left to send it"
	if run == "it may have run" {
		left = "an attempt failed, and too little time was left for another one"
	}
	why := map[string]string{
		"wait_too_long":   fmt.Sprintf("the expected wait of %s s for one of the %s slots of upstream %s, with %s waiting, was more than the request could afford", l.Get("wait"), l.Get("limit"), l.Get("upstream"), l.Get("waiting")),
		"all_asked":       "every upstream that was asked had no room",
		"none_usable":     "no upstream of the service was usable",
		"time_left":       left,
		"time_over":       "its time was over",
		"blocked_below":   "it was not let in at the entry",
		"leaving":         "the daemon was stopping",
		"not_configured":  "the daemon had no configuration yet",
		"unknown_service": fmt.Sprintf("no route of configuration %s matches host %s and path %s", l.Get("config"), l.Get("host"), l.Get("path")),
		"bad_request":     "it was no proper request, or had no ID",
		"body_too_large":  "its body was longer than the configuration allows",
		"not_idempotent":  "an attempt failed, and a request that may run once is not repeated",
		"budget_spent":    "an attempt failed, and the budget for repeats was spent",
		"attempts_spent":  "attempts failed at as many upstreams as the route allows",
		"body_spent":      "an attempt failed after its body had been passed on",
	}[l.Get("reason")]
	if why == "" {
		why = "the deciding input was " + l.Get("reason")
	}
	return fmt.Sprintf("answered %s (%s): %s; %s", l.Get("status"), l.Get("code"), why, run)
}
