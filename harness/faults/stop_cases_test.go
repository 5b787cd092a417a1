package faults

import (
	"context"
	"fmt"
	"time"

	"github.com/hawthornpoint/hawthornpoint/codes"
	"github.com/hawthornpoint/hawthornpoint/harness/standin"
)

// Steps of a stop.
const (
	announced = "announced"
	draining  = "draining"
	gone      = "gone"
)

// noNewWorkAfter is the bound of the design page for new work at a leaving server,
// with room for calls that were accepted in its last moment and queued.
const noNewWorkAfter = 2*time.Second + 200*time.Millisecond

func stopCells() []cell {
	c := func(fault, step string, run func(f *fleet) []string) cell {
		return cell{fault: fault, step: step, invariants: "4 5 6 7", run: run}
	}
	return []cell{
		c("graceful stop under load, VM list still lists it as live", announced, func(f *fleet) []string { return stopUnderLoad(f, nil) }),
		c("graceful stop, VM list without it", draining, func(f *fleet) []string {
			return stopUnderLoad(f, func() { f.withoutVM(home) })
		}),
		c("graceful stop, configuration service and list down", announced, func(f *fleet) []string {
			return stopUnderLoad(f, func() { f.platform.SetFaults(standin.PlatformFaults{Down: true}) })
		}),
		c("entry cut off during the announcement", draining, lateCaller),
		c("long run while leaving", draining, longRunWhileLeaving),
		c("daemon of a stopped place restarted, list stale", gone, returnAfterStop),
		c("re-send joins a run at a leaving home", draining, joinWhileLeaving),
	}
}

// stopUnderLoad stops the home while all entries send, and checks that no request
// of the load fails and that the home starts nothing after the grace time.
func stopUnderLoad(f *fleet, fault func()) []string {
	stopLoad := make(chan struct{})
	f.background(func() {
		for i := 0; ; i++ {
			select {
			case <-stopLoad:
				return
			case <-time.After(10 * time.Millisecond):
			}
			s := spec{entry: f.places[1+i%5].name, service: "order", kind: "browse", body: fmt.Sprintf("load %d", i)}
			if i%4 == 0 {
				s.kind = "place"
			}
			f.caller.start(s)
		}
	})
	f.sleep(time.Second)
	if fault != nil {
		fault()
	}
	ended := make(chan error, 1)
	f.background(func() { ended <- f.stop(context.Background(), home) })
	time.Sleep(noNewWorkAfter)
	started := f.byName[home].backend.Counts().Started
	problems := f.awaitStop(ended)
	f.sleep(time.Second)
	close(stopLoad)
	if later := f.byName[home].backend.Counts().Started; later > started {
		problems = append(problems, fmt.Sprintf("%d runs started at the leaving server after %v", later-started, noNewWorkAfter))
	}
	f.caller.sends.Wait()
	for _, t := range f.caller.all {
		if !t.ok() {
			problems = append(problems, fmt.Sprintf("%s through %s during the stop: %v (cause %v, %v)", t.kind, t.entry, t.code(), t.reply.Cause, t.err))
		}
	}
	return problems
}

func (f *fleet) awaitStop(ended <-chan error) []string {
	select {
	case err := <-ended:
		if err != nil {
			return []string{"the stop cut calls: " + err.Error()}
		}
	case <-time.After(10 * time.Second):
		return []string{"the stop did not end"}
	}
	return nil
}

// longRunWhileLeaving checks that a run that starts late in the grace is finished. It
// ends 4.3 s after the stop began, which is longer than the grace and the time that
// Close leaves for answers to be written.
func longRunWhileLeaving(f *fleet) []string {
	f.setBackend(standin.Faults{SlowFactor: 140}) // 2.8 s of the 3 s patience
	ended := make(chan error, 1)
	f.background(func() { ended <- f.stop(context.Background(), home) })
	time.Sleep(1500 * time.Millisecond)
	run := f.caller.start(spec{entry: entry, service: "order", kind: "confirm", key: f.caller.keyFor(home), body: "long"})
	problems := f.awaitStop(ended)
	if t := <-run; !t.ok() {
		problems = append(problems, fmt.Sprintf("the run was cut: %v (cause %v, %v)", t.code(), t.reply.Cause, t.err))
	}
	return problems
}

// lateCaller sends to a leaving home after the grace through an entry that was cut
// off and has not heard of the departure: the call is refused, not run.
func lateCaller(f *fleet) []string {
	f.setBackend(standin.Faults{SlowFactor: 145}) // 2.9 s keep the home draining
	run := f.caller.start(spec{entry: otherEntries[0], service: "order", kind: "confirm", key: f.caller.keyFor(home), body: "long"})
	time.Sleep(10 * time.Millisecond)
	f.isolate(entry, true)
	ended := make(chan error, 1)
	f.background(func() { ended <- f.stop(context.Background(), home) })
	time.Sleep(2500 * time.Millisecond)
	f.isolate(entry, false)
	late := f.caller.send(spec{entry: entry, service: "order", kind: "confirm", key: f.caller.keyFor(home), body: "late"})
	problems := f.awaitStop(ended)
	if late.code() != codes.Leaving {
		problems = append(problems, fmt.Sprintf("the late call got %v (cause %v, %v)", late.code(), late.reply.Cause, late.err))
	}
	if t := <-run; !t.ok() {
		problems = append(problems, fmt.Sprintf("the run was cut: %v (%v)", t.code(), t.err))
	}
	return problems
}

// isolate cuts a daemon off from the fleet and the platform, but not from callers.
func (f *fleet) isolate(name string, on bool) {
	for _, p := range f.places {
		if p.name != name {
			f.net.both(name, p.name, blocked(on))
		}
	}
	f.net.both(name, "platform", blocked(on))
}

// joinWhileLeaving checks that a waiting re-send gets the answer of a run at a
// leaving home, even after the grace: it is not new work.
func joinWhileLeaving(f *fleet) []string {
	f.setBackend(standin.Faults{SlowFactor: 145})
	s := spec{entry: entry, service: "order", kind: "confirm", key: f.caller.keyFor(home), body: "join"}
	first := f.caller.start(s)
	time.Sleep(10 * time.Millisecond)
	ended := make(chan error, 1)
	f.background(func() { ended <- f.stop(context.Background(), home) })
	time.Sleep(100 * time.Millisecond)
	s.entry = otherEntries[0]
	second := f.caller.start(s)
	problems := f.awaitStop(ended)
	for _, r := range []<-chan *told{first, second} {
		if t := <-r; !t.ok() {
			problems = append(problems, fmt.Sprintf("through %s: %v (cause %v, %v)", t.entry, t.code(), t.reply.Cause, t.err))
		}
	}
	return problems
}

// returnAfterStop re-sends a key that ran before the stop to the replacement.
func returnAfterStop(f *fleet) []string {
	s := spec{entry: entry, service: "order", kind: "confirm", key: f.caller.keyFor(home), body: "before"}
	if first := f.caller.send(s); !first.ok() {
		return []string{fmt.Sprintf("the first send got %v", first.code())}
	}
	f.stopAndReturn(home)
	f.sleep(time.Second)
	var problems []string
	for _, p := range f.places {
		s.entry = p.name
		if t := f.caller.send(s); t.code() != codes.KeyBeforeIncarnation {
			problems = append(problems, fmt.Sprintf("through %s: %v (cause %v)", p.name, t.code(), t.reply.Cause))
		}
	}
	f.sleep(recoveryTime)
	return append(problems, f.recovered()...)
}
