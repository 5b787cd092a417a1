package main

import (
	"io"
	"net"
	"sync/atomic"
)

// gate is a proxy to the store for one machine. While it is shut, connections get no response, also later.
type gate struct {
	addr string
	shut atomic.Int64 // number of the period; odd while shut
}

func newGate(store string) *gate {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail2("gate: %v", err)
	}
	g := &gate{addr: l.Addr().String()}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go g.pass(in, store, g.shut.Load())
		}
	}()
	return g
}

func (g *gate) pass(in net.Conn, store string, period int64) {
	defer in.Close()
	if period%2 == 1 {
		_, _ = io.Copy(io.Discard, in) // until the machine gives up
		return
	}
	out, err := net.Dial("tcp", store)
	if err != nil {
		return
	}
	defer out.Close()
	forward := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			if g.shut.Load() != period {
				if from == in && err == nil {
					_, _ = io.Copy(io.Discard, in)
				}
				if from == in {
					_ = out.Close()
					return
				}
				return // nothing more for the machine, and no end of the connection
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				_ = to.Close()
				return
			}
		}
	}
	done := make(chan struct{})
	go func() { defer close(done); forward(in, out) }()
	forward(out, in)
	<-done
}
