package explain

import (
	"fmt"
	"time"
)

// Causes returns sentences that explain the failures of the request, of its attempts and of the
// calls made for it. It returns none for a request without failures.
func (r *Report) Causes() []string {
	var causes []string
	seen := make(map[string]bool)
	for i := range r.Lines {
		cause := cause(&r.Lines[i])
		if cause == "" {
			continue
		}
		if r.Lines[i].ID != r.ID {
			cause = fmt.Sprintf("its call %s: %s", r.Lines[i].ID, cause)
		}
		if !seen[cause] {
			seen[cause] = true
			causes = append(causes, cause)
		}
	}
	for i := range r.UpstreamLines {
		l := &r.UpstreamLines[i]
		if l.Event == "daemon started again" && r.attemptLost(l.Get("upstream")) {
			causes = append(causes, fmt.Sprintf("the daemon beside upstream %s had ended; it started again at %s",
				l.Get("upstream"), l.Time.UTC().Format(time.RFC3339Nano)))
		}
	}
	return causes
}

// failed reports whether the lines show that the request itself, not just a call made for it,
// failed.
func (r *Report) failed() bool {
	for i := range r.Lines {
		l := &r.Lines[i]
		if l.ID != r.ID {
			continue
		}
		switch l.Event {
		case "refused", "not let in", "answer broke off", "caller left", "request cut":
			return true
		case "answered":
			return l.Get("failed") == "true"
		}
	}
	return false
}

// attemptLost reports whether an attempt at the upstream has an unknown outcome.
func (r *Report) attemptLost(upstream string) bool {
	for i := range r.Lines {
		if l := &r.Lines[i]; l.Event == "attempt" && l.Get("result") == "lost" && l.Get("upstream") == upstream {
			return true
		}
	}
	return false
}

// cause explains a line that reports a failed request, attempt or backend exchange. It returns
// an empty string for other lines.
func cause(l *Line) string {
	switch l.Event {
	case "refused":
		return refusalCause(l)
	case "not let in":
		return fmt.Sprintf("the service %s has no room for the calls that such requests cause (level %s of the gate)", l.Get("blocked"), l.Get("level"))
	case "backend exchange failed":
		return exchangeCause(l)
	case "slot refused":
		return fmt.Sprintf("it waited %s s for a slot and was refused (%s)", l.Get("waited"), l.Get("reason"))
	case "answer broke off":
		return "the answer broke off while it was passed on: " + l.Get("error")
	case "caller left":
		return fmt.Sprintf("the caller left after %s s, while upstream %s had the request", l.Get("held"), l.Get("upstream"))
	case "request cut":
		return fmt.Sprintf("the daemon closed and cut it after %s s, while upstream %s had the request", l.Get("held"), l.Get("upstream"))
	case "answered":
		if l.Get("failed") == "true" {
			return fmt.Sprintf("the backend server of upstream %s answered with a failure of its own", l.Get("upstream"))
		}
	case "attempt":
		return attemptCause(l)
	}
	return ""
}

func attemptCause(l *Line) string {
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

func exchangeCause(l *Line) string {
	switch {
	case l.Get("reason") == "backend_down":
		return fmt.Sprintf("the backend server of upstream %s accepted no connection", l.Get("upstream"))
	case l.Get("reason") == "time_over":
		return fmt.Sprintf("the time was over %s s after the request went to the backend server of upstream %s", l.Get("elapsed"), l.Get("upstream"))
	case l.Get("reason") == "broken_answer":
		return fmt.Sprintf("the backend server of upstream %s answered after %s s with a broken answer, and may have run the request: %s", l.Get("upstream"), l.Get("elapsed"), l.Get("error"))
	case l.Get("reason") == "canceled":
		return fmt.Sprintf("it was ended %s s after it went to the backend server of upstream %s: its caller left, or the connection to the daemon that had sent it broke", l.Get("elapsed"), l.Get("upstream"))
	}
	return fmt.Sprintf("the backend server of upstream %s broke off after %s s: %s", l.Get("upstream"), l.Get("elapsed"), l.Get("error"))
}

func staleCause(l *Line) string {
	if l.Get("age") == "" {
		return fmt.Sprintf("the daemon had no proof yet that configuration %s is the newest", l.Get("config"))
	}
	return fmt.Sprintf("the latest proof that configuration %s is the newest, by way of %s, was %s s old, and a request with a key may rely on it for %s s",
		l.Get("config"), l.Get("way"), l.Get("age"), l.Get("max_age"))
}

// refusalCause explains a refusal, which is a daemon's own final answer, by its reason and the
// inputs of the decision.
func refusalCause(l *Line) string {
	execution := "it has not run"
	if l.Get("sent") != "0" && l.Get("sent") != "" {
		execution = "it may have run"
	}
	timeLeft := "too little time was left to send it"
	if execution == "it may have run" {
		timeLeft = "an attempt failed, and too little time was left for another one"
	}
	explanation := map[string]string{
		"wait_too_long":       fmt.Sprintf("the expected wait of %s s for one of the %s slots of upstream %s, with %s waiting, was more than the request could afford", l.Get("wait"), l.Get("limit"), l.Get("upstream"), l.Get("waiting")),
		"all_asked":           "every upstream that was asked had no room",
		"none_usable":         "no upstream of the service was usable",
		"time_left":           timeLeft,
		"time_over":           "its time was over",
		"blocked_below":       "it was not let in at the entry",
		"quota":               fmt.Sprintf("tenant %s had used its quota over all daemons", l.Get("tenant")),
		"owner_unreachable":   fmt.Sprintf("the daemon that keeps the quota of tenant %s did not answer, and the share of this daemon was used up", l.Get("tenant")),
		"leaving":             "the daemon was stopping",
		"stopping":            "the daemon was stopping, and such requests take longer than what was left",
		"quarantined":         fmt.Sprintf("equal requests (fingerprint %s) crashed upstreams", l.Get("fingerprint")),
		"not_configured":      "the daemon had no configuration yet",
		"configuration_stale": staleCause(l),
		"unknown_service":     fmt.Sprintf("no route of configuration %s matches host %s and path %s", l.Get("config"), l.Get("host"), l.Get("path")),
		"bad_request":         "it was no proper request, or had no ID",
		"body_too_large":      "its body was longer than the configuration allows",
		"not_idempotent":      "an attempt failed, and a request that may run once is not repeated",
		"budget_spent":        "an attempt failed, and the budget for repeats was spent",
		"attempts_spent":      "attempts failed at as many upstreams as the route allows",
		"body_spent":          "an attempt failed after its body had been passed on",
	}[l.Get("reason")]
	if explanation == "" {
		explanation = "the deciding input was " + l.Get("reason")
	}
	return fmt.Sprintf("answered %s (%s): %s; %s", l.Get("status"), l.Get("code"), explanation, execution)
}
