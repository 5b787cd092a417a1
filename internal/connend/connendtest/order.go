// Package connendtest forces the order in which the two sides of a connection are told of its end. It is used by tests only.
package connendtest

import (
	"net"
	"sync"
	"sync/atomic"
)

// Order is the order of events on one connection on which an answer arrives while a request is still being written: a number of
// bytes of the answer is read, then a write fails, then the answer is read on.
type Order struct {
	// Read is closed when the bytes have been read.
	Read chan struct{}
	// HoldWrite makes the write that fails return only when the answer has been read to the end of the connection.
	HoldWrite bool

	left        atomic.Int64
	writeFailed chan struct{}
	ended       chan struct{}
	fail, end   sync.Once
}

// NewOrder returns an Order for an answer of which the given number of bytes, at least one, is read before a write fails.
func NewOrder(answerBytes int) *Order {
	o := &Order{Read: make(chan struct{}), writeFailed: make(chan struct{}), ended: make(chan struct{})}
	o.left.Store(int64(answerBytes))
	return o
}

// Conn is a connection that is subject to the Order that Current holds at each read and write, to none if that is nil.
type Conn struct {
	*net.TCPConn
	Current *atomic.Pointer[Order]
}

// Read implements net.Conn.
func (c Conn) Read(p []byte) (int, error) {
	o := c.Current.Load()
	if o == nil {
		return c.TCPConn.Read(p)
	}
	left := o.left.Load()
	if left == 0 {
		<-o.writeFailed
		n, err := c.TCPConn.Read(p)
		if err != nil {
			o.end.Do(func() { close(o.ended) })
		}
		return n, err
	}
	n, err := c.TCPConn.Read(p[:min(int64(len(p)), left)])
	if o.left.Add(-int64(n)) == 0 {
		close(o.Read)
	}
	return n, err
}

// Write implements net.Conn.
func (c Conn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if o := c.Current.Load(); o != nil && err != nil {
		o.fail.Do(func() { close(o.writeFailed) })
		if o.HoldWrite {
			<-o.ended
		}
	}
	return n, err
}
