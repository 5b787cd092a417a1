package quarantine

import "time"

const (
	// exchangeInterval is the time between two exchanges of reports with a random peer. Six answered
	// exchanges reach the daemons that have missed the messages about a crash, in fleets of any size.
	exchangeInterval = 500 * time.Millisecond
	// firstExchangeInterval is the time between two exchanges until the first is answered.
	firstExchangeInterval = 100 * time.Millisecond
	// exchangesAfterReport is how many exchanges are answered after a new report until they end.
	exchangesAfterReport = 20
)

// Exchanges decides when a daemon exchanges reports with a random peer: at its start, and after each
// report that is new to it. Only answered exchanges count, so that a daemon that was cut off passes
// its reports on afterwards. The zero value is that of a daemon that starts. It is not safe for
// concurrent use.
type Exchanges struct {
	started bool // an exchange was answered
	left    int
}

// Due reports whether to exchange reports now.
func (e *Exchanges) Due() bool { return !e.started || e.left > 0 }

// Interval returns the time until the next exchange may be due.
func (e *Exchanges) Interval() time.Duration {
	if e.started {
		return exchangeInterval
	}
	return firstExchangeInterval
}

// ReportsAdded records that reports were new to this daemon.
func (e *Exchanges) ReportsAdded() { e.left = exchangesAfterReport }

// Answered records that a peer has answered an exchange.
func (e *Exchanges) Answered() {
	e.started = true
	e.left = max(e.left-1, 0)
}
