package quota

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against owners that stop granting while changes of the list spread as in calm.
func TestGrantsGoOnWhileChangesSpread(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	f := newFleet(66, Bounds{Window: 2 * time.Second, Overshoot: 0.25, Slack: 20}, random)
	limit, lists, receive := Limit{Rate: 100}, make([][]string, len(f.nodes)), make([]time.Duration, len(f.nodes))
	for i := range f.limits {
		f.limits[i]["t"] = limit
	}
	behind := 0
	for f.now < 20*time.Second {
		if f.now%(800*ms) == 0 && f.now > 2*time.Second { // an upstream leaves or joins, and all have received it 400 ms later
			f.revision++
			present := f.names[:65+f.revision%2]
			for i := range f.nodes {
				lists[i], receive[i] = present, f.now+time.Duration(random.IntN(400))*ms
			}
		}
		f.step(4*ms, func() bool { return false })
		for i, n := range f.nodes {
			if lists[i] != nil && f.now >= receive[i] {
				n.SetDaemons(f.now, f.version(), lists[i])
				lists[i] = nil
			}
			for _, e := range n.Events() {
				if e.Kind == ContactLost && e.Reason == laterList && f.now > 2*time.Second {
					behind++
				}
			}
		}
		f.request(random.IntN(65), "t")
		if f.now%(20*ms) == 0 {
			f.expire()
		}
	}
	if behind > 0 {
		t.Errorf("owners suspended grants %d times because of a later list", behind)
	}
}

// Guards against a daemon that starts alone in its list and grants before an earlier owner has heard of the list.
func TestDaemonThatStartsAloneWaits(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 100}
	n := New("d0", Bounds{Window: 2 * time.Second, Overshoot: 0.25, Slack: 20}, func() float64 { return 0 }, 0)
	n.SetDaemons(0, Version{}, []string{"d0"})
	for now := time.Duration(0); now <= handoverTime; now += 100 * ms {
		n.Tick(now)
		if d := n.Take(now, "t", limit, false); d.Verdict == Granted {
			t.Fatalf("granted after %s", now)
		}
	}
	n.Tick(handoverTime + 100*ms)
	if d := n.Take(handoverTime+100*ms, "t", limit, false); d.Verdict != Granted {
		t.Fatalf("verdict %d after the wait", d.Verdict)
	}
}
