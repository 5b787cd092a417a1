package faults

import (
	"fmt"
	"time"

	"github.com/hawthornpoint/hawthornpoint/core/idempotency"
	"github.com/hawthornpoint/hawthornpoint/harness/standin"
)

// step is where a request is when the fault happens.
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
	// slowFactor makes a run long enough to be hit in the middle.
	slowFactor = 20
	// resends is how often the caller sends again, resendGap the time between.
	resends = 8
	// recoveryTime is left after a fault before new requests must be answered.
	recoveryTime = 2 * time.Second
	resendGap    = 400 * time.Millisecond
	// loadGap is the time between two requests of the background load.
	loadGap = 100 * time.Millisecond
)

// requestCell lets a fault happen while the target is at a step, with other
// requests under way, and re-sends the target until it is answered.
func requestCell(f *fleet, at step, x fault) []string {
	target := spec{entry: entry, service: "order", kind: "confirm", key: f.caller.keyFor(home), body: "target"}
	if at == answering {
		target.body = "target bytes=200000"
	}
	stopLoad := f.load(loadGap)
	f.place(at, target, func() { x.inject(f) })
	cleared := time.Now().Add(x.lasts)
	f.resend(target)
	f.sleep(max(time.Until(cleared), 0))
	if x.clear != nil {
		x.clear(f)
	}
	f.caller.client.CloseIdleConnections()
	close(stopLoad)
	f.net.heal()
	f.setBackend(standin.Faults{})
	f.sleep(recoveryTime)
	f.resend(target)
	return f.recovered()
}

// companions is the number of unkeyed requests that are sent beside the target, so
// that some of them are at the same step on the same link.
const companions = 6

// startTarget sends the target and its companions through the same entry.
func (f *fleet) startTarget(target spec) <-chan *told {
	for i := range companions {
		s := spec{entry: target.entry, service: "order", kind: "place", body: fmt.Sprintf("companion %d", i)}
		if i%3 == 2 {
			s.kind = "browse"
		}
		f.caller.start(s)
	}
	return f.caller.start(target)
}

// place brings the target to a step and injects the fault there.
func (f *fleet) place(at step, target spec, inject func()) {
	wait := 100 * time.Millisecond
	switch at {
	case received:
		f.background(inject)
		time.Sleep(time.Millisecond)
		f.startTarget(target)
		return
	case queued:
		f.setBackend(standin.Faults{Hang: true})
		f.fill()
		time.Sleep(wait)
		f.startTarget(target)
		time.AfterFunc(400*time.Millisecond, func() { f.setBackend(standin.Faults{}) })
	case sent:
		f.net.set(entry, home, delayed(2*wait))
		f.startTarget(target)
	case running:
		f.setBackend(standin.Faults{SlowFactor: slowFactor})
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
		f.setBackend(standin.Faults{SlowFactor: slowFactor})
		first := target
		first.patience = wait
		f.caller.send(first)
		second := target
		second.entry = otherEntries[0]
		f.caller.start(second)
	}
	time.Sleep(wait)
	f.assertStep(at, target)
	inject()
}

// assertStep notes when the target is not at the step, so that a cell cannot pass
// without its fault.
func (f *fleet) assertStep(at step, target spec) {
	want := 1
	if at == queued || at == sent {
		want = 0
	}
	if runs := f.runsOfName(f.counts(), target); runs != want {
		f.note(fmt.Sprintf("the target is not %s: %d runs instead of %d", at, runs, want))
	}
}

// fill occupies the slots of the home with other confirmations.
func (f *fleet) fill() {
	for i := range 3 * slots {
		f.caller.start(spec{
			entry: otherEntries[i%2], service: "order", kind: "confirm",
			key: f.caller.keyFor(home), body: fmt.Sprintf("fill %d", i),
		})
	}
}

// resend sends the target again through other entries until it is answered.
func (f *fleet) resend(target spec) {
	for i := range resends {
		again := target
		again.entry = otherEntries[i%len(otherEntries)]
		again.patience = 2 * time.Second
		if f.caller.send(again).ok() {
			return
		}
		f.sleep(resendGap)
	}
}

// load sends reads, unkeyed and keyed requests through all entries until the
// returned channel is closed.
func (f *fleet) load(gap time.Duration) chan<- struct{} {
	stop := make(chan struct{})
	f.background(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(gap):
			}
			s := spec{entry: f.places[i%len(f.places)].name, service: "order", body: fmt.Sprintf("load %d", i)}
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

// recoveryTries is how often a request may fail through one entry after the cause
// has ended, because a retry budget or a probe may still cost one.
const recoveryTries = 3

// recovered checks that every entry answers a read and a new confirmation again,
// and that every home runs one.
func (f *fleet) recovered() []string {
	var problems []string
	homes := f.names("order")
	for i, p := range f.places {
		h := homes[(i+1)%len(homes)]
		s := spec{entry: p.name, service: "order", kind: "confirm", key: f.caller.keyFor(h), body: "after " + h}
		if problem := f.tryUntilAnswered(s); problem != "" {
			problems = append(problems, problem)
		}
		s = spec{entry: p.name, service: "order", kind: "browse", body: "after"}
		if problem := f.tryUntilAnswered(s); problem != "" {
			problems = append(problems, problem)
		}
	}
	return problems
}

func (f *fleet) tryUntilAnswered(s spec) string {
	var last *told
	for range recoveryTries {
		if s.key != "" {
			// A re-send would get the recorded answer, even one that reports a
			// failed downstream call.
			s.key = f.caller.keyFor(idempotency.Home(s.key, f.names(s.service)))
		}
		if last = f.caller.send(s); last.ok() {
			return ""
		}
		f.sleep(100 * time.Millisecond)
	}
	return fmt.Sprintf("after the fault, %s of %s through %s: %v (cause %v, status %d, %v)", s.kind, s.body, s.entry, last.code(), last.reply.Cause, last.status, last.err)
}
