package faults

import (
	"context"
	"fmt"
	"time"

	"github.com/hawthornpoint/hawthornpoint/harness/standin"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// Steps of a stop.
const (
	announced = "announced"
	draining  = "draining"
	gone      = "gone"
)

// noNewWorkAfter is the bound of 2 s in docs/design.md for new work at a leaving server,
// plus 200 ms for queued calls that were accepted just before it.
const noNewWorkAfter = 2*time.Second + 200*time.Millisecond

func stopCells() []cell {
	newCell := func(fault, step string, run func(f *fleet) []string) cell {
		return cell{fault: fault, step: step, invariants: "4 5 6 7", run: run}
	}
	return []cell{
		newCell("graceful stop under load, VM list still lists it as live", announced, func(f *fleet) []string { return stopUnderLoad(f, nil) }),
		newCell("graceful stop, VM list without it", draining, func(f *fleet) []string {
			return stopUnderLoad(f, func() { f.removeFromVMList(home) })
		}),
		newCell("graceful stop, configuration service and list down", announced, func(f *fleet) []string {
			return stopUnderLoad(f, func() { f.platform.SetFaults(standin.PlatformFaults{Down: true}) })
		}),
		newCell("entry cut off during the announcement", draining, callAfterGrace),
		newCell("long run while leaving", draining, longRunWhileLeaving),
		newCell("daemon of a stopped place restarted, list stale", gone, resendAfterRestart),
		newCell("re-send joins a run at a leaving home", draining, joinWhileLeaving),
	}
}

// stopUnderLoad stops the home while all other entries send, and checks that no request
// fails and that the home starts no run after noNewWorkAfter.
func stopUnderLoad(f *fleet, fault func()) []string {
	stopLoad := make(chan struct{})
	f.background(func() {
		for i := 0; ; i++ {
			select {
			case <-stopLoad:
				return
			case <-time.After(10 * time.Millisecond):
			}
			s := spec{entry: f.upstreams[1+i%5].name, service: "order", kind: "browse", body: fmt.Sprintf("load %d", i)}
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
	for _, r := range f.caller.all {
		if !r.ok() {
			problems = append(problems, fmt.Sprintf("%s through %s during the stop: %v (cause %v, %v)", r.kind, r.entry, r.code(), r.reply.Cause, r.err))
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

// longRunWhileLeaving checks that a run that starts late in the grace period is finished.
// It ends 4.3 s after the start of the stop, 2.3 s after the end of the grace period.
func longRunWhileLeaving(f *fleet) []string {
	f.setHomeFaults(standin.Faults{SlowFactor: 140}) // 2.8 s of the 3 s in patience_ms
	ended := make(chan error, 1)
	f.background(func() { ended <- f.stop(context.Background(), home) })
	time.Sleep(1500 * time.Millisecond)
	run := f.caller.start(spec{entry: entry, service: "order", kind: "confirm", key: f.caller.keyWithHome(home), body: "long"})
	problems := f.awaitStop(ended)
	if r := <-run; !r.ok() {
		problems = append(problems, fmt.Sprintf("the run was cut: %v (cause %v, %v)", r.code(), r.reply.Cause, r.err))
	}
	return problems
}

// callAfterGrace sends to a leaving home after the grace period, through an entry that was
// cut off and has not received the announcement: the call must be refused, not run.
func callAfterGrace(f *fleet) []string {
	f.setHomeFaults(standin.Faults{SlowFactor: 145}) // 2.9 s keep the home draining
	run := f.caller.start(spec{entry: otherEntries[0], service: "order", kind: "confirm", key: f.caller.keyWithHome(home), body: "long"})
	time.Sleep(10 * time.Millisecond)
	f.isolate(entry, true)
	ended := make(chan error, 1)
	f.background(func() { ended <- f.stop(context.Background(), home) })
	time.Sleep(2500 * time.Millisecond)
	f.isolate(entry, false)
	late := f.caller.send(spec{entry: entry, service: "order", kind: "confirm", key: f.caller.keyWithHome(home), body: "late"})
	problems := f.awaitStop(ended)
	if late.code() != resultcode.Leaving {
		problems = append(problems, fmt.Sprintf("the late call got %v (cause %v, %v)", late.code(), late.reply.Cause, late.err))
	}
	if r := <-run; !r.ok() {
		problems = append(problems, fmt.Sprintf("the run was cut: %v (%v)", r.code(), r.err))
	}
	return problems
}

// isolate cuts a daemon off from the fleet and the platform, but not from callers.
func (f *fleet) isolate(name string, on bool) {
	for _, u := range f.upstreams {
		if u.name != name {
			f.net.setBothRules(name, u.name, blocked(on))
		}
	}
	f.net.setBothRules(name, "platform", blocked(on))
}

// joinWhileLeaving checks that a waiting re-send gets the answer of a run at a leaving
// home even after the grace period, because it is not new work.
func joinWhileLeaving(f *fleet) []string {
	f.setHomeFaults(standin.Faults{SlowFactor: 145})
	s := spec{entry: entry, service: "order", kind: "confirm", key: f.caller.keyWithHome(home), body: "join"}
	first := f.caller.start(s)
	time.Sleep(10 * time.Millisecond)
	ended := make(chan error, 1)
	f.background(func() { ended <- f.stop(context.Background(), home) })
	time.Sleep(100 * time.Millisecond)
	s.entry = otherEntries[0]
	second := f.caller.start(s)
	problems := f.awaitStop(ended)
	for _, done := range []<-chan *sendResult{first, second} {
		if r := <-done; !r.ok() {
			problems = append(problems, fmt.Sprintf("through %s: %v (cause %v, %v)", r.entry, r.code(), r.reply.Cause, r.err))
		}
	}
	return problems
}

// resendAfterRestart runs a key, stops and restarts its home, and re-sends the key to the
// new incarnation, which must refuse it.
func resendAfterRestart(f *fleet) []string {
	s := spec{entry: entry, service: "order", kind: "confirm", key: f.caller.keyWithHome(home), body: "before"}
	if first := f.caller.send(s); !first.ok() {
		return []string{fmt.Sprintf("the first send got %v", first.code())}
	}
	f.stopAndRestart(home)
	f.sleep(time.Second)
	var problems []string
	for _, u := range f.upstreams {
		s.entry = u.name
		if r := f.caller.send(s); r.code() != resultcode.KeyBeforeIncarnation {
			problems = append(problems, fmt.Sprintf("through %s: %v (cause %v)", u.name, r.code(), r.reply.Cause))
		}
	}
	f.sleep(recoveryTime)
	return append(problems, f.recovered()...)
}
