package slots

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func tenantName(i int) string { return fmt.Sprint("t", i) }

func noTenant(int) string { return "" }

// playTenants plays a server in virtual time at which tenants ask for runs of 100 ms, and returns the share of
// what each asked for that ran. The rates are multiples of an equal share of the capacity.
func playTenants(seed uint64, rates []float64, name func(int) string) []float64 {
	const step, run, slots, duration = time.Millisecond, 100 * time.Millisecond, 20, 20 * time.Second
	random := rand.New(rand.NewPCG(seed, 1))
	l := limiterWithRuns(slots, run)
	capacity := float64(l.Load().Limit) / run.Seconds()
	asked, ran := make([]int, len(rates)), make([]int, len(rates))
	owner, ends := make(map[uint64]int), make(map[time.Time][]uint64)
	id, now := uint64(0), start
	begin := func(id uint64) {
		ran[owner[id]]++
		end := now.Add(run)
		ends[end] = append(ends[end], id)
	}
	deliver := func(events []Event) {
		for _, e := range events {
			if e.Decision.Verdict == Start {
				begin(e.ID)
			}
		}
	}
	for ; now.Before(start.Add(duration)); now = now.Add(step) {
		for _, ended := range ends[now] {
			deliver(l.Done(now, ended, Outcome{Elapsed: run}))
		}
		if now.UnixMilli()%20 == 0 {
			deliver(l.Tick(now))
		}
		for tenant, rate := range rates {
			if random.Float64() >= rate*capacity/float64(len(rates))*step.Seconds() {
				continue
			}
			id++
			owner[id] = tenant
			r := Request{ID: id, Kind: "k", Objective: now.Add(600 * time.Millisecond), Deadline: now.Add(2 * time.Second), MayQueue: true}
			r.Tenant = name(tenant)
			asked[tenant]++
			if l.Admit(now, r).Verdict == Start {
				begin(id)
			}
		}
	}
	shares := make([]float64, len(rates))
	for i := range rates {
		shares[i] = float64(ran[i]) / float64(asked[i])
	}
	return shares
}

// Guards against a tenant that sends ten times its usual and takes the slots of the others of its rank.
func TestTenantThatSendsTenTimesItsUsual(t *testing.T) {
	rates := []float64{8, 0.8, 0.8, 0.8, 0.8}
	Convey("The others get 0.95 of what they ask, and that tenant what they leave", t, func() {
		for seed := range uint64(10) {
			fair, byArrival := playTenants(seed, rates, tenantName), playTenants(seed, rates, noTenant)
			t.Logf("seed %d: share that ran %.3f, by arrival %.3f", seed, fair, byArrival)
			for i := 1; i < len(rates); i++ {
				So(fair[i], ShouldBeGreaterThanOrEqualTo, 0.95)
			}
			left := float64(len(rates)) - 0.8*float64(len(rates)-1) // of the capacity, in equal shares
			So(fair[0], ShouldBeGreaterThanOrEqualTo, 0.9*left/rates[0])
		}
	})
	Convey("Tenants that all ask for more than their share get equal shares, however much they ask", t, func() {
		rates := []float64{16, 8, 4, 2, 2}
		shares := playTenants(1, rates, tenantName)
		for i := range rates {
			So(shares[i]*rates[i], ShouldBeBetween, 0.85, 1.15)
		}
	})
}

// Guards against calls of upstreams, which have no tenant, that together get no more than one tenant.
func TestRequestsWithoutTenantAmongTenants(t *testing.T) {
	Convey("Requests without tenant that ask for 0.4 of the slots get 0.95 of it beside 20 tenants that ask for too much", t, func() {
		rates := []float64{0.4 * 21}
		for range 20 {
			rates = append(rates, 2)
		}
		shares := playTenants(1, rates, func(i int) string {
			if i == 0 {
				return ""
			}
			return tenantName(i)
		})
		So(shares[0], ShouldBeGreaterThanOrEqualTo, 0.95)
		for _, share := range shares[1:] {
			So(share, ShouldBeBetween, 0.2, 0.4)
		}
	})
}

// Guards against another order than by rank and arrival for requests without tenant, and against state that grows
// with the tenants.
func TestOrderWithoutTenants(t *testing.T) {
	Convey("Requests without tenant start by rank, then by arrival", t, func() {
		random := rand.New(rand.NewPCG(1, 1))
		l := limiterWithRuns(1, 10*time.Millisecond)
		So(l.Admit(start, request(1, 0, true)).Verdict, ShouldEqual, Start)
		byRank := make([][]uint64, 3)
		for id := uint64(2); id < 40; id++ {
			rank := random.IntN(3)
			r := request(id, rank, true)
			r.Kind = fmt.Sprint("kind", random.IntN(3))
			if l.Admit(start, r).Verdict == Wait {
				byRank[rank] = append(byRank[rank], id)
			}
		}
		running := uint64(1)
		for _, ids := range byRank {
			So(len(ids), ShouldBeGreaterThan, 3)
			for _, id := range ids {
				events := l.Done(start, running, Outcome{Elapsed: 10 * time.Millisecond})
				So(events, ShouldHaveLength, 1)
				So(events[0].ID, ShouldEqual, id)
				running = id
			}
		}
	})
	Convey("State of tenants is bounded, and dropped when nothing is queued", t, func() {
		l := limiterWithRuns(1, time.Microsecond)
		for id := range uint64(3 * maxFlows) {
			r := request(id, 0, true)
			r.Tenant = fmt.Sprint(id)
			l.Admit(start, r)
		}
		So(len(l.fair.finish), ShouldBeLessThanOrEqualTo, maxFlows+1)
		l.Evict()
		l.Tick(start)
		So(l.fair.finish, ShouldBeEmpty)
	})
}
