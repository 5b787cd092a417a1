package config

import (
	"encoding/json"
	"testing"
)

// Guards against input that crashes the parser, a nil result without a problem,
// and an accepted configuration that Seal or Open refuses.
func FuzzParse(f *testing.F) {
	for _, text := range []string{smallConfig, `{}`, `[`, `{"services":[{}]}`, "//\n", `{"sheet":{"days":[{"date":"2026-02-16"}]}}`, "{\"a\":\"\xff\"}"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, problems := Parse("f", data)
		if (c == nil) != (len(problems) > 0) {
			t.Fatalf("configuration %v with %d problems", c, len(problems))
		}
		if c == nil {
			return
		}
		c.Version = max(c.Version, 1)
		e, err := Seal(c)
		if err != nil {
			t.Fatalf("seal of a valid configuration: %v", err)
		}
		if _, err := Open(e); err != nil {
			t.Fatalf("open of a sealed configuration: %v", err)
		}
	})
}

// Guards against an envelope that crashes a daemon, and one that is accepted although
// its version or checksum does not match its body.
func FuzzOpen(f *testing.F) {
	good, _ := json.Marshal(sealedConfig(7, 4))
	for _, text := range []string{string(good), `{"version":1,"checksum":"ef46db3751d8e999","body":null}`, `{}`} {
		f.Add([]byte(text), true)
		f.Add([]byte(text), false)
	}
	f.Fuzz(func(t *testing.T, data []byte, correct bool) {
		var e Envelope
		if json.Unmarshal(data, &e) != nil {
			return
		}
		if correct { // reach the checks behind the checksum
			e.Checksum = checksum(e.Body)
		}
		c, err := Open(e)
		if (c == nil) != (err != nil) {
			t.Fatalf("configuration %v with error %v", c, err)
		}
		if c != nil && (c.Version != e.Version || checksum(e.Body) != e.Checksum) {
			t.Fatalf("accepted version %d from an envelope of version %d", c.Version, e.Version)
		}
	})
}
