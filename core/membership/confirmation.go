package membership

import "time"

// Confirmation decides when a daemon that was paused has heard from enough peers to
// conclude that it was not replaced. One peer is not enough: it may be cut off from the
// peers that know the replacement. The zero value is ready for use.
type Confirmation struct {
	since    time.Time
	answered map[string]struct{} // names of peers
}

// Restart discards all answers. It is called at the end of each pause.
func (c *Confirmation) Restart(now time.Time) {
	c.since = now
	c.answered = make(map[string]struct{})
}

// Answered records the answer of a peer to a message that was sent at the given time. An
// answer to a message from before the end of the latest pause is ignored: it does not
// show whether the daemon was replaced meanwhile.
func (c *Confirmation) Answered(sent time.Time, peer string) {
	if c.answered != nil && !sent.Before(c.since) {
		c.answered[peer] = struct{}{}
	}
}

// Enough reports whether most of the given number of live peers have answered, or Fanout
// of them in a large fleet.
func (c *Confirmation) Enough(livePeers int) bool {
	return len(c.answered) >= min(livePeers/2+1, Fanout)
}
