package mesh

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/core/replica"
)

// compactedStore lists its state, but keeps no changes.
type compactedStore struct{ reads atomic.Int64 }

func (s *compactedStore) List(context.Context) (replica.Update, error) {
	s.reads.Add(1)
	return replica.Update{At: replica.Position{Era: 1, Revision: 1}, Whole: true}, nil
}

func (s *compactedStore) Watch(context.Context, int64, time.Duration) (replica.Update, error) {
	s.reads.Add(1)
	return replica.Update{At: replica.Position{Era: 1}}, ErrCompacted
}

// Guards against reads without a pause while the store lists its state and refuses each watch.
func TestRefusedWatches(t *testing.T) {
	Convey("A store that refuses the watch after each listing is read at intervals", t, func() {
		store := &compactedStore{}
		d := New(Options{HeaderConvention: conventionStub{}, Store: store})
		d.workers.Go(d.storeLoop)
		time.Sleep(500 * time.Millisecond)
		d.workers.Cancel()
		d.workers.Wait()
		So(store.reads.Load(), ShouldBeBetween, 4, 2*int64(500*time.Millisecond/initialStorePause)+3)
	})
}
