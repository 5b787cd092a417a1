// Package quotas runs the quotas of tenants for one daemon: it asks the owners of tenants for tokens over the
// links between daemons, and answers the questions of others. The decisions are those of core/quota.
//
// Requests that wait for the same owner at the same time share a question, and there is one question to an
// owner at a time. A request waits for floorWait for the owner, then uses the floor if it holds a token, and
// is refused after answerTimeout. Nothing is sent while no tenant has a quota.
package quotas

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/core/quota"
)

const (
	// floorWait is how long a request waits for the owner before it uses the floor. It covers a new connection.
	floorWait = 100 * time.Millisecond
	// answerTimeout is how long a request waits for the owner if the floor is used up. It covers the
	// retransmission of a lost packet.
	answerTimeout = 400 * time.Millisecond
	// maxQuestions bounds the questions that a request waits for. Other requests may take the tokens of an answer.
	maxQuestions = 3
)

// Events of log lines.
const (
	eventTenantLimited    = "tenant limited"
	eventTenantUnlimited  = "tenant no longer limited"
	eventOwnerUnreachable = "quota owner does not answer"
	eventOwnerReachable   = "quota owner answers again"
	eventOwnershipBegun   = "quota ownership begun"
	eventContactLost      = "quota grants suspended"
	eventContactRegained  = "quota grants resumed"
)

// ErrEnded is returned by Options.Ask if the VM of the daemon was reached and the daemon does not run.
var ErrEnded = errors.New("the daemon does not run")

// Outcome is the outcome of a request for a token, as the value of a label.
type Outcome string

// Outcomes.
const (
	OutcomeGranted Outcome = "granted"
	OutcomeFloor   Outcome = "floor"             // while the owner did not answer
	OutcomeLimited Outcome = "quota"             // refused: the quota is used up
	OutcomeUnknown Outcome = "owner_unreachable" // refused: the owner does not answer and the floor is used up
)

// Result answers a request for a token. The request may run if the outcome is OutcomeGranted or OutcomeFloor.
type Result struct {
	Outcome Outcome
	Token   quota.Token
	// Return is the time after which a refused caller may return.
	Return time.Duration
}

// Allowed reports whether the request may run.
func (r Result) Allowed() bool { return r.Outcome == OutcomeGranted || r.Outcome == OutcomeFloor }

// Options hold the dependencies of a Controller.
type Options struct {
	// Self is the name of the daemon in the list of daemons.
	Self   string
	Bounds quota.Bounds
	// Ask sends a question to another daemon. It returns when ctx ends, at the latest.
	// Errors include ErrEnded.
	Ask func(ctx context.Context, daemon string, latest quota.List, wants []quota.Want) (quota.Answer, error)
	// LimitOf returns the limit of a tenant in the configuration in force, and false if it has none.
	LimitOf func(tenant string) (quota.Limit, bool)
	// Go starts a goroutine, unless the daemon closes. Context ends when it does.
	Go      func(func())
	Context context.Context
	// Count counts a question by its result. It may be nil.
	Count func(result string)
	Log   *zap.Logger
	// Now returns a steady time; nil is the time since the system started.
	Now func() time.Duration
}

// Controller is the part of one daemon. Its methods are safe for concurrent use.
type Controller struct {
	opts Options

	mu      sync.Mutex
	node    *quota.Node
	asking  map[string]bool   // daemons with a question under way
	waiting map[string]*batch // requests that wait for the next question, by daemon
	// used says that some tenant has a quota.
	used atomic.Bool
}

// batch is a number of requests that wait for the answer to the same question.
type batch struct{ done chan struct{} }

// New returns the part of the daemon, which starts now.
func New(opts Options) *Controller {
	if opts.Now == nil {
		opts.Now = steadyTime
	}
	if opts.Count == nil {
		opts.Count = func(string) {}
	}
	if opts.Bounds.Window <= 0 {
		opts.Bounds = quota.DefaultBounds
	}
	return &Controller{
		opts: opts, node: quota.New(opts.Self, opts.Bounds, rand.Float64, opts.Now()),
		asking: make(map[string]bool), waiting: make(map[string]*batch),
	}
}

// SetUsed says whether some tenant has a quota.
func (c *Controller) SetUsed(used bool) { c.used.Store(used) }

// SetVersion records the version of the list of daemons in force.
func (c *Controller) SetVersion(v quota.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.node.SetVersion(c.opts.Now(), v)
}

// SetDaemons puts a list of all daemons in force and reports whether it has changed.
func (c *Controller) SetDaemons(v quota.Version, daemons []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := len(daemons) != c.node.Daemons()
	for _, daemon := range daemons {
		changed = changed || !c.node.Knows(daemon)
	}
	if changed {
		c.node.SetDaemons(c.opts.Now(), v, daemons)
	} else {
		c.node.SetVersion(c.opts.Now(), v)
	}
	return changed
}

// Take requests a token for a request of a tenant. It returns when ctx ends, at the latest.
func (c *Controller) Take(ctx context.Context, tenant string, limit quota.Limit) Result {
	decision, done := c.take(tenant, limit, false)
	if done == nil {
		return result(decision)
	}
	timer := time.NewTimer(floorWait)
	defer timer.Stop()
	inTime := true // floorWait is not over
	for questions := 1; ; {
		select {
		case <-done:
			if questions++; questions > maxQuestions {
				return result(c.takeFloor(tenant, limit))
			}
			if decision, done = c.take(tenant, limit, true); done == nil {
				return result(decision)
			}
			continue
		case <-ctx.Done():
			return result(quota.Decision{Verdict: quota.Unknown})
		case <-timer.C:
		}
		last := decision
		if decision = c.takeFloor(tenant, limit); decision.Verdict != quota.Unknown || !inTime || last.Doubtful {
			return result(decision)
		}
		inTime = false
		timer.Reset(answerTimeout - floorWait)
	}
}

// take is Take without the wait. It returns a channel that is closed when the request is to try again, nil if
// there is a decision.
func (c *Controller) take(tenant string, limit quota.Limit, again bool) (quota.Decision, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.logEvents()
	decision := c.node.Take(c.opts.Now(), tenant, limit, again)
	if decision.Verdict != quota.Wait {
		return decision, nil
	}
	return decision, c.enqueue(decision.Daemon)
}

func (c *Controller) takeFloor(tenant string, limit quota.Limit) quota.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.logEvents()
	return c.node.TakeFloor(c.opts.Now(), tenant, limit)
}

func result(d quota.Decision) Result {
	outcome := OutcomeUnknown
	switch d.Verdict {
	case quota.Granted:
		outcome = OutcomeGranted
	case quota.Floor:
		outcome = OutcomeFloor
	case quota.Limited:
		outcome = OutcomeLimited
	}
	return Result{Outcome: outcome, Token: d.Token, Return: d.Return}
}

// Return gives the token of a request back that has not run.
func (c *Controller) Return(t quota.Token) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.node.Return(c.opts.Now(), t)
}

// enqueue has a question sent to a daemon, and returns a channel that is closed when it has been answered or
// has failed. c.mu is held.
func (c *Controller) enqueue(daemon string) <-chan struct{} {
	b := c.waiting[daemon]
	if b == nil {
		b = &batch{done: make(chan struct{})}
		c.waiting[daemon] = b
	}
	if !c.asking[daemon] {
		c.asking[daemon] = true
		c.opts.Go(func() { c.ask(daemon) })
	}
	return b.done
}

// ask sends questions to a daemon for as long as requests wait for one.
func (c *Controller) ask(daemon string) {
	for {
		c.mu.Lock()
		b := c.waiting[daemon]
		if b == nil {
			delete(c.asking, daemon)
			c.mu.Unlock()
			return
		}
		delete(c.waiting, daemon)
		sent := c.opts.Now()
		wants, latest := c.node.Question(sent, daemon), c.node.Latest()
		c.mu.Unlock()
		ctx, cancel := context.WithTimeout(c.opts.Context, answerTimeout)
		answer, err := c.opts.Ask(ctx, daemon, latest, wants)
		cancel()
		c.mu.Lock()
		if err != nil {
			c.node.Failed(c.opts.Now(), daemon, errors.Is(err, ErrEnded))
			c.opts.Count("failed")
		} else {
			c.node.Answered(c.opts.Now(), sent, daemon, wants, answer)
			c.opts.Count("ok")
		}
		c.logEvents()
		c.mu.Unlock()
		close(b.done)
	}
}

// Serve answers the question of another daemon. An owner that has not heard of another daemon recently asks one first.
func (c *Controller) Serve(ctx context.Context, latest quota.List, wants []quota.Want) quota.Answer {
	if done := c.awaitContact(wants); done != nil {
		timer := time.NewTimer(floorWait)
		defer timer.Stop()
		select {
		case <-done:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.logEvents()
	return c.node.Serve(c.opts.Now(), latest, wants, c.opts.LimitOf)
}

// awaitContact has another daemon asked if none of the wants can be granted otherwise, nil if there is no need.
func (c *Controller) awaitContact(wants []quota.Want) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	if len(wants) == 0 || c.node.MayGrant(now) {
		return nil
	}
	if daemon := c.node.NeedsContact(now); daemon != "" {
		return c.enqueue(daemon)
	}
	return nil
}

// Tick does what has to be done from time to time. It is called every 50 ms or so.
func (c *Controller) Tick() {
	if !c.used.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	c.node.Tick(now)
	if daemon := c.node.NeedsContact(now); daemon != "" && c.waiting[daemon] == nil && !c.asking[daemon] {
		c.enqueue(daemon)
	}
	c.logEvents()
}

// logEvents logs the changes of what the daemon believes. c.mu is held.
func (c *Controller) logEvents() {
	for _, e := range c.node.Events() {
		switch e.Kind {
		case quota.TenantLimited:
			c.opts.Log.Info(eventTenantLimited, zap.String("tenant", e.Subject), zap.Float64("rate", e.Limit.Rate), zap.Float64("burst", e.Limit.Burst))
		case quota.TenantUnlimited:
			c.opts.Log.Info(eventTenantUnlimited, zap.String("tenant", e.Subject), zap.Float64("rate", e.Limit.Rate), zap.Float64("burst", e.Limit.Burst))
		case quota.OwnerUnreachable:
			c.opts.Log.Info(eventOwnerUnreachable, zap.String("daemon", e.Subject))
		case quota.OwnerReachable:
			c.opts.Log.Info(eventOwnerReachable, zap.String("daemon", e.Subject))
		case quota.OwnershipBegun:
			c.opts.Log.Info(eventOwnershipBegun, zap.String("tenant", e.Subject), zap.Float64("rate", e.Limit.Rate), zap.Float64("burst", e.Limit.Burst))
		case quota.ContactLost:
			c.opts.Log.Info(eventContactLost, zap.String("reason", e.Reason))
		case quota.ContactRegained:
			c.opts.Log.Info(eventContactRegained)
		}
	}
}
