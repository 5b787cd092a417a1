package pipeline

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/internal/acceptloop"
)

// Guards against a HEAD request without an answer, whose connection is closed, because its handler writes a body.
func TestBodyWrittenToHead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	body := strings.Repeat("b", 100<<10)
	s := &Server{Limits: func() Limits { return Limits{} }, Reject: func(net.Addr, int, error) {},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Own", "1")
			w.WriteHeader(http.StatusGatewayTimeout)
			n, err := io.WriteString(w, body)
			if n != len(body) || err != nil {
				panic("a write of the body failed")
			}
		})}
	go s.Serve(acceptloop.New(l), func(error) {})
	t.Cleanup(func() {
		_ = l.Close()
		s.Close()
	})
	Convey("HEAD gets the head of the answer, and further requests of its connection are answered", t, func() {
		c, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = io.WriteString(c, "HEAD /a"+versionAndHost+"\r\nGET /b"+versionAndHost+"\r\nHEAD /c"+versionAndHost+"\r\nGET /d"+versionAndHost+"\r\n")
		br := bufio.NewReader(c)
		for _, method := range []string{"HEAD", "GET", "HEAD", "GET"} {
			resp, err := http.ReadResponse(br, &http.Request{Method: method})
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, http.StatusGatewayTimeout)
			So(resp.Header.Get("Own"), ShouldEqual, "1")
			got, err := io.ReadAll(resp.Body)
			So(err, ShouldBeNil)
			if method == "GET" {
				So(string(got) == body, ShouldBeTrue)
			}
		}
	})
}
