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
	back             *pipe
	cond             *sync.Cond
	chunks           []chunk
	size             int
	// closed: the writer has closed; gone: the reader has closed; reset: the
	// connection was cut.
	closed, gone, reset         bool
	readDeadline, writeDeadline deadline
}

// chunk is data on its way, which arrives at a time.
type chunk struct {
	data []byte
	at   time.Time
}

type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

// set is called with the network's lock held. It starts no timer for a time that has
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
func (n *network) connect(from *host, l *listener) (near, far *conn) {
	forth := &pipe{net: n, link: link{from.name, l.host.name}, fromHost: from, toHost: l.host}
	back := &pipe{net: n, link: link{l.host.name, from.name}, fromHost: l.host, toHost: from}
	forth.back, back.back = back, forth
	for _, p := range []*pipe{forth, back} {
		p.cond = sync.NewCond(&n.mu)
		n.pipes[p] = struct{}{}
	}
	local := addr(fmt.Sprintf("%s:%d", from.name, from.ports))
	near = &conn{in: back, out: forth, local: local, remote: addr(l.address)}
	far = &conn{in: forth, out: back, local: addr(l.address), remote: local}
	return near, far
}

func (p *pipe) between(from, to string) bool {
	return p.link.from == from && (to == anyHost || p.link.to == to)
}

// resetBoth ends the connection for both sides. net.mu is held.
func (p *pipe) resetBoth() {
	for _, q := range []*pipe{p, p.back} {
		q.reset, q.chunks, q.size = true, nil, 0
		q.release()
	}
}

// release forgets a pipe that no rule can concern any more.
func (p *pipe) release() {
	if p.reset || (p.closed && p.gone) {
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
		_, blocked, _ := p.net.state(p.link)
		switch {
		case p.gone:
			return 0, net.ErrClosed
		case p.reset:
			return 0, opError("read", syscall.ECONNRESET)
		case p.readDeadline.passed():
			return 0, opError("read", os.ErrDeadlineExceeded)
		case !blocked && len(p.chunks) > 0 && !time.Now().Before(p.chunks[0].at):
			return p.take(b), nil
		case !blocked && len(p.chunks) == 0 && p.closed:
			return 0, io.EOF
		}
		p.cond.Wait()
	}
}

func (p *pipe) take(b []byte) int {
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
		case p.closed:
			return written, net.ErrClosed
		case p.reset:
			return written, opError("write", syscall.ECONNRESET)
		case p.gone:
			return written, opError("write", syscall.EPIPE)
		case p.writeDeadline.passed():
			return written, opError("write", os.ErrDeadlineExceeded)
		case len(b) == 0:
			return written, nil
		case p.size < pipeBytes:
			n := p.put(b[:min(len(b), pipeBytes-p.size)])
			written, b = written+n, b[n:]
			continue
		}
		p.cond.Wait()
	}
}

// put sends one chunk. When a rule cuts the connection inside it, the part before
// the cut arrives and then the connection ends for both sides.
func (p *pipe) put(b []byte) int {
	cut := p.cutInside(&b)
	_, _, delay := p.net.state(p.link)
	if len(b) > 0 {
		p.chunks = append(p.chunks, chunk{data: append([]byte(nil), b...), at: time.Now().Add(delay)})
		p.size += len(b)
	}
	if delay > 0 {
		time.AfterFunc(delay, p.wake)
	}
	p.cond.Broadcast()
	if cut {
		p.closed, p.back.reset = true, true
		p.back.release()
		p.release()
	}
	return len(b)
}

func (p *pipe) cutInside(b *[]byte) bool {
	cut := false
	p.net.matching(p.link, func(r *rule) {
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

// Close implements net.Conn. What was written still arrives.
func (c *conn) Close() error {
	n := c.in.net
	n.mu.Lock()
	defer n.mu.Unlock()
	c.out.closed, c.in.gone = true, true
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
