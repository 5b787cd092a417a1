// Package workgroup runs the goroutines of a component that are stopped together.
package workgroup

import (
	"context"
	"sync"
)

// Group holds goroutines that share a context. It is safe for concurrent use.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex // serialises cancelling ctx and starting goroutines
	wg     sync.WaitGroup
}

// New returns a group without goroutines.
func New() *Group {
	g := &Group{}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g
}

// Context returns the context that Cancel cancels.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs f in a goroutine that Wait waits for. After Cancel, Go does nothing.
func (g *Group) Go(f func()) { g.TryGo(f) }

// TryGo is Go. It reports whether f runs: what f would have closed is left to the caller otherwise.
func (g *Group) TryGo(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx.Err() != nil {
		return false
	}
	g.wg.Go(f)
	return true
}

// Cancel cancels the context. No goroutines are started afterwards.
func (g *Group) Cancel() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancel()
}

// Wait waits until all goroutines have returned. It must be called after Cancel.
func (g *Group) Wait() { g.wg.Wait() }
