package quota

import (
	"time"
)

// laterList is the reason of ContactLost if the daemon is behind.
const laterList = "others have a later list of daemons"

// recordContact records that another daemon had the same list at a time or later. After a gap, the daemon is like one that
// has become owner.
func (n *Node) recordContact(now, at time.Duration) {
	if at <= n.contact {
		return
	}
	switch {
	case !n.met:
		n.met, n.from = true, max(n.from, now+startTime)
	case at-n.contact > maxContactGap:
		n.beginAgain(now)
	}
	n.contact = at
}

// beginAgain makes the daemon like one that has become owner.
func (n *Node) beginAgain(now time.Duration) {
	n.from = max(n.from, now+handoverTime)
	clear(n.buckets)
}

// reachesMost reports whether the daemon has reached most of those that it asked recently, itself included.
// Otherwise it may be in the smaller part of a split network, and have been replaced as owner in the other one.
func (n *Node) reachesMost(now time.Duration) bool {
	asked, reached := n.countAsked(now)
	if asked < min(minAsked/2, len(n.daemons)-1) || 2*(reached+1) <= asked+1 {
		return false
	}
	if now-n.majorityAt > maxContactGap {
		n.beginAgain(now)
	}
	n.majorityAt = now
	return true
}

// countAsked returns the numbers of daemons that were asked in the latest majorityTime, and that were reached then.
func (n *Node) countAsked(now time.Duration) (asked, reached int) {
	for name, l := range n.links {
		if !n.known[name] || l.endedAt == 0 || now-l.endedAt > majorityTime {
			continue
		}
		asked++
		if l.reached {
			reached++
		}
	}
	return asked, reached
}

// mayGrant reports whether the daemon has been in contact with another one recently enough to be owner.
func (n *Node) mayGrant(now time.Duration) bool {
	n.noticePause(now)
	reason := n.noContact(now)
	if in := reason == ""; in != n.inContact {
		n.inContact = in
		kind := ContactLost
		if in {
			kind = ContactRegained
		}
		n.event(Event{Kind: kind, Reason: reason})
	}
	return reason == ""
}

// noContact returns why the daemon may have been replaced as owner, empty if it can't have been.
func (n *Node) noContact(now time.Duration) string {
	switch {
	case n.behind(now):
		return laterList
	case len(n.daemons) == 1 && n.known[n.self]:
		return ""
	case !n.reachesMost(now):
		return "most daemons are not reached"
	case now-n.contact > contactTime || n.contact < n.confirmFrom:
		return "no other daemon with the same list of daemons has answered"
	}
	return ""
}

// noticePause notices that the daemon has not run for a time, in which it may have missed a change.
func (n *Node) noticePause(now time.Duration) {
	if now-n.ticked > maxTickGap {
		n.confirmFrom = now
	}
	n.ticked = now
}

// NeedsContact returns the daemon that is to be asked so that this one may grant tokens, or so that it learns of
// its removal from the list, empty if none is.
func (n *Node) NeedsContact(now time.Duration) string {
	n.noticePause(now)
	if len(n.announces) > 0 {
		return n.announces[0]
	}
	if now-n.contact >= contactInterval || n.contact < n.confirmFrom {
		return n.other()
	}
	if asked, _ := n.countAsked(now); asked < min(minAsked, len(n.daemons)-1) {
		return n.other()
	}
	return ""
}

// MayGrant reports whether the daemon may grant tokens now. If it may not, a question to NeedsContact helps.
func (n *Node) MayGrant(now time.Duration) bool { return n.mayGrant(now) }
