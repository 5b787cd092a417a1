package membership

import (
	"bytes"
	"time"

	"github.com/google/uuid"
)

// States of a record.
const (
	// Live is the state of a VM that accepts calls.
	Live = "live"
	// Leaving is the state of a VM that is shutting down and gets no new calls.
	Leaving = "leaving"
)

// Record describes one incarnation of the daemon of an upstream.
type Record struct {
	// Name is the name of the upstream; Service is the service it belongs to.
	Name    string `json:"name"`
	Service string `json:"service"`
	// Incarnation identifies the daemon process and Started is the time at
	// which it started. They order the incarnations of one upstream.
	Incarnation uuid.UUID `json:"incarnation"`
	Started     time.Time `json:"started"`
	// Seq is raised by the owner each time it sends its own record; no other
	// daemon changes it. It is 0 in records from the platform's list.
	Seq uint64 `json:"seq,omitempty"`
	// Age is the time since the owner sent this Seq, summed over all daemons that
	// held the record. It is 0 in records from the platform's list.
	Age time.Duration `json:"age,omitempty"`
	// State is Live or Leaving.
	State string `json:"state"`
	// PeerAddress and ControlAddress are host:port pairs.
	PeerAddress    string `json:"peer_address"`
	ControlAddress string `json:"control_address"`
	Zone           string `json:"zone"`
	Region         string `json:"region"`
}

// LaterThan reports whether r is a later incarnation than o of the same upstream.
func (r Record) LaterThan(o Record) bool {
	if r.Incarnation == o.Incarnation {
		return false
	}
	if !r.Started.Equal(o.Started) {
		return r.Started.After(o.Started)
	}
	return compareID(r.Incarnation, o.Incarnation) > 0
}

func (r Record) valid() bool {
	return r.Incarnation != uuid.Nil && r.validListed()
}

// validListed reports whether the record is acceptable from the list, where the
// incarnation may be missing.
func (r Record) validListed() bool {
	return r.Name != "" && r.Age >= 0 && (r.State == Live || r.State == Leaving) && r.length() <= maxRecordBytes
}

// maxRecordBytes bounds the total length of a record's strings, so that a peer cannot
// exhaust the memory with a few records. Names and addresses of the planned fleet
// take 100 bytes.
const maxRecordBytes = 1024

func (r Record) length() int {
	return len(r.Name) + len(r.Service) + len(r.PeerAddress) + len(r.ControlAddress) + len(r.Zone) + len(r.Region)
}

func compareID(a, b uuid.UUID) int { return bytes.Compare(a[:], b[:]) }
