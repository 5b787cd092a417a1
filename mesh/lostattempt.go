package mesh

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/core/dispatch"
)

// reserveRepeat reports whether the request would be sent elsewhere if the attempt under way were lost, and
// takes that from the retry budget.
func (c *callerRequest) reserveRepeat() bool {
	isQuarantined := c.daemon.quarantinedFor(c.fingerprint) > 0
	c.daemon.mu.Lock()
	defer c.daemon.mu.Unlock()
	return c.daemon.dispatcher.ReserveRepeat(time.Now(), c.outgoing, isQuarantined)
}

// resultWithoutReply returns the result of an attempt for which the call to the peer failed.
// sent says that the call contained the request itself.
func (c *callerRequest) resultWithoutReply(ctx context.Context, sent bool, err error) dispatch.Result {
	over := ctx.Err() != nil
	switch {
	case errors.Is(err, errUnreachable):
		return dispatch.NoReply
	case sent && over:
		return dispatch.Expired
	case sent:
		return dispatch.Lost
	case over:
		return dispatch.Unsent
	default:
		return dispatch.NoReply
	}
}
