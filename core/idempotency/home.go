package idempotency

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

// keyLength is the length of the only accepted text form of a key, in bytes. The
// UUID library also parses other forms; each of them would hash to another home.
const keyLength = 36

// Home returns the upstream that keeps the record of the key: the winner of
// rendezvous hashing over the names. The result does not depend on the order of the
// names, on repeated names or on the case of the key. It is "" without names.
func Home(key string, upstreams []string) string {
	if id, err := parseUUID(key); err == nil {
		key = id.String()
	}
	names := slices.Clone(upstreams)
	slices.Sort(names)
	names = slices.Compact(names)
	return rendezvous.New(names, xxhash.Sum64String).Lookup(key)
}

// HomeMoving reports whether the home of the key under the current names differs
// from its home under any previous list. Empty previous lists are ignored.
func HomeMoving(key string, current []string, previous [][]string) bool {
	home := Home(key, current)
	for _, names := range previous {
		if len(names) > 0 && Home(key, names) != home {
			return true
		}
	}
	return false
}

// ParseKey returns the canonical form of a key and the time in it. It fails unless
// the key is a version 7 UUID of 36 characters.
func ParseKey(key string) (uuid.UUID, time.Time, error) {
	id, err := parseUUID(key)
	if err != nil {
		return uuid.Nil, time.Time{}, errors.Wrap(err, "key")
	}
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return uuid.Nil, time.Time{}, errors.New("key: not a version 7 UUID")
	}
	return id, time.Unix(id.Time().UnixTime()), nil
}

func parseUUID(text string) (uuid.UUID, error) {
	if len(text) != keyLength {
		return uuid.Nil, errors.Errorf("%d characters instead of %d", len(text), keyLength)
	}
	return uuid.Parse(text)
}
