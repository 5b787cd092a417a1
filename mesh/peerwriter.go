package mesh

import (
	"bytes"
	"net"
	"slices"
	"sync"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// maxQueuedBytes is from how many bytes that a peer has not read on no further requests are sent over its
// connection. Runs that have a slot there are: their number is bounded by the slots.
const maxQueuedBytes = 1 << 20

// peerWriter writes to a connection without blocking: what its buffer does not take is queued and written
// by a goroutine, as long as the connection lasts. A peer that is paused thus ends no connection, and
// its callers wait no longer than they want. It is safe for concurrent use.
type peerWriter struct {
	conn net.Conn
	raw  syscall.RawConn // nil if conn has no socket; everything is then queued
	// start starts the goroutine, and failed is called with the error of a write.
	start  func(func())
	failed func(error)

	mu       sync.Mutex
	queue    [][]byte
	queued   int // bytes in queue and in the write under way
	draining bool
	err      error
}

func newPeerWriter(conn net.Conn, start func(func()), failed func(error)) *peerWriter {
	w := &peerWriter{conn: conn, start: start, failed: failed}
	if syscallConn, ok := conn.(syscall.Conn); ok {
		if raw, err := syscallConn.SyscallConn(); err == nil {
			w.raw = raw
		}
	}
	return w
}

// Write implements io.Writer. It returns the error of an earlier write, if there was one.
func (w *peerWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return 0, w.err
	}
	rest := p
	if !w.draining {
		n, err := w.writeNow(p)
		if err != nil {
			w.err = err
			return n, err
		}
		rest = p[n:]
	}
	if len(rest) > 0 {
		w.queue = append(w.queue, bytes.Clone(rest))
		w.queued += len(rest)
		if !w.draining {
			w.draining = true
			w.start(w.drain)
		}
	}
	return len(p), nil
}

// writeNow writes what the connection's buffer takes. w.mu is held.
func (w *peerWriter) writeNow(p []byte) (written int, err error) {
	if w.raw == nil {
		return 0, nil
	}
	var writeErr error
	err = w.raw.Write(func(fd uintptr) bool {
		for written < len(p) && writeErr == nil {
			var n int
			n, writeErr = unix.Write(int(fd), p[written:])
			written += max(n, 0)
			if errors.Is(writeErr, unix.EINTR) {
				writeErr = nil
			}
		}
		return true // does not wait
	})
	if err == nil && writeErr != nil && !errors.Is(writeErr, unix.EAGAIN) {
		err = &net.OpError{Op: "write", Net: "tcp", Source: w.conn.LocalAddr(), Addr: w.conn.RemoteAddr(), Err: writeErr}
	}
	return written, err
}

// drain writes what is queued.
func (w *peerWriter) drain() {
	for {
		w.mu.Lock()
		if len(w.queue) == 0 {
			w.draining = false
			w.mu.Unlock()
			return
		}
		buffers := net.Buffers(slices.Clone(w.queue))
		clear(w.queue)
		w.queue = w.queue[:0]
		w.mu.Unlock()
		n, err := buffers.WriteTo(w.conn)
		w.mu.Lock()
		w.queued -= int(n)
		w.err = err
		w.mu.Unlock()
		if err != nil {
			w.failed(err)
			return
		}
	}
}

// isClosedByPeer reports whether the end of the connection has arrived, also while nobody has read it. It is
// false if conn has no socket.
func (w *peerWriter) isClosedByPeer() bool {
	if w.raw == nil {
		return false
	}
	list := []unix.PollFd{{Events: unix.POLLRDHUP}}
	err := w.raw.Control(func(fd uintptr) {
		list[0].Fd = int32(fd)
		_, pollErr := unix.Poll(list, 0)
		for errors.Is(pollErr, unix.EINTR) {
			_, pollErr = unix.Poll(list, 0)
		}
	})
	return err == nil && list[0].Revents != 0
}

// queuedBytes returns the number of bytes that the connection's buffer has not taken.
func (w *peerWriter) queuedBytes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queued
}
