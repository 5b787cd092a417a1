package faults

import (
	"context"
	"time"

	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/harness/standin"
)

// The target request of a fault is a keyed confirmation with this home, sent through
// entry and re-sent through otherEntries.
const (
	home  = "order-a"
	entry = "stock-b"
)

var otherEntries = []string{"order-b", "stock-c", "order-a"}

// fault is a temporary failure that a test injects.
type fault struct {
	name       string
	invariants string
	inject     func(f *fleet)
	// clear ends the fault; nil if it ends by itself.
	clear    func(f *fleet)
	duration time.Duration
	// steps are those at which the fault can make a difference; nil means all.
	steps []step
}

func blocked(on bool) func(*rule)                    { return func(r *rule) { r.blocked = on } }
func delayed(d time.Duration) func(*rule)            { return func(r *rule) { r.delay = d } }
func cutAt(bytes int) func(*rule)                    { return func(r *rule) { r.cut, r.cutAfter = true, bytes } }
func refusing(on bool) func(*rule)                   { return func(r *rule) { r.refuse = on } }
func clearCut(r *rule)                               { r.cut = false }
func (f *fleet) setHomeFaults(b standin.Faults)      { f.byName[home].backend.SetFaults(b) }
func (f *fleet) removeFromVMList(n string)           { f.platform.SetVMs(recordsWithout(f.records, n)) }
func (f *fleet) background(g func())                 { f.caller.sends.Go(g) }
func (f *fleet) setBlocked(from, to string, on bool) { f.net.set(from, to, blocked(on)) }

func recordsWithout(list []membership.Record, name string) []membership.Record {
	var kept []membership.Record
	for _, r := range list {
		if r.Name != name {
			kept = append(kept, r)
		}
	}
	return kept
}

// requestFaults returns the faults that are injected at the steps of a request.
func requestFaults() []fault {
	return append(append(backendFaults(), linkFaults()...), processFaults()...)
}

func backendFaults() []fault {
	backend := backendHost(home)
	return []fault{
		{"backend server killed", "1 3 4 5", func(f *fleet) { f.byName[home].backend.Crash() }, nil, time.Second, nil},
		{"backend server hangs", "1 3 4 5", func(f *fleet) { f.setHomeFaults(standin.Faults{Hang: true}) },
			func(f *fleet) { f.setHomeFaults(standin.Faults{}) }, 3500 * time.Millisecond, nil},
		{"backend server sheds", "1 3 4 5", func(f *fleet) { f.setHomeFaults(standin.Faults{ShedShare: 1}) },
			func(f *fleet) { f.setHomeFaults(standin.Faults{}) }, time.Second, []step{received, queued, sent, resent}},
		{"backend server's answer cut in the middle", "1 3 4 5", func(f *fleet) { f.net.set(backend, home, cutAt(700)) },
			func(f *fleet) { f.net.set(backend, home, clearCut) }, time.Second, nil},
		{"backend server's answer without end", "1 3 4 5", func(f *fleet) { f.setBlocked(backend, home, true) },
			func(f *fleet) { f.setBlocked(backend, home, false) }, 3500 * time.Millisecond, nil},
		{"health endpoint lies", "1 3 4 5", func(f *fleet) {
			f.setHomeFaults(standin.Faults{ReportedStatus: 500, ReportedLoad: &standin.Load{Running: 1000}})
		},
			func(f *fleet) { f.setHomeFaults(standin.Faults{}) }, time.Second, []step{received, running}},
	}
}

func linkFaults() []fault {
	return []fault{
		{"connections between entry and home cut", "1 3 4 5", func(f *fleet) { f.net.cut(entry, home) }, nil, time.Second, nil},
		{"connection cut inside the request", "1 3 4 5", func(f *fleet) { f.net.set(entry, home, cutAt(100)) },
			func(f *fleet) { f.net.set(entry, home, clearCut) }, time.Second, []step{received, sent, resent}},
		{"connection cut inside the answer", "1 3 4 5", func(f *fleet) { f.net.set(home, entry, cutAt(1000)) },
			func(f *fleet) { f.net.set(home, entry, clearCut) }, time.Second, []step{received, running, answering, resent}},
		{"home refuses connections", "1 3 4 5", func(f *fleet) { f.net.set(entry, home, refusing(true)); f.net.cut(entry, home) },
			func(f *fleet) { f.net.set(entry, home, refusing(false)) }, time.Second, []step{received, sent, answered, resent}},
		{"link one way only, requests lost", "1 3 4 5", func(f *fleet) { f.setBlocked(entry, home, true) },
			func(f *fleet) { f.setBlocked(entry, home, false) }, 3500 * time.Millisecond, nil},
		{"link one way only, answers lost", "1 3 4 5", func(f *fleet) { f.setBlocked(home, entry, true) },
			func(f *fleet) { f.setBlocked(home, entry, false) }, 3500 * time.Millisecond, []step{received, queued, sent, running, answering, resent}},
		{"answer delayed beyond the deadline", "1 3 4 5", func(f *fleet) { f.net.set(home, entry, delayed(5*time.Second)) },
			func(f *fleet) { f.net.set(home, entry, delayed(0)) }, 3500 * time.Millisecond, []step{received, sent, running, resent}},
		{"caller goes away", "1 3 4 5", func(f *fleet) { f.net.cut(callerHost, anyHost) }, nil, time.Second, []step{queued, sent, running, answering, resent}},
		{"partition and heal", "1 3 4 5", func(f *fleet) { f.partition(true) }, func(f *fleet) { f.partition(false) }, 6 * time.Second, nil},
	}
}

// partition separates home and stock-a from the other daemons and the platform. Callers
// reach both parts.
func (f *fleet) partition(on bool) {
	for _, in := range []string{home, "stock-a"} {
		for _, out := range []string{"order-b", "order-c", "stock-b", "stock-c", "platform"} {
			f.net.setBothRules(in, out, blocked(on))
		}
	}
}

func processFaults() []fault {
	return []fault{
		{"home daemon killed and restarted", "1 3 4 5", func(f *fleet) { f.restart(home, 50*time.Millisecond) }, nil, time.Second, nil},
		{"entry daemon killed and restarted", "1 3 4 5", func(f *fleet) { f.restart(entry, 50*time.Millisecond) }, nil, time.Second, nil},
		{"home paused and woken", "1 3 4 5", func(f *fleet) { f.pause(home, 2500*time.Millisecond) }, nil, time.Second, nil},
		{"entry paused and woken", "1 3 4 5", func(f *fleet) { f.pause(entry, 2500*time.Millisecond) }, nil, time.Second, nil},
		{"home paused beyond the deadline", "1 3 4 5", func(f *fleet) { f.pause(home, 5*time.Second) }, nil, time.Second, nil},
		{"home replaced while it is paused", "1 3 4 5", replaceWhilePaused, nil, time.Second, nil},
		{"home stops gracefully", "1 3 4 5 7", func(f *fleet) { f.background(func() { f.stopAndRestart(home) }) }, nil, 6 * time.Second, nil},
		{"VM list without the home", "1 3 4 5", func(f *fleet) { f.removeFromVMList(home) },
			func(f *fleet) { f.platform.SetVMs(f.records) }, 3500 * time.Millisecond, []step{received, running, resent}},
		{"VM list empty", "1 3 4 5", func(f *fleet) { f.platform.SetVMs(nil) },
			func(f *fleet) { f.platform.SetVMs(f.records) }, 3500 * time.Millisecond, []step{received, running, resent}},
		{"VM list and configuration service down", "1 3 4 5", func(f *fleet) { f.platform.SetFaults(standin.PlatformFaults{Down: true}) },
			func(f *fleet) { f.platform.SetFaults(standin.PlatformFaults{}) }, 3500 * time.Millisecond, []step{received, running, resent}},
	}
}

// replaceWhilePaused pauses the home for 1.5 s and restarts it as it resumes: the
// earlier incarnation resumes without connections.
func replaceWhilePaused(f *fleet) {
	u := f.byName[home]
	u.gate.hold()
	f.net.freeze(home, true)
	time.Sleep(1500 * time.Millisecond)
	f.net.freeze(home, false)
	// A graceful stop in progress needs the timers in order to end.
	u.gate.resume()
	f.restart(home, 0)
}

// stopAndRestart stops a daemon gracefully and starts a new incarnation at its addresses
// 1 s later.
func (f *fleet) stopAndRestart(name string) {
	lifecycleLock := f.byName[name].lifecycleLock
	lifecycleLock <- struct{}{}
	defer func() { <-lifecycleLock }()
	if err := f.stop(context.Background(), name); err != nil {
		f.recordProblem(name + ": " + err.Error())
	}
	time.Sleep(time.Second)
	f.startDaemon(f.byName[name])
}
