package faults

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hawthornpoint/hawthornpoint/harness/standin"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// scenarioCells returns the faults of requests that have a scenario of their own at one or
// two steps.
func scenarioCells() []cell {
	return []cell{
		{fault: "answers out of order", step: string(answering), invariants: "3", run: outOfOrder},
		{fault: "answer cut after each number of bytes", step: string(answering), invariants: "3 4 5", run: cutEverywhere},
		{fault: "caller goes away", step: "running, keyed", invariants: "4 5", run: callerGone},
		{fault: "same key through two entries at once", step: string(received), invariants: "3 4 5",
			run: func(f *fleet) []string { return keyThroughAllEntries(f, 0) }},
		{fault: "same key through two entries at once", step: string(running), invariants: "3 4 5",
			run: func(f *fleet) []string { return keyThroughAllEntries(f, 200*time.Millisecond) }},
		{fault: "same token through two entries at once", step: string(running), invariants: "3 4 5", run: tokenThroughAllEntries},
		{fault: "same token after a restart of its home", step: string(resent), invariants: "4 5", run: tokenAfterRestart},
		{fault: "request that crashes its backend server, re-sent through several entries", step: string(resent), invariants: "1 4", run: resendCrashingRequest},
		{fault: "all daemons of a deep service refuse connections", step: string(sent), invariants: "1 4", run: deepRefusal},
		{fault: "connections cut, then every upstream refuses", step: string(running), invariants: "4", run: lostThenRefused},
		{fault: "home paused, replaced at another address, woken", step: string(sent), invariants: "4 5",
			run: func(f *fleet) []string { return wokenAfterReplacement(f, wake{}) }},
		{fault: "home paused, replaced at another address, woken, call read after the answer of a cut-off peer", step: string(sent), invariants: "4 5",
			run: func(f *fleet) []string { return wokenAfterReplacement(f, wake{lateCall: true}) }},
		{fault: "home paused, replaced at another address, woken, call read after a list that lags", step: string(sent), invariants: "4 5",
			run: func(f *fleet) []string { return wokenAfterReplacement(f, wake{lateCall: true, listLags: true}) }},
		{fault: "backend servers shed under overload", step: string(queued), invariants: "1 2 3 4 5", run: overload},
	}
}

// outOfOrder delays the answers of concurrent requests by different times, so that they
// overtake each other; checkInvariants compares each with its own request.
func outOfOrder(f *fleet) []string {
	r := rand.New(rand.NewPCG(f.seed, 2))
	for i := range 60 {
		for _, u := range f.upstreams {
			f.net.set(u.name, entry, delayed(time.Duration(r.IntN(60))*time.Millisecond))
		}
		s := spec{entry: entry, service: "order", kind: "browse", body: fmt.Sprintf("n %d bytes=%d", i, r.IntN(100_000))}
		if i%3 == 0 {
			s.kind, s.key = "confirm", f.caller.newKey()
		}
		f.caller.start(s)
		time.Sleep(10 * time.Millisecond)
	}
	f.caller.sends.Wait()
	return f.expectAnswered(50)
}

// expectAnswered returns a problem if fewer sends were answered than the fault explains.
func (f *fleet) expectAnswered(least int) []string {
	n := 0
	for _, r := range f.caller.all {
		if r.ok() {
			n++
		}
	}
	if n < least {
		return []string{fmt.Sprintf("%d requests answered, at least %d expected: %s", n, least, f.resultCounts())}
	}
	return nil
}

// cutEverywhere cuts answers of different sizes at many places: inside the header,
// at its end, inside a small and a large body, and just before the end.
func cutEverywhere(f *fleet) []string {
	for i, at := range []int{0, 1, 17, 150, 400, 600, 700, 4000, 65535, 65536, 66000, 100_000, 199_000, 200_300, 200_400} {
		for _, direction := range [][2]string{{home, entry}, {backendHost(home), home}} {
			f.net.set(direction[0], direction[1], cutAt(at))
			s := spec{entry: entry, service: "order", kind: "confirm", key: f.caller.keyWithHome(home), body: fmt.Sprintf("cut %d bytes=200000", i)}
			if at < 1000 {
				s.body = fmt.Sprintf("cut %d %s", i, direction[0])
			}
			f.caller.send(s)
			f.net.set(direction[0], direction[1], clearCut)
			s.entry = otherEntries[i%len(otherEntries)]
			f.caller.send(s)
		}
	}
	return nil
}

// callerGone checks that the answer of a keyed run is kept for the re-send after the
// caller has disconnected.
func callerGone(f *fleet) []string {
	f.setHomeFaults(standin.Faults{SlowFactor: slowFactor})
	s := spec{entry: entry, service: "order", kind: "confirm", key: f.caller.keyWithHome(home), body: "gone", timeout: 100 * time.Millisecond}
	f.caller.send(s)
	time.Sleep(time.Second)
	s.timeout = 0
	s.entry = otherEntries[0]
	again := f.caller.send(s)
	if again.code() != resultcode.Replayed || !again.ok() {
		return []string{fmt.Sprintf("the re-send got %v (cause %v) instead of the recorded answer", again.code(), again.reply.Cause)}
	}
	return nil
}

// keyThroughAllEntries sends one key through all entries, with a gap between the sends:
// with 0 all are sent at once, otherwise again while the key runs.
func keyThroughAllEntries(f *fleet, gap time.Duration) []string {
	f.setHomeFaults(standin.Faults{SlowFactor: slowFactor})
	s := spec{service: "order", kind: "confirm", key: f.caller.keyWithHome(home), body: "twice"}
	var results []<-chan *sendResult
	for _, u := range f.upstreams {
		s.entry = u.name
		results = append(results, f.caller.start(s))
		time.Sleep(gap)
	}
	var problems []string
	for _, done := range results {
		if r := <-done; !r.ok() {
			problems = append(problems, fmt.Sprintf("through %s: %v (cause %v)", r.entry, r.code(), r.reply.Cause))
		}
	}
	return problems
}

func tokenThroughAllEntries(f *fleet) []string {
	f.slowAll(slowFactor)
	s := spec{service: "order", kind: "confirm", token: f.caller.token(entry, "order"), body: "token"}
	before := f.runsOfKind("confirm")
	var problems []string
	var results []<-chan *sendResult
	for _, u := range f.upstreams {
		s.entry = u.name
		results = append(results, f.caller.start(s))
		time.Sleep(30 * time.Millisecond)
	}
	for _, done := range results {
		if r := <-done; !r.ok() {
			problems = append(problems, fmt.Sprintf("through %s: %v", r.entry, r.code()))
		}
	}
	if runs := f.runsOfKind("confirm") - before; runs != 1 {
		problems = append(problems, fmt.Sprintf("%d runs of one token", runs))
	}
	return problems
}

func (f *fleet) runsOfKind(kind string) int {
	runs := 0
	for _, c := range f.counts() {
		runs += c.ByKind[kind]
	}
	return runs
}

// tokenAfterRestart checks that a new incarnation never runs a token of an earlier one.
func tokenAfterRestart(f *fleet) []string {
	s := spec{entry: entry, service: "order", kind: "confirm", token: f.caller.token(entry, "order"), body: "token"}
	if first := f.caller.send(s); !first.ok() {
		return []string{fmt.Sprintf("the token was not answered: %v", first.code())}
	}
	before := f.runsOfKind("confirm")
	for _, name := range f.upstreamNames("order") {
		f.restart(name, 50*time.Millisecond)
	}
	f.sleep(3 * time.Second)
	var problems []string
	for _, u := range f.upstreams {
		s.entry = u.name
		if r := f.caller.send(s); r.code() != resultcode.TokenIncarnationGone {
			problems = append(problems, fmt.Sprintf("through %s: %v (cause %v, %v)", u.name, r.code(), r.reply.Cause, r.err))
		}
	}
	if runs := f.runsOfKind("confirm") - before; runs != 0 {
		problems = append(problems, fmt.Sprintf("%d more runs of the token", runs))
	}
	return problems
}

// maxCrashes is the number of crashes that one request may cause: three crashes
// quarantine it, and two more runs may start before the reports of the last ones arrive.
const maxCrashes = 5

// resendCrashingRequest sends a read that crashes the backend servers of stock 40 times
// through all entries, and checks that it is quarantined.
func resendCrashingRequest(f *fleet) []string {
	for i := range 40 {
		f.caller.send(spec{entry: f.upstreams[i%len(f.upstreams)].name, service: "stock", kind: "check", body: "crash=stock"})
		f.sleep(300 * time.Millisecond)
	}
	crashes := 0
	for _, c := range f.counts() {
		crashes += c.Crashes
	}
	var problems []string
	if crashes > maxCrashes {
		problems = append(problems, fmt.Sprintf("%d crashes by one request, at most %d expected", crashes, maxCrashes))
	}
	if last := f.caller.send(spec{entry: entry, service: "stock", kind: "check", body: "crash=stock"}); last.code() != resultcode.Quarantined {
		problems = append(problems, fmt.Sprintf("the request is not quarantined: %v", last.code()))
	}
	f.sleep(recoveryTime)
	return append(problems, f.recovered()...)
}

// deepRefusal makes every daemon of stock refuse connections and counts the attempts of
// the whole call chain. The kind has one retry and the service three upstreams, so that
// the bound is reached before all upstreams have been tried. A retry after a refused
// connection needs no retry budget, which would hide the bound.
func deepRefusal(f *fleet) []string {
	const requests = 10
	for _, from := range f.upstreams {
		for _, name := range f.upstreamNames("stock") {
			f.net.set(from.name, name, refusing(true))
			f.net.cut(from.name, name)
		}
	}
	for i := range requests {
		f.caller.send(spec{entry: entry, service: "order", kind: "look", body: fmt.Sprint(i)})
		f.sleep(time.Second)
	}
	attempts := 0
	for _, name := range f.upstreamNames("stock") {
		attempts += f.net.refusals(f.byName[name].set.Listeners.Peers)
	}
	if most := 2 * requests; attempts > most || attempts <= requests {
		return []string{fmt.Sprintf("%d attempts at stock, more than %d and at most %d expected", attempts, requests, most)}
	}
	return nil
}

// lostThenRefused cuts the connections of running reads and refuses their retries: the
// refusal must not be reported as the result.
func lostThenRefused(f *fleet) []string {
	f.slowAll(10)
	var results []<-chan *sendResult
	for i := range 6 {
		results = append(results, f.caller.start(spec{entry: entry, service: "order", kind: "browse", body: fmt.Sprint(i)}))
	}
	time.Sleep(100 * time.Millisecond)
	for _, name := range f.upstreamNames("order") {
		f.net.set(entry, name, refusing(true))
		f.net.cut(entry, name)
	}
	var problems []string
	for _, done := range results {
		if r := <-done; r.kindOfCode() != resultcode.OutcomeUnknown {
			problems = append(problems, fmt.Sprintf("a run that was cut got %v (cause %v)", r.code(), r.reply.Cause))
		}
	}
	return problems
}

func (f *fleet) slowAll(factor float64) {
	for _, u := range f.upstreams {
		u.backend.SetFaults(standin.Faults{SlowFactor: factor})
	}
}

// wake says what a paused home finds when it resumes.
type wake struct {
	// lateCall lets the call that waited arrive after the answers of the entry and of the
	// platform, and before those of the other daemons.
	lateCall bool
	// listLags lets the list of VMs name the home instead of its replacement.
	listLags bool
}

// lateCallDelay lets the call arrive about 60 ms after the home has resumed, and
// lateAnswerDelay the answers of the other daemons after that.
const (
	lateCallDelay   = 900 * time.Millisecond
	lateAnswerDelay = 200 * time.Millisecond
)

// wokenAfterReplacement pauses the home, sends it a call that waits in its sockets, runs
// the same key at a replacement that the entry of that call does not know, and resumes
// the home.
func wokenAfterReplacement(f *fleet, w wake) []string {
	old := f.byName[home]
	// A first request leaves a connection between entry and home.
	f.caller.send(spec{entry: entry, service: "order", kind: "confirm", key: f.caller.keyWithHome(home), body: "before"})
	f.isolate(entry, true)
	f.net.setBothRules(entry, home, blocked(false))
	f.net.setBothRules(entry, replacementHost(home), blocked(true))
	old.gate.hold()
	f.net.freeze(home, true)
	replacement := f.replacementOf(home)
	f.sleep(700 * time.Millisecond)
	if w.lateCall {
		f.net.set(entry, home, delayed(lateCallDelay))
	}
	s := spec{entry: entry, service: "order", kind: "confirm", key: f.caller.keyWithHome(home), body: "held"}
	f.caller.start(s)
	f.sleep(800 * time.Millisecond)
	s.entry = "order-b"
	second := f.caller.send(s)
	f.prepareWake(w)
	old.gate.resume()
	f.net.freeze(home, false)
	f.sleep(2 * time.Second)
	if !second.ok() || replacement.backend.Counts().ByKey[s.key] != 1 {
		return []string{fmt.Sprintf("the replacement did not run the key: %v (cause %v)", second.code(), second.reply.Cause)}
	}
	return nil
}

func (f *fleet) prepareWake(w wake) {
	if w.listLags {
		f.platform.SetVMs(f.records[:len(f.records)-1])
	}
	if !w.lateCall {
		return
	}
	f.net.set(entry, home, delayed(0))
	for _, u := range f.upstreams {
		if u.name != entry && u.name != home {
			f.net.set(u.name, home, delayed(lateAnswerDelay))
		}
	}
}

// replacementHost returns the network name of the replacement of an upstream.
func replacementHost(name string) string { return name + "-2" }

// replacementOf starts another process for the same upstream at other addresses, as the
// platform does for a VM that it considers dead.
func (f *fleet) replacementOf(name string) *upstream {
	f.addUpstream(f.byName[name].service, replacementHost(name))
	u := f.upstreams[len(f.upstreams)-1]
	delete(f.byName, u.name)
	record := &f.records[len(f.records)-1]
	record.Name, u.set.Name = name, name
	f.platform.SetVMs(append(recordsWithout(f.records, name), *record))
	f.startBackend(u)
	f.startDaemon(u)
	return u
}

// overload sends several times the capacity and checks that confirmations are answered
// while reads are shed.
func overload(f *fleet) []string {
	f.slowAll(5)
	// Capacity of order is 3*4/0.2 s = 60 requests/s; about 300 requests/s
	// arrive, 10 of them confirmations.
	for i := range 900 {
		s := spec{entry: f.upstreams[i%len(f.upstreams)].name, service: "order", kind: "browse", body: fmt.Sprintf("read %d", i)}
		if i%30 == 0 {
			s.kind, s.key = "confirm", f.caller.newKey()
		}
		f.caller.start(s)
		time.Sleep(3300 * time.Microsecond)
	}
	f.caller.sends.Wait()
	var confirms, confirmed, shed int
	for _, r := range f.caller.all {
		switch {
		case r.kind == "confirm":
			confirms++
			if r.ok() {
				confirmed++
			}
		case r.kindOfCode() == resultcode.NotRun:
			shed++
		}
	}
	if confirmed < confirms-1 || shed == 0 {
		return []string{fmt.Sprintf("%d of %d confirmations answered and %d reads shed: %s", confirmed, confirms, shed, f.resultCounts())}
	}
	return nil
}
