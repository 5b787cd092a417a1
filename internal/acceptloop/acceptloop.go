// Package acceptloop accepts connections although some attempts fail.
//
// Accept fails when a process or its system is out of descriptors or memory, or when a connection ends
// before it is accepted. None of these ends the listener, and a server that stopped accepting then would
// look healthy to whoever asks it over an open connection or another port.
//
// The kernel resets the connections that a listener has not accepted when it is closed, with the requests
// on them. Close accepts them first.
package acceptloop

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// minPause and maxPause bound the pause after a failed attempt, which doubles with each further one.
	minPause = 5 * time.Millisecond
	maxPause = time.Second
	// maxQueued bounds the connections that Close accepts. It is the kernel's usual bound for the queue.
	maxQueued = 4096
	// maxClosePause is the longest pause of Close after a failed attempt; it gives up after that. The
	// pauses together take a quarter of a second, of a stop that has some seconds.
	maxClosePause = 128 * time.Millisecond
)

// Loop accepts the connections of one listener.
type Loop struct {
	// AwaitRoom is called before each attempt to accept a connection, if it is not nil. Connections wait in the
	// listener's queue until it returns, which it must do when closing is closed. It must be set before Run.
	AwaitRoom func(closing <-chan struct{})

	listener net.Listener
	close    sync.Once
	closing  chan struct{} // closed when Close has been called
	ended    chan struct{} // closed when Run has ended
}

// New returns a Loop for a listener. Run must be called once.
func New(l net.Listener) *Loop {
	return &Loop{listener: l, closing: make(chan struct{}), ended: make(chan struct{})}
}

// Run accepts connections of a listener that is closed without Close, as Loop.Run does.
func Run(l net.Listener, handle func(net.Conn), failed func(error)) { New(l).Run(handle, failed) }

// Run accepts connections and calls handle with each, until the listener is closed. Failed attempts are
// repeated after a pause; the first of a series is reported to failed. handle must not block.
func (l *Loop) Run(handle func(net.Conn), failed func(error)) {
	defer close(l.ended)
	pause := time.Duration(0)
	for {
		if l.AwaitRoom != nil {
			l.AwaitRoom(l.closing)
		}
		c, err := l.listener.Accept()
		if err == nil {
			pause = 0
			handle(c)
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if l.isClosing() {
			l.acceptQueued(handle, failed)
			return
		}
		if pause == 0 {
			failed(err)
		}
		pause = min(max(2*pause, minPause), maxPause)
		select {
		case <-time.After(pause):
		case <-l.closing:
		}
	}
}

// Close accepts the connections that wait in the listener's queue, closes it and waits until Run has
// ended, until the deadline at the latest. Connections that arrive while the queue is found empty are
// still reset.
func (l *Loop) Close(deadline time.Time) {
	l.close.Do(func() {
		close(l.closing)
		if d, ok := l.listener.(interface{ SetDeadline(time.Time) error }); !ok || d.SetDeadline(time.Unix(1, 0)) != nil {
			_ = l.listener.Close()
		}
	})
	select {
	case <-l.ended:
	case <-time.After(time.Until(deadline)):
	}
}

func (l *Loop) isClosing() bool {
	select {
	case <-l.closing:
		return true
	default:
		return false
	}
}

// acceptQueued accepts the connections in the listener's queue and closes the listener.
func (l *Loop) acceptQueued(handle func(net.Conn), failed func(error)) {
	defer l.listener.Close()
	pause := minPause
	for accepted := 0; accepted < maxQueued && l.hasQueued(); {
		c, err := l.acceptNow()
		if err == nil {
			handle(c)
			accepted++
			continue
		}
		if pause > maxClosePause {
			failed(errors.Wrap(err, "connections that wait are reset"))
			return
		}
		time.Sleep(pause)
		pause *= 2
	}
}

// acceptNow accepts a connection of a queue that is not empty.
func (l *Loop) acceptNow() (net.Conn, error) {
	if err := l.listener.(interface{ SetDeadline(time.Time) error }).SetDeadline(time.Now().Add(maxPause)); err != nil {
		return nil, err
	}
	return l.listener.Accept()
}

// hasQueued reports whether a connection waits in the listener's queue.
func (l *Loop) hasQueued() bool {
	socket, ok := l.listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	queued := false
	err = raw.Control(func(fd uintptr) {
		list := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, pollErr := unix.Poll(list, 0)
		for errors.Is(pollErr, unix.EINTR) {
			n, pollErr = unix.Poll(list, 0)
		}
		queued = pollErr == nil && n > 0 && list[0].Revents&unix.POLLIN != 0
	})
	return err == nil && queued
}
