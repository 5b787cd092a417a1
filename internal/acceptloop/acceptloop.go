// Package acceptloop accepts connections although some attempts fail.
//
// Accept fails when a process or its system is out of descriptors or memory, or when a connection ends
// before it is accepted. None of these ends the listener, and a server that stopped accepting then would
// look healthy to whoever asks it over an open connection or another port.
package acceptloop

import (
	"net"
	"time"

	"github.com/go-faster/errors"
)

// minPause and maxPause bound the pause after a failed attempt, which doubles with each further one.
const (
	minPause = 5 * time.Millisecond
	maxPause = time.Second
)

// Run accepts connections and calls handle with each, until the listener is closed. Failed attempts are
// repeated after a pause; the first of a series is reported to failed. handle must not block.
func Run(l net.Listener, handle func(net.Conn), failed func(error)) {
	pause := time.Duration(0)
	for {
		c, err := l.Accept()
		if err == nil {
			pause = 0
			handle(c)
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if pause == 0 {
			failed(err)
		}
		pause = min(max(2*pause, minPause), maxPause)
		time.Sleep(pause)
	}
}
