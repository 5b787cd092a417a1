package sockread

import (
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// ErrUnknown is returned by Unacknowledged if the system does not tell.
var ErrUnknown = errors.New("unacknowledged bytes unknown")

// Unacknowledged returns the number of bytes that were written to a connection and that the other end's
// system has not acknowledged, or the error with which the connection has ended.
func Unacknowledged(c syscall.Conn) (int64, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	n, optionErr := 0, error(nil)
	err = raw.Control(func(fd uintptr) {
		var failure int
		if failure, optionErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR); optionErr == nil && failure != 0 {
			optionErr = syscall.Errno(failure)
		}
		if optionErr == nil {
			if n, optionErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); optionErr != nil {
				optionErr = ErrUnknown
			}
		}
	})
	if err != nil {
		return 0, err
	}
	return int64(n), optionErr
}
