package mesh

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAlive finds connections whose other end has gone silent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// unackedLimit is how long sent bytes may go unacknowledged before the connection fails.
const unackedLimit = 2 * time.Second

// userTimeout sets TCP_USER_TIMEOUT on a socket before it connects.
func userTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failed
}
