package faults

import "sync"

// gate blocks the timer loop of a daemon, as a pause of its process does.
type gate struct {
	mu   sync.Mutex
	held chan struct{}
}

// wait returns as soon as the gate is not held.
func (g *gate) wait() {
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
