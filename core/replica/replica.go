// Package replica keeps a read-only copy of the items of a store that orders its
// changes by one revision counter.
//
// A copy is brought up to date by the store itself or by a peer that holds a newer one:
// both speak in Updates. The state is always that of one revision, except that items of
// a listing may be newer than its revision, which later updates repeat. A Replica is not
// safe for concurrent use.
package replica

import "sort"

// historyLimit bounds the removals that are remembered. A peer that is further behind
// receives the whole state.
const historyLimit = 4096

// Item is one item, or its removal.
type Item struct {
	Key   string
	Value []byte
	// Revision is that of the latest change.
	Revision int64
	Removed  bool
}

// Update brings a copy to a revision.
type Update struct {
	Items []Item
	// AsOf is the revision that the update leads to.
	AsOf int64
	// Whole says that Items is the whole state: keys that it lacks do not exist.
	Whole bool
}

// Replica is a copy of the store. The zero value is empty, at revision 0.
type Replica struct {
	items   map[string]Item
	removed []Item // by revision
	// complete is the revision from which on removed lists all removals.
	complete int64
	asOf     int64
}

// AsOf returns the revision of the copy; 0 before the first update.
func (r *Replica) AsOf() int64 { return r.asOf }

// Apply takes an update that is newer than the copy and returns the items that changed.
// Older updates change nothing.
func (r *Replica) Apply(u Update) []Item {
	if r.items == nil {
		r.items = make(map[string]Item)
	}
	if u.AsOf < r.asOf || u.AsOf == r.asOf && !u.Whole {
		return nil
	}
	var changed []Item
	for _, item := range u.Items {
		if r.take(item) {
			changed = append(changed, item)
		}
	}
	if u.Whole {
		changed = append(changed, r.dropMissing(u)...)
	}
	r.asOf = u.AsOf
	return changed
}

func (r *Replica) take(item Item) bool {
	have, known := r.items[item.Key]
	if known && have.Revision >= item.Revision {
		return false
	}
	if !item.Removed {
		r.items[item.Key] = item
		return true
	}
	r.forget(item.Key, item.Revision)
	return known
}

func (r *Replica) forget(key string, revision int64) {
	delete(r.items, key)
	r.removed = append(r.removed, Item{Key: key, Revision: revision, Removed: true})
	if extra := len(r.removed) - historyLimit; extra > 0 {
		r.complete = r.removed[extra-1].Revision
		r.removed = append([]Item(nil), r.removed[extra:]...)
	}
}

// dropMissing removes what a listing does not hold. The revisions of these removals are
// not known, so that peers further behind than the listing need the whole state.
func (r *Replica) dropMissing(u Update) []Item {
	listed := make(map[string]bool, len(u.Items))
	for _, item := range u.Items {
		listed[item.Key] = true
	}
	var gone []Item
	for key, item := range r.items {
		if !listed[key] && item.Revision <= u.AsOf {
			delete(r.items, key)
			gone = append(gone, Item{Key: key, Revision: u.AsOf, Removed: true})
		}
	}
	r.complete = max(r.complete, u.AsOf)
	r.removed = nil
	return gone
}

// Since returns what changed after a revision. Items is empty when nothing did.
func (r *Replica) Since(revision int64) Update {
	u := Update{AsOf: r.asOf, Whole: revision < r.complete || revision == 0}
	for _, item := range r.items {
		if u.Whole || item.Revision > revision {
			u.Items = append(u.Items, item)
		}
	}
	if !u.Whole {
		for _, item := range r.removed {
			if _, back := r.items[item.Key]; !back && item.Revision > revision {
				u.Items = append(u.Items, item)
			}
		}
	}
	sort.Slice(u.Items, func(i, j int) bool { return u.Items[i].Revision < u.Items[j].Revision })
	return u
}
