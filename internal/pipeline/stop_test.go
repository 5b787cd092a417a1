package pipeline

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// readAll returns the bodies of the responses that arrive until the connection ends or no further
// one arrives within a second. closed is set when the connection has ended.
func readAll(c net.Conn) (bodies []string, closed bool) {
	br := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		r, err := http.ReadResponse(br, nil)
		if err != nil {
			netErr, isNetErr := err.(net.Error)
			return bodies, !(isNetErr && netErr.Timeout())
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return bodies, true
		}
		bodies = append(bodies, string(body))
	}
}

// Guards against a stop that aborts pipelined requests which are being handled.
func TestStopAnswersPipelinedRequests(t *testing.T) {
	Convey("All pipelined requests that were being handled are answered, and the connection closes", t, func() {
		h := &recorder{delay: 200 * time.Millisecond}
		address, s := startServer(t, h, Limits{})
		c, err := net.Dial("tcp", address)
		So(err, ShouldBeNil)
		defer c.Close()
		for i := range 4 {
			_, _ = io.WriteString(c, fmt.Sprintf("GET /%d%s\r\n", i, versionAndHost))
		}
		time.Sleep(80 * time.Millisecond)
		So(h.list(), ShouldHaveLength, 4)
		s.Stop()
		bodies, closed := readAll(c)
		So(bodies, ShouldResemble, []string{"/0 ", "/1 ", "/2 ", "/3 "})
		So(closed, ShouldBeTrue)
	})
}
