package pipeline

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strings"
	"sync"
	"testing"

	"github.com/hawthornpoint/hawthornpoint/core/membudget"
)

// firstTarget is the target of the first request of a fuzzed connection.
const firstTarget = "/first-6f1c3a"

// fuzzedRequest is a request of a fuzzed connection, as its handler got it.
type fuzzedRequest struct {
	uri  string
	body []byte
	err  error
}

// readChunked reads all of a body, or its first part and then nothing or the rest, as handlers do.
func readChunked(r *http.Request, mode uint8) ([]byte, error) {
	first, ok := r.Body.(FirstPart)
	if mode%3 == 0 || !ok {
		return io.ReadAll(r.Body)
	}
	body, more := first.TakeFirst()
	if more && mode%3 == 1 {
		return body, io.ErrShortBuffer
	}
	rest, err := io.ReadAll(r.Body)
	return append(body, rest...), err
}

// Guards against chunked bodies that reach the handler with other bytes, that let a part of them be handled
// as a request, and that leave something reserved.
func FuzzChunkedBody(f *testing.F) {
	for _, text := range []string{"3\r\nabc\r\n0\r\n\r\n", "1;x=y\r\na\r\n0\r\nX-Trailer: t\r\n\r\n", "0\r\n\r\nGET /next HTTP/1.1\r\nHost: h\r\n\r\n",
		"3\nabc\n0\n\n", "3\r\nabcd\r\n0\r\n\r\n", "fffffffffffffffff\r\na", "-1\r\n\r\n", "zz\r\n", "3\r\nab", " 3 \r\nabc\r\n0\r\nGET /smuggled HTTP/1.1\r\n\r\n"} {
		f.Add([]byte(text), uint32(0), uint8(0))
		f.Add([]byte(text), uint32(BodyBufferSize), uint8(1))
		f.Add([]byte(text), uint32(BodyBufferSize+1), uint8(2))
	}
	f.Fuzz(func(t *testing.T, data []byte, filler uint32, mode uint8) {
		var prefix string
		if n := int(filler % (2*BodyBufferSize + 3)); n > 0 {
			prefix = fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("f", n))
		}
		input := append([]byte(prefix), data...)
		var mu sync.Mutex
		var handled []fuzzedRequest
		s := &Server{
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, err := readChunked(r, mode)
				mu.Lock()
				handled = append(handled, fuzzedRequest{r.RequestURI, body, err})
				mu.Unlock()
			}),
			Memory: membudget.New(8 << 20), Descriptors: membudget.New(8),
		}
		head := "POST " + firstTarget + " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
		playInput(t, s, io.MultiReader(strings.NewReader(head), bytes.NewReader(input)))
		if s.Memory.Used() != 0 || s.Descriptors.Used() != 0 {
			t.Fatalf("%d bytes and %d descriptors stay reserved", s.Memory.Used(), s.Descriptors.Used())
		}
		checkFuzzed(t, handled, input)
	})
}

// checkFuzzed compares the first request with the body that its bytes hold, and checks that none follows a
// body without an end.
func checkFuzzed(t *testing.T, handled []fuzzedRequest, input []byte) {
	want, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(input)))
	for _, r := range handled {
		if r.uri != firstTarget {
			continue // requests are handled concurrently
		}
		switch {
		case r.err == nil && (err != nil || !bytes.Equal(r.body, want)):
			t.Fatalf("the handler got %d bytes without an error, want %d bytes, error %v", len(r.body), len(want), err)
		case !bytes.HasPrefix(want, r.body):
			t.Fatalf("the handler got %d bytes that are not the begin of the body", len(r.body))
		case r.err != nil && len(handled) > 1:
			t.Fatalf("%d requests were handled, although the body of the first was not read to its end", len(handled))
		}
	}
}
