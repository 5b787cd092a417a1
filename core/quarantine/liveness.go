package quarantine

// Liveness tells the crash of a backend server from the failure of single connections: after a
// crash, new connections are refused. It is not safe for concurrent use.
type Liveness struct{ accepting bool }

// ConnectionAccepted records that the backend server accepted a connection.
func (l *Liveness) ConnectionAccepted() { l.accepting = true }

// ConnectionRefused records that the backend server refused a connection. It returns true for the
// first refusal since the backend server accepted one, so that each crash counts once.
func (l *Liveness) ConnectionRefused() bool {
	crashed := l.accepting
	l.accepting = false
	return crashed
}

// Accepting reports whether no connection was refused since one was accepted.
func (l *Liveness) Accepting() bool { return l.accepting }
