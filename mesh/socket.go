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

// setUserTimeout sets TCP_USER_TIMEOUT on a socket before it connects.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return optionErr
}
