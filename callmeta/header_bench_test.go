package callmeta

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

func benchMeta(now time.Time) Meta {
	return Meta{
		RequestID: uuid.New(), CallID: uuid.New(), From: "catalogue-a", Service: "batch-order", Kind: "confirm",
		Rank: 3, Deadline: now.Add(2 * time.Second), Retries: 2, Depth: 3, Fingerprint: 0xfeedfacecafebeef,
		Key: uuid.Must(uuid.NewV7()).String(),
	}
}

func BenchmarkEncode(b *testing.B) {
	now := time.Now()
	m, h := benchMeta(now), make(http.Header)
	b.ReportAllocs()
	for b.Loop() {
		Encode(h, m, now)
	}
}

func BenchmarkDecode(b *testing.B) {
	now := time.Now()
	h := make(http.Header)
	Encode(h, benchMeta(now), now)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decode(h, now); err != nil {
			b.Fatal(err)
		}
	}
}

func benchReply() Reply {
	return Reply{RequestID: uuid.New(), Code: resultcode.OK, RetriesUsed: 1, Threshold: MaxPriority, Incarnation: uuid.New()}
}

func BenchmarkEncodeReply(b *testing.B) {
	r, h := benchReply(), make(http.Header)
	b.ReportAllocs()
	for b.Loop() {
		EncodeReply(h, r)
	}
}

func BenchmarkDecodeReply(b *testing.B) {
	h := make(http.Header)
	EncodeReply(h, benchReply())
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeReply(h); err != nil {
			b.Fatal(err)
		}
	}
}
