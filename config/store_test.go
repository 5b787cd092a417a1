package config

import (
	"encoding/json"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/hawthornpoint/hawthornpoint/core/chart"
)

// sealedConfig returns an envelope of smallConfig with the given version and number of
// slots, so that the content differs for each number of slots.
func sealedConfig(version uint64, slots int) Envelope {
	c, problems := Parse("small", []byte(smallConfig))
	if problems != nil {
		panic(Join(problems))
	}
	c.Version, c.Services[0].Upstreams[0].Slots = version, slots
	e, err := Seal(c)
	if err != nil {
		panic(err)
	}
	return e
}

// withReplacedBody replaces part of the body and updates the checksum, as a faulty
// publisher would.
func withReplacedBody(e Envelope, old, new string) Envelope {
	e.Body = json.RawMessage(strings.Replace(string(e.Body), old, new, 1))
	e.Checksum = checksum(e.Body)
	return e
}

// Guards against accepting a damaged configuration or one whose envelope has another
// version.
func TestOpenRefuses(t *testing.T) {
	Convey("A fault in an envelope is an error that states the fault", t, func() {
		e := sealedConfig(7, 4)
		damaged, mislabelled := e, e
		damaged.Body = []byte(strings.Replace(string(e.Body), "stock-a", "stock-c", 1))
		mislabelled.Version = 8
		for want, bad := range map[string]Envelope{
			"the checksum is":                  damaged,
			"body has version 7, the envelope": mislabelled,
			"rank: 16 is outside":              withReplacedBody(e, `"rank":6`, `"rank":16`),
			"unknown field":                    withReplacedBody(e, `"rank":6`, `"rank":6,"rang":6`),
			"at most 1048576 allowed":          withReplacedBody(e, `{`, `{`+strings.Repeat(" ", MaxBytes)),
			"body has version 0":               withReplacedBody(Envelope{Body: e.Body}, `"version":7,`, ``),
		} {
			_, err := Open(bad)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, want)
		}
		_, err := Seal(&Config{})
		So(err, ShouldNotBeNil)
	})
	Convey("An envelope can be opened after encoding and decoding as JSON", t, func() {
		text, err := json.Marshal(sealedConfig(7, 4))
		So(err, ShouldBeNil)
		var e Envelope
		So(json.Unmarshal(text, &e), ShouldBeNil)
		_, err = Open(e)
		So(err, ShouldBeNil)
	})
}

// Guards against a wrong verdict, which would spread an old or faulty configuration
// or hide that two operators published different content under one version.
func TestStoreVerdicts(t *testing.T) {
	Convey("An empty store accepts the first valid configuration", t, func() {
		var s Store
		c, _ := s.Current()
		So(c, ShouldBeNil)
		So(s.State(), ShouldEqual, chart.State("none"))
		bad := withReplacedBody(sealedConfig(9, 4), `"rank":6`, `"rank":16`)
		for range 2 { // the second offer returns the stored error
			v, err := s.Offer(bad)
			So(v, ShouldEqual, Invalid)
			So(err.Error(), ShouldContainSubstring, "rank: 16 is outside")
			So(s.State(), ShouldEqual, chart.State("rejected"))
		}
		v, err := s.Offer(sealedConfig(7, 4))
		So(v, ShouldEqual, Accepted)
		So(err, ShouldBeNil)
		So(s.State(), ShouldEqual, chart.State("in_force"))
	})
	Convey("With version 7 in force", t, func() {
		var s Store
		_, _ = s.Offer(sealedConfig(7, 4))
		garbage := sealedConfig(7, 4)
		garbage.Body = []byte("{")
		for _, c := range []struct {
			offer   Envelope
			want    Verdict
			slots   int
			errText string
		}{
			{sealedConfig(7, 4), Same, 4, ""},
			{sealedConfig(6, 9), Older, 4, ""},
			{sealedConfig(7, 9), Conflict, 4, "version 7 is in force"},
			{garbage, Invalid, 4, "the checksum is"},
			{withReplacedBody(sealedConfig(8, 9), `"slots":9`, `"slots":0`), Invalid, 4, "outside 1.."},
			{Envelope{Version: 99}, Invalid, 4, "the checksum is"},
			{sealedConfig(8, 9), Accepted, 9, ""},
			{sealedConfig(7, 4), Older, 9, ""},
		} {
			v, err := s.Offer(c.offer)
			So(v.String(), ShouldEqual, c.want.String())
			So(err == nil, ShouldEqual, c.errText == "")
			if err != nil {
				So(err.Error(), ShouldContainSubstring, c.errText)
			}
			current, e := s.Current()
			So(current.Services[0].Upstreams[0].Slots, ShouldEqual, c.slots)
			So(current.Version, ShouldEqual, e.Version)
			So(s.State(), ShouldEqual, chart.State("in_force"))
		}
	})
}

// Guards against a store that returns to an older version after some order of offers
// (invariant 8).
func TestVersionsOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Store
		highest := uint64(0)
		for range rapid.IntRange(1, 20).Draw(t, "offers") {
			e := sealedConfig(uint64(rapid.IntRange(1, 5).Draw(t, "version")), rapid.IntRange(1, 2).Draw(t, "slots"))
			if rapid.Bool().Draw(t, "damaged") {
				e.Checksum = "0000000000000000"
			} else {
				highest = max(highest, e.Version)
			}
			_, _ = s.Offer(e)
			if _, inForce := s.Current(); inForce.Version != highest {
				t.Fatalf("version %d is in force, the highest valid offer was %d", inForce.Version, highest)
			}
		}
	})
}

// Guards against a data race or a lost update when listeners, peers and the
// configuration service offer configurations concurrently.
func TestConcurrentOffers(t *testing.T) {
	Convey("After concurrent offers the highest version is in force", t, func() {
		var s Store
		var group sync.WaitGroup
		for v := range uint64(16) {
			group.Go(func() { _, _ = s.Offer(sealedConfig(v+1, 4)); s.Current() })
		}
		group.Wait()
		_, e := s.Current()
		So(e.Version, ShouldEqual, 16)
	})
}
