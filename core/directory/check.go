package directory

import (
	"net/netip"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Bounds of the fields of an entry. Another writer may leave values that no upstream has, and what is
// derived from them (sums of slots, times, log lines, connections) must not overflow or fail.
const (
	// maxNameBytes bounds the ID, the service, the zone and the version. It is the longest key of
	// an item of the store.
	maxNameBytes = 200
	// maxSlots exceeds the connections that a VM can hold; sums over a fleet stay far below 2^63.
	maxSlots = 1 << 20
	// maxClockAhead bounds how far a start may be in the future of the fleet's time of day. Clocks of
	// VMs differ by seconds. An
	// entry that starts later would supersede all true ones at its address.
	maxClockAhead = time.Minute
	// maxSequence is the largest number that all JSON decoders read exactly. At one entry in each
	// millisecond it is not reached.
	maxSequence = 1 << 53
	// maxWarmUp exceeds the warm-up of any backend server, which takes seconds to minutes.
	maxWarmUp = time.Hour
)

// ErrFutureStart is the error of Check for an upstream of which only the start can't be, because it is in
// the future. It may be seen from a clock that is behind, so that the entry may be valid later.
var ErrFutureStart = errors.New("start in the future")

// Check returns an error if a field has a value that no upstream can have, which names the field. now
// is the time of day at which the entry was read.
func (u Upstream) Check(now time.Time) error {
	for _, name := range []struct{ field, value string }{{"id", u.ID}, {"service", u.Service}, {"zone", u.Zone}, {"version", u.Version}} {
		if len(name.value) > maxNameBytes {
			return errors.Errorf("%s: %d bytes, more than %d", name.field, len(name.value), maxNameBytes)
		}
	}
	switch {
	case u.ID == "" || strings.ContainsFunc(u.ID, unprintable):
		return errors.Errorf("id: %q is empty or has characters that can't be sent in a header", u.ID)
	case u.Service == "":
		return errors.New("service: missing")
	case u.Slots < 1 || u.Slots > maxSlots:
		return errors.Errorf("slots: %d is not between 1 and %d", u.Slots, maxSlots)
	case u.Incarnation < 0:
		return errors.Errorf("incarnation: start at %d ms is negative", u.Incarnation)
	case u.Sequence < 0 || u.Sequence > maxSequence:
		return errors.Errorf("sequence: %d is not between 0 and %d", u.Sequence, maxSequence)
	case u.WarmAt.After(now.Add(maxWarmUp)):
		return errors.Errorf("warm-up: longer than %s", maxWarmUp)
	}
	if err := checkAddress(u.Address); err != nil {
		return err
	}
	if u.Incarnation > now.Add(maxClockAhead).UnixMilli() {
		return errors.Wrapf(ErrFutureStart, "incarnation: %d ms", u.Incarnation)
	}
	return nil
}

// unprintable reports whether a character is not a visible ASCII character.
func unprintable(r rune) bool { return r <= ' ' || r > '~' }

// checkAddress returns an error unless the address is the IP address of one host, and a port.
func checkAddress(address string) error {
	if len(address) > maxNameBytes {
		return errors.Errorf("address: %d bytes, more than %d", len(address), maxNameBytes)
	}
	a, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		return errors.Errorf("address: %q is not an IP address and a port", address)
	case a.Port() == 0:
		return errors.Errorf("address: %q has port 0", address)
	case a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Addr().Zone() != "":
		return errors.Errorf("address: %q is not the address of one host", address)
	}
	return nil
}
