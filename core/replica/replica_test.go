package replica

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func put(key string, rev int64) Item {
	return Item{Key: key, Value: []byte(fmt.Sprint(key, rev)), Revision: rev}
}

func gone(key string, rev int64) Item { return Item{Key: key, Revision: rev, Removed: true} }

// Guards against a late answer that brings back what was removed or replaced.
func TestOldUpdates(t *testing.T) {
	Convey("Updates that are older than the copy change nothing", t, func() {
		var r Replica
		r.Apply(Update{Items: []Item{put("a", 1), put("b", 2)}, AsOf: 2, Whole: true})
		So(r.Apply(Update{Items: []Item{gone("a", 3)}, AsOf: 3}), ShouldHaveLength, 1)
		So(r.Apply(Update{Items: []Item{put("a", 1)}, AsOf: 2}), ShouldBeEmpty)
		So(r.Apply(Update{Items: []Item{put("a", 1), put("b", 2)}, AsOf: 2, Whole: true}), ShouldBeEmpty)
		So(r.AsOf(), ShouldEqual, 3)
	})
}

// Guards against a listing, after the history was dropped, that leaves items of which the
// removal was missed.
func TestListingRemoves(t *testing.T) {
	Convey("A listing removes what it lacks, but not what is newer than it", t, func() {
		var r Replica
		r.Apply(Update{Items: []Item{put("a", 1), put("b", 2)}, AsOf: 2, Whole: true})
		changed := r.Apply(Update{Items: []Item{put("b", 2), put("c", 9)}, AsOf: 8, Whole: true})
		So(changed, ShouldHaveLength, 2)
		So(r.Since(8).Items, ShouldResemble, []Item{put("c", 9)})
		So(r.Since(2).Whole, ShouldBeTrue)
	})
}

// Guards against copies that differ after they took the same changes over different ways:
// from the store in steps, from a peer, or whole.
func TestCopiesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var source, peer, late Replica
		rev := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			rev++
			item := put(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"), rev)
			if rapid.Bool().Draw(t, "removed") {
				item = gone(item.Key, rev)
			}
			source.Apply(Update{Items: []Item{item}, AsOf: rev})
			if rapid.IntRange(0, 3).Draw(t, "sync") == 0 {
				peer.Apply(source.Since(peer.AsOf()))
			}
		}
		peer.Apply(source.Since(peer.AsOf()))
		late.Apply(source.Since(0))
		for _, copied := range []*Replica{&peer, &late} {
			if fmt.Sprint(copied.Since(0).Items) != fmt.Sprint(source.Since(0).Items) || copied.AsOf() != source.AsOf() {
				t.Fatalf("copy %v, source %v", copied.Since(0), source.Since(0))
			}
		}
	})
}
