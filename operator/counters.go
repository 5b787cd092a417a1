package operator

import (
	"expvar"
	"sync"

	"github.com/hawthornpoint/hawthornpoint/core/retry"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// Event is the name of a counted event.
type Event string

// Events. docs/operators-events.md explains each.
const (
	EventConfigAccepted    Event = "config_accepted"
	EventConfigInvalid     Event = "config_invalid"
	EventConfigOlder       Event = "config_older"
	EventConfigConflict    Event = "config_conflict"
	EventConfigRead        Event = "config_read"
	EventConfigReadFailed  Event = "config_read_failed"
	EventConfigFetched     Event = "config_fetched"
	EventListRead          Event = "list_read"
	EventListReadFailed    Event = "list_read_failed"
	EventExchange          Event = "exchange"
	EventExchangeFailed    Event = "exchange_failed"
	EventPush              Event = "push"
	EventPaused            Event = "paused"
	EventLeaving           Event = "leaving"
	EventReplaced          Event = "replaced"
	EventBackendCrashed    Event = "backend_crashed"
	EventEvicted           Event = "evicted"
	EventJoined            Event = "joined"
	EventReplayed          Event = "replayed"
	EventAnswerCut         Event = "answer_cut"
	EventAnswerInvalid     Event = "answer_invalid"
	EventWarmFailed        Event = "warm_failed"
	EventConfigFetchFailed Event = "config_fetch_failed"
	EventStopCutCalls      Event = "stop_cut_calls"
)

// Events returns all events.
func Events() []Event {
	return []Event{
		EventConfigAccepted, EventConfigInvalid, EventConfigOlder, EventConfigConflict, EventConfigRead,
		EventConfigReadFailed, EventConfigFetched, EventListRead, EventListReadFailed, EventExchange,
		EventExchangeFailed, EventPush, EventPaused, EventLeaving, EventReplaced,
		EventBackendCrashed, EventEvicted, EventJoined, EventReplayed, EventAnswerCut,
		EventAnswerInvalid, EventWarmFailed, EventConfigFetchFailed, EventStopCutCalls,
	}
}

// Counters holds the counters of one daemon. It is safe for concurrent use.
type Counters struct {
	results *expvar.Map
	retries *expvar.Map
	events  *expvar.Map
	// violations is keyed by invariant.
	violations *expvar.Map
	all        *expvar.Map
}

// NewCounters returns counters with the value 0. They are not published under a
// global name, so that a process can hold the counters of several daemons.
func NewCounters() *Counters {
	c := &Counters{
		results: new(expvar.Map), retries: new(expvar.Map),
		events: new(expvar.Map), violations: new(expvar.Map), all: new(expvar.Map),
	}
	for _, info := range resultcode.All() {
		c.results.Add(info.Name, 0)
	}
	for _, r := range retry.Reasons() {
		c.retries.Add(r.String(), 0)
	}
	for _, e := range Events() {
		c.events.Add(string(e), 0)
	}
	c.all.Set("results", c.results)
	c.all.Set("retries", c.retries)
	c.all.Set("events", c.events)
	c.all.Set("violations", c.violations)
	return c
}

// Result counts a call that ended with the code. An unassigned code counts as
// "invalid".
func (c *Counters) Result(code resultcode.Code) { c.results.Add(code.String(), 1) }

// Retry counts a retry, or a retry that was not allowed, under its reason.
func (c *Counters) Retry(r retry.Reason) { c.retries.Add(r.String(), 1) }

// Event counts an event.
func (c *Counters) Event(e Event) { c.events.Add(string(e), 1) }

// Violation counts a violation of the invariant.
func (c *Counters) Violation(invariant string) { c.violations.Add(invariant, 1) }

// Violations returns the number of violations of all invariants.
func (c *Counters) Violations() int {
	total := 0
	c.violations.Do(func(kv expvar.KeyValue) {
		if n, ok := kv.Value.(*expvar.Int); ok {
			total += int(n.Value())
		}
	})
	return total
}

// ResultCount returns how many calls ended with the code.
func (c *Counters) ResultCount(code resultcode.Code) int64 {
	return counterValue(c.results, code.String())
}

// RetryCount returns how often the reason was counted.
func (c *Counters) RetryCount(r retry.Reason) int64 { return counterValue(c.retries, r.String()) }

// EventCount returns how often the event was counted.
func (c *Counters) EventCount(e Event) int64 { return counterValue(c.events, string(e)) }

func counterValue(m *expvar.Map, key string) int64 {
	if n, ok := m.Get(key).(*expvar.Int); ok {
		return n.Value()
	}
	return 0
}

// Var returns all counters as one expvar variable.
func (c *Counters) Var() expvar.Var { return c.all }

// publishMu makes the check for a name and its publication atomic.
var publishMu sync.Mutex

// Publish adds the counters to the process's expvar variables under a name. If Publish
// has already published the name, it shows these counters from then on.
func (c *Counters) Publish(name string) {
	publishMu.Lock()
	defer publishMu.Unlock()
	if m, ok := expvar.Get(name).(*expvar.Map); ok {
		c.copyTo(m)
		return
	}
	m := new(expvar.Map)
	c.copyTo(m)
	expvar.Publish(name, m)
}

func (c *Counters) copyTo(m *expvar.Map) {
	c.all.Do(func(kv expvar.KeyValue) { m.Set(kv.Key, kv.Value) })
}
