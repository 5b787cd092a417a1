package exchange

import (
	"context"
	"net"
	"testing"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/core/node"
)

// Guards against a leaked connection: one that was opened while the client was being
// closed was stored after Close, and nothing closed it.
func TestDialDuringClose(t *testing.T) {
	Convey("Given a client that is closed while it opens a connection", t, func() {
		h := &fixedHandler{}
		address := h.serve(t)
		dialing, closed := make(chan struct{}), make(chan struct{})
		var opened net.Conn
		client := NewClient(func(ctx context.Context, network, address string) (c net.Conn, err error) {
			opened, err = new(net.Dialer).DialContext(ctx, network, address)
			close(dialing)
			<-closed
			return opened, err
		})
		failed := make(chan error, 1)
		go func() {
			_, err := client.Exchange(t.Context(), address, node.Digest{})
			failed <- err
		}()
		<-dialing
		client.Close()
		close(closed)
		Convey("the call fails and the connection is closed", func() {
			So(errors.Is(<-failed, net.ErrClosed), ShouldBeTrue)
			_, err := opened.Write([]byte{0})
			So(errors.Is(err, net.ErrClosed), ShouldBeTrue)
		})
	})
}
