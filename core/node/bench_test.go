package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/membership"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// benchSizes are the numbers of upstreams of a current and of the largest service.
var benchSizes = []int{3, 720}

// benchNode returns a node in a service with the given number of upstreams.
func benchNode(upstreams int) *Node {
	conf := &config.Config{Version: 1, Services: []config.Service{{Name: "stock", Kinds: []config.Kind{
		{Name: "check", Method: "GET", Path: "/check", Rank: 6, Idempotent: true, PatienceMS: 2000, Retries: 2},
	}}}}
	var list []membership.Record
	for i := range upstreams {
		name := fmt.Sprintf("stock-%d", i)
		conf.Services[0].Upstreams = append(conf.Services[0].Upstreams,
			config.Upstream{Name: name, Zone: fmt.Sprintf("z%d", i%6), Region: "r1", Slots: 140, Connections: 900})
		list = append(list, membership.Record{Name: name, Service: "stock", State: membership.Live,
			PeerAddress: name, ControlAddress: name, Zone: fmt.Sprintf("z%d", i%6), Region: "r1"})
	}
	self := list[0]
	self.Incarnation, self.Started = uuid.New(), start
	n := New(Config{Self: self, Started: start, Rand: rand.New(rand.NewPCG(1, 2)), ClockSkew: time.Millisecond})
	envelope, err := config.Seal(conf)
	if err != nil {
		panic(err)
	}
	if _, err := n.Offer(start, envelope); err != nil {
		panic(err)
	}
	n.SetVMs(start, list)
	n.Ready()
	return n
}

func BenchmarkOpenReport(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n, now := benchNode(size), at(0)
			request := OpenRequest{Service: "stock", Method: "GET", Path: "/check", Fingerprint: 7}
			reply := &callmeta.Reply{Code: resultcode.OK, Threshold: callmeta.MaxPriority, Incarnation: uuid.New()}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				o, step := n.Open(now, request)
				if step.Action != Send {
					b.Fatal(step.Reply.Code)
				}
				n.Report(now, o, AttemptResult{Code: resultcode.OK, Reply: reply, Latency: time.Millisecond})
			}
		})
	}
}

func BenchmarkArriveDone(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n, now := benchNode(size), at(0)
			m := callmeta.Meta{RequestID: uuid.New(), Service: "stock", Kind: "check", From: "stock-1", Rank: 6, Idempotent: true}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				m.CallID, m.Deadline = uuid.New(), now.Add(time.Second)
				if a := n.Arrive(now, m); a.Verdict != Run {
					b.Fatal(a.Reply.Code)
				}
				n.Done(now, m.CallID, Outcome{Code: resultcode.OK, Latency: time.Millisecond})
			}
		})
	}
}
