package faults

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// pipe carries one direction of a connection. Its fields are guarded by net.mu.
type pipe struct {
	net              *network
	link             link
	fromHost, toHost *host
	reverse          *pipe
	cond             *sync.Cond
	chunks           []chunk
	size             int
	// reset is set when the connection was cut.
	writerClosed, readerClosed, reset bool
	readDeadline, writeDeadline       deadline
}

// chunk is data in transit and the time of its arrival.
type chunk struct {
	data    []byte
	arrival time.Time
}

type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

// set changes the deadline. net.mu is held. It starts no timer for a time that has
// passed: in a synctest bubble such a timer runs inside time.AfterFunc, and two timers
// that run at once share one context of the race detector of Go 1.26, which ends the
// process (runtime.timer.unlockAndRun, tsan_rtl.cpp:346).
func (d *deadline) set(at time.Time, p *pipe) {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.at = at
	if !at.IsZero() && !d.passed() {
		d.timer = time.AfterFunc(time.Until(at), p.wake)
	}
	p.cond.Broadcast()
}

func (p *pipe) wake() {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.cond.Broadcast()
}

// connect makes the two ends of a connection. n.mu is held.
func (n *network) connect(from *host, l *listener) (client, server *conn) {
	forward := &pipe{net: n, link: link{from.name, l.host.name}, fromHost: from, toHost: l.host}
	reverse := &pipe{net: n, link: link{l.host.name, from.name}, fromHost: l.host, toHost: from}
	forward.reverse, reverse.reverse = reverse, forward
	for _, p := range []*pipe{forward, reverse} {
		p.cond = sync.NewCond(&n.mu)
		n.pipes[p] = struct{}{}
	}
	local := addr(fmt.Sprintf("%s:%d", from.name, from.lastPort))
	client = &conn{in: reverse, out: forward, local: local, remote: addr(l.address)}
	server = &conn{in: forward, out: reverse, local: addr(l.address), remote: local}
	return client, server
}

func (p *pipe) between(from, to string) bool {
	return p.link.from == from && (to == anyHost || p.link.to == to)
}

// resetBoth ends the connection for both sides. net.mu is held.
func (p *pipe) resetBoth() {
	for _, q := range []*pipe{p, p.reverse} {
		q.reset, q.chunks, q.size = true, nil, 0
		q.release()
	}
}

// release removes a pipe from the network once it is reset or closed at both ends, and
// wakes all that wait for it. net.mu is held.
func (p *pipe) release() {
	if p.reset || (p.writerClosed && p.readerClosed) {
		delete(p.net.pipes, p)
		p.readDeadline.stop()
		p.writeDeadline.stop()
	}
	p.cond.Broadcast()
}

func (d *deadline) stop() {
	if d.timer != nil {
		d.timer.Stop()
	}
}

func (p *pipe) read(b []byte) (int, error) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	for {
		_, blocked, _ := p.net.combinedRule(p.link)
		switch {
		case p.readerClosed:
			return 0, net.ErrClosed
		case p.reset:
			return 0, opError("read", syscall.ECONNRESET)
		case p.readDeadline.passed():
			return 0, opError("read", os.ErrDeadlineExceeded)
		case !blocked && len(p.chunks) > 0 && !time.Now().Before(p.chunks[0].arrival):
			return p.dequeue(b), nil
		case !blocked && len(p.chunks) == 0 && p.writerClosed:
			return 0, io.EOF
		}
		p.cond.Wait()
	}
}

func (p *pipe) dequeue(b []byte) int {
	n := copy(b, p.chunks[0].data)
	p.chunks[0].data = p.chunks[0].data[n:]
	if len(p.chunks[0].data) == 0 {
		p.chunks = p.chunks[1:]
	}
	p.size -= n
	p.cond.Broadcast()
	return n
}

func (p *pipe) write(b []byte) (int, error) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	written := 0
	for {
		switch {
		case p.writerClosed:
			return written, net.ErrClosed
		case p.reset:
			return written, opError("write", syscall.ECONNRESET)
		case p.readerClosed:
			return written, opError("write", syscall.EPIPE)
		case p.writeDeadline.passed():
			return written, opError("write", os.ErrDeadlineExceeded)
		case len(b) == 0:
			return written, nil
		case p.size < pipeBytes:
			n := p.enqueue(b[:min(len(b), pipeBytes-p.size)])
			written, b = written+n, b[n:]
			continue
		}
		p.cond.Wait()
	}
}

// enqueue sends one chunk. If a rule cuts the connection inside it, the part before the
// cut arrives and then the connection ends for both sides.
func (p *pipe) enqueue(b []byte) int {
	cut := p.cutInside(&b)
	_, _, delay := p.net.combinedRule(p.link)
	if len(b) > 0 {
		p.chunks = append(p.chunks, chunk{data: append([]byte(nil), b...), arrival: time.Now().Add(delay)})
		p.size += len(b)
	}
	if delay > 0 {
		time.AfterFunc(delay, p.wake)
	}
	p.cond.Broadcast()
	if cut {
		p.writerClosed, p.reverse.reset = true, true
		p.reverse.release()
		p.release()
	}
	return len(b)
}

func (p *pipe) cutInside(b *[]byte) bool {
	cut := false
	p.net.eachRule(p.link, func(r *rule) {
		if !r.cut {
			return
		}
		if len(*b) < r.cutAfter {
			r.cutAfter -= len(*b)
			return
		}
		*b, r.cut, cut = (*b)[:r.cutAfter], false, true
	})
	return cut
}

func opError(op string, err error) error { return &net.OpError{Op: op, Net: "tcp", Err: err} }

// conn is one end of a connection.
type conn struct {
	in, out       *pipe
	local, remote addr
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) { return c.out.write(b) }

// Close implements net.Conn. Data that was written before still arrives.
func (c *conn) Close() error {
	n := c.in.net
	n.mu.Lock()
	defer n.mu.Unlock()
	c.out.writerClosed, c.in.readerClosed = true, true
	c.out.release()
	c.in.release()
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.net.mu.Lock()
	defer c.in.net.mu.Unlock()
	c.in.readDeadline.set(t, c.in)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.net.mu.Lock()
	defer c.out.net.mu.Unlock()
	c.out.writeDeadline.set(t, c.out)
	return nil
}
