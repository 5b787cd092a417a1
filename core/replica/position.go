package replica

import "cmp"

// Position is a point in the history of the store. A store that was restored from an older
// copy continues in a new era, in which revisions of the previous one are assigned again to
// other changes. Positions are therefore ordered by era first. The zero value is before the
// first change.
type Position struct {
	// Era is 0 for a store that states none.
	Era, Revision int64
}

// Compare returns a negative number if p is before q, 0 if they are equal, and a positive
// number if p is after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// State summarises what a daemon has received: the position of its copy of the store, and the
// version of its configuration. After the store was restored from an older copy, the version
// can be newer than that in the store.
type State struct {
	At            Position
	ConfigVersion uint64
}

// Lacks reports whether a daemon with the state other has something that one with s has not.
func (s State) Lacks(other State) bool {
	return s.At.Before(other.At) || s.ConfigVersion < other.ConfigVersion
}

// IsZero reports whether p is before the first change.
func (p Position) IsZero() bool { return p == Position{} }
