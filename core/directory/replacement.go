package directory

import "time"

const (
	// minMisdirected is the number of successive requests that must be misdirected for an upstream to
	// count as replaced: a faulty one may write an earlier refusal once more.
	minMisdirected = 2
	// replacementRecheck is how long requests for a replaced upstream are refused before one is let
	// through again. Each costs an arrival at the present upstream.
	replacementRecheck = 3 * time.Second
)

// Replacement decides whether another upstream has taken the place of the one that is listed at an
// address, from the requests for it that were misdirected. The store says so too, but not while it is
// unavailable. The zero value has recorded nothing. It is not safe for concurrent use.
type Replacement struct {
	id          string
	misdirected int // successive requests for the upstream that were misdirected
	recheck     time.Time
}

// RecordMisdirected records that a request for an upstream reached another one. It reports whether the
// upstream counts as replaced from now on.
func (r *Replacement) RecordMisdirected(now time.Time, id string) bool {
	if r.id != id {
		*r = Replacement{id: id}
	}
	r.misdirected++
	r.recheck = now.Add(replacementRecheck)
	return r.misdirected == minMisdirected
}

// RecordAnswered records that an upstream has answered a request for it.
func (r *Replacement) RecordAnswered(id string) {
	if r.id == id {
		*r = Replacement{}
	}
}

// Refuses reports whether a request for an upstream is refused because the upstream was replaced. One
// request in each replacementRecheck is not.
func (r *Replacement) Refuses(now time.Time, id string) bool {
	if id == "" || r.id != id || r.misdirected < minMisdirected {
		return false
	}
	if now.Before(r.recheck) {
		return true
	}
	r.recheck = now.Add(replacementRecheck)
	return false
}
