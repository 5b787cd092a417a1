package soak

import (
	"io"
	"net"
	"sync"
)

// link is a TCP proxy between one VM and the store.
type link struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	broken bool // new connections are reset
	silent bool // nothing passes
	open   map[net.Conn]bool
	sound  *sync.Cond
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, open: make(map[net.Conn]bool)}
	k.sound = sync.NewCond(&k.mu)
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

// set breaks the link, silences it, or makes it sound again. Open connections of a broken link end.
func (k *link) set(broken, silent bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.broken, k.silent = broken, silent
	if broken {
		for c := range k.open {
			_ = c.Close()
		}
	}
	k.sound.Broadcast()
}

func (k *link) close() {
	_ = k.listener.Close()
	k.set(true, false)
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
	defer func() { _ = c.Close() }()
	server, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	k.mu.Lock()
	if k.broken {
		k.mu.Unlock()
		return
	}
	k.open[c], k.open[server] = true, true
	k.mu.Unlock()
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{c, server}, {server, c}} {
		go func() {
			_, _ = io.Copy(pair[0], gatedReader{pair[1], k})
			done <- struct{}{}
		}()
	}
	<-done
	k.mu.Lock()
	delete(k.open, c)
	delete(k.open, server)
	k.mu.Unlock()
}

// gatedReader holds back what it has read while the link is silent.
type gatedReader struct {
	conn net.Conn
	link *link
}

func (g gatedReader) Read(p []byte) (int, error) {
	n, err := g.conn.Read(p)
	g.link.mu.Lock()
	defer g.link.mu.Unlock()
	for g.link.silent {
		g.link.sound.Wait()
	}
	return n, err
}
