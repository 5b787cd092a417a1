package quota

import "time"

// demandInterval is the interval in which the demand of a tenant is counted to ask for tokens in advance.
const demandInterval = 250 * time.Millisecond

// lot is a number of tokens that may be used until the same time.
type lot struct {
	count   int
	expires time.Duration
}

// holder is what a daemon keeps of a tenant whose requests it receives.
type holder struct {
	limit Limit
	lots  []lot // in the order in which they expire
	// floorUses are the times of the latest uses of the floor, the oldest first.
	floorUses []time.Duration
	// deniedUntil is until when the owner has no token, and returnAt when the last refused caller was told
	// to return.
	deniedUntil, returnAt time.Duration
	refusedAt             time.Duration // time of the latest refusal by the owner
	limited               bool
	countStart            time.Duration // start of the interval in which requests are counted
	count, previousCount  int
	used                  time.Duration

	// disownedUntil is until when the owner is not asked, since it says that it is not the owner.
	disownedUntil time.Duration
	// owner is valid for one generation of the list of daemons, and rank for another one.
	generation, rankGeneration int
	owner                      string
	rank                       int
}

// countRequest counts the demand.
func (h *holder) countRequest(now time.Duration) {
	if elapsed := now - h.countStart; elapsed >= demandInterval {
		h.previousCount = h.count
		if elapsed >= 2*demandInterval {
			h.previousCount = 0
		}
		h.count, h.countStart = 0, now
	}
	h.count++
	h.used = now
}

// take uses the token that expires first.
func (h *holder) take(now time.Duration) (Token, bool) {
	for len(h.lots) > 0 {
		first := &h.lots[0]
		if now < first.expires {
			token := Token{expires: first.expires}
			if first.count--; first.count == 0 {
				h.lots = h.lots[1:]
			}
			return token, true
		}
		h.lots = h.lots[1:]
	}
	h.lots = nil
	return Token{}, false
}

// put adds tokens.
func (h *holder) put(count int, expires time.Duration) {
	i := len(h.lots)
	for i > 0 && h.lots[i-1].expires > expires {
		i--
	}
	if i > 0 && h.lots[i-1].expires == expires {
		h.lots[i-1].count += count
		return
	}
	h.lots = append(h.lots, lot{})
	copy(h.lots[i+1:], h.lots[i:])
	h.lots[i] = lot{count, expires}
}

// takeFloor uses the floor if fewer than each uses lie within the window.
func (h *holder) takeFloor(now, window, started time.Duration, each int) bool {
	if now-started <= window {
		return false // what an earlier process has used is unknown
	}
	for len(h.floorUses) > 0 && now-h.floorUses[0] > window {
		h.floorUses = h.floorUses[1:]
	}
	if len(h.floorUses) >= each {
		return false
	}
	h.floorUses = append(h.floorUses, now)
	return true
}
