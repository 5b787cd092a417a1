package e2e

import (
	"fmt"
	"io"
	"net"
	"net/rpc"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"

	"github.com/hawthornpoint/hawthornpoint/mesh"
	"github.com/hawthornpoint/hawthornpoint/platform/platformtest"
)

// unreadConn is a connection from which nothing is read.
type unreadConn struct {
	net.Conn
	ended chan struct{}
}

// Read implements net.Conn.
func (c unreadConn) Read([]byte) (int, error) {
	<-c.ended
	return 0, io.EOF
}

// Guards against a process that is still there at the end of the grace time, when SIGKILL ends it.
func TestProcessEndsWithinGraceTime(t *testing.T) {
	const grace = 4 * time.Second // of newSidecar
	for _, logRead := range []bool{true, false} {
		Convey(fmt.Sprintf("A process under load from all sides ends in time, its log read: %v", logRead), t, func() {
			s := newSidecar(t)
			if logRead {
				s.start()
			} else {
				read, write, err := os.Pipe()
				So(err, ShouldBeNil)
				defer read.Close()
				_, err = unix.FcntlInt(write.Fd(), unix.F_SETPIPE_SZ, 4<<10) // is full after some lines
				So(err, ShouldBeNil)
				s.process = startProcessWith(t, write, "sidecar", "--settings", s.settingsFile, "--log-level", "debug")
				_ = write.Close()
			}
			s.awaitReady()
			dial := func(address string) net.Conn {
				c, err := net.Dial("tcp", address)
				So(err, ShouldBeNil)
				t.Cleanup(func() { _ = c.Close() })
				return c
			}
			text := strings.Repeat("x", 100<<10)
			s.upstream.SetAnswer(0, func(w io.Writer, r platformtest.Request) bool {
				if strings.HasPrefix(r.ID, "silent") {
					time.Sleep(time.Minute)
				}
				return platformtest.Respond(w, r, 200, strings.Repeat(text, 100))
			})
			ended := make(chan struct{})
			defer close(ended)
			for i := range 3 {
				head := platformtest.RequestText("POST", "/once/x", fmt.Sprint("half-", i), text)
				_, _ = io.WriteString(dial(s.callers), head[:len(head)/2])
				_, _ = io.WriteString(dial(s.callers), platformtest.RequestText("POST", "/once/x", fmt.Sprint("unread-", i), ""))
				_, _ = io.WriteString(dial(s.callers), strings.Replace(platformtest.RequestText("POST", "/once/x", fmt.Sprint("silent-", i), ""), "Deadline-Ms: 5000", "Deadline-Ms: 60000", 1))
				peer := rpc.NewClient(unreadConn{dial(s.peer), ended})
				for id := range uint64(3) {
					peer.Go("Peer.Ask", &mesh.AskArgs{ID: id, RequestID: fmt.Sprint("peer-", i, id), Instance: "i-0", Kind: "r/once/", Left: time.Minute,
						UntilObjective: time.Second, MayQueue: true, Payload: &mesh.Payload{Method: "POST", Target: "/once/x"}}, &mesh.Reply{}, make(chan *rpc.Call, 1))
				}
				_, _ = dial(s.peer).Write([]byte{100, 1, 2})
			}
			time.Sleep(300 * time.Millisecond)
			started := time.Now()
			s.process.signal(t, syscall.SIGTERM)
			err := s.process.wait(t, 3*grace)
			took := time.Since(started)
			So(err, ShouldBeNil)
			So(took, ShouldBeLessThan, grace)
			if logRead {
				So(s.process.logs.String(), ShouldContainSubstring, "msg=stopped")
				So(s.process.logs.String(), ShouldNotContainSubstring, "close incomplete")
			}
			t.Logf("ended after %v", took)
		})
	}
}
