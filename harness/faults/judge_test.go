package faults

import (
	"bytes"
	"fmt"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/codes"
	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/harness/standin"
)

// counts returns what every backend server has seen.
func (f *fleet) counts() []standin.Counts {
	all := make([]standin.Counts, len(f.places))
	for i, p := range f.places {
		all[i] = p.backend.Counts()
	}
	return all
}

// runsOfName returns how often a key or token ran. A token is counted by the
// request ids of the sends that have ended.
func (f *fleet) runsOfName(all []standin.Counts, s spec) int {
	runs := 0
	for _, c := range all {
		runs += c.ByKey[s.key]
	}
	if s.token == "" {
		return runs
	}
	f.caller.mu.Lock()
	defer f.caller.mu.Unlock()
	for _, t := range f.caller.all {
		if t.token == s.token {
			runs += runsOf(all, t.reply.RequestID, t.kind)
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

// judge compares what callers were told with what the backend servers ran and
// returns what broke an invariant. It is called after all sends have ended.
func (f *fleet) judge() []string {
	f.caller.sends.Wait()
	f.watchVersions()
	all := f.counts()
	problems := append([]string(nil), f.notes...)
	named := make(map[string][]*told)
	for _, t := range f.caller.all {
		problems = append(problems, f.judgeSend(all, t)...)
		if name := t.key + t.token; name != "" {
			named[name] = append(named[name], t)
		}
	}
	for name, sends := range named {
		problems = append(problems, f.judgeName(all, name, sends)...)
	}
	for _, p := range f.places {
		violations := p.allViolations()
		if violations > 0 {
			problems = append(problems, fmt.Sprintf("%s counted %d invariant violations", p.name, violations))
		}
	}
	return problems
}

func (f *fleet) judgeSend(all []standin.Counts, t *told) []string {
	var problems []string
	fail := func(format string, args ...any) {
		problems = append(problems, fmt.Sprintf("%s/%s of %q through %s, told %v (cause %v): ", t.service, t.kind, t.spec.body, t.entry, t.code(), t.reply.Cause)+fmt.Sprintf(format, args...))
	}
	if t.err != nil {
		return nil
	}
	kind := f.conf.Service(t.service).Kind(t.kind)
	success := t.status >= 200 && t.status < 300
	if success && t.kindOfCode() != codes.Answered {
		fail("status %d without an answer", t.status)
	}
	if success && !bytes.Equal(t.body, standin.Expected(f.conf, t.service, t.kind, []byte(t.spec.body))) {
		fail("the answer of %d bytes is not its own", len(t.body))
	}
	if t.reply.RetriesUsed > kind.Retries {
		fail("%d retries used, %d allowed", t.reply.RetriesUsed, kind.Retries)
	}
	if t.reply.RequestID == uuid.Nil {
		return problems
	}
	runs := runsOf(all, t.reply.RequestID, t.kind)
	if t.kindOfCode() == codes.NotRun && runs > 0 {
		fail("the request ran %d times", runs)
	}
	if !kind.Idempotent && runs > 1 {
		fail("a second run: %d", runs)
	}
	if total, most := runsOfRequest(all, t.reply.RequestID), treeSize(f.conf, kind)*(1+kind.Retries); total > most {
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

// judgeName judges all sends of one key or token together.
func (f *fleet) judgeName(all []standin.Counts, name string, sends []*told) []string {
	var problems []string
	runs := f.runsOfName(all, sends[0].spec)
	if runs > 1 {
		problems = append(problems, fmt.Sprintf("%s ran %d times", name, runs))
	}
	notRun := 0
	answered := false
	for _, t := range sends {
		switch t.kindOfCode() {
		case codes.NotRun:
			notRun++
			if t.ranPast > 0 {
				problems = append(problems, fmt.Sprintf("%s: told %v through %s although it had run before", name, t.code(), t.entry))
			}
		case codes.Answered:
			answered = true
		}
	}
	if notRun == len(sends) && runs > 0 {
		problems = append(problems, fmt.Sprintf("%s: told only that it was not run, but it ran", name))
	}
	if answered && runs == 0 {
		problems = append(problems, fmt.Sprintf("%s: answered without a run", name))
	}
	return problems
}

// tally counts what callers were told, for messages.
func (f *fleet) tally() string {
	counts := make(map[string]int)
	for _, t := range f.caller.all {
		if t.err != nil {
			counts["no answer"]++
			continue
		}
		counts[t.reply.Code.String()]++
	}
	return fmt.Sprint(counts)
}
