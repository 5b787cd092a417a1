package replica

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// Guards against ignoring the state of a store that was restored from an older copy because
// its revisions are lower, or have been assigned again to other changes.
func TestRestoredState(t *testing.T) {
	Convey("Given a copy at revision 5 of the first era", t, func() {
		var r Replica
		r.Apply(Update{Items: []Item{storedItem("a", 2), storedItem("b", 4)}, At: Position{1, 4}, Whole: true})
		r.Apply(Update{Items: []Item{storedItem("c", 5)}, At: Position{1, 5}})
		Convey("a listing of the next era replaces it, at any revision", func() {
			for _, revision := range []int64{3, 5, 9} {
				restored := r
				restored.items = map[string]Item{"a": r.items["a"], "b": r.items["b"], "c": r.items["c"]}
				written := Item{Key: "b", Value: []byte("other"), Revision: 3}
				changed := restored.Apply(Update{Items: []Item{storedItem("a", 2), written}, At: Position{2, revision}, Whole: true})
				So(changed, ShouldHaveLength, 2)
				So(changed, ShouldContain, written)
				So(changed, ShouldContain, Item{Key: "c", Revision: revision, Removed: true})
				So(restored.At(), ShouldResemble, Position{2, revision})
				So(restored.Since(Position{}).Items, ShouldResemble, []Item{storedItem("a", 2), written})
			}
		})
		Convey("single changes of the next era are not applied, and nothing of an earlier era is", func() {
			So(r.Apply(Update{Items: []Item{storedItem("d", 6)}, At: Position{2, 6}}), ShouldBeEmpty)
			So(r.At(), ShouldResemble, Position{1, 5})
			So(r.Apply(Update{Items: []Item{storedItem("d", 9)}, At: Position{0, 9}, Whole: true}), ShouldBeEmpty)
			So(r.At(), ShouldResemble, Position{1, 5})
		})
		Convey("a copy of an earlier era receives the complete state, one of a later era nothing", func() {
			So(r.Since(Position{0, 9}).Whole, ShouldBeTrue)
			So(r.Since(Position{0, 9}).Items, ShouldHaveLength, 3)
			So(r.Since(Position{2, 1}).Items, ShouldBeEmpty)
			So(r.Since(Position{1, 4}).Items, ShouldResemble, []Item{storedItem("c", 5)})
		})
	})
}

// Guards against a daemon that takes the state of one that is behind, or misses that of one that
// is ahead in the store's history or in its configuration.
func TestStateLacks(t *testing.T) {
	Convey("A state lacks what is later in era, revision or configuration", t, func() {
		state := State{At: Position{2, 5}, ConfigVersion: 7}
		So(state.Lacks(state), ShouldBeFalse)
		So(state.Lacks(State{At: Position{1, 9}, ConfigVersion: 7}), ShouldBeFalse)
		So(state.Lacks(State{At: Position{1, 9}, ConfigVersion: 8}), ShouldBeTrue)
		So(state.Lacks(State{At: Position{2, 6}, ConfigVersion: 1}), ShouldBeTrue)
		So(state.Lacks(State{At: Position{3, 1}, ConfigVersion: 1}), ShouldBeTrue)
	})
}

// Guards against copies that differ from the store after restores, whatever a copy has missed.
func TestCopiesAgreeAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var source, peer Replica
		at, content := Position{Era: 1}, 0
		state, saved, savedRevision := map[string]Item{}, map[string]Item{}, int64(0)
		list := func() Update {
			update := Update{At: at, Whole: true}
			for _, item := range state {
				update.Items = append(update.Items, item)
			}
			return update
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				saved, savedRevision = copyItems(state), at.Revision
			case 1:
				state, at = copyItems(saved), Position{at.Era + 1, savedRevision}
				source.Apply(list())
			case 2, 3:
				peer.Apply(source.Since(peer.At()))
			default:
				at.Revision++
				content++
				key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
				item := Item{Key: key, Value: []byte(fmt.Sprint(content)), Revision: at.Revision}
				if delete(state, key); rapid.Bool().Draw(t, "removed") {
					item = removedItem(key, at.Revision)
				} else {
					state[key] = item
				}
				source.Apply(Update{Items: []Item{item}, At: at})
			}
		}
		source.Apply(list())
		source.Apply(peer.Since(source.At()))
		peer.Apply(source.Since(peer.At()))
		for name, replica := range map[string]*Replica{"source": &source, "peer": &peer} {
			if fmt.Sprint(copyItems(replica.items)) != fmt.Sprint(state) || replica.At() != at {
				t.Fatalf("%s %v at %v, store %v at %v", name, replica.items, replica.At(), state, at)
			}
		}
	})
}

func copyItems(items map[string]Item) map[string]Item {
	copied := make(map[string]Item, len(items))
	for key, item := range items {
		copied[key] = item
	}
	return copied
}
