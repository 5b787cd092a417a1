package config

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// Seal checks a configuration and returns its envelope. The body is compact JSON,
// which encoding the envelope as JSON leaves unchanged, so that the checksum stays
// valid over any number of hops. Version 0 is an error.
func Seal(c *Config) (Envelope, error) {
	if c.Version == 0 {
		return Envelope{}, errors.New("seal: version 0 is not allowed; versions begin with 1")
	}
	if err := Join(Check(c)); err != nil {
		return Envelope{}, errors.Wrap(err, "seal")
	}
	body, err := json.Marshal(c)
	if err != nil {
		return Envelope{}, errors.Wrap(err, "seal")
	}
	if len(body) > MaxBytes {
		return Envelope{}, errors.Errorf("seal: %d bytes, at most %d allowed", len(body), MaxBytes)
	}
	return Envelope{Version: c.Version, Checksum: checksum(body), Body: body}, nil
}

// Open verifies an envelope and returns its configuration. It applies all checks of
// Parse, because a published configuration is not trusted.
func Open(e Envelope) (*Config, error) {
	if len(e.Body) > MaxBytes {
		return nil, errors.Errorf("open: body of %d bytes, at most %d allowed", len(e.Body), MaxBytes)
	}
	if sum := checksum(e.Body); sum != e.Checksum {
		return nil, errors.Errorf("open: the checksum is %s, but the envelope has %q", sum, shorten(e.Checksum))
	}
	c, problems := Parse("", e.Body)
	if err := Join(problems); err != nil {
		return nil, errors.Wrapf(err, "open: version %d", e.Version)
	}
	if c.Version == 0 || c.Version != e.Version {
		return nil, errors.Errorf("open: the body has version %d, the envelope has version %d", c.Version, e.Version)
	}
	return c, nil
}

func checksum(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}
