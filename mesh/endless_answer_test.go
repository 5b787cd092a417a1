package mesh

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/internal/headlimit"
)

const (
	// endlessBytes is what a faulty backend server sends if nobody closes the connection.
	endlessBytes = 8 << 20
	answerHead   = "HTTP/1.1 200 OK\r\n"
	chunkedHead  = answerHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// endlessBackend returns a backend whose server answers with begin and then again and again with
// part, and the number of bytes that were read from it.
func endlessBackend(begin, part string) (*backend, *atomic.Int64) {
	var read atomic.Int64
	dial := func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, server) }()
		go func() {
			defer server.Close()
			for text := begin; read.Load() < endlessBytes; text = part {
				n, err := io.WriteString(server, text)
				read.Add(int64(n))
				if err != nil {
					return
				}
			}
		}()
		return client, nil
	}
	return &backend{dial: dial, count: func(string) {}, connected: func(error) {}}, &read
}

// readAnswer reads an answer to its end.
func readAnswer(b *backend) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://backend.example/", nil)
	if err != nil {
		return err
	}
	ex, _, err := b.roundTrip(ctx, ctx, req, func() {})
	if err != nil {
		return err
	}
	defer ex.abort()
	_, err = io.Copy(io.Discard, ex.response.Body)
	return err
}

// Guards against a backend server whose answer has no end and is kept until memory runs out.
func TestAnswerWithoutEnd(t *testing.T) {
	filler := strings.Repeat("\x80", 1<<10)
	for _, c := range []struct {
		name, begin, part string
		otherError        bool // the exchange may end with an error of net/http
	}{
		{"status line", filler, filler, false},
		{"status line of spaces", strings.Repeat(" ", 1<<10), strings.Repeat(" ", 1<<10), false},
		{"field value", answerHead + "X-Field: ", filler, false},
		{"field name", answerHead + "X", strings.Repeat("x", 1<<10), true},
		{"continuation lines", answerHead + "X-Field: x", "\r\n x", false},
		{"fields", answerHead, "a:\r\n", false},
		{"long fields", answerHead, "X-Field: " + filler + "\r\n", false},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n", false},
		{"interim answers with fields", "", "HTTP/1.1 103 Early Hints\r\nX-Field: " + filler + "\r\n\r\n", false},
		{"chunk size", chunkedHead, "0", true},
		{"chunk extension", chunkedHead + "1;", filler, true},
		{"chunk extensions", chunkedHead, "1;" + strings.Repeat("x", 1<<10) + "\r\nx\r\n", true},
		{"trailer field", chunkedHead + "0\r\nX-Field: ", filler, true},
		{"trailer fields", chunkedHead + "0\r\n", "a:\r\n", true},
	} {
		Convey("The exchange ends, after a bounded number of bytes, with an endless "+c.name, t, func() {
			b, read := endlessBackend(c.begin, c.part)
			err := readAnswer(b)
			So(err, ShouldNotBeNil)
			So(read.Load(), ShouldBeLessThan, 2*maxAnswerHeadBytes)
			if !c.otherError {
				So(err, ShouldWrap, headlimit.ErrTooLarge)
			}
		})
	}
	Convey("A head just below the limits is read", t, func() {
		fields := strings.Repeat("a:\r\n", maxAnswerHeadLines-2)
		long := "X-Field: " + strings.Repeat("x", maxAnswerHeadBytes-len(answerHead)-len(fields)-len("X-Field: \r\n\r\n")-20)
		b, _ := endlessBackend(answerHead+fields+long+"\r\n\r\n", filler)
		So(readAnswer(b), ShouldBeNil)
	})
}

// slowBackend returns a backend whose server sends a text once, and then another one at intervals while the
// connection is open.
func slowBackend(begin, part string, interval time.Duration) *backend {
	dial := func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, server) }()
		go func() {
			for text := begin; ; text = part {
				if _, err := io.WriteString(server, text); err != nil {
					return
				}
				time.Sleep(interval)
			}
		}()
		return client, nil
	}
	return &backend{dial: dial, count: func(string) {}, connected: func(error) {}}
}

// Guards against a status outside the protocol, or slow interim answers without end, that hold the slot until the deadline.
func TestStatusThatEndsTheExchange(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "-20", "1000", "2x0", "101", "600", "999"} {
		Convey("The exchange ends at once with status "+status, t, func() {
			begin := time.Now()
			So(readAnswer(slowBackend("HTTP/1.1 "+status+" Odd\r\nContent-Length: 0\r\n\r\n", "", time.Minute)), ShouldNotBeNil)
			So(time.Since(begin), ShouldBeLessThan, 5*time.Second)
		})
	}
	Convey("The exchange ends after a bounded number of slow interim answers", t, func() {
		interim := "HTTP/1.1 103 Early Hints\r\n\r\n"
		begin := time.Now()
		So(readAnswer(slowBackend(interim, interim, 100*time.Millisecond)), ShouldWrap, headlimit.ErrTooLarge)
		So(time.Since(begin), ShouldBeLessThan, 5*time.Second)
	})
	Convey("An answer after a few interim ones is read", t, func() {
		interim := strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInterimAnswers)
		So(readAnswer(slowBackend(interim+answerHead+"Content-Length: 0\r\n\r\n", "", time.Minute)), ShouldBeNil)
	})
}
