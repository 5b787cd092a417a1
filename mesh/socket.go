package mesh

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAlive detects connections whose other end has stopped responding.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// unackedTimeout is how long sent bytes may go unacknowledged before the connection fails.
const unackedTimeout = 2 * time.Second

// lateReadTimeout takes the place of unackedTimeout where the other end may read late. It is longer than the
// deadlines of requests, which end them before it does.
const lateReadTimeout = time.Minute

// setUserTimeout sets TCP_USER_TIMEOUT on a socket before it connects.
func setUserTimeout(_, _ string, c syscall.RawConn) error { return userTimeout(c, unackedTimeout) }

// userTimeout sets TCP_USER_TIMEOUT. Besides the time in which bytes are acknowledged it bounds how long
// the other end may take to read, once its buffer is full.
func userTimeout(c syscall.RawConn, limit time.Duration) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// setUnackedTimeout is userTimeout for an open connection, and does nothing for one without a socket.
func setUnackedTimeout(c net.Conn, limit time.Duration) error {
	syscallConn, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return err
	}
	return userTimeout(raw, limit)
}
