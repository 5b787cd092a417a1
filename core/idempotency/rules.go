package idempotency

import (
	"time"

	"github.com/google/uuid"

	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// recordID identifies a record. It holds the content of a key or a token, so that
// all accepted text forms of one key are equal.
type recordID struct {
	token       bool
	id          uuid.UUID
	incarnation uuid.UUID
	timeMS      int64 // time in the key or token, in Unix milliseconds
}

func (rid recordID) time() time.Time { return time.UnixMilli(rid.timeMS) }

// mismatchCode returns the code that refuses a key or token of another request.
func (rid recordID) mismatchCode() resultcode.Code {
	if rid.token {
		return resultcode.BadToken
	}
	return resultcode.BadKey
}

// identify returns the identifier of the record, or the code that refuses a request
// with an invalid key or token. It doesn't check times.
func (t *Table) identify(id Identity) (recordID, resultcode.Code) {
	switch {
	case id.Key != "" && id.Token != "":
		// The home of the key may be another upstream than that of the token, and
		// each of them would run the request once.
		return recordID{}, resultcode.BadRequest
	case id.Token != "":
		return t.identifyToken(id)
	default:
		key, at, err := ParseKey(id.Key)
		if err != nil {
			return recordID{}, resultcode.BadKey
		}
		return recordID{id: key, timeMS: at.UnixMilli()}, 0
	}
}

func (t *Table) identifyToken(id Identity) (recordID, resultcode.Code) {
	token, err := ParseToken(id.Token)
	switch {
	case err != nil || token.Service != t.cfg.Service || id.Service != t.cfg.Service:
		return recordID{}, resultcode.BadToken
	case token.Upstream != t.cfg.Upstream:
		return recordID{}, resultcode.NotHome
	}
	return recordID{
		token:       true,
		id:          token.Nonce,
		incarnation: token.Incarnation,
		timeMS:      token.Issued.UnixMilli(),
	}, 0
}

// checkNewRequest returns the code that refuses a request without a record, or 0 to
// run it. The codes of unknown outcome come first, because a key can be both before
// the fence and ahead of the clock.
func (t *Table) checkNewRequest(rid recordID) resultcode.Code {
	if code := t.mayHaveRunCode(rid); code != 0 {
		return code
	}
	switch {
	case rid.time().After(t.now.Add(t.cfg.Skew)):
		return resultcode.KeyFromFuture
	case t.replaced && !rid.token:
		return resultcode.NotHome
	case t.newKeysSuspended && !rid.token:
		return resultcode.HomeUnavailable
	case len(t.records) >= t.cfg.MaxRecords:
		return resultcode.RecordsFull
	default:
		return 0
	}
}

// mayHaveRunCode returns the code that refuses a request whose record may have been
// lost with an earlier process or by expiry, or 0 if the request can't have run.
func (t *Table) mayHaveRunCode(rid recordID) resultcode.Code {
	switch {
	case rid.token && rid.incarnation != t.cfg.Incarnation:
		return resultcode.TokenIncarnationGone
	case !rid.token && !rid.time().After(t.fence()):
		return resultcode.KeyBeforeIncarnation
	case !rid.time().Add(t.cfg.TTL).Before(t.now):
		return 0
	case rid.token:
		return resultcode.TokenExpired
	default:
		return resultcode.KeyExpired
	}
}

// fence returns the latest time of a key that an earlier incarnation may have run:
// its clock was at most one Skew ahead, and it accepted keys up to one Skew ahead
// of its clock.
func (t *Table) fence() time.Time { return t.fenceBase.Add(2 * t.cfg.Skew) }

// RaiseFence sets the fence as if this process had started later by the amount by
// which a peer's clock is ahead of now. It never lowers the fence. now is the local
// time at which the peer was asked; a later time makes the fence too low.
func (t *Table) RaiseFence(now, peerClock time.Time) {
	if raised := t.cfg.Started.Add(peerClock.Sub(now)); raised.After(t.fenceBase) {
		t.fenceBase = raised
	}
}
