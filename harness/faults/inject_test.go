package faults

import (
	"context"
	"time"

	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/harness/standin"
)

// The target of a fault: a keyed confirmation with this home, sent through entry and
// re-sent through the other entries.
const (
	home  = "order-a"
	entry = "stock-b"
)

var otherEntries = []string{"order-b", "stock-c", "order-a"}

// fault is something that goes wrong for a while.
type fault struct {
	name       string
	invariants string
	inject     func(f *fleet)
	// clear ends the fault; nil if it ends by itself.
	clear func(f *fleet)
	lasts time.Duration
	// steps are those at which the fault can make a difference; nil means all.
	steps []step
}

func blocked(on bool) func(*rule)                { return func(r *rule) { r.blocked = on } }
func delayed(d time.Duration) func(*rule)        { return func(r *rule) { r.delay = d } }
func cutAt(bytes int) func(*rule)                { return func(r *rule) { r.cut, r.cutAfter = true, bytes } }
func refusing(on bool) func(*rule)               { return func(r *rule) { r.refuse = on } }
func noCut(r *rule)                              { r.cut = false }
func (f *fleet) setBackend(b standin.Faults)     { f.byName[home].backend.SetFaults(b) }
func (f *fleet) withoutVM(n string)              { f.platform.SetVMs(without(f.records, n)) }
func (f *fleet) background(g func())             { f.caller.sends.Go(g) }
func (f *fleet) oneWay(from, to string, on bool) { f.net.set(from, to, blocked(on)) }

func without(list []membership.Record, name string) []membership.Record {
	var kept []membership.Record
	for _, r := range list {
		if r.Name != name {
			kept = append(kept, r)
		}
	}
	return kept
}

// faultList are the faults that can hit a request at any step.
func faultList() []fault {
	return append(append(backendFaults(), linkFaults()...), processFaults()...)
}

func backendFaults() []fault {
	backend := backendHost(home)
	return []fault{
		{"backend server killed", "1 3 4 5", func(f *fleet) { f.byName[home].backend.Crash() }, nil, time.Second, nil},
		{"backend server hangs", "1 3 4 5", func(f *fleet) { f.setBackend(standin.Faults{Hang: true}) },
			func(f *fleet) { f.setBackend(standin.Faults{}) }, 3500 * time.Millisecond, nil},
		{"backend server sheds", "1 3 4 5", func(f *fleet) { f.setBackend(standin.Faults{ShedShare: 1}) },
			func(f *fleet) { f.setBackend(standin.Faults{}) }, time.Second, []step{received, queued, sent, resent}},
		{"backend server's answer cut in the middle", "1 3 4 5", func(f *fleet) { f.net.set(backend, home, cutAt(700)) },
			func(f *fleet) { f.net.set(backend, home, noCut) }, time.Second, nil},
		{"backend server's answer without end", "1 3 4 5", func(f *fleet) { f.oneWay(backend, home, true) },
			func(f *fleet) { f.oneWay(backend, home, false) }, 3500 * time.Millisecond, nil},
		{"health endpoint lies", "1 3 4 5", func(f *fleet) { f.setBackend(standin.Faults{HealthSays: 500, LoadSays: &standin.Load{Running: 1000}}) },
			func(f *fleet) { f.setBackend(standin.Faults{}) }, time.Second, []step{received, running}},
	}
}

func linkFaults() []fault {
	return []fault{
		{"connections between entry and home cut", "1 3 4 5", func(f *fleet) { f.net.cut(entry, home) }, nil, time.Second, nil},
		{"connection cut inside the request", "1 3 4 5", func(f *fleet) { f.net.set(entry, home, cutAt(100)) },
			func(f *fleet) { f.net.set(entry, home, noCut) }, time.Second, []step{received, sent, resent}},
		{"connection cut inside the answer", "1 3 4 5", func(f *fleet) { f.net.set(home, entry, cutAt(1000)) },
			func(f *fleet) { f.net.set(home, entry, noCut) }, time.Second, []step{received, running, answering, resent}},
		{"home refuses connections", "1 3 4 5", func(f *fleet) { f.net.set(entry, home, refusing(true)); f.net.cut(entry, home) },
			func(f *fleet) { f.net.set(entry, home, refusing(false)) }, time.Second, []step{received, sent, answered, resent}},
		{"link one way only, requests lost", "1 3 4 5", func(f *fleet) { f.oneWay(entry, home, true) },
			func(f *fleet) { f.oneWay(entry, home, false) }, 3500 * time.Millisecond, nil},
		{"link one way only, answers lost", "1 3 4 5", func(f *fleet) { f.oneWay(home, entry, true) },
			func(f *fleet) { f.oneWay(home, entry, false) }, 3500 * time.Millisecond, []step{received, queued, sent, running, answering, resent}},
		{"answer delayed beyond the deadline", "1 3 4 5", func(f *fleet) { f.net.set(home, entry, delayed(5*time.Second)) },
			func(f *fleet) { f.net.set(home, entry, delayed(0)) }, 3500 * time.Millisecond, []step{received, sent, running, resent}},
		{"caller goes away", "1 3 4 5", func(f *fleet) { f.net.cut(callerHost, anyHost) }, nil, time.Second, []step{queued, sent, running, answering, resent}},
		{"partition and heal", "1 3 4 5", func(f *fleet) { f.partition(true) }, func(f *fleet) { f.partition(false) }, 6 * time.Second, nil},
	}
}

// partition separates home and stock-a from the rest. Callers reach both parts.
func (f *fleet) partition(on bool) {
	for _, in := range []string{home, "stock-a"} {
		for _, out := range []string{"order-b", "order-c", "stock-b", "stock-c", "platform"} {
			f.net.both(in, out, blocked(on))
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
		{"home stops gracefully", "1 3 4 5 7", func(f *fleet) { f.background(func() { f.stopAndReturn(home) }) }, nil, 6 * time.Second, nil},
		{"VM list without the home", "1 3 4 5", func(f *fleet) { f.withoutVM(home) },
			func(f *fleet) { f.platform.SetVMs(f.records) }, 3500 * time.Millisecond, []step{received, running, resent}},
		{"VM list empty", "1 3 4 5", func(f *fleet) { f.platform.SetVMs(nil) },
			func(f *fleet) { f.platform.SetVMs(f.records) }, 3500 * time.Millisecond, []step{received, running, resent}},
		{"VM list and configuration service down", "1 3 4 5", func(f *fleet) { f.platform.SetFaults(standin.PlatformFaults{Down: true}) },
			func(f *fleet) { f.platform.SetFaults(standin.PlatformFaults{}) }, 3500 * time.Millisecond, []step{received, running, resent}},
	}
}

// replaceWhilePaused pauses the home for longer than a deadline and restarts it
// before it wakes: the earlier incarnation wakes without links.
func replaceWhilePaused(f *fleet) {
	p := f.byName[home]
	p.gate.hold()
	f.net.freeze(home, true)
	time.Sleep(1500 * time.Millisecond)
	f.net.freeze(home, false)
	// A graceful stop that is under way needs the timers to end.
	p.gate.resume()
	f.restart(home, 0)
}

// stopAndReturn stops a daemon gracefully and starts its replacement.
func (f *fleet) stopAndReturn(name string) {
	life := f.byName[name].life
	life <- struct{}{}
	defer func() { <-life }()
	if err := f.stop(context.Background(), name); err != nil {
		f.note(name + ": " + err.Error())
	}
	time.Sleep(time.Second)
	f.startDaemon(f.byName[name])
}
