package pipeline

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/internal/acceptloop"
)

// readAll returns the bodies of the responses that arrive until the connection ends or no further
// one arrives within a second. closed is set when the connection has ended.
func readAll(c net.Conn) (bodies []string, closed bool) { return readAnswers(c, time.Second) }

// readAnswers is readAll with another time for each response.
func readAnswers(c net.Conn, limit time.Duration) (bodies []string, closed bool) {
	br := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(limit))
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

// hookListener accepts connections that call afterRead when bytes have been read from them.
type hookListener struct {
	net.Listener
	afterRead func()
}

// Accept implements net.Listener.
func (l hookListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return hookConn{c.(*net.TCPConn), l.afterRead}, nil
}

type hookConn struct {
	*net.TCPConn
	afterRead func()
}

// Read implements net.Conn.
func (c hookConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.afterRead()
	}
	return n, err
}

// Guards against a request that is dropped because its connection counts as idle between two
// steps of reading it.
func TestRequestReadWhileIdleConnectionsAreClosed(t *testing.T) {
	Convey("A request that is read when idle connections are closed is answered", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		s := &Server{Handler: &recorder{}, Limits: func() Limits { return Limits{IdleTimeout: time.Second} }, Reject: func(net.Addr, int, error) {}}
		go s.Serve(acceptloop.New(hookListener{l, func() { s.Drain(time.Now()) }}), func(error) {})
		defer s.Close()
		defer l.Close()
		s.Stop()
		responses, closed := sendRaw(t, l.Addr().String(), "GET /a"+versionAndHost+"\r\n")
		So(responses, ShouldResemble, []string{"200 /a "})
		So(closed, ShouldBeTrue)
	})
}

// Guards against an answer that is lost because its connection is reset: the caller has not
// received all of it, and sends a further request that is not read.
func TestStopDoesNotResetConnections(t *testing.T) {
	Convey("An answer that is still on its way when the server stops arrives completely", t, func() {
		const size = 512 << 10
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(size))
			_, _ = w.Write(make([]byte, size))
		})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		s := &Server{Handler: handler, Limits: func() Limits { return Limits{} }, Reject: func(net.Addr, int, error) {}}
		go s.Serve(acceptloop.New(l), func(error) {})
		s.Stop()
		c, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer c.Close()
		So(c.(*net.TCPConn).SetReadBuffer(64<<10), ShouldBeNil)
		_, _ = io.WriteString(c, "GET /a"+versionAndHost+"\r\n")
		time.Sleep(100 * time.Millisecond)
		So(s.Finished(time.Now()), ShouldBeTrue)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			_ = l.Close()
			s.Drain(time.Now().Add(3 * time.Second))
			s.Close()
		}()
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(c, "GET /b"+versionAndHost+"\r\n")
		time.Sleep(100 * time.Millisecond)
		bodies, closed := readAll(c)
		So(bodies, ShouldHaveLength, 1)
		So(len(bodies[0]), ShouldEqual, size)
		So(closed, ShouldBeTrue)
		_ = c.Close()
		<-stopped
	})
}

// Guards against an answer that is thrown away because its caller, which reads late, sends more on a connection that was closed meanwhile.
func TestLastAnswerOfLateReaderIsNotReset(t *testing.T) {
	Convey("A last answer that is read long after it was written arrives completely, whatever the caller sends meanwhile", t, func() {
		const size = 512 << 10
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(size))
			_, _ = w.Write(make([]byte, size))
		})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		s := &Server{Handler: handler, Limits: func() Limits { return Limits{} }, Reject: func(net.Addr, int, error) {}}
		go s.Serve(acceptloop.New(l), func(error) {})
		defer s.Close()
		defer l.Close()
		s.Stop()
		c, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer c.Close()
		So(c.(*net.TCPConn).SetReadBuffer(64<<10), ShouldBeNil)
		_, _ = io.WriteString(c, "GET /a"+versionAndHost+"\r\n")
		time.Sleep(lingerTime + 300*time.Millisecond)
		_, _ = io.WriteString(c, "GET /b"+versionAndHost+"\r\n")
		time.Sleep(100 * time.Millisecond)
		bodies, closed := readAll(c)
		So(bodies, ShouldHaveLength, 1)
		So(len(bodies[0]), ShouldEqual, size)
		So(closed, ShouldBeTrue)
	})
}

// queueListener returns the connections of a channel.
type queueListener struct {
	net.Listener
	conns chan net.Conn
}

// Accept implements net.Listener.
func (l queueListener) Accept() (net.Conn, error) {
	if c, ok := <-l.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

// Guards against a connection that stays open because it was accepted while the server closed.
func TestConnectionAcceptedDuringClose(t *testing.T) {
	Convey("A connection that is accepted after Close has begun is closed", t, func() {
		h := &recorder{}
		s := &Server{Handler: h, Limits: func() Limits { return Limits{} }, Reject: func(net.Addr, int, error) {}}
		l := queueListener{conns: make(chan net.Conn)}
		go s.Serve(acceptloop.New(l), func(error) {})
		defer close(l.conns)
		s.Close()
		caller, accepted := net.Pipe()
		l.conns <- accepted
		_ = caller.SetDeadline(time.Now().Add(time.Second))
		_, err := caller.Read(make([]byte, 1))
		So(err, ShouldEqual, io.EOF)
		So(h.list(), ShouldBeEmpty)
	})
}

// Guards against a stop that cuts a response which is being written because a further request
// arrives on its connection.
func TestRequestDuringLastResponse(t *testing.T) {
	Convey("Given a stopping server that has written the first half of a response", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		resume := make(chan struct{})
		s := &Server{Limits: func() Limits { return Limits{} }, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "first ")
			<-resume
			_, _ = io.WriteString(w, "second")
		})}
		s.Stop()
		go s.Serve(acceptloop.New(l), func(error) {})
		defer s.Close()
		c, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer c.Close()
		_, _ = io.WriteString(c, "GET /a"+versionAndHost+"\r\n")
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		So(err, ShouldBeNil)
		Convey("the response is completed when a further request arrives", func() {
			_, _ = io.WriteString(c, "GET /b"+versionAndHost+"\r\n")
			time.Sleep(100 * time.Millisecond)
			close(resume)
			body, err := io.ReadAll(r.Body)
			So(err, ShouldBeNil)
			So(string(body), ShouldEqual, "first second")
		})
	})
}

// Guards against a connection that is closed instead of asked for a body, because it was idle for longer
// than the deadline of its last response.
func TestContinueAfterIdleTime(t *testing.T) {
	Convey("A caller that expects 100 Continue after an idle time gets it", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		s := &Server{Handler: &recorder{}, Limits: func() Limits { return Limits{} }, Reject: func(net.Addr, int, error) {}}
		go s.Serve(acceptloop.New(hastyListener{l}), func(error) {})
		defer s.Close()
		defer l.Close()
		c, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		in := bufio.NewReader(c)
		_, _ = io.WriteString(c, "GET /a"+versionAndHost+"\r\n")
		first, err := http.ReadResponse(in, nil)
		So(err, ShouldBeNil)
		_, _ = io.Copy(io.Discard, first.Body)
		time.Sleep(2 * hastyWrite)
		_, _ = io.WriteString(c, "POST /b"+versionAndHost+"Expect: 100-continue\r\nContent-Length: 1\r\n\r\n")
		line, _ := in.ReadString('\n')
		So(line, ShouldStartWith, "HTTP/1.1 100 ")
		_, _ = io.WriteString(c, "x")
		_, _ = in.ReadString('\n')
		second, err := http.ReadResponse(in, nil)
		So(err, ShouldBeNil)
		So(second.StatusCode, ShouldEqual, http.StatusOK)
	})
}

// Guards against a response that is cut at its end, because the deadline of an earlier write was over.
func TestResponseEndsLongAfterItsLastBytes(t *testing.T) {
	Convey("A response whose end comes later than the deadline of its last write is complete", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		s := &Server{Limits: func() Limits { return Limits{} }, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "all")
			time.Sleep(2 * hastyWrite)
			_, _ = w.Write(nil)
		})}
		go s.Serve(acceptloop.New(hastyListener{l}), func(error) {})
		defer s.Close()
		defer l.Close()
		c, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer c.Close()
		_, _ = io.WriteString(c, "GET /a"+versionAndHost+"\r\n")
		bodies, closed := readAll(c)
		So(bodies, ShouldResemble, []string{"all"})
		So(closed, ShouldBeFalse)
	})
}

// Guards against a stop that is held by a caller which sends only a part of a request, or sends it slowly.
func TestStopWithPartsOfRequests(t *testing.T) {
	for name, begin := range map[string]string{
		"a part of a header":           "GET /a HTTP/1.1\r\nHo",
		"a part of a body":             "POST /a" + versionAndHost + "Content-Length: 100\r\n\r\nx",
		"bytes of a body at intervals": "POST /a" + versionAndHost + "Content-Length: 1000\r\n\r\nx",
	} {
		Convey("A drain ends soon, with an answer, if a caller has sent only "+name, t, func() {
			address, s := startServer(t, &recorder{}, Limits{HeaderTimeout: 20 * time.Second, BodyTimeout: 20 * time.Second})
			c, err := net.Dial("tcp", address)
			So(err, ShouldBeNil)
			defer c.Close()
			_, _ = io.WriteString(c, begin)
			if strings.Contains(name, "intervals") {
				go func() {
					var err error
					for ; err == nil; time.Sleep(10 * time.Millisecond) {
						_, err = io.WriteString(c, "x")
					}
				}()
			}
			time.Sleep(50 * time.Millisecond)
			s.Stop()
			started := time.Now()
			drained := make(chan time.Duration)
			go func() {
				s.Drain(started.Add(10 * time.Second))
				drained <- time.Since(started)
			}()
			bodies, closed := readAnswers(c, 8*time.Second)
			So(bodies, ShouldHaveLength, 1)
			So(closed, ShouldBeTrue)
			_ = c.Close()
			So(<-drained, ShouldBeLessThan, 5*time.Second)
		})
	}
	Convey("A request whose rest arrives shortly after the drain has begun is answered", t, func() {
		address, s := startServer(t, &recorder{}, Limits{})
		c, err := net.Dial("tcp", address)
		So(err, ShouldBeNil)
		defer c.Close()
		_, _ = io.WriteString(c, "POST /a"+versionAndHost+"Content-Length: 2\r\n\r\nx")
		time.Sleep(50 * time.Millisecond)
		s.Stop()
		go s.Drain(time.Now().Add(10 * time.Second))
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(c, "x")
		bodies, closed := readAll(c)
		So(bodies, ShouldResemble, []string{"/a xx"})
		So(closed, ShouldBeTrue)
	})
}

// Guards against a connection with unread requests on it that can't be told from one closed as idle.
func TestUnreadBytesAreReported(t *testing.T) {
	request, last := "GET /a"+versionAndHost+"\r\n", "GET /b"+versionAndHost+"Connection: close\r\n\r\n"
	for text, want := range map[string]int64{request: 0, last: 0, last + request: int64(len(request)), last + strings.Repeat(request, 400): int64(400 * len(request))} {
		Convey(fmt.Sprintf("A connection that ends with %d unread bytes is reported", want), t, func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			unread := make(chan int64, 1)
			s := &Server{Handler: &recorder{delay: 20 * time.Millisecond}, Limits: func() Limits { return Limits{IdleTimeout: 100 * time.Millisecond} }, Reject: func(net.Addr, int, error) {},
				Unread: func(_ net.Addr, n int64) { unread <- n }}
			go s.Serve(acceptloop.New(l), func(error) {})
			responses, closed := sendRaw(t, l.Addr().String(), text)
			So(responses, ShouldHaveLength, 1)
			So(closed, ShouldBeTrue)
			_ = l.Close()
			s.Close()
			select {
			case n := <-unread:
				So(n, ShouldEqual, want)
			default:
				So(want, ShouldEqual, 0)
			}
		})
	}
}

// Guards against a complete answer that is lost because a later request of its connection was aborted.
func TestAbortKeepsEarlierAnswers(t *testing.T) {
	Convey("An answer that is still on its way when a later request is aborted arrives completely", t, func() {
		const size = 512 << 10
		aborted := make(chan struct{})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		s := &Server{Limits: func() Limits { return Limits{} }, Reject: func(net.Addr, int, error) {}, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(size))
			if r.URL.Path == "/a" {
				_, _ = w.Write(make([]byte, size))
				return
			}
			_, _ = w.Write([]byte("begin"))
			close(aborted)
			panic(http.ErrAbortHandler)
		})}
		go s.Serve(acceptloop.New(l), func(error) {})
		defer s.Close()
		defer l.Close()
		c, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer c.Close()
		So(c.(*net.TCPConn).SetReadBuffer(64<<10), ShouldBeNil)
		_, _ = io.WriteString(c, "GET /a"+versionAndHost+"\r\nGET /b"+versionAndHost+"\r\n")
		<-aborted
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(c, "GET /c"+versionAndHost+"\r\n")
		time.Sleep(100 * time.Millisecond)
		bodies, closed := readAll(c)
		So(bodies, ShouldHaveLength, 1)
		So(len(bodies[0]), ShouldEqual, size)
		So(closed, ShouldBeTrue)
	})
}

// Guards against an answer that seems complete although it was cut, because its end is that of the connection.
func TestAbortOfAnswerWithoutLength(t *testing.T) {
	Convey("A caller of HTTP/1.0 sees that an answer was cut", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		s := &Server{Limits: func() Limits { return Limits{} }, Reject: func(net.Addr, int, error) {}, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("begin"))
			panic(http.ErrAbortHandler)
		})}
		go s.Serve(acceptloop.New(l), func(error) {})
		defer s.Close()
		defer l.Close()
		c, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer c.Close()
		_, _ = io.WriteString(c, "GET /a HTTP/1.0\r\nHost: h\r\n\r\n")
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err = io.ReadAll(c)
		So(err, ShouldNotBeNil)
	})
}

// Guards against a complete answer that is lost because a request behind an aborted one ends.
func TestRequestBehindAbortKeepsEarlierAnswers(t *testing.T) {
	Convey("An answer that is still on its way arrives completely, although requests behind an aborted one end", t, func() {
		const size = 512 << 10
		waiting, ended := make(chan struct{}), make(chan struct{})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		s := &Server{Limits: func() Limits { return Limits{} }, Reject: func(net.Addr, int, error) {}, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/a":
				w.Header().Set("Content-Length", fmt.Sprint(size))
				_, _ = w.Write(make([]byte, size))
			case "/b":
				<-waiting
				panic(http.ErrAbortHandler)
			default:
				close(waiting)
				w.WriteHeader(http.StatusServiceUnavailable)
				close(ended)
			}
		})}
		go s.Serve(acceptloop.New(l), func(error) {})
		defer s.Close()
		defer l.Close()
		c, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer c.Close()
		So(c.(*net.TCPConn).SetReadBuffer(64<<10), ShouldBeNil)
		_, _ = io.WriteString(c, "GET /a"+versionAndHost+"\r\nGET /b"+versionAndHost+"\r\nGET /c"+versionAndHost+"\r\n")
		<-ended
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(c, "GET /d"+versionAndHost+"\r\n")
		time.Sleep(100 * time.Millisecond)
		bodies, closed := readAll(c)
		So(bodies, ShouldHaveLength, 1)
		So(len(bodies[0]), ShouldEqual, size)
		So(closed, ShouldBeTrue)
	})
}
