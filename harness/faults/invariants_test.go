package faults

import (
	"bytes"
	"fmt"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/harness/standin"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// counts returns the counts of every backend server.
func (f *fleet) counts() []standin.Counts {
	all := make([]standin.Counts, len(f.upstreams))
	for i, u := range f.upstreams {
		all[i] = u.backend.Counts()
	}
	return all
}

// runsOfKeyOrToken returns how often a key or token ran. A token is counted by the
// request ids of the sends that have ended.
func (f *fleet) runsOfKeyOrToken(all []standin.Counts, s spec) int {
	runs := 0
	for _, c := range all {
		runs += c.ByKey[s.key]
	}
	if s.token == "" {
		return runs
	}
	f.caller.mu.Lock()
	defer f.caller.mu.Unlock()
	for _, r := range f.caller.all {
		if r.token == s.token {
			runs += runsOf(all, r.reply.RequestID, r.kind)
		}
	}
	return runs
}

// runsOf counts the runs of one kind under a request id.
func runsOf(all []standin.Counts, id uuid.UUID, kind string) int {
	runs := 0
	for _, c := range all {
		runs += c.ByRequest[id.String()+"/"+kind]
	}
	return runs
}

// runsOfRequest counts the runs of all kinds under a request id.
func runsOfRequest(all []standin.Counts, id uuid.UUID) int {
	runs := 0
	for _, c := range all {
		runs += c.Requests[id.String()]
	}
	return runs
}

// checkInvariants compares the results that callers received with what the backend
// servers ran, and returns the broken invariants. It waits for all sends to end.
func (f *fleet) checkInvariants() []string {
	f.caller.sends.Wait()
	f.checkVersions()
	all := f.counts()
	problems := append([]string(nil), f.recordedProblems...)
	byKeyOrToken := make(map[string][]*sendResult)
	for _, r := range f.caller.all {
		problems = append(problems, f.checkSend(all, r)...)
		if name := r.key + r.token; name != "" {
			byKeyOrToken[name] = append(byKeyOrToken[name], r)
		}
	}
	for name, sends := range byKeyOrToken {
		problems = append(problems, f.checkRepeatedSends(all, name, sends)...)
	}
	for _, u := range f.upstreams {
		violations := u.allViolations()
		if violations > 0 {
			problems = append(problems, fmt.Sprintf("%s counted %d invariant violations", u.name, violations))
		}
	}
	return problems
}

func (f *fleet) checkSend(all []standin.Counts, r *sendResult) []string {
	var problems []string
	fail := func(format string, args ...any) {
		problems = append(problems, fmt.Sprintf("%s/%s of %q through %s got %v (cause %v): ", r.service, r.kind, r.spec.body, r.entry, r.code(), r.reply.Cause)+fmt.Sprintf(format, args...))
	}
	if r.err != nil {
		return nil
	}
	kind := f.conf.Service(r.service).Kind(r.kind)
	success := r.status >= 200 && r.status < 300
	if success && r.kindOfCode() != resultcode.Answered {
		fail("status %d without an answer", r.status)
	}
	if success && !bytes.Equal(r.body, standin.Expected(f.conf, r.service, r.kind, []byte(r.spec.body))) {
		fail("the answer of %d bytes is not its own", len(r.body))
	}
	if r.reply.RetriesUsed > kind.Retries {
		fail("%d retries used, %d allowed", r.reply.RetriesUsed, kind.Retries)
	}
	if r.reply.RequestID == uuid.Nil {
		return problems
	}
	runs := runsOf(all, r.reply.RequestID, r.kind)
	if r.kindOfCode() == resultcode.NotRun && runs > 0 {
		fail("the request ran %d times", runs)
	}
	if !kind.Idempotent && runs > 1 {
		fail("a second run: %d", runs)
	}
	if total, most := runsOfRequest(all, r.reply.RequestID), treeSize(f.conf, kind)*(1+kind.Retries); total > most {
		fail("%d runs in the call tree, at most %d are possible within the retry bound", total, most)
	}
	return problems
}

func treeSize(c *config.Config, k *config.Kind) int {
	size := 1
	for _, t := range k.Calls {
		size += treeSize(c, c.Service(t.Service).Kind(t.Kind))
	}
	return size
}

// checkRepeatedSends checks all sends of one key or token together.
func (f *fleet) checkRepeatedSends(all []standin.Counts, keyOrToken string, sends []*sendResult) []string {
	var problems []string
	runs := f.runsOfKeyOrToken(all, sends[0].spec)
	if runs > 1 {
		problems = append(problems, fmt.Sprintf("%s ran %d times", keyOrToken, runs))
	}
	notRun := 0
	answered := false
	for _, r := range sends {
		switch r.kindOfCode() {
		case resultcode.NotRun:
			notRun++
			if r.runsBefore > 0 {
				problems = append(problems, fmt.Sprintf("%s: got %v through %s although it had run before", keyOrToken, r.code(), r.entry))
			}
		case resultcode.Answered:
			answered = true
		}
	}
	if notRun == len(sends) && runs > 0 {
		problems = append(problems, fmt.Sprintf("%s: every send was reported as not run, but it ran", keyOrToken))
	}
	if answered && runs == 0 {
		problems = append(problems, fmt.Sprintf("%s: answered without a run", keyOrToken))
	}
	return problems
}

// resultCounts returns the number of sends per result code, for failure messages.
func (f *fleet) resultCounts() string {
	counts := make(map[string]int)
	for _, r := range f.caller.all {
		if r.err != nil {
			counts["no answer"]++
			continue
		}
		counts[r.reply.Code.String()]++
	}
	return fmt.Sprint(counts)
}
