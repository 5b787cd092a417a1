package headlimit

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a reader without a limit for a parser that does not take an empty line for the end.
func TestReadingOnPastTheHead(t *testing.T) {
	Convey("Reading is bounded as long as End is not called", t, func() {
		source := NewReader(strings.NewReader("\r\n" + strings.Repeat("X: y\r\n", 1000)))
		source.Begin(Limits{Bytes: 1000, Lines: 10}, nil)
		data, err := io.ReadAll(source)
		So(err, ShouldWrap, ErrTooLarge)
		So(len(data), ShouldBeLessThan, 2000) // the first read goes beyond the empty line
	})
}

// Guards against limits that refuse a body or a later message, and against heads that pass them in
// small parts or behind an earlier head.
func TestLimits(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" // 38 bytes, 2 lines
	const body = "a\n\nb\n\nc\n\n"
	read := func(r *Reader, in *bufio.Reader) (string, error) {
		resp, err := http.ReadResponse(in, nil)
		if r.Exceeded() {
			return "", ErrTooLarge
		}
		if err != nil {
			return "", err
		}
		r.End()
		data, err := io.ReadAll(resp.Body)
		return string(data), err
	}
	for name, part := range map[string]func(io.Reader) io.Reader{
		"at once":     func(r io.Reader) io.Reader { return r },
		"in bytes":    iotest.OneByteReader,
		"with errors": iotest.DataErrReader,
	} {
		Convey("A head that is read "+name, t, func() {
			source := NewReader(part(strings.NewReader(head + body + head + body)))
			in := bufio.NewReader(source)
			Convey("passes at the limits, as does a further one", func() {
				for range 2 {
					buffered, _ := in.Peek(in.Buffered())
					source.Begin(Limits{Bytes: int64(len(head)), Lines: 2}, buffered)
					data, err := read(source, in)
					So(err, ShouldBeNil)
					So(data, ShouldEqual, body)
				}
			})
			Convey("is known to have Transfer-Encoding or not", func() {
				for text, want := range map[string]bool{
					"HTTP/1.0 200 OK\r\ntransfer-ENCODING: chunked\r\n\r\n":                          true,
					"HTTP/1.0 200 OK\nA: b\nTransfer-Encoding:x\nB: c\n\n":                           true,
					"HTTP/1.0 200 OK\r\nTransfer-Encodings: 1\r\nTransfer: 1\r\n\r\n":                false,
					"HTTP/1.0 200 OK\r\nX: Transfer-Encoding: 1\r\n\r\nTransfer-Encoding: 1\r\n\r\n": false,
				} {
					source = NewReader(part(strings.NewReader(text + head + body)))
					in = bufio.NewReader(source)
					source.Begin(Limits{}, nil)
					_, err := http.ReadResponse(in, &http.Request{Method: "HEAD"})
					So(err, ShouldBeNil)
					So(source.HasTransferEncoding(), ShouldEqual, want)
					if want { // and the next head has none
						buffered, _ := in.Peek(in.Buffered())
						source.Next(buffered)
						So(source.HasTransferEncoding(), ShouldBeFalse)
					}
				}
			})
			Convey("is refused one byte above the limit", func() {
				source.Begin(Limits{Bytes: int64(len(head)) - 1}, nil)
				_, err := read(source, in)
				So(err, ShouldWrap, ErrTooLarge)
			})
			Convey("is refused one line above the limit", func() {
				source.Begin(Limits{Lines: 1}, nil)
				_, err := read(source, in)
				So(err, ShouldWrap, ErrTooLarge)
			})
			Convey("shares its limits with the next one", func() {
				for _, limits := range []Limits{{Lines: 3}, {Bytes: 2*int64(len(head)) - 1}} {
					source = NewReader(part(strings.NewReader(head + body + head + body)))
					in = bufio.NewReader(source)
					source.Begin(limits, nil)
					_, err := read(source, in)
					So(err, ShouldBeNil)
					buffered, _ := in.Peek(in.Buffered())
					source.Next(buffered)
					_, err = read(source, in)
					So(err, ShouldWrap, ErrTooLarge)
				}
			})
			Convey("is refused although it was read before its limits were known", func() {
				for _, limits := range []Limits{{Lines: 1}, {Bytes: int64(len(head)) - 1}} {
					source = NewReader(part(strings.NewReader(head + body)))
					in = bufio.NewReader(source)
					_, _ = in.Peek(len(head))
					buffered, _ := in.Peek(in.Buffered())
					source.Begin(limits, buffered)
					_, err := read(source, in)
					So(err, ShouldWrap, ErrTooLarge)
				}
			})
		})
	}
}
