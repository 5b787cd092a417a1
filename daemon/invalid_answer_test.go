package daemon_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/daemon"
	"github.com/hawthornpoint/hawthornpoint/operator"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// resultOf returns the header field with which a peer marks its answer to a request as that of the backend server.
func resultOf(r *http.Request) string {
	meta, _ := callmeta.Decode(r.Header, time.Now())
	h := make(http.Header)
	callmeta.EncodeReply(h, callmeta.Reply{Code: resultcode.OK, Incarnation: uuid.New(), RequestID: meta.RequestID})
	return callmeta.HeaderResult + ": " + h.Get(callmeta.HeaderResult) + "\r\n"
}

// Guards against an invalid answer of the backend server, or of another daemon, that is passed on.
func TestInvalidAnswer(t *testing.T) {
	var answer atomic.Pointer[answerFunc]
	server := serveRaw(t, &answer)
	const sound = "HTTP/1.1 200 OK\r\n{result}Content-Length: 5\r\n\r\nwhole"
	for place, daemons := range map[string][]*daemon.Daemon{"backend server": startDaemons(t, server, nil, ""), "peer": startDaemons(t, server, nil, server)} {
		counted := func() (n int64) {
			for _, d := range daemons {
				n += d.Counters().EventCount(operator.EventAnswerInvalid)
			}
			return n
		}
		var latest net.Conn // with a request
		reused := false     // whether latest had one before
		send := func(text string) result {
			answer.Store(new(answerFunc(func(c *net.TCPConn, r *http.Request) bool {
				reused, latest = c == latest, c
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, strings.Replace(text, "{result}", resultOf(r), 1))
				return strings.Contains(text, "Content-Length: ") || strings.Contains(text, "Transfer-Encoding: ")
			})))
			return upload(t, daemons[0].Addr("callers"), "HTTP/1.1", writeSized(5))
		}
		for name, text := range map[string]string{
			"length":                  "HTTP/1.1 200 OK\r\n{result}X-!Own: 1\r\nContent-Length: 5\r\n\r\nwhole",
			"chunked, with a trailer": "HTTP/1.1 200 OK\r\n{result}Transfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n5\r\nwhole\r\n0\r\nX-End: 1\r\nx-!: 2\r\n\r\n",
			"no length":               "HTTP/1.1 200 OK\r\n{result}\r\nwhole",
			"after interim answers":   strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 200) + "HTTP/1.1 200 OK\r\n{result}Content-Length: 5\r\n\r\nwhole",
		} {
			Convey("A sound answer of the "+place+" is passed on: "+name, t, func() {
				r := send(text)
				So(r.isSuccess(), ShouldBeTrue)
				So(r.body, ShouldEqual, "whole")
			})
		}
		invalid := map[string]string{
			"blank before the colon of a length":    "HTTP/1.1 200 OK\r\n{result}Content-Length : 5\r\n\r\nwhole, and more",
			"blank before the colon of an encoding": "HTTP/1.1 200 OK\r\n{result}Transfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
			"blank in a name":                       "HTTP/1.1 200 OK\r\n{result}X Odd: 1\r\nContent-Length: 5\r\n\r\nwhole",
			"blank in a name, no body":              "HTTP/1.1 200 OK\r\n{result}X Odd: 1\r\nContent-Length: 0\r\n\r\n",
			"control byte in a name":                "HTTP/1.1 200 OK\r\n{result}X\x01Odd: 1\r\nContent-Length: 5\r\n\r\nwhole",
			"blank in the name of a trailer field":  "HTTP/1.1 200 OK\r\n{result}Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX Odd: 1\r\n\r\n",
			"blank in a name of an interim answer":  "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n{result}Content-Length: 5\r\n\r\nwhole",
			"interim answers without end":           strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 5000) + "HTTP/1.1 200 OK\r\n{result}Content-Length: 5\r\n\r\nwhole",
		}
		if place == "backend server" {
			refused := "HTTP/1.1 %s Odd\r\n" + callmeta.HeaderRefused + ": 1\r\nContent-Length: 5\r\n\r\nwhole"
			invalid["success that was refused"] = fmt.Sprintf(refused, "200")
			for _, status := range []string{"503", "500", "429"} {
				Convey("A refusal of the backend server says that the call was not run: "+status, t, func() {
					So(send(fmt.Sprintf(refused, status)).code.Kind(), ShouldEqual, resultcode.NotRun)
				})
			}
		}
		for _, status := range []string{"204", "205", "206", "304"} {
			invalid["status "+status+", sized"] = fmt.Sprintf("HTTP/1.1 %s Odd\r\n{result}Content-Length: 5\r\n\r\nwhole", status)
			invalid["status "+status+", chunked"] = fmt.Sprintf("HTTP/1.1 %s Odd\r\n{result}Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", status)
		}
		for _, status := range []string{"000", "099", "+20", "101", "600", "999"} {
			invalid["status "+status] = fmt.Sprintf("HTTP/1.1 %s Odd\r\n{result}Content-Length: 0\r\n\r\n", status)
		}
		for name, text := range invalid {
			Convey("An invalid answer of the "+place+" is not passed on: "+name, t, func() {
				before := counted()
				r := send(text)
				So(r.complete, ShouldBeTrue)
				So(r.code.Kind(), ShouldEqual, resultcode.OutcomeUnknown)
				So(send(sound).isSuccess(), ShouldBeTrue)
				So(reused, ShouldBeFalse)
				if name != "interim answers without end" {
					So(counted(), ShouldEqual, before+1)
				}
			})
		}
	}
}
