package membership

import "github.com/google/uuid"

// Replacement returns the record of a later incarnation of the record's upstream, with
// its Age, if one is held.
func (v *View) Replacement(r Record) (Record, bool) {
	e, ok := v.entries[r.Name]
	if !ok || e.removed || e.record.Incarnation == uuid.Nil || !e.record.LaterThan(r) {
		return Record{}, false
	}
	record := e.record
	record.Age = max(v.now.Sub(e.refreshedAt), 0)
	return record, true
}

// resolveIncarnations fills in the incarnations of list records from those that the
// view holds. The platform lists VMs; it knows their addresses but not the daemon
// processes on them, so a list record usually has no incarnation.
//   - A record with the address of the held VM refers to the held incarnation.
//   - A record with another address is the replacement if the held VM is leaving
//     or was removed. Otherwise the list lags, or no record of the replacement has
//     arrived yet, and the held VM stays.
func (v *View) resolveIncarnations(latest map[string]Record) map[string]Record {
	for name, r := range latest {
		if r.Incarnation != uuid.Nil {
			continue
		}
		e, held := v.entries[name]
		switch {
		case !held || e.record.Incarnation == uuid.Nil && r.PeerAddress == e.record.PeerAddress:
		case r.PeerAddress == e.record.PeerAddress:
			r.Incarnation, r.Started = e.record.Incarnation, e.record.Started
			latest[name] = r
		case r.State == Live && (e.removed || e.record.State == Leaving):
			delete(v.entries, name)
		default:
			delete(latest, name)
		}
	}
	return latest
}
