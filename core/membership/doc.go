// Package membership merges the sources from which one daemon learns about the VMs
// of the fleet.
//
// A View has three sources: the platform's list of VMs, which lags; records that
// peers pass on; and leaving marks in responses to calls. It holds one record per
// upstream name, under these rules:
//   - a later incarnation (by Started, then by id) replaces an earlier one;
//   - for one incarnation, leaving wins over live and the higher Seq wins;
//   - the list cannot restore a VM that is known to be leaving or replaced;
//   - a listed VM is kept; a VM that is not listed, or has been removed from the
//     list, is kept for GracePeriod after the list dropped it or its owner last
//     sent its record.
//
// Only the owner of a record raises its Seq. Each forwarder adds the time for which
// it held the record to Age, so a record expires GracePeriod after its owner sent
// it, no matter how often and by how many daemons it is passed on. Clocks of
// different daemons are not compared.
//
// A removed record stays as a tombstone for TombstoneTTL, and as long as the list
// shows it, so that an outdated list or peer does not restore it.
//
// Records of the services named by SetCalledServices, of the daemon's own service
// and of recent callers are all kept. Of the other records a View keeps
// MaxUnrelated, which each daemon selects by a different hash, so that gossip
// reaches the whole fleet.
//
// A Disseminator decides which changes are pushed to Fanout peers, each once, and
// from which peer a newer configuration is fetched. An ExchangeTracker decides when
// an exchange is retried, and with which peer. A PauseDetector detects that the
// process was paused.
//
// The package reads no clock, starts no goroutine and does no I/O. Its types are
// not safe for concurrent use.
package membership
