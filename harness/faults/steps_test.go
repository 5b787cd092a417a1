package faults

import (
	"fmt"
	"time"

	"github.com/hawthornpoint/hawthornpoint/core/idempotency"
	"github.com/hawthornpoint/hawthornpoint/harness/standin"
)

// step is the progress of a request at the time of the fault.
type step string

// Steps of a request.
const (
	received  step = "received"
	queued    step = "queued"
	sent      step = "sent upstream"
	running   step = "running"
	answering step = "answer under way"
	answered  step = "answered"
	resent    step = "re-sent"
)

var requestSteps = []step{received, queued, sent, running, answering, answered, resent}

const (
	// slowFactor makes a run long enough for a fault to occur during it.
	slowFactor = 20
	// maxResends is how often the caller sends again at most; resendGap is the time
	// between two sends.
	maxResends = 8
	// recoveryTime is the time after a fault until new requests must be answered.
	recoveryTime = 2 * time.Second
	resendGap    = 400 * time.Millisecond
	// loadGap is the time between two requests of the background load.
	loadGap = 100 * time.Millisecond
)

// runRequestCell injects a fault while the target is at a step and other requests are
// in progress, and re-sends the target until it is answered.
func runRequestCell(f *fleet, at step, flt fault) []string {
	target := spec{entry: entry, service: "order", kind: "confirm", key: f.caller.keyWithHome(home), body: "target"}
	if at == answering {
		target.body = "target bytes=200000"
	}
	stopLoad := f.startLoad(loadGap)
	f.injectAt(at, target, func() { flt.inject(f) })
	cleared := time.Now().Add(flt.duration)
	f.resendUntilAnswered(target)
	f.sleep(max(time.Until(cleared), 0))
	if flt.clear != nil {
		flt.clear(f)
	}
	f.caller.client.CloseIdleConnections()
	close(stopLoad)
	f.net.heal()
	f.setHomeFaults(standin.Faults{})
	f.sleep(recoveryTime)
	f.resendUntilAnswered(target)
	return f.recovered()
}

// companions is the number of unkeyed requests sent together with the target, so
// that some of them are at the same step on the same link.
const companions = 6

// startTarget sends the target and its companions through the same entry.
func (f *fleet) startTarget(target spec) <-chan *sendResult {
	for i := range companions {
		s := spec{entry: target.entry, service: "order", kind: "place", body: fmt.Sprintf("companion %d", i)}
		if i%3 == 2 {
			s.kind = "browse"
		}
		f.caller.start(s)
	}
	return f.caller.start(target)
}

// injectAt brings the target to a step and injects the fault there.
func (f *fleet) injectAt(at step, target spec, inject func()) {
	wait := 100 * time.Millisecond
	switch at {
	case received:
		f.background(inject)
		time.Sleep(time.Millisecond)
		f.startTarget(target)
		return
	case queued:
		f.setHomeFaults(standin.Faults{Hang: true})
		f.fillHomeSlots()
		time.Sleep(wait)
		f.startTarget(target)
		time.AfterFunc(400*time.Millisecond, func() { f.setHomeFaults(standin.Faults{}) })
	case sent:
		f.net.set(entry, home, delayed(2*wait))
		f.startTarget(target)
	case running:
		f.setHomeFaults(standin.Faults{SlowFactor: slowFactor})
		f.startTarget(target)
	case answering:
		f.net.set(backendHost(home), home, delayed(wait))
		f.net.set(home, entry, delayed(2*wait))
		f.startTarget(target)
		wait += wait
	case answered:
		<-f.startTarget(target)
		wait = 0
	case resent:
		f.setHomeFaults(standin.Faults{SlowFactor: slowFactor})
		first := target
		first.timeout = wait
		f.caller.send(first)
		second := target
		second.entry = otherEntries[0]
		f.caller.start(second)
	}
	time.Sleep(wait)
	f.assertStep(at, target)
	inject()
}

// assertStep records a problem if the target is not at the step, so that a cell cannot
// pass when its fault missed the step.
func (f *fleet) assertStep(at step, target spec) {
	want := 1
	if at == queued || at == sent {
		want = 0
	}
	if runs := f.runsOfKeyOrToken(f.counts(), target); runs != want {
		f.recordProblem(fmt.Sprintf("the target is not %s: %d runs instead of %d", at, runs, want))
	}
}

// fillHomeSlots occupies the slots of the home with other confirmations.
func (f *fleet) fillHomeSlots() {
	for i := range 3 * slots {
		f.caller.start(spec{
			entry: otherEntries[i%2], service: "order", kind: "confirm",
			key: f.caller.keyWithHome(home), body: fmt.Sprintf("fill %d", i),
		})
	}
}

// resendUntilAnswered sends the target through other entries until it is answered, at
// most maxResends times.
func (f *fleet) resendUntilAnswered(target spec) {
	for i := range maxResends {
		again := target
		again.entry = otherEntries[i%len(otherEntries)]
		again.timeout = 2 * time.Second
		if f.caller.send(again).ok() {
			return
		}
		f.sleep(resendGap)
	}
}

// startLoad sends reads, unkeyed and keyed requests through all entries, one per gap,
// until the returned channel is closed.
func (f *fleet) startLoad(gap time.Duration) chan<- struct{} {
	stop := make(chan struct{})
	f.background(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(gap):
			}
			s := spec{entry: f.upstreams[i%len(f.upstreams)].name, service: "order", body: fmt.Sprintf("load %d", i)}
			switch i % 4 {
			case 0, 1:
				s.kind = "browse"
			case 2:
				s.kind = "place"
			case 3:
				s.kind, s.key = "confirm", f.caller.newKey()
			}
			f.caller.start(s)
		}
	})
	return stop
}

// recoveryAttempts is how often a request is tried through one entry after the cause
// has ended: an empty retry budget or a probe may still make one fail.
const recoveryAttempts = 3

// recovered checks that every entry answers a read and a new confirmation again,
// and that every home runs one.
func (f *fleet) recovered() []string {
	var problems []string
	homes := f.upstreamNames("order")
	for i, u := range f.upstreams {
		homeName := homes[(i+1)%len(homes)]
		s := spec{entry: u.name, service: "order", kind: "confirm", key: f.caller.keyWithHome(homeName), body: "after " + homeName}
		if problem := f.tryUntilAnswered(s); problem != "" {
			problems = append(problems, problem)
		}
		s = spec{entry: u.name, service: "order", kind: "browse", body: "after"}
		if problem := f.tryUntilAnswered(s); problem != "" {
			problems = append(problems, problem)
		}
	}
	return problems
}

func (f *fleet) tryUntilAnswered(s spec) string {
	var last *sendResult
	for range recoveryAttempts {
		if s.key != "" {
			// A re-send would get the recorded answer, even one that reports a
			// failed downstream call.
			s.key = f.caller.keyWithHome(idempotency.Home(s.key, f.upstreamNames(s.service)))
		}
		if last = f.caller.send(s); last.ok() {
			return ""
		}
		f.sleep(100 * time.Millisecond)
	}
	return fmt.Sprintf("after the fault, %s of %s through %s: %v (cause %v, status %d, %v)", s.kind, s.body, s.entry, last.code(), last.reply.Cause, last.status, last.err)
}
