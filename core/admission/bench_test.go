package admission

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
)

// benchmark runs one Arrive and one Done per iteration while a number of requests
// is queued.
func benchmark(b *testing.B, queued int) {
	c := New(Config{Slots: simSlots, QueueLimit: max(2*queued, minQueueLimit)})
	now := simStart
	running := make([]uuid.UUID, 0, 2*simSlots)
	arrive := func(n int) {
		r := Request{Kind: "read", Deadline: now.Add(time.Hour), Priority: n % callmeta.LevelsPerRank}
		binary.BigEndian.PutUint64(r.ID[:], uint64(n))
		if c.Arrive(now, r).Verdict == Start {
			running = append(running, r.ID)
		}
	}
	for n := range simSlots + queued - 1 {
		arrive(n)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		now = now.Add(500 * time.Microsecond)
		arrive(n + 2*simSlots + queued)
		id := running[0]
		running = append(running[:0], running[1:]...)
		// Latency in proportion to the running requests keeps the limit at the slots.
		latency := simService * time.Duration(len(running)+1) / simSlots
		for _, e := range c.Done(now, id, Outcome{Latency: latency}) {
			if e.Start {
				running = append(running, e.ID)
			}
		}
	}
	b.ReportMetric(float64(c.Stats().Queued), "queued")
}

func BenchmarkArriveDone(b *testing.B)       { benchmark(b, 0) }
func BenchmarkArriveDoneQueued(b *testing.B) { benchmark(b, 40) }
