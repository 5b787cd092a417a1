package pipeline

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// recorder is a handler that notes what it handled.
type recorder struct {
	mu      sync.Mutex
	handled []string
	ended   int
	wait    time.Duration
	close   bool
}

// ServeHTTP implements http.Handler.
func (h *recorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	h.mu.Lock()
	h.handled = append(h.handled, fmt.Sprintf("%s %s %s %q", r.Method, r.Host, r.RequestURI, body))
	wait := h.wait
	h.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
		h.mu.Lock()
		h.ended++
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

func serve(t *testing.T, h *recorder, limits Limits) (address string, s *Server) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s = &Server{Handler: h, Limits: func() Limits { return limits }, Reject: func(net.Addr, int, error) {}}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		s.Close()
	})
	return l.Addr().String(), s
}

// talk sends bytes and returns the answers until the connection ends or is quiet.
func talk(t *testing.T, address, text string) (answers []string, closed bool) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, text)
	br := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(400 * time.Millisecond))
		r, err := http.ReadResponse(br, nil)
		if err != nil {
			network, timeout := err.(net.Error)
			return answers, !(timeout && network.Timeout())
		}
		body, _ := io.ReadAll(r.Body)
		answers = append(answers, fmt.Sprintf("%d %s", r.StatusCode, body))
	}
}

const head = " HTTP/1.1\r\nHost: h\r\n"

// Guards against a request that is smuggled inside another, and against one that is handled
// although it can't be understood.
func TestHostileRequests(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"two lengths":         {"POST /a" + head + "Content-Length: 5\r\nContent-Length: 40\r\n\r\nhello", "400 "},
		"length and chunks":   {"POST /a" + head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ""},
		"unknown coding":      {"POST /a" + head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "400 "},
		"space before colon":  {"GET /a" + head + "Content-Length : 5\r\n\r\nhello", "400 "},
		"control in a value":  {"GET /a" + head + "X: a\x00b\r\n\r\n", "400 "},
		"no host":             {"GET /a HTTP/1.1\r\n\r\n", "400 "},
		"another protocol":    {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "400 "},
		"an asterisk":         {"OPTIONS *" + head + "\r\n", "400 "},
		"header too large":    {"GET /a" + head + "X: " + strings.Repeat("x", 10<<10) + "\r\n\r\n", "431 "},
		"negative length":     {"POST /a" + head + "Content-Length: -1\r\n\r\n", "400 "},
		"not a request":       {"hello world, this is no request\r\n\r\n", "400 "},
		"chunk length broken": {"POST /a" + head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400 "},
	}
	Convey("Each is refused, and nothing behind it is handled", t, func() {
		for name, c := range cases {
			h := &recorder{}
			address, _ := serve(t, h, Limits{HeaderBytes: 8 << 10})
			answers, closed := talk(t, address, c.text+"GET /smuggled"+head+"\r\n")
			if c.want == "" {
				// The chunks alone frame the body, so that what follows is a request.
				So(h.list(), ShouldHaveLength, 2)
				continue
			}
			for _, request := range h.list() {
				So(name+request, ShouldNotContainSubstring, "/smuggled")
			}
			So(name+": "+answers[0], ShouldStartWith, name+": "+c.want)
			So(closed, ShouldBeTrue)
		}
	})
}

// Guards against answers in the wrong order, and against handling what may run once before
// all earlier answers are out.
func TestOrder(t *testing.T) {
	h := &recorder{wait: 100 * time.Millisecond}
	address, _ := serve(t, h, Limits{})
	Convey("Safe requests are handled side by side, and answered in order", t, func() {
		text := ""
		for i := range 5 {
			text += fmt.Sprintf("GET /%d%s\r\n", i, head)
		}
		begun := time.Now()
		answers, _ := talk(t, address, text)
		So(answers, ShouldResemble, []string{"200 /0 ", "200 /1 ", "200 /2 ", "200 /3 ", "200 /4 "})
		So(time.Since(begun), ShouldBeLessThan, 900*time.Millisecond)
	})
	Convey("What comes behind an answer that closes the connection is not handled", t, func() {
		before := len(h.list())
		answers, closed := talk(t, address, "GET /last"+head+"Connection: close\r\n\r\nPOST /never"+head+"Content-Length: 1\r\n\r\nx")
		So(answers, ShouldResemble, []string{"200 /last "})
		So(closed, ShouldBeTrue)
		So(h.list()[before:], ShouldHaveLength, 1)
	})
	Convey("A handler that closes the connection leaves what may run once behind it", t, func() {
		closing := &recorder{close: true, wait: 50 * time.Millisecond}
		other, _ := serve(t, closing, Limits{})
		_, closed := talk(t, other, "GET /last"+head+"\r\nPOST /never"+head+"Content-Length: 1\r\n\r\nx")
		So(closed, ShouldBeTrue)
		So(closing.list(), ShouldHaveLength, 1)
	})
}

// Guards against a connection that is kept or closed against the limits.
func TestTimes(t *testing.T) {
	Convey("An idle connection is closed, a busy one is not", t, func() {
		h := &recorder{wait: 500 * time.Millisecond}
		address, _ := serve(t, h, Limits{IdleTimeout: 150 * time.Millisecond, HeaderTimeout: 150 * time.Millisecond})
		c, err := net.Dial("tcp", address)
		So(err, ShouldBeNil)
		defer c.Close()
		_, _ = io.WriteString(c, "GET /busy"+head+"\r\n")
		br := bufio.NewReader(c)
		r, err := http.ReadResponse(br, nil)
		So(err, ShouldBeNil)
		_, _ = io.Copy(io.Discard, r.Body)
		begun := time.Now()
		_, err = br.ReadByte()
		So(err, ShouldEqual, io.EOF)
		So(time.Since(begun), ShouldBeBetween, 50*time.Millisecond, 450*time.Millisecond)
	})
	Convey("A header that does not end gets 408", t, func() {
		address, _ := serve(t, &recorder{}, Limits{HeaderTimeout: 100 * time.Millisecond})
		answers, closed := talk(t, address, "GET /slow HTTP/1.1\r\nHo")
		So(answers, ShouldResemble, []string{"408 "})
		So(closed, ShouldBeTrue)
	})
	Convey("A stopping server closes after the next answer, and idle connections when told", t, func() {
		address, s := serve(t, &recorder{}, Limits{})
		idle, err := net.Dial("tcp", address)
		So(err, ShouldBeNil)
		defer idle.Close()
		time.Sleep(50 * time.Millisecond)
		s.Stop()
		answers, closed := talk(t, address, "GET /a"+head+"\r\n")
		So(answers, ShouldResemble, []string{"200 /a "})
		So(closed, ShouldBeTrue)
		s.CloseIdle()
		_ = idle.SetReadDeadline(time.Now().Add(time.Second))
		_, err = idle.Read(make([]byte, 1))
		So(err, ShouldEqual, io.EOF)
	})
	Convey("The context of all requests ends with the connection", t, func() {
		h := &recorder{wait: 5 * time.Second}
		address, _ := serve(t, h, Limits{})
		c, err := net.Dial("tcp", address)
		So(err, ShouldBeNil)
		_, _ = io.WriteString(c, "GET /1"+head+"\r\nGET /2"+head+"\r\nGET /3"+head+"\r\n")
		time.Sleep(100 * time.Millisecond)
		So(h.list(), ShouldHaveLength, 3)
		c.Close()
		time.Sleep(200 * time.Millisecond)
		h.mu.Lock()
		defer h.mu.Unlock()
		So(h.ended, ShouldEqual, 3)
	})
}
