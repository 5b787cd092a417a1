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

// Check returns the state of a connection that last received bytes, or began to wait for some, at the
// given time. It is called in each CheckInterval.
func (m *Monitor) Check(now, received time.Time, pending int64) Verdict {
	if !m.lastCheck.IsZero() && now.Sub(m.lastCheck) > lateCheck {
		m.resumed = now
	}
	m.lastCheck = now
	if m.resumed.After(received) {
		received = m.resumed
	}
	quiet := now.Sub(received)
	switch {
	case pending == 0 && quiet > idleTimeout:
		return Idle
	case pending == 0:
		return Alive
	case quiet > silentAfter:
		return Silent
	case quiet > pingAfter:
		return Ping
	}
	return Alive
}
