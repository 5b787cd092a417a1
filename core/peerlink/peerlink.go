// Package peerlink decides when a connection to another daemon counts as silent.
//
// A daemon that does not respond may have ended, be cut off, or only be paused or slow. While it is
// silent, new work goes elsewhere or over a new connection, and what may run again is sent again. A run
// that must not be repeated is not given up: its daemon may still answer until the deadline.
//
// A Monitor reads no clock and is not safe for concurrent use.
package peerlink

import "time"

const (
	// CheckInterval is how often a connection is checked.
	CheckInterval = 250 * time.Millisecond
	// pingAfter is how long a connection with pending calls may receive nothing before it is
	// tested with a ping, and silentAfter how long before it counts as silent.
	pingAfter   = 250 * time.Millisecond
	silentAfter = time.Second
	// unansweredAfter is how long nothing may be received after bytes were sent until a connection counts as
	// silent although no call is pending: calls that end before silentAfter tell nothing else.
	unansweredAfter = 2 * time.Second
	// idleTimeout is how long a connection without calls is kept.
	idleTimeout = time.Minute
	// lateCheck is the time between two checks from which this process has been paused itself. What
	// arrived meanwhile may not have been read yet.
	lateCheck = 2 * CheckInterval
)

// Verdict is the result of a check.
type Verdict uint8

// Verdicts of a check.
const (
	// Alive: nothing needs to be done.
	Alive Verdict = iota
	// Ping: the peer has to show that it responds.
	Ping
	// Silent: the peer does not respond.
	Silent
	// Idle: the connection is not used.
	Idle
)

// Monitor checks one connection.
type Monitor struct {
	lastCheck time.Time
	resumed   time.Time // when this process noticed that it had been paused
}

// Traffic is what is known of a connection.
type Traffic struct {
	// Received is when bytes were received, or began to be waited for, most recently.
	Received time.Time
	// Unanswered is when the first bytes were sent after the latest ones were received, zero if none were.
	Unanswered time.Time
	// Pending is the number of calls that wait for a reply.
	Pending int64
}

// Check returns the state of a connection. It is called in each CheckInterval.
func (m *Monitor) Check(now time.Time, t Traffic) Verdict {
	if !m.lastCheck.IsZero() && now.Sub(m.lastCheck) > lateCheck {
		m.resumed = now
	}
	m.lastCheck = now
	quiet := now.Sub(later(t.Received, m.resumed))
	switch {
	case !t.Unanswered.IsZero() && now.Sub(later(t.Unanswered, m.resumed)) > unansweredAfter:
		return Silent
	case t.Pending == 0 && quiet > idleTimeout:
		return Idle
	case t.Pending == 0:
		return Alive
	case quiet > silentAfter:
		return Silent
	case quiet > pingAfter:
		return Ping
	}
	return Alive
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
