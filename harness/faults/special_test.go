package faults

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hawthornpoint/hawthornpoint/codes"
	"github.com/hawthornpoint/hawthornpoint/harness/standin"
)

// specialCells are faults of requests that fit only some of the steps.
func specialCells() []cell {
	return []cell{
		{fault: "answers out of order", step: string(answering), invariants: "3", run: outOfOrder},
		{fault: "answer cut after each number of bytes", step: string(answering), invariants: "3 4 5", run: cutEverywhere},
		{fault: "caller goes away", step: "running, keyed", invariants: "4 5", run: callerGone},
		{fault: "same key through two entries at once", step: string(received), invariants: "3 4 5",
			run: func(f *fleet) []string { return twoEntries(f, 0) }},
		{fault: "same key through two entries at once", step: string(running), invariants: "3 4 5",
			run: func(f *fleet) []string { return twoEntries(f, 200*time.Millisecond) }},
		{fault: "same token through two entries at once", step: string(running), invariants: "3 4 5", run: tokenTwice},
		{fault: "same token after a restart of its home", step: string(resent), invariants: "4 5", run: tokenAfterRestart},
		{fault: "request that crashes its backend server, re-sent through several entries", step: string(resent), invariants: "1 4", run: crashing},
		{fault: "all daemons of a deep service refuse connections", step: string(sent), invariants: "1 4", run: deepRefusal},
		{fault: "connections cut, then every upstream refuses", step: string(running), invariants: "4", run: lostThenRefused},
		{fault: "home paused, replaced at another address, woken", step: string(sent), invariants: "4 5", run: wokenAfterReplacement},
		{fault: "backend servers shed under overload", step: string(queued), invariants: "1 2 3 4 5", run: overload},
	}
}

// outOfOrder delays the answers of concurrent requests differently and compares
// each with its own request.
func outOfOrder(f *fleet) []string {
	r := rand.New(rand.NewPCG(f.seed, 2))
	for i := range 60 {
		for _, p := range f.places {
			f.net.set(p.name, entry, delayed(time.Duration(r.IntN(60))*time.Millisecond))
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

// expectAnswered notes when fewer sends were answered than the fault explains.
func (f *fleet) expectAnswered(least int) []string {
	n := 0
	for _, t := range f.caller.all {
		if t.ok() {
			n++
		}
	}
	if n < least {
		return []string{fmt.Sprintf("%d requests answered, at least %d expected: %s", n, least, f.tally())}
	}
	return nil
}

// cutEverywhere cuts answers of different sizes at many places: inside the header,
// at its end, inside a small and a large body, and just before the end.
func cutEverywhere(f *fleet) []string {
	for i, at := range []int{0, 1, 17, 150, 400, 600, 700, 4000, 65535, 65536, 66000, 100_000, 199_000, 200_300, 200_400} {
		for _, direction := range [][2]string{{home, entry}, {backendHost(home), home}} {
			f.net.set(direction[0], direction[1], cutAt(at))
			s := spec{entry: entry, service: "order", kind: "confirm", key: f.caller.keyFor(home), body: fmt.Sprintf("cut %d bytes=200000", i)}
			if at < 1000 {
				s.body = fmt.Sprintf("cut %d %s", i, direction[0])
			}
			f.caller.send(s)
			f.net.set(direction[0], direction[1], noCut)
			s.entry = otherEntries[i%len(otherEntries)]
			f.caller.send(s)
		}
	}
	return nil
}

// callerGone checks that the answer of a keyed run whose caller went away is kept
// for its re-send.
func callerGone(f *fleet) []string {
	f.setBackend(standin.Faults{SlowFactor: slowFactor})
	s := spec{entry: entry, service: "order", kind: "confirm", key: f.caller.keyFor(home), body: "gone", patience: 100 * time.Millisecond}
	f.caller.send(s)
	time.Sleep(time.Second)
	s.patience = 0
	s.entry = otherEntries[0]
	again := f.caller.send(s)
	if again.code() != codes.Replayed || !again.ok() {
		return []string{fmt.Sprintf("the re-send got %v (cause %v) instead of the recorded answer", again.code(), again.reply.Cause)}
	}
	return nil
}

// twoEntries sends one key through several entries at once, and again while it runs.
func twoEntries(f *fleet, gap time.Duration) []string {
	f.setBackend(standin.Faults{SlowFactor: slowFactor})
	s := spec{service: "order", kind: "confirm", key: f.caller.keyFor(home), body: "twice"}
	var results []<-chan *told
	for _, p := range f.places {
		s.entry = p.name
		results = append(results, f.caller.start(s))
		time.Sleep(gap)
	}
	var problems []string
	for _, r := range results {
		if t := <-r; !t.ok() {
			problems = append(problems, fmt.Sprintf("through %s: %v (cause %v)", t.entry, t.code(), t.reply.Cause))
		}
	}
	return problems
}

func tokenTwice(f *fleet) []string {
	f.slowAll(slowFactor)
	s := spec{service: "order", kind: "confirm", token: f.caller.token(entry, "order"), body: "token"}
	before := f.runsOfKind("confirm")
	var problems []string
	var results []<-chan *told
	for _, p := range f.places {
		s.entry = p.name
		results = append(results, f.caller.start(s))
		time.Sleep(30 * time.Millisecond)
	}
	for _, r := range results {
		if t := <-r; !t.ok() {
			problems = append(problems, fmt.Sprintf("through %s: %v", t.entry, t.code()))
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
	for _, name := range f.names("order") {
		f.restart(name, 50*time.Millisecond)
	}
	f.sleep(3 * time.Second)
	var problems []string
	for _, p := range f.places {
		s.entry = p.name
		if t := f.caller.send(s); t.code() != codes.TokenIncarnationGone {
			problems = append(problems, fmt.Sprintf("through %s: %v (cause %v, %v)", p.name, t.code(), t.reply.Cause, t.err))
		}
	}
	if runs := f.runsOfKind("confirm") - before; runs != 0 {
		problems = append(problems, fmt.Sprintf("%d more runs of the token", runs))
	}
	return problems
}

// mostCrashes is what one request may cost the fleet: three crashes quarantine it,
// and reports of the last ones may still be on their way when two more run.
const mostCrashes = 5

// crashing re-sends a read that crashes the backend servers of stock through all
// entries for a long time.
func crashing(f *fleet) []string {
	for i := range 40 {
		f.caller.send(spec{entry: f.places[i%len(f.places)].name, service: "stock", kind: "check", body: "crash=stock"})
		f.sleep(300 * time.Millisecond)
	}
	crashes := 0
	for _, c := range f.counts() {
		crashes += c.Crashes
	}
	var problems []string
	if crashes > mostCrashes {
		problems = append(problems, fmt.Sprintf("%d crashes by one request, at most %d expected", crashes, mostCrashes))
	}
	if last := f.caller.send(spec{entry: entry, service: "stock", kind: "check", body: "crash=stock"}); last.code() != codes.Quarantined {
		problems = append(problems, fmt.Sprintf("the request is not quarantined: %v", last.code()))
	}
	f.sleep(recoveryTime)
	return append(problems, f.recovered()...)
}

// deepRefusal lets every daemon of stock refuse connections, and counts the attempts
// that the whole call chain makes. The kind has one retry and the service three
// upstreams, so that the bound is reached before the upstreams are used up. A retry
// after a refused connection needs no budget, which would hide the bound.
func deepRefusal(f *fleet) []string {
	const requests = 10
	for _, from := range f.places {
		for _, name := range f.names("stock") {
			f.net.set(from.name, name, refusing(true))
			f.net.cut(from.name, name)
		}
	}
	for i := range requests {
		f.caller.send(spec{entry: entry, service: "order", kind: "look", body: fmt.Sprint(i)})
		f.sleep(time.Second)
	}
	attempts := 0
	for _, name := range f.names("stock") {
		attempts += f.net.refusals(f.byName[name].set.Listeners.Peers)
	}
	if most := 2 * requests; attempts > most || attempts <= requests {
		return []string{fmt.Sprintf("%d attempts at stock, more than %d and at most %d expected", attempts, requests, most)}
	}
	return nil
}

// lostThenRefused loses reads that run and refuses their retries: the refusal must
// not be told as the result.
func lostThenRefused(f *fleet) []string {
	f.slowAll(10)
	var results []<-chan *told
	for i := range 6 {
		results = append(results, f.caller.start(spec{entry: entry, service: "order", kind: "browse", body: fmt.Sprint(i)}))
	}
	time.Sleep(100 * time.Millisecond)
	for _, name := range f.names("order") {
		f.net.set(entry, name, refusing(true))
		f.net.cut(entry, name)
	}
	var problems []string
	for _, r := range results {
		if t := <-r; t.kindOfCode() != codes.Unknown {
			problems = append(problems, fmt.Sprintf("told %v (cause %v)", t.code(), t.reply.Cause))
		}
	}
	return problems
}

func (f *fleet) slowAll(factor float64) {
	for _, p := range f.places {
		p.backend.SetFaults(standin.Faults{SlowFactor: factor})
	}
}

// wokenAfterReplacement pauses the home with a call in its sockets, runs the same key
// at a replacement that only one entry knows, and wakes the home.
func wokenAfterReplacement(f *fleet) []string {
	old := f.byName[home]
	// A first request leaves a connection between entry and home.
	f.caller.send(spec{entry: entry, service: "order", kind: "confirm", key: f.caller.keyFor(home), body: "before"})
	f.isolate(entry, true)
	f.net.both(entry, home, blocked(false))
	old.gate.hold()
	f.net.freeze(home, true)
	replacement := f.replacementOf(home)
	f.sleep(700 * time.Millisecond)
	s := spec{entry: entry, service: "order", kind: "confirm", key: f.caller.keyFor(home), body: "held"}
	f.caller.start(s)
	f.sleep(800 * time.Millisecond)
	s.entry = "order-b"
	second := f.caller.send(s)
	old.gate.resume()
	f.net.freeze(home, false)
	f.sleep(2 * time.Second)
	if !second.ok() || replacement.backend.Counts().ByKey[s.key] != 1 {
		return []string{fmt.Sprintf("the replacement did not run the key: %v (cause %v)", second.code(), second.reply.Cause)}
	}
	return nil
}

// replacementOf starts another process of the same place at other addresses, as the
// platform does for a VM that it takes for dead.
func (f *fleet) replacementOf(name string) *place {
	f.addPlace(f.byName[name].service, name+"-2")
	p := f.places[len(f.places)-1]
	delete(f.byName, p.name)
	record := &f.records[len(f.records)-1]
	record.Name, p.set.Name = name, name
	f.platform.SetVMs(append(without(f.records, name), *record))
	f.startBackend(p)
	f.startDaemon(p)
	return p
}

// overload sends several times the capacity and checks that confirmations are
// answered while reads are shed.
func overload(f *fleet) []string {
	f.slowAll(5)
	// Capacity of order is 3*4/0.2 s = 60 requests/s; 300 reads/s arrive beside
	// 10 confirmations/s.
	for i := range 900 {
		s := spec{entry: f.places[i%len(f.places)].name, service: "order", kind: "browse", body: fmt.Sprintf("read %d", i)}
		if i%30 == 0 {
			s.kind, s.key = "confirm", f.caller.newKey()
		}
		f.caller.start(s)
		time.Sleep(3300 * time.Microsecond)
	}
	f.caller.sends.Wait()
	var confirms, confirmed, shed int
	for _, t := range f.caller.all {
		switch {
		case t.kind == "confirm":
			confirms++
			if t.ok() {
				confirmed++
			}
		case t.kindOfCode() == codes.NotRun:
			shed++
		}
	}
	if confirmed < confirms-1 || shed == 0 {
		return []string{fmt.Sprintf("%d of %d confirmations answered and %d reads shed: %s", confirmed, confirms, shed, f.tally())}
	}
	return nil
}
