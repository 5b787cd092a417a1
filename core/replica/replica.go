// Package replica keeps a read-only copy of the items of a store that orders its
// changes by one revision counter, and by the era when it is restored from an older copy.
//
// A copy is updated from the store itself or from a peer that holds a newer copy; both
// supply Updates. The state is always that of one position, except that the items of a
// complete listing may be newer than the position of the listing; later updates contain
// these changes again. All items of a copy are of one era. A Replica is not safe for
// concurrent use.
package replica

import (
	"bytes"
	"sort"
)

// maxRemovals is the maximum number of removals that are kept. A peer whose revision is
// older than the removals that are kept receives the complete state.
const maxRemovals = 4096

// Item is one item of the store, or the removal of one.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the latest change of the item.
	Revision int64
	Removed  bool
}

// Update holds the changes that bring a copy to a position. All items are of its era.
type Update struct {
	Items []Item
	// At is the position of the copy after the update.
	At Position
	// Whole is set when Items is the complete state: keys that are missing from it do not
	// exist.
	Whole bool
}

// Replica is a copy of the store. The zero value is empty, at revision 0.
type Replica struct {
	items    map[string]Item
	removals []Item // in the order of their revisions
	// removalsSince is the revision after which removals lists every removal.
	removalsSince int64
	at            Position
}

// At returns the position of the copy; the zero value before the first update.
func (r *Replica) At() Position { return r.at }

// Item returns the item with the key.
func (r *Replica) Item(key string) (Item, bool) {
	item, exists := r.items[key]
	return item, exists
}

// Apply applies an update that is newer than the copy and returns the items that changed.
// Older updates change nothing, nor does an incremental one of the same position or of a
// later era: only the complete state of an era can replace a copy of an earlier one.
func (r *Replica) Apply(update Update) []Item {
	if r.items == nil {
		r.items = make(map[string]Item)
	}
	switch {
	case update.At.Before(r.at) || update.At == r.at && !update.Whole:
		return nil
	case update.At.Era != r.at.Era && !r.at.IsZero():
		if !update.Whole {
			return nil
		}
		return r.replace(update)
	}
	var changed []Item
	for _, item := range update.Items {
		if r.applyItem(item) {
			changed = append(changed, item)
		}
	}
	if update.Whole {
		changed = append(changed, r.removeUnlisted(update)...)
	}
	r.at = update.At
	return changed
}

// Latest returns the changes that are not followed by a later state of the same item. A removal does not
// make the state before it superfluous, because what that said counts for what the removal means.
func Latest(changed []Item) []Item {
	last := make(map[string]int, len(changed))
	for i, item := range changed {
		if !item.Removed {
			last[item.Key] = i
		}
	}
	latest := changed[:0:0]
	for i, item := range changed {
		if item.Removed || last[item.Key] == i {
			latest = append(latest, item)
		}
	}
	return latest
}

// replace replaces the copy by the complete state of a later era and returns the items whose
// content differs. Revisions of different eras can't be compared.
func (r *Replica) replace(update Update) []Item {
	previous := r.items
	*r = Replica{items: make(map[string]Item, len(update.Items)), removalsSince: update.At.Revision, at: update.At}
	var changed []Item
	for _, item := range update.Items {
		r.items[item.Key] = item
		if known, ok := previous[item.Key]; !ok || !bytes.Equal(known.Value, item.Value) {
			changed = append(changed, item)
		}
	}
	for key := range previous {
		if _, listed := r.items[key]; !listed {
			changed = append(changed, Item{Key: key, Revision: update.At.Revision, Removed: true})
		}
	}
	return changed
}

func (r *Replica) applyItem(item Item) bool {
	current, known := r.items[item.Key]
	if known && current.Revision >= item.Revision {
		return false
	}
	if !item.Removed {
		r.items[item.Key] = item
		return true
	}
	r.removeItem(item.Key, item.Revision)
	return known
}

func (r *Replica) removeItem(key string, revision int64) {
	delete(r.items, key)
	r.removals = append(r.removals, Item{Key: key, Revision: revision, Removed: true})
	if extra := len(r.removals) - maxRemovals; extra > 0 {
		r.removalsSince = r.removals[extra-1].Revision
		r.removals = append([]Item(nil), r.removals[extra:]...)
	}
}

// removeUnlisted removes the items that are missing from a complete listing. The revisions
// of these removals are not known, so that peers whose revision is older than that of the
// listing need the complete state.
func (r *Replica) removeUnlisted(update Update) []Item {
	listed := make(map[string]bool, len(update.Items))
	for _, item := range update.Items {
		listed[item.Key] = true
	}
	var unlisted []Item
	for key, item := range r.items {
		if !listed[key] && item.Revision <= update.At.Revision {
			delete(r.items, key)
			unlisted = append(unlisted, Item{Key: key, Revision: update.At.Revision, Removed: true})
		}
	}
	r.removalsSince = max(r.removalsSince, update.At.Revision)
	r.removals = nil
	return unlisted
}

// Since returns the changes after a position. Items is empty when nothing changed, and when
// the position is of a later era than the copy.
func (r *Replica) Since(at Position) Update {
	if at.Era > r.at.Era {
		return Update{At: r.at}
	}
	revision := at.Revision
	update := Update{At: r.at, Whole: at.Era != r.at.Era || revision < r.removalsSince || revision == 0}
	for _, item := range r.items {
		if update.Whole || item.Revision > revision {
			update.Items = append(update.Items, item)
		}
	}
	if !update.Whole {
		for _, item := range r.removals {
			if _, exists := r.items[item.Key]; !exists && item.Revision > revision {
				update.Items = append(update.Items, item)
			}
		}
	}
	sort.Slice(update.Items, func(i, j int) bool { return update.Items[i].Revision < update.Items[j].Revision })
	return update
}
