// Package chart interprets state charts that are kept in JSON files.
//
// A chart lists its states, its events and, for every state that is not final,
// the target of every event. The target "ignore" keeps the current state. Loading
// a chart checks that all targets exist, that every state can be reached from the
// initial one and that no event is left out, so that a missing transition is an
// error at start and not a failure under load.
//
// A Chart is immutable after loading and safe for concurrent use. A Machine
// holds the current state of one object and is not safe for concurrent use.
package chart
