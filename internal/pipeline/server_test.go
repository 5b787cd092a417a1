package pipeline

import (
	"bufio"
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

	"github.com/hawthornpoint/hawthornpoint/internal/acceptloop"
)

// recorder is a handler that records the requests it handles.
type recorder struct {
	mu       sync.Mutex
	handled  []string
	canceled int
	delay    time.Duration
	close    bool
}

// ServeHTTP implements http.Handler.
func (h *recorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	h.mu.Lock()
	h.handled = append(h.handled, fmt.Sprintf("%s %s %s %q", r.Method, r.Host, r.RequestURI, body))
	delay := h.delay
	h.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		h.mu.Lock()
		h.canceled++
		h.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if h.close {
		w.Header().Set("Connection", "close")
	}
	fmt.Fprintf(w, "%s %s", r.RequestURI, body)
}

func (h *recorder) list() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.handled...)
}

func startServer(t *testing.T, h *recorder, limits Limits) (address string, s *Server) {
	return startServerWith(t, h, func() Limits { return limits })
}

func startServerWith(t *testing.T, h *recorder, limits func() Limits) (address string, s *Server) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s = &Server{Handler: h, Limits: limits, Reject: func(net.Addr, int, error) {}}
	go s.Serve(acceptloop.New(l), func(error) {})
	t.Cleanup(func() {
		_ = l.Close()
		s.Close()
	})
	return l.Addr().String(), s
}

// sendRaw sends bytes and returns the responses received until the connection ends or no
// further one begins within 400 ms. closed is set when the connection has ended.
func sendRaw(t *testing.T, address, text string) (responses []string, closed bool) {
	return sendRawAwaiting(t, address, text, 0)
}

// sendRawAwaiting is sendRaw, but waits for each of the first responses for up to 10 s.
func sendRawAwaiting(t *testing.T, address, text string, first int) (responses []string, closed bool) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, text)
	br := bufio.NewReader(c)
	for {
		pause := 400 * time.Millisecond
		if len(responses) < first {
			pause = 10 * time.Second
		}
		_ = c.SetReadDeadline(time.Now().Add(pause))
		r, err := http.ReadResponse(br, nil)
		if err != nil {
			netErr, isNetErr := err.(net.Error)
			return responses, !(isNetErr && netErr.Timeout())
		}
		body, _ := io.ReadAll(r.Body)
		responses = append(responses, fmt.Sprintf("%d %s", r.StatusCode, body))
	}
}

const versionAndHost = " HTTP/1.1\r\nHost: h\r\n"

// Guards against request smuggling, and against handling a request that can't be parsed
// unambiguously.
func TestMalformedRequests(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"two lengths":         {"POST /a" + versionAndHost + "Content-Length: 5\r\nContent-Length: 40\r\n\r\nhello", "400 "},
		"length and chunks":   {"POST /a" + versionAndHost + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ""},
		"unknown coding":      {"POST /a" + versionAndHost + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "400 "},
		"space before colon":  {"GET /a" + versionAndHost + "Content-Length : 5\r\n\r\nhello", "400 "},
		"control in a value":  {"GET /a" + versionAndHost + "X: a\x00b\r\n\r\n", "400 "},
		"no host":             {"GET /a HTTP/1.1\r\n\r\n", "400 "},
		"another protocol":    {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "400 "},
		"an asterisk":         {"OPTIONS *" + versionAndHost + "\r\n", "400 "},
		"header too large":    {"GET /a" + versionAndHost + "X: " + strings.Repeat("x", 10<<10) + "\r\n\r\n", "431 "},
		"negative length":     {"POST /a" + versionAndHost + "Content-Length: -1\r\n\r\n", "400 "},
		"not a request":       {"hello world, this is no request\r\n\r\n", "400 "},
		"chunk length broken": {"POST /a" + versionAndHost + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400 "},
	}
	Convey("A malformed request is rejected, and no bytes after it are handled as a request", t, func() {
		for name, c := range cases {
			h := &recorder{}
			address, _ := startServer(t, h, Limits{HeaderBytes: 8 << 10})
			responses, closed := sendRaw(t, address, c.text+"GET /smuggled"+versionAndHost+"\r\n")
			if c.want == "" {
				// The chunks alone delimit the body, so that the bytes after it are a request.
				So(h.list(), ShouldHaveLength, 2)
				continue
			}
			for _, request := range h.list() {
				So(name+request, ShouldNotContainSubstring, "/smuggled")
			}
			So(name+": "+responses[0], ShouldStartWith, name+": "+c.want)
			So(closed, ShouldBeTrue)
		}
	})
}

// Guards against 400 for a header that is too large and whose limit lies inside a line.
func TestHeaderTooLarge(t *testing.T) {
	Convey("A header that is too large gets 431, wherever its limit lies", t, func() {
		const field = "Name: v\r\n"
		address, _ := startServer(t, &recorder{}, Limits{HeaderBytes: 8 << 10})
		for shift := range len(field) {
			text := "GET /" + strings.Repeat("a", shift) + versionAndHost + strings.Repeat(field, 1<<10) + "\r\n"
			responses, closed := sendRaw(t, address, text)
			So(responses, ShouldHaveLength, 1)
			So(responses[0], ShouldStartWith, "431 ")
			So(closed, ShouldBeTrue)
		}
	})
}

// Guards against requests that go on after their caller has left, because the connection was not read
// while as many as possible were handled.
func TestCallerLeavesWithManyRequests(t *testing.T) {
	for _, count := range []int{maxInFlight, maxInFlight + 1, maxInFlight + 10} {
		Convey(fmt.Sprintf("The requests of a caller that leaves after %d pipelined ones are cancelled", count), t, func() {
			h := &recorder{delay: 5 * time.Second}
			address, _ := startServer(t, h, Limits{})
			c, err := net.Dial("tcp", address)
			So(err, ShouldBeNil)
			_, _ = io.WriteString(c, strings.Repeat("GET /a"+versionAndHost+"\r\n", count))
			time.Sleep(100 * time.Millisecond)
			So(h.list(), ShouldHaveLength, maxInFlight)
			_ = c.Close()
			canceled := 0
			for end := time.Now().Add(time.Second); canceled < maxInFlight && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				h.mu.Lock()
				canceled = h.canceled
				h.mu.Unlock()
			}
			So(canceled, ShouldEqual, maxInFlight)
		})
	}
	Convey("All pipelined requests of a caller that stays are answered", t, func() {
		address, _ := startServer(t, &recorder{delay: 10 * time.Millisecond}, Limits{})
		responses, _ := sendRawAwaiting(t, address, strings.Repeat("GET /a"+versionAndHost+"\r\n", 20*maxInFlight), 20*maxInFlight)
		So(responses, ShouldHaveLength, 20*maxInFlight)
	})
}

// Guards against limits that an idle connection took over from an older configuration.
func TestLimitsChangeWhileIdle(t *testing.T) {
	header := "X: " + strings.Repeat("x", 6<<10) + "\r\n"
	for _, c := range []struct {
		name          string
		before, after Limits
		want          string
	}{
		{"larger header", Limits{HeaderBytes: 4 << 10}, Limits{HeaderBytes: 16 << 10}, "HTTP/1.1 200 "},
		{"smaller header", Limits{HeaderBytes: 16 << 10}, Limits{HeaderBytes: 4 << 10}, "HTTP/1.1 431 "},
		{"longer idle time", Limits{IdleTimeout: 100 * time.Millisecond}, Limits{IdleTimeout: time.Minute}, "HTTP/1.1 200 "},
		{"longer header time", Limits{HeaderTimeout: time.Nanosecond}, Limits{HeaderTimeout: time.Minute}, "HTTP/1.1 200 "},
	} {
		Convey("A request on an idle connection has the limits that are in force: "+c.name, t, func() {
			var limits atomic.Pointer[Limits]
			limits.Store(&c.before)
			address, _ := startServerWith(t, &recorder{}, func() Limits { return *limits.Load() })
			conn, err := net.Dial("tcp", address)
			So(err, ShouldBeNil)
			defer conn.Close()
			time.Sleep(50 * time.Millisecond) // the connection waits for its first request
			limits.Store(&c.after)
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(conn, "GET /a"+versionAndHost+header+"\r\n")
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			line, _ := bufio.NewReader(conn).ReadString('\n')
			So(line, ShouldStartWith, c.want)
		})
	}
}

// Guards against responses in the wrong order, and against handling a request with an unsafe
// method before all earlier responses have been written.
func TestResponseOrder(t *testing.T) {
	h := &recorder{delay: 100 * time.Millisecond}
	address, _ := startServer(t, h, Limits{})
	Convey("Safe requests are handled concurrently and answered in order", t, func() {
		text := ""
		for i := range 5 {
			text += fmt.Sprintf("GET /%d%s\r\n", i, versionAndHost)
		}
		started := time.Now()
		responses, _ := sendRaw(t, address, text)
		So(responses, ShouldResemble, []string{"200 /0 ", "200 /1 ", "200 /2 ", "200 /3 ", "200 /4 "})
		So(time.Since(started), ShouldBeLessThan, 900*time.Millisecond)
	})
	Convey("A request after one with Connection: close is not handled", t, func() {
		before := len(h.list())
		responses, closed := sendRaw(t, address, "GET /last"+versionAndHost+"Connection: close\r\n\r\nPOST /never"+versionAndHost+"Content-Length: 1\r\n\r\nx")
		So(responses, ShouldResemble, []string{"200 /last "})
		So(closed, ShouldBeTrue)
		So(h.list()[before:], ShouldHaveLength, 1)
	})
	Convey("An unsafe request after a response that closes the connection is not handled", t, func() {
		closing := &recorder{close: true, delay: 50 * time.Millisecond}
		other, _ := startServer(t, closing, Limits{})
		_, closed := sendRaw(t, other, "GET /last"+versionAndHost+"\r\nPOST /never"+versionAndHost+"Content-Length: 1\r\n\r\nx")
		So(closed, ShouldBeTrue)
		So(closing.list(), ShouldHaveLength, 1)
	})
}

// Guards against a connection that is closed too early or kept too long, and against
// requests that continue after their connection has ended.
func TestTimeoutsAndClose(t *testing.T) {
	Convey("A connection is closed when idle, but not while a request is handled", t, func() {
		h := &recorder{delay: 500 * time.Millisecond}
		address, _ := startServer(t, h, Limits{IdleTimeout: 150 * time.Millisecond, HeaderTimeout: 150 * time.Millisecond})
		c, err := net.Dial("tcp", address)
		So(err, ShouldBeNil)
		defer c.Close()
		_, _ = io.WriteString(c, "GET /busy"+versionAndHost+"\r\n")
		br := bufio.NewReader(c)
		r, err := http.ReadResponse(br, nil)
		So(err, ShouldBeNil)
		_, _ = io.Copy(io.Discard, r.Body)
		started := time.Now()
		_, err = br.ReadByte()
		So(err, ShouldEqual, io.EOF)
		So(time.Since(started), ShouldBeBetween, 50*time.Millisecond, 450*time.Millisecond)
	})
	Convey("A connection stays open for the idle time after a response that came late in it", t, func() {
		h := &recorder{delay: 540 * time.Millisecond}
		address, _ := startServer(t, h, Limits{IdleTimeout: 600 * time.Millisecond})
		c, err := net.Dial("tcp", address)
		So(err, ShouldBeNil)
		defer c.Close()
		_, _ = io.WriteString(c, "GET /busy"+versionAndHost+"\r\n")
		br := bufio.NewReader(c)
		r, err := http.ReadResponse(br, nil)
		So(err, ShouldBeNil)
		_, _ = io.Copy(io.Discard, r.Body)
		started := time.Now()
		_, err = br.ReadByte()
		So(err, ShouldEqual, io.EOF)
		So(time.Since(started), ShouldBeBetween, 400*time.Millisecond, 1200*time.Millisecond)
	})
	Convey("An incomplete header is answered with 408", t, func() {
		address, _ := startServer(t, &recorder{}, Limits{HeaderTimeout: 100 * time.Millisecond})
		responses, closed := sendRaw(t, address, "GET /slow HTTP/1.1\r\nHo")
		So(responses, ShouldResemble, []string{"408 "})
		So(closed, ShouldBeTrue)
	})
	Convey("A body of which the first part does not come in time fails, though bytes keep coming", t, func() {
		h := &recorder{}
		address, _ := startServer(t, h, Limits{BodyTimeout: 300 * time.Millisecond})
		c, err := net.Dial("tcp", address)
		So(err, ShouldBeNil)
		defer c.Close()
		go func() {
			_, err := io.WriteString(c, "POST /slow"+versionAndHost+"Transfer-Encoding: chunked\r\n\r\n")
			for err == nil {
				_, err = io.WriteString(c, "1\r\nx\r\n")
				time.Sleep(20 * time.Millisecond)
			}
		}()
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		So(err, ShouldBeNil)
		So(r.StatusCode, ShouldEqual, http.StatusBadRequest)
		So(r.Close, ShouldBeTrue)
	})
	Convey("A stopping server closes connections after the next response, and idle ones on Drain", t, func() {
		address, s := startServer(t, &recorder{}, Limits{})
		idle, err := net.Dial("tcp", address)
		So(err, ShouldBeNil)
		defer idle.Close()
		time.Sleep(50 * time.Millisecond)
		s.Stop()
		responses, closed := sendRaw(t, address, "GET /a"+versionAndHost+"\r\n")
		So(responses, ShouldResemble, []string{"200 /a "})
		So(closed, ShouldBeTrue)
		s.Drain(time.Now())
		_ = idle.SetReadDeadline(time.Now().Add(time.Second))
		_, err = idle.Read(make([]byte, 1))
		So(err, ShouldEqual, io.EOF)
	})
	Convey("The contexts of all requests end with the connection", t, func() {
		h := &recorder{delay: 5 * time.Second}
		address, _ := startServer(t, h, Limits{})
		c, err := net.Dial("tcp", address)
		So(err, ShouldBeNil)
		_, _ = io.WriteString(c, "GET /1"+versionAndHost+"\r\nGET /2"+versionAndHost+"\r\nGET /3"+versionAndHost+"\r\n")
		time.Sleep(100 * time.Millisecond)
		So(h.list(), ShouldHaveLength, 3)
		c.Close()
		time.Sleep(200 * time.Millisecond)
		h.mu.Lock()
		defer h.mu.Unlock()
		So(h.canceled, ShouldEqual, 3)
	})
}

// Guards against work that goes on for a caller that has left, although it sent its last request on the
// connection.
func TestCallerLeavesAfterLastRequest(t *testing.T) {
	Convey("The end of a connection cancels its last request", t, func() {
		h := &recorder{delay: 5 * time.Second}
		address, _ := startServer(t, h, Limits{IdleTimeout: time.Second})
		c, err := net.Dial("tcp", address)
		So(err, ShouldBeNil)
		_, err = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		So(err, ShouldBeNil)
		for end := time.Now().Add(time.Second); len(h.list()) == 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		So(c.Close(), ShouldBeNil)
		canceled := func() int {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.canceled
		}
		for end := time.Now().Add(500 * time.Millisecond); canceled() == 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		So(canceled(), ShouldEqual, 1)
	})
	Convey("Bytes that follow the last request are discarded, and it is answered", t, func() {
		h := &recorder{delay: 100 * time.Millisecond}
		address, _ := startServer(t, h, Limits{IdleTimeout: time.Second})
		c, err := net.Dial("tcp", address)
		So(err, ShouldBeNil)
		defer c.Close()
		_, err = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		So(err, ShouldBeNil)
		time.Sleep(20 * time.Millisecond)
		_, err = io.WriteString(c, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n")
		So(err, ShouldBeNil)
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		So(err, ShouldBeNil)
		body, err := io.ReadAll(r.Body)
		So(err, ShouldBeNil)
		So(string(body), ShouldEqual, "/a ")
		So(h.list(), ShouldHaveLength, 1)
	})
}
