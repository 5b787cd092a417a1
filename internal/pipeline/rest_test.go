package pipeline

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/core/membudget"
	"github.com/hawthornpoint/hawthornpoint/internal/acceptloop"
)

const restPaceTime = 300 * time.Millisecond

// startPressedServer serves with a budget that has room for one first part of a body. Its handler waits for
// pause between the first part and the rest of a body, and reports the error that ended it.
func startPressedServer(t *testing.T, pause time.Duration) (address string, ended chan error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended = make(chan error, 4)
	s := &Server{
		Limits: func() Limits { return Limits{HeaderBytes: 16 << 10, HeaderTimeout: restPaceTime} },
		Reject: func(net.Addr, int, error) {}, Memory: membudget.New(400 << 10),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, err := io.CopyN(io.Discard, r.Body, BodyBufferSize)
			if err == nil {
				time.Sleep(pause)
				_, err = io.Copy(io.Discard, r.Body)
			}
			if r.URL.Path == "/long" {
				ended <- err
			}
			if err != nil && err != io.EOF {
				panic(http.ErrAbortHandler)
			}
		}),
	}
	go s.Serve(acceptloop.New(l), func(error) {})
	t.Cleanup(func() {
		_ = l.Close()
		s.Close()
	})
	return l.Addr().String(), ended
}

// sendLong sends a body of BodyBufferSize and then count pieces, one in each interval. It returns the status
// of the response, 0 if the connection ends without one.
func sendLong(address string, count int, piece string, interval time.Duration) int {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return -1
	}
	defer c.Close()
	_, _ = io.WriteString(c, "POST /long"+versionAndHost+"Content-Length: "+
		strconv.Itoa(BodyBufferSize+count*len(piece))+"\r\n\r\n"+strings.Repeat("b", BodyBufferSize))
	go func() {
		for range count {
			if _, err := io.WriteString(c, piece); err != nil {
				return
			}
			time.Sleep(interval)
		}
	}()
	return readStatus(c)
}

func readStatus(c net.Conn) int {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return r.StatusCode
}

// sendSecond sends a body for whose first part there is no room.
func sendSecond(address string) int {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return -1
	}
	defer c.Close()
	_, _ = io.WriteString(c, "POST /second"+versionAndHost+"Content-Length: 65536\r\n\r\n"+strings.Repeat("b", 65536))
	return readStatus(c)
}

// Guards against a caller that holds the budget and an upstream with the rest of a long body which it sends
// byte by byte, and against callers inside the limits that are taken for such a one.
func TestPaceOfTheRestOfABody(t *testing.T) {
	cases := []struct {
		name     string
		pause    time.Duration
		count    int
		piece    string
		interval time.Duration
		pressed  bool
		slow     bool
	}{
		{"byte by byte while memory is short", 0, 100, "b", 50 * time.Millisecond, true, true},
		{"with silences while memory is short", 0, 3, strings.Repeat("b", 64<<10), 2 * restPaceTime, true, true},
		{"byte by byte in calm", 0, 30, "b", 50 * time.Millisecond, false, false},
		{"at the pace while memory is short", 0, 20, strings.Repeat("b", 16<<10), restPaceTime / 6, true, false},
		{"to a handler that does not read while memory is short", 3 * restPaceTime, 1, "b", 0, true, false},
	}
	for _, c := range cases {
		Convey("The rest of a body that is sent "+c.name, t, func() {
			address, ended := startPressedServer(t, c.pause)
			first, second := make(chan int, 1), make(chan int, 1)
			go func() { first <- sendLong(address, c.count, c.piece, c.interval) }()
			time.Sleep(restPaceTime / 3)
			if c.pressed {
				go func() { second <- sendSecond(address) }()
			}
			status, err := <-first, <-ended
			if !c.slow {
				So(err, ShouldBeNil)
				So(status, ShouldEqual, http.StatusOK)
				return
			}
			So(errors.Is(err, ErrTooSlow), ShouldBeTrue)
			So(status, ShouldEqual, 0)
			So(<-second, ShouldEqual, http.StatusOK)
		})
	}
}
