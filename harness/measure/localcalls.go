package measure

import (
	"cmp"
	"slices"

	"github.com/google/uuid"
)

// localCalls holds the calls on the server side of one daemon.
type localCalls struct {
	seq   uint64
	runs  map[uuid.UUID]*run
	joins map[uuid.UUID][]*attempt // by the call whose answer they wait for
	order []uuid.UUID              // keys of joins, in the order of the first join
}

func newLocalCalls() *localCalls {
	return &localCalls{runs: make(map[uuid.UUID]*run), joins: make(map[uuid.UUID][]*attempt)}
}

func (l *localCalls) add(d *Daemon, a *attempt) *run {
	l.seq++
	r := &run{attempt: a, daemon: d, seq: l.seq}
	l.runs[a.meta.CallID] = r
	return r
}

func (l *localCalls) remove(r *run) {
	r.deadline.Cancel()
	delete(l.runs, r.attempt.meta.CallID)
}

// inOrder returns the runs in the order of arrival.
func (l *localCalls) inOrder() []*run {
	runs := make([]*run, 0, len(l.runs))
	for _, r := range l.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.seq, b.seq) })
	return runs
}

func (l *localCalls) join(owner uuid.UUID, a *attempt) {
	if len(l.joins[owner]) == 0 {
		l.order = append(l.order, owner)
	}
	l.joins[owner] = append(l.joins[owner], a)
}

// takeJoined removes and returns the attempts that wait for a call that has ended.
func (l *localCalls) takeJoined(owner uuid.UUID) []*attempt {
	waiting, ok := l.joins[owner]
	if !ok {
		return nil
	}
	delete(l.joins, owner)
	l.order = slices.DeleteFunc(l.order, func(id uuid.UUID) bool { return id == owner })
	return waiting
}

// leaveJoin removes an attempt that waits for another call.
func (l *localCalls) leaveJoin(a *attempt) {
	for _, owner := range l.order {
		l.joins[owner] = slices.DeleteFunc(l.joins[owner], func(w *attempt) bool { return w == a })
	}
}

func (l *localCalls) allJoined() []*attempt {
	var all []*attempt
	for _, owner := range l.order {
		all = append(all, l.joins[owner]...)
	}
	return all
}
