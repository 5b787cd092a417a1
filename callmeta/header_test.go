package callmeta

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

func drawID(t *rapid.T, name string) uuid.UUID {
	return uuid.UUID(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, name))
}

// Guards against metadata that differs after encoding and decoding, also when a name
// contains the separators of the encoding.
func TestMetaRoundTrip(t *testing.T) {
	now := time.UnixMilli(1_790_000_000_000)
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringN(0, 20, 60)
		m := Meta{
			RequestID: drawID(t, "request"), CallID: drawID(t, "call"),
			From: name.Draw(t, "from"), Service: name.Draw(t, "service"), Kind: name.Draw(t, "kind"),
			Rank: rapid.IntRange(0, MaxRank).Draw(t, "rank"), Retries: rapid.IntRange(0, MaxRetries).Draw(t, "retries"),
			Depth: rapid.IntRange(0, MaxDepth).Draw(t, "depth"), Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Deadline:    now.Add(time.Duration(rapid.Int64Range(0, MaxRemainingTime.Microseconds()).Draw(t, "us")) * time.Microsecond),
			Fingerprint: rapid.Uint64().Draw(t, "fingerprint"),
			Key:         rapid.StringMatching(`[a-z0-9-]{0,40}`).Draw(t, "key"), Token: rapid.StringMatching(`[A-Za-z0-9_-]{0,40}`).Draw(t, "token"),
		}
		h := make(http.Header)
		Encode(h, m, now)
		got, err := Decode(h, now)
		if err != nil || got != m {
			t.Fatalf("sent %+v, got %+v, %v", m, got, err)
		}
	})
}

// Guards against a result that differs after encoding and decoding.
func TestReplyRoundTrip(t *testing.T) {
	assigned := resultcode.All()
	rapid.Check(t, func(t *rapid.T) {
		r := Reply{
			RequestID: drawID(t, "request"), Incarnation: drawID(t, "incarnation"),
			Code: rapid.SampledFrom(assigned).Draw(t, "code").Code, Cause: rapid.SampledFrom(assigned).Draw(t, "cause").Code,
			RetriesUsed: rapid.IntRange(0, MaxRetries).Draw(t, "used"), Threshold: rapid.IntRange(0, MaxPriority).Draw(t, "threshold"),
			Leaving: rapid.Bool().Draw(t, "leaving"), RetriedBelow: rapid.Bool().Draw(t, "retried"),
		}
		h := make(http.Header)
		EncodeReply(h, r)
		got, err := DecodeReply(h)
		if err != nil || got != r {
			t.Fatalf("sent %+v, got %+v, %v", r, got, err)
		}
	})
}

const (
	validMeta = "request=2e0b0ec0-f2a3-48de-99e6-cde13cf177f9&call=12b0df0e-c5a2-4a42-8620-3dd9b69d89f5&service=stock" +
		"&kind=check&rank=5&us=2000000&expires=1790000002000&retries=1&depth=2&fingerprint=feedface&idempotent=1&from=order-a"
	validReply = "code=0&used=1&threshold=330&incarnation=2e0b0ec0-f2a3-48de-99e6-cde13cf177f9"
)

// Guards against a value that one daemon rejects and another accepts, or that is
// decoded as a negative rank, an unbounded deadline or more retries than allowed.
func TestInvalidFieldsAreErrors(t *testing.T) {
	meta := func(text string) error {
		_, err := Decode(http.Header{HeaderRequest: {text}}, time.UnixMilli(1_790_000_000_000))
		return err
	}
	reply := func(text string) error {
		_, err := DecodeReply(http.Header{HeaderResult: {text}})
		return err
	}
	Convey("A request header with one invalid field is rejected", t, func() {
		So(meta(validMeta), ShouldBeNil)
		for _, change := range [][2]string{
			{"rank=5", "rank=-1"}, {"rank=5", "rank=16"}, {"rank=5", "rank=99999999999999999999"}, {"rank=5&", ""},
			{"rank=5", "rank=5&rank=0"}, {"kind=check", "kind=check&kind=take"}, {"idempotent=1", "idempotent=1&idempotent=0"},
			{"from=order-a", "from=order-a&from=order-b"}, {"service=stock", "service=stock&service=order"},
			{"us=2000000", "us=-1"}, {"us=2000000", "us=600000001"}, {"us=2000000", "us=1e3"}, {"expires=1790000002000", "expires=-5"},
			{"retries=1", "retries=9"}, {"retries=1", "retries= 1"}, {"depth=2", "depth=17"}, {"fingerprint=feedface", "fingerprint=-1"},
			{"fingerprint=feedface", "fingerprint=11111111111111111"}, {"call=12b0", "call=zzzz"}, {"service=stock", "service=%zz"},
			{"kind=check", "kind=" + strings.Repeat("k", maxHeaderLength)}, {"&", ";"},
		} {
			changed := strings.Replace(validMeta, change[0], change[1], 1)
			So(changed, ShouldNotEqual, validMeta)
			So(meta(changed), ShouldNotBeNil)
		}
		So(meta(""), ShouldNotBeNil)
	})
	Convey("A result header with one invalid field is rejected", t, func() {
		codeOK := "code=" + "100"
		valid := strings.Replace(validReply, "code=0", codeOK, 1)
		So(reply(valid), ShouldBeNil)
		for _, change := range [][2]string{
			{codeOK, "code=0"}, {codeOK, "code=70000"}, {codeOK, codeOK + "&" + codeOK}, {"used=1", "used=9"}, {"used=1", "used=-1"},
			{"threshold=330", "threshold=1025"}, {"threshold=330", "threshold=330&threshold=0"}, {"incarnation=2e", "incarnation="},
			{"used=1", "used=1&cause=1000"}, {"used=1", "used=1&leaving=1&leaving=0"}, {"used=1", "used=1&request=x"},
		} {
			So(reply(strings.Replace(valid, change[0], change[1], 1)), ShouldNotBeNil)
		}
	})
}

// Guards against a header that causes a panic, and against accepted values outside
// their bounds.
func FuzzDecode(f *testing.F) {
	for _, text := range []string{"", validMeta, validReply, validMeta + "&rank=5", "us=-9223372036854775808", "%", strings.Repeat("a=&", 400)} {
		f.Add(text)
	}
	now := time.UnixMilli(1_790_000_000_000)
	f.Fuzz(func(t *testing.T, text string) {
		if m, err := Decode(http.Header{HeaderRequest: {text}}, now); err == nil {
			if m.Rank < 0 || m.Rank > MaxRank || m.Retries < 0 || m.Retries > MaxRetries || m.Depth < 0 || m.Depth > MaxDepth || m.Deadline.Sub(now) > MaxRemainingTime {
				t.Errorf("%q became %+v", text, m)
			}
		}
		if r, err := DecodeReply(http.Header{HeaderResult: {text}}); err == nil && (!r.Code.Valid() || r.RetriesUsed < 0 || r.Threshold < 0) {
			t.Errorf("%q became %+v", text, r)
		}
	})
}
