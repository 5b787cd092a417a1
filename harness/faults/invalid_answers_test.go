package faults

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// invalidAnswers holds answers that a backend server must not give.
var invalidAnswers = map[string]string{
	"status below 100":          "HTTP/1.1 099 Odd\r\nContent-Length: 0\r\n\r\n",
	"status 000":                "HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n",
	"status with a sign":        "HTTP/1.1 +20 Odd\r\nContent-Length: 0\r\n\r\n",
	"status of four digits":     "HTTP/1.1 2000 Odd\r\nContent-Length: 0\r\n\r\n",
	"status 600":                "HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n",
	"status 999":                "HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n",
	"status 101":                "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
	"not HTTP":                  "\x00\x01garbage\r\n\r\n",
	"no answer":                 "",
	"negative length":           "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n",
	"two lengths":               "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
	"answer shorter than given": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
	"chunk without end":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
	"header of 100 KB":          "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 100<<10) + "\r\n\r\n",
}

// Guards against an invalid answer that the daemon takes for complete, or on which its
// handler panics, after which the call would occupy its slot for ever.
func TestNonsenseFromTheBackend(t *testing.T) {
	failed := make(map[string][]string)
	for name, text := range invalidAnswers {
		if problems := inFleet(t, func(f *fleet) []string { return invalidAnswer(f, text) }); len(problems) > 0 {
			failed[name] = problems
		}
	}
	Convey("Each invalid answer gives an unknown outcome, and its call ends", t, func() {
		So(failed, ShouldBeEmpty)
	})
}

func invalidAnswer(f *fleet, text string) []string {
	u := f.byName[home]
	u.backend.Close()
	h := f.net.host(backendHost(home))
	l, err := h.Listen("tcp", u.set.Backend)
	f.must(err)
	defer func() { _ = l.Close() }()
	go answerAll(l, text)
	var problems []string
	for i := range slots + 2 {
		r := f.caller.send(spec{entry: entry, service: "order", kind: "confirm", key: f.caller.keyWithHome(home), body: fmt.Sprint(i)})
		if r.err == nil && r.kindOfCode() != resultcode.OutcomeUnknown {
			problems = append(problems, fmt.Sprintf("the call got %v (status %d, cause %v)", r.code(), r.status, r.reply.Cause))
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	if err := f.stop(ctx, home); err != nil {
		problems = append(problems, "calls stay registered: "+err.Error())
	}
	return problems
}

// answerAll reads a request from each connection and answers with the text.
func answerAll(l net.Listener, text string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, text)
			}
		}()
	}
}
