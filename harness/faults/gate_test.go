package faults

import "sync"

// gate holds the timer loop of a daemon, as a pause of its process does.
type gate struct {
	mu   sync.Mutex
	held chan struct{}
}

// pass returns when the gate is not held.
func (g *gate) pass() {
	g.mu.Lock()
	held := g.held
	g.mu.Unlock()
	if held != nil {
		<-held
	}
}

func (g *gate) hold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held == nil {
		g.held = make(chan struct{})
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held != nil {
		close(g.held)
		g.held = nil
	}
}
