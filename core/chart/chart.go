package chart

import (
	"embed"
	"encoding/json"
	"io/fs"
	"slices"
	"sort"

	"github.com/go-faster/errors"
)

// State is the name of a state of a chart.
type State string

// Event is the name of an event of a chart.
type Event string

// Ignore is the target that keeps the current state.
const Ignore State = "ignore"

//go:embed charts/*.json
var files embed.FS

// Chart is a state chart that has passed all checks. It is immutable and safe for
// concurrent use.
type Chart struct {
	name        string
	initial     State
	final       map[State]bool
	events      []Event
	transitions map[State]map[Event]State
}

type chartFile struct {
	Name    string               `json:"name"`
	Initial State                `json:"initial"`
	Events  []Event              `json:"events"`
	Final   []State              `json:"final"`
	States  map[State]stateEntry `json:"states"`
}

type stateEntry struct {
	Transitions map[Event]State `json:"on"`
}

// Load reads and checks the embedded chart with the given name.
func Load(name string) (*Chart, error) {
	data, err := fs.ReadFile(files, "charts/"+name+".json")
	if err != nil {
		return nil, errors.Wrapf(err, "chart %s", name)
	}
	return Parse(data)
}

// MustLoad is like Load but panics on error. It is meant for package variables,
// since the embedded files are part of the program.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Parse decodes a chart from JSON and checks it.
func Parse(data []byte) (*Chart, error) {
	var file chartFile
	if err := json.Unmarshal(data, &file); err != nil {
		return nil, errors.Wrap(err, "chart")
	}
	c := newChart(file)
	if err := c.check(file); err != nil {
		return nil, errors.Wrapf(err, "chart %s", file.Name)
	}
	return c, nil
}

func newChart(file chartFile) *Chart {
	c := &Chart{
		name:        file.Name,
		initial:     file.Initial,
		final:       make(map[State]bool),
		events:      file.Events,
		transitions: make(map[State]map[Event]State),
	}
	for _, s := range file.Final {
		c.final[s] = true
	}
	for s, entry := range file.States {
		c.transitions[s] = entry.Transitions
	}
	return c
}

func (c *Chart) check(file chartFile) error {
	if !c.hasState(c.initial) {
		return errors.Errorf("initial state %q is not defined", c.initial)
	}
	for _, s := range file.Final {
		if !c.hasState(s) {
			return errors.Errorf("final state %q is not defined", s)
		}
	}
	for _, s := range c.States() {
		if err := c.checkState(s); err != nil {
			return err
		}
	}
	return c.checkReachable()
}

func (c *Chart) checkState(s State) error {
	if c.final[s] {
		if len(c.transitions[s]) > 0 {
			return errors.Errorf("final state %q has transitions", s)
		}
		return nil
	}
	for _, e := range c.events {
		if _, ok := c.transitions[s][e]; !ok {
			return errors.Errorf("state %q does not handle event %q", s, e)
		}
	}
	for e, target := range c.transitions[s] {
		if !slices.Contains(c.events, e) {
			return errors.Errorf("state %q handles event %q, which is not listed", s, e)
		}
		if target != Ignore && !c.hasState(target) {
			return errors.Errorf("event %q in state %q leads to %q, which is not defined", e, s, target)
		}
	}
	return nil
}

func (c *Chart) checkReachable() error {
	reached := map[State]bool{c.initial: true}
	pending := []State{c.initial}
	for len(pending) > 0 {
		s := pending[0]
		pending = pending[1:]
		for _, target := range c.transitions[s] {
			if target != Ignore && !reached[target] {
				reached[target] = true
				pending = append(pending, target)
			}
		}
	}
	for _, s := range c.States() {
		if !reached[s] {
			return errors.Errorf("state %q cannot be reached from %q", s, c.initial)
		}
	}
	return nil
}

func (c *Chart) hasState(s State) bool {
	_, ok := c.transitions[s]
	return ok
}

// Name returns the name of the chart.
func (c *Chart) Name() string { return c.name }

// States returns all states in alphabetical order.
func (c *Chart) States() []State {
	states := make([]State, 0, len(c.transitions))
	for s := range c.transitions {
		states = append(states, s)
	}
	sort.Slice(states, func(i, j int) bool { return states[i] < states[j] })
	return states
}

// Machine holds the current state of one object that follows a chart. It is not
// safe for concurrent use.
type Machine struct {
	chart *Chart
	state State
}

// NewMachine returns a machine in the initial state.
func (c *Chart) NewMachine() *Machine {
	return &Machine{chart: c, state: c.initial}
}

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Final reports whether the current state is final.
func (m *Machine) Final() bool { return m.chart.final[m.state] }

// Fire applies an event and reports whether the state changed. An event that is
// ignored, or that comes in a final state, leaves the state as it is. Fire
// panics on an event that the chart does not list, which is a programming error.
func (m *Machine) Fire(e Event) bool {
	if m.Final() {
		return false
	}
	target, ok := m.chart.transitions[m.state][e]
	if !ok {
		panic(errors.Errorf("chart %s: unknown event %q", m.chart.name, e))
	}
	if target == Ignore || target == m.state {
		return false
	}
	m.state = target
	return true
}
