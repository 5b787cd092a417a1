package idempotency

import (
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

var (
	testStart       = time.UnixMilli(1_700_000_000_000)
	testIncarnation = uuid.MustParse("6f0c1f6e-4f0e-4c55-9a51-0d6a4e3f2b11")
)

func testTable(change func(*Config)) (*Table, *[]string) {
	var violations []string
	cfg := Config{
		Service: "result", Upstream: "a", Incarnation: testIncarnation, Started: testStart, Skew: time.Second, TTL: time.Minute,
		OnViolation: func(msg string) { violations = append(violations, msg) },
	}
	if change != nil {
		change(&cfg)
	}
	return NewTable(cfg), &violations
}

func identityWithKey(offset time.Duration, n uint64) Identity {
	id := Identity{Service: "result", Kind: "record", Fingerprint: 7, Call: uuid.New()}
	id.Key = testKey(testStart.Add(offset), n).String()
	return id
}

func nextAttempt(id Identity) Identity {
	id.Call = uuid.New()
	return id
}

func beginAt(t *Table, offset time.Duration, id Identity) Decision {
	return t.Begin(testStart.Add(offset), id)
}

// Guards against two homes of one key, each of which would run the request once.
func TestHome(t *testing.T) {
	Convey("The home does not depend on the order of names, on repeated names or on the case of the key", t, func() {
		moved := 0
		for n := range uint64(200) {
			key := testKey(testStart, n*7919).String()
			home := Home(key, []string{"a", "b", "c"})
			So(Home(strings.ToUpper(key), []string{"c", "a", "b", "a"}), ShouldEqual, home)
			So(HomeMoving(key, []string{"a", "b", "c"}, [][]string{{"b", "c", "a"}, nil}), ShouldBeFalse)
			if HomeMoving(key, []string{"a", "b", "c"}, [][]string{{"a", "b", "c", "d"}}) {
				moved++
			}
		}
		So(moved, ShouldBeBetween, 30, 70)
		So(Home("x", nil), ShouldEqual, "")
	})
}

// Guards against off-by-one errors at the bounds of the time checks: a wrong
// decision at an equal time can lead to a second run.
func TestClockRules(t *testing.T) {
	cases := []struct {
		name     string
		key, now time.Duration
		code     resultcode.Code
	}{
		{"a key with the time of the fence may have run", 2 * time.Second, 5 * time.Second, resultcode.KeyBeforeIncarnation},
		{"a key later than the fence runs", 2*time.Second + time.Millisecond, 5 * time.Second, 0},
		{"a key ahead of the clock by the skew runs", 6 * time.Second, 5 * time.Second, 0},
		{"a key ahead by more than the skew is refused", 6*time.Second + time.Millisecond, 5 * time.Second, resultcode.KeyFromFuture},
		{"a key ahead by more than the skew, but not later than the fence, may have run", 1500 * time.Millisecond, 0, resultcode.KeyBeforeIncarnation},
		{"a key as old as the TTL runs", 3 * time.Second, 63 * time.Second, 0},
		{"a key older than the TTL may have run", 3 * time.Second, 63*time.Second + time.Millisecond, resultcode.KeyExpired},
	}
	Convey("A key at a bound is run only if it can not have run before", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				table, _ := testTable(nil)
				So(beginAt(table, c.now, identityWithKey(c.key, 1)).Code, ShouldEqual, c.code)
			})
		}
	})
	Convey("A peer's clock that is ahead raises the fence, one that is behind does not lower it", t, func() {
		table, _ := testTable(nil)
		table.RaiseFence(testStart.Add(10*time.Second), testStart.Add(30*time.Second))
		table.RaiseFence(testStart.Add(10*time.Second), testStart)
		So(beginAt(table, 25*time.Second, identityWithKey(22*time.Second, 1)).Code, ShouldEqual, resultcode.KeyBeforeIncarnation)
		So(beginAt(table, 25*time.Second, identityWithKey(22001*time.Millisecond, 1)).Verdict, ShouldEqual, Run)
	})
	Convey("An expired key stays expired when the clock goes back", t, func() {
		table, _ := testTable(nil)
		id := identityWithKey(3*time.Second, 1)
		So(beginAt(table, 70*time.Second, id).Code, ShouldEqual, resultcode.KeyExpired)
		So(beginAt(table, 10*time.Second, id).Code, ShouldEqual, resultcode.KeyExpired)
	})
}

// Guards against changes of the owner or the state of a record that allow a second
// run, and against a lost answer.
func TestRecordStates(t *testing.T) {
	at := 5 * time.Second
	Convey("With a record", t, func() {
		table, violations := testTable(nil)
		id := identityWithKey(at, 1)
		other := nextAttempt(id)
		So(beginAt(table, at, id).Verdict, ShouldEqual, Run)
		So(beginAt(table, at, other), ShouldResemble, Decision{Verdict: Join, Owner: id.Call})
		Convey("calls by another attempt than the owner are ignored", func() {
			table.MarkNotRun(other)
			table.MarkRefused(other)
			table.Finish(testStart.Add(at), other, nil)
			So(table.MarkSent(other), ShouldBeFalse)
			So(beginAt(table, at, nextAttempt(id)).Verdict, ShouldEqual, Join)
		})
		Convey("a request that was not sent can be run by another attempt", func() {
			table.MarkNotRun(id)
			So(beginAt(table, at, other).Verdict, ShouldEqual, Run)
			So(table.MarkSent(id), ShouldBeFalse)
		})
		Convey("a request that the backend server refused can be run by another attempt", func() {
			So(table.MarkSent(id), ShouldBeTrue)
			table.MarkRefused(id)
			So(beginAt(table, at, other).Verdict, ShouldEqual, Run)
		})
		Convey("a request that was sent never runs again", func() {
			So(table.MarkSent(id), ShouldBeTrue)
			So(table.MarkSent(id), ShouldBeFalse)
			So(*violations, ShouldHaveLength, 1)
			table.MarkNotRun(id)
			So(*violations, ShouldHaveLength, 2)
			So(beginAt(table, at, other).Code, ShouldEqual, resultcode.RunLost)
		})
		Convey("an answer is replayed to the same request only", func() {
			table.MarkSent(id)
			table.Finish(testStart.Add(at), id, &Answer{Status: 201, Body: []byte("recorded")})
			So(string(beginAt(table, at, other).Answer.Body), ShouldEqual, "recorded")
			other.Fingerprint++
			So(beginAt(table, at, other).Code, ShouldEqual, resultcode.BadKey)
		})
		Convey("keys without a record are refused from SuspendNewKeys to ResumeNewKeys", func() {
			table.SuspendNewKeys()
			So(beginAt(table, at, other).Verdict, ShouldEqual, Join)
			So(beginAt(table, at, identityWithKey(at, 2)).Code, ShouldEqual, resultcode.HomeUnavailable)
			table.ResumeNewKeys()
			So(beginAt(table, at, identityWithKey(at, 2)).Verdict, ShouldEqual, Run)
		})
		Convey("keys without a record are refused when a later incarnation exists", func() {
			table.LaterIncarnation()
			So(beginAt(table, at, other).Verdict, ShouldEqual, Join)
			So(beginAt(table, at, identityWithKey(at, 2)).Code, ShouldEqual, resultcode.NotHome)
		})
	})
}

// Guards against the eviction of a record that has not expired, by an attacker or
// under load, and against a table that stays full after its records have expired.
func TestBounds(t *testing.T) {
	at := 5 * time.Second
	Convey("A full table refuses new keys until records expire, and drops the oldest answers", t, func() {
		const stored = answerOverhead + 60 // bytes of one answer; two of the three answers fit
		table, violations := testTable(func(c *Config) { c.MaxRecords = 3; c.MaxAnswerBytes = 2*stored + 52 })
		ids := []Identity{identityWithKey(at, 1), identityWithKey(at, 2), identityWithKey(at, 3)}
		for _, id := range ids {
			So(beginAt(table, at, id).Verdict, ShouldEqual, Run)
			table.MarkSent(id)
			table.Finish(testStart.Add(at), id, &Answer{Status: 200, Body: make([]byte, 60)})
		}
		So(beginAt(table, at, identityWithKey(at, 4)).Code, ShouldEqual, resultcode.RecordsFull)
		So(beginAt(table, at, nextAttempt(ids[0])).Code, ShouldEqual, resultcode.AnswerNotKept)
		So(beginAt(table, at, nextAttempt(ids[2])).Verdict, ShouldEqual, Replay)
		So(table.Stats(), ShouldResemble, Stats{Records: 3, AnswerBytes: 2 * stored})
		So(beginAt(table, 70*time.Second, identityWithKey(70*time.Second, 5)).Verdict, ShouldEqual, Run)
		So(table.Stats(), ShouldResemble, Stats{Records: 1})
		So(*violations, ShouldBeEmpty)
	})
}

// Guards against a token that another process, upstream or service accepts, and
// against two accepted text forms of one token or key.
func TestTokens(t *testing.T) {
	at := 5 * time.Second
	valid := Token{Service: "result", Upstream: "a", Incarnation: testIncarnation, Nonce: uuid.New(), Issued: testStart.Add(at)}
	with := func(change func(*Token)) Identity {
		token := valid
		change(&token)
		text, err := NewToken(token)
		So(err, ShouldBeNil)
		return Identity{Service: "result", Kind: "record", Fingerprint: 7, Call: uuid.New(), Token: text}
	}
	Convey("A token is parsed and refused elsewhere, in the future, after its TTL or beside a key", t, func() {
		table, _ := testTable(nil)
		id := with(func(*Token) {})
		parsed, err := ParseToken(id.Token)
		So(err, ShouldBeNil)
		So(parsed, ShouldResemble, valid)
		So(beginAt(table, at, with(func(x *Token) { x.Service = "rating" })).Code, ShouldEqual, resultcode.BadToken)
		So(beginAt(table, at, with(func(x *Token) { x.Upstream = "b" })).Code, ShouldEqual, resultcode.NotHome)
		So(beginAt(table, at, with(func(x *Token) { x.Incarnation = uuid.New() })).Code, ShouldEqual, resultcode.TokenIncarnationGone)
		So(beginAt(table, at, with(func(x *Token) { x.Issued = testStart.Add(time.Hour) })).Code, ShouldEqual, resultcode.KeyFromFuture)
		table.LaterIncarnation()
		So(beginAt(table, at, id).Verdict, ShouldEqual, Run)
		So(beginAt(table, 2*time.Minute, with(func(*Token) {})).Code, ShouldEqual, resultcode.TokenExpired)
		id.Key = identityWithKey(at, 1).Key
		So(beginAt(table, at, id).Code, ShouldEqual, resultcode.BadRequest)
	})
	Convey("Names that are empty, too long or not UTF-8 are errors", t, func() {
		for _, service := range []string{"", strings.Repeat("x", MaxNameLength+1), "\xff"} {
			_, err := NewToken(Token{Service: service, Upstream: "a", Issued: testStart})
			So(err, ShouldNotBeNil)
		}
	})
	Convey("Only version 7 UUIDs of 36 characters are accepted as keys", t, func() {
		key := testKey(testStart, 1).String()
		for _, bad := range []string{"", "order-7", uuid.NewString(), "{" + key + "}", strings.ReplaceAll(key, "-", "")} {
			_, _, err := ParseKey(bad)
			So(err, ShouldNotBeNil)
		}
	})
}

// Guards against a panic on tokens that callers send, and against two accepted text
// forms of one token.
func FuzzParseToken(f *testing.F) {
	text, _ := NewToken(Token{Service: "result", Upstream: "a", Incarnation: testIncarnation, Nonce: testIncarnation, Issued: testStart})
	for _, seed := range []string{text, "", text[:len(text)-1], text + "AA", strings.ToLower(text), "MAA"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		token, err := ParseToken(text)
		if err != nil {
			return
		}
		if canonical, err := NewToken(token); err != nil || canonical != text || len(text) > MaxTokenLength {
			t.Fatalf("%q is parsed as %+v, whose text form is %q (%v)", text, token, canonical, err)
		}
	})
}

func BenchmarkBeginSentFinish(b *testing.B) {
	table := NewTable(Config{Service: "result", Started: testStart, TTL: time.Second, MaxRecords: 1 << 20})
	answer := &Answer{Status: 200, Body: make([]byte, 256)}
	ids := make([]Identity, b.N)
	for i := range ids {
		ids[i] = Identity{Service: "result", Kind: "record", Key: testKey(testStart.Add(3*time.Second+time.Duration(i)*10*time.Microsecond), uint64(i)*0x9e3779b97f4a7c15).String()}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i, id := range ids {
		now := testStart.Add(3*time.Second + time.Duration(i)*10*time.Microsecond)
		if d := table.Begin(now, id); d.Verdict != Run || !table.MarkSent(id) {
			b.Fatal(d)
		}
		table.Finish(now, id, answer)
	}
}
