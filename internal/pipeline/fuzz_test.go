package pipeline

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against bytes of a caller that end the process, keep a connection without an end, or are handled
// as a request with another framing than its length states.
func FuzzCallerConnection(f *testing.F) {
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n"))
	f.Add([]byte("GET /a HTTP/1.1\nHost: h\n X: folded\n\n"))
	f.Add([]byte("\x00\xff\xff GET"))
	f.Fuzz(func(t *testing.T, data []byte) {
		playInput(t, &Server{
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, err := io.ReadAll(r.Body)
				if err == nil && r.ContentLength >= 0 && int64(len(body)) != r.ContentLength {
					panic("body and length differ")
				}
				_, _ = w.Write([]byte(r.RequestURI))
			}),
		}, bytes.NewReader(data))
	})
}

// playInput sends the input to a server on one connection, and checks that the connection ends without a panic.
func playInput(t *testing.T, s *Server, input io.Reader) {
	panicked := make(chan any, 16)
	s.Limits = func() Limits {
		return Limits{HeaderBytes: 1 << 10, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 100 * time.Millisecond, BodyTimeout: 100 * time.Millisecond}
	}
	s.Reject, s.Panicked = func(net.Addr, int, error) {}, func(v any) { panicked <- v }
	server, client := net.Pipe()
	s.startConn(server)
	go func() { _, _ = io.Copy(io.Discard, client) }()
	_ = client.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
	_, _ = io.Copy(client, input)
	_ = client.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.handlers.Wait()
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the connection is not ended")
	}
	select {
	case v := <-panicked:
		t.Fatalf("panic: %v", v)
	default:
	}
}
