package quota

import "time"

// Shares of what a window allows beyond the quota. The rest is for overlapping owners.
const (
	floorShare    = 1.0 / 2
	lifetimeShare = 1.0 / 4
	capacityShare = 1.0 / 16
)

const (
	// minLifetime covers a round trip to the owner. A smaller allowance than minLifetime x rate can't be kept
	// exactly.
	minLifetime = 100 * time.Millisecond
	maxLifetime = 500 * time.Millisecond
)

// DefaultBounds are in force where the deployment states none.
var DefaultBounds = Bounds{Window: 10 * time.Second, Overshoot: 0.1, Slack: 10}

// Bounds state what all daemons together may run of a tenant: in each window, at most
// (rate x window + burst) x (1 + Overshoot) + Slack requests.
type Bounds struct {
	Window           time.Duration
	Overshoot, Slack float64
}

// Limit is the quota of a tenant: Rate requests per second and Burst requests beyond that.
type Limit struct{ Rate, Burst float64 }

// quota returns what the limit gives in a window.
func (b Bounds) quota(l Limit) float64 { return l.Rate*b.Window.Seconds() + l.Burst }

// Most returns the bound for a window.
func (b Bounds) Most(l Limit) float64 { return b.quota(l) + b.allowance(l) }

// allowance returns what a window allows beyond the quota.
func (b Bounds) allowance(l Limit) float64 { return b.quota(l)*b.Overshoot + b.Slack }

// lifetime returns how long a token may be used, counted from before the question that it answers.
func (b Bounds) lifetime(l Limit) time.Duration {
	life := lifetimeShare * b.allowance(l) / l.Rate * float64(time.Second)
	return time.Duration(max(min(life, float64(maxLifetime)), float64(minLifetime)))
}

// capacity returns the capacity of the owner's bucket.
func (b Bounds) capacity(l Limit) float64 { return max(l.Burst+capacityShare*b.allowance(l), 1) }

// floor returns how many of the given number of daemons have a floor, and how many requests each of them
// may run in a window while the owner does not answer.
func (b Bounds) floor(l Limit, daemons int) (holders, each int) {
	if daemons == 0 {
		return 0, 0
	}
	total := whole(floorShare * b.allowance(l))
	each = min(max(total/daemons, 1), maxFloor)
	return min(total/each, daemons), each
}

// whole returns the whole part of a number of tokens, of at most maxTokens.
func whole(tokens float64) int { return int(min(tokens, maxTokens)) }

// maxTokens bounds what is granted at once.
const maxTokens = 1 << 16

// maxFloor bounds the memory of a floor.
const maxFloor = 256
