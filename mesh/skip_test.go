package mesh

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a run that is broken off because a long answer to an earlier request arrives in front of its own.
func TestLongAnswerToAnotherRequestIsSkipped(t *testing.T) {
	Convey("Given a backend server that sends an answer of 400 KB to another request first", t, func() {
		const otherBytes = 400 << 10
		dial := func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() {
				defer server.Close()
				if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
					return
				}
				fmt.Fprintf(server, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", otherBytes, strings.Repeat("o", otherBytes))
				fmt.Fprint(server, "HTTP/1.1 201 Created\r\nContent-Length: 3\r\n\r\nown")
			}()
			return client, nil
		}
		b := &backend{dial: dial, count: func(string) {}, connected: func(error) {}}
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://backend.example/", nil)
		So(err, ShouldBeNil)
		ex, _, err := b.roundTrip(t.Context(), t.Context(), req, func() {})
		So(err, ShouldBeNil)
		defer ex.abort()
		Convey("Then its own answer follows", func() {
			So(ex.skip(), ShouldBeNil)
			So(ex.response.StatusCode, ShouldEqual, http.StatusCreated)
			body, err := io.ReadAll(ex.response.Body)
			So(err, ShouldBeNil)
			So(string(body), ShouldEqual, "own")
		})
	})
}
