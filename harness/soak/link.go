package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// linkFault is a fault of a link. The zero value is a sound link.
type linkFault struct {
	// broken resets open and new connections.
	broken bool
	// silentUp and silentDown hold back what is sent to the target, and what it sends.
	silentUp, silentDown bool
	// delay holds back each part for a while.
	delay time.Duration
}

// link is a TCP proxy in front of the store or of a daemon.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault linkFault
	open  map[net.Conn]bool
	sound *sync.Cond
}

func newLink(address, target string) (*link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, open: make(map[net.Conn]bool)}
	k.sound = sync.NewCond(&k.mu)
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) set(fault linkFault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fault = fault
	if fault.broken {
		for c := range k.open {
			reset(c)
		}
	}
	k.sound.Broadcast()
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func (k *link) close() {
	_ = k.listener.Close()
	k.set(linkFault{broken: true})
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(c)
	}
}

func (k *link) serve(c net.Conn) {
	target, err := net.Dial("tcp", k.target)
	if err != nil {
		reset(c)
		return
	}
	k.mu.Lock()
	broken := k.fault.broken
	k.open[c], k.open[target] = true, true
	k.mu.Unlock()
	if broken {
		reset(c)
	}
	var copies sync.WaitGroup
	for _, up := range []bool{true, false} {
		from, to := net.Conn(target), c
		if up {
			from, to = c, target
		}
		copies.Go(func() {
			_, _ = io.Copy(to, gatedReader{from, k, up})
			_ = to.(*net.TCPConn).CloseWrite()
		})
	}
	copies.Wait()
	k.mu.Lock()
	delete(k.open, c)
	delete(k.open, target)
	k.mu.Unlock()
	_ = c.Close()
	_ = target.Close()
}

// gatedReader holds back what it has read while the link is silent.
type gatedReader struct {
	conn net.Conn
	link *link
	up   bool
}

func (g gatedReader) Read(p []byte) (int, error) {
	n, err := g.conn.Read(p)
	g.link.mu.Lock()
	defer g.link.mu.Unlock()
	if delay := g.link.fault.delay; delay > 0 {
		g.link.mu.Unlock()
		time.Sleep(delay)
		g.link.mu.Lock()
	}
	for g.up && g.link.fault.silentUp || !g.up && g.link.fault.silentDown {
		g.link.sound.Wait()
	}
	return n, err
}
