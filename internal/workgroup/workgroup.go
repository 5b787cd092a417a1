// Package workgroup runs the goroutines of a component that ends as a whole.
package workgroup

import (
	"context"
	"sync"
)

// Group holds goroutines that share a context. It is safe for concurrent use.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex // orders the end of ctx against new goroutines
	wait   sync.WaitGroup
}

// New returns a group without goroutines.
func New() *Group {
	g := &Group{}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g
}

// Context returns the context that Cancel ends.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs f in a goroutine that Wait waits for. After Cancel it does nothing.
func (g *Group) Go(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx.Err() == nil {
		g.wait.Go(f)
	}
}

// Cancel ends the context and starts no more goroutines.
func (g *Group) Cancel() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancel()
}

// Wait waits for all goroutines. It is called after Cancel.
func (g *Group) Wait() { g.wait.Wait() }
