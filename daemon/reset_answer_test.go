package daemon_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/internal/connend/connendtest"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// answerFunc answers a request whose body has not been read. It returns false to close the connection.
type answerFunc func(c *net.TCPConn, r *http.Request) bool

// serveRaw answers requests with the function, and returns its address.
func serveRaw(t *testing.T, answer *atomic.Pointer[answerFunc]) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				for reader := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(reader)
					if err != nil || !(*answer.Load())(c.(*net.TCPConn), r) {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// orderedNetwork opens ordered connections to the backend server.
type orderedNetwork struct {
	backend string
	order   atomic.Pointer[connendtest.Order]
}

// Listen implements daemon.Network.
func (n *orderedNetwork) Listen(network, address string) (net.Listener, error) {
	return net.Listen(network, address)
}

// DialContext implements daemon.Network.
func (n *orderedNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil || address != n.backend {
		return c, err
	}
	return connendtest.Conn{TCPConn: c.(*net.TCPConn), Current: &n.order}, nil
}

// result is what a caller receives. It is complete if its body was read to its end.
type result struct {
	status   int
	code     resultcode.Code
	body     string
	complete bool
}

// isSuccess reports whether the caller takes the answer for a complete one of the backend server.
func (r result) isSuccess() bool {
	return r.complete && r.status == http.StatusOK && r.code.Kind() == resultcode.Answered
}

// upload sends a request that may run once, with a body from write, and reads its answer.
func upload(t *testing.T, address, proto string, write func(c net.Conn) error) result {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return result{}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	go func() {
		_, _ = fmt.Fprintf(c, "POST /stock/take %s\r\nHost: x\r\n%s: %s\r\n", proto, callmeta.HeaderKey, newKey())
		_ = write(c)
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return result{}
	}
	body, err := io.ReadAll(resp.Body)
	reply, _ := callmeta.DecodeReply(resp.Header)
	return result{resp.StatusCode, reply.Code, string(body), err == nil}
}

// writeAfter sends a part of a body that a daemon passes on while it reads it, and the rest once the channel is closed.
func writeAfter(reset <-chan struct{}) func(net.Conn) error {
	return func(c net.Conn) error {
		part := fmt.Sprintf("%x\r\n%s\r\n", 128<<10, strings.Repeat("u", 128<<10))
		_, err := io.WriteString(c, "Transfer-Encoding: chunked\r\n\r\n"+part)
		<-reset
		if err == nil {
			_, err = io.WriteString(c, strings.Repeat(part, 5)+"0\r\n\r\n") // within the limit for bodies
		}
		return err
	}
}

func writeSized(size int) func(net.Conn) error {
	return func(c net.Conn) error {
		_, err := fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", size, strings.Repeat("u", size))
		return err
	}
}

const headWithoutLength = "HTTP/1.1 200 OK\r\n\r\n"

// Guards against a part of an answer without a length that reaches the caller as a complete one because the reset of
// the connection was told to the goroutine that writes the request's body.
func TestResetToldToWriterOfBody(t *testing.T) {
	var answer atomic.Pointer[answerFunc]
	network := &orderedNetwork{backend: serveRaw(t, &answer)}
	address := startPair(t, network.backend, network)
	for _, size := range []int{0, 512, 32 << 10} {
		Convey(fmt.Sprintf("A reset after %d bytes of an answer to an upload is no end of it", size), t, func() {
			text := headWithoutLength + strings.Repeat("a", size)
			o := connendtest.NewOrder(len(text))
			o.HoldWrite = true
			network.order.Store(o)
			var runs atomic.Int32
			reset := make(chan struct{})
			answer.Store(new(answerFunc(func(c *net.TCPConn, _ *http.Request) bool {
				runs.Add(1)
				_, _ = io.WriteString(c, text)
				<-o.Read
				_ = c.SetLinger(0)
				_ = c.Close()
				close(reset)
				return false
			})))
			r := upload(t, address, "HTTP/1.1", writeAfter(reset))
			So(r.isSuccess(), ShouldBeFalse)
			So(r.code.Kind(), ShouldEqual, resultcode.OutcomeUnknown)
			So(runs.Load(), ShouldEqual, 1)
		})
	}
}

// Guards against the same, where the kernel decides who is told.
func TestResetWhileBodyIsWritten(t *testing.T) {
	const atOnce, rounds = 24, 10
	var answer atomic.Pointer[answerFunc]
	address := startPair(t, serveRaw(t, &answer), nil)
	Convey("No answer is complete whose connection is reset during the upload", t, func() {
		var answers atomic.Int64
		answer.Store(new(answerFunc(func(c *net.TCPConn, _ *http.Request) bool {
			n := answers.Add(1)
			_, _ = io.WriteString(c, headWithoutLength+"a part")
			_, _ = io.CopyN(io.Discard, c, n%16*32<<10)
			_ = c.SetLinger(0)
			return false
		})))
		var complete atomic.Int32
		for range rounds {
			var uploads sync.WaitGroup
			for range atOnce {
				uploads.Go(func() {
					if upload(t, address, "HTTP/1.1", writeSized(900<<10)).isSuccess() {
						complete.Add(1)
					}
				})
			}
			uploads.Wait()
		}
		So(complete.Load(), ShouldEqual, 0)
	})
}

// Guards against a sound answer that is taken for a broken one because its upload could not be written.
func TestSoundAnswerBeforeBodyIsWritten(t *testing.T) {
	var answer atomic.Pointer[answerFunc]
	address := startPair(t, serveRaw(t, &answer), nil)
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole",
		"chunked": "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"none":    headWithoutLength + "whole",
	} {
		Convey("An answer is complete whose server reads the rest of the body: "+name, t, func() {
			answer.Store(new(answerFunc(func(c *net.TCPConn, _ *http.Request) bool {
				_, _ = io.WriteString(c, text)
				_ = c.CloseWrite()
				_, _ = io.Copy(io.Discard, c)
				return false
			})))
			for range 20 {
				r := upload(t, address, "HTTP/1.1", writeSized(900<<10))
				So(r.isSuccess(), ShouldBeTrue)
				So(r.body, ShouldEqual, "whole")
			}
		})
	}
}

// Guards against a long answer that breaks off and looks complete to a caller for whom the end of the connection is that of the answer.
func TestAnswerCutForCallerOfHTTP10(t *testing.T) {
	var answer atomic.Pointer[answerFunc]
	address := startPair(t, serveRaw(t, &answer), nil)
	long := strings.Repeat("a", 300<<10)
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		Convey("An answer that breaks off is not complete, a whole one is: "+proto, t, func() {
			for _, length := range []int{len(long) + 1, len(long)} {
				answer.Store(new(answerFunc(func(c *net.TCPConn, r *http.Request) bool {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, long)
					return length == len(long)
				})))
				for range 20 {
					So(upload(t, address, proto, writeSized(5)).isSuccess(), ShouldEqual, length == len(long))
				}
			}
		})
	}
}
