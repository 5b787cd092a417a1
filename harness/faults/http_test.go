package faults

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/callmeta"
	"github.com/hawthornpoint/hawthornpoint/harness/standin"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// inFleet runs a check on a fleet of its own and returns the problems found. Convey is
// not used inside the synctest bubble, because its assertions are bound to one goroutine.
func inFleet(t *testing.T, check func(f *fleet) []string) []string {
	t.Helper()
	return cell{fault: t.Name(), run: check}.prove(t)
}

// sendRaw writes bytes to the callers listener of a daemon, with a pause after each part,
// and returns the first answer.
func (f *fleet) sendRaw(name string, gap time.Duration, method string, parts ...string) (*http.Response, []byte, error) {
	conn, err := f.caller.host.DialContext(context.Background(), "tcp", f.byName[name].set.Listeners.Callers)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = conn.Close() }()
	f.background(func() {
		for _, p := range parts {
			if _, err := io.WriteString(conn, p); err != nil {
				return
			}
			time.Sleep(gap)
		}
	})
	return readResponse(conn, method)
}

func readResponse(conn net.Conn, method string) (*http.Response, []byte, error) {
	_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

// Guards against a body that is cut, sent twice or re-sent incompletely because it is
// larger than the 64 KB kept for a retry, with and without a declared length.
func TestLargeBodies(t *testing.T) {
	problems := inFleet(t, func(f *fleet) []string {
		var wrong []string
		for _, size := range []int{0, 1, 65535, 65536, 65537, 200_000, 1 << 20, 1<<20 + 1} {
			for _, chunked := range []bool{false, true} {
				if problem := f.largeBody(size, chunked); problem != "" {
					wrong = append(wrong, problem)
				}
			}
		}
		return wrong
	})
	Convey("Bodies up to the limit arrive complete, and larger ones are refused as not run", t, func() {
		So(problems, ShouldBeEmpty)
	})
}

func (f *fleet) largeBody(size int, chunked bool) string {
	body := []byte(strings.Repeat("x", size))
	for _, u := range f.upstreams {
		url := "http://" + u.set.Listeners.Callers + "/order/place"
		req, err := http.NewRequest(http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
		f.must(err)
		if !chunked {
			req.ContentLength = int64(size)
		}
		req.Header.Set(callmeta.HeaderKey, f.caller.newKey())
		resp, err := f.caller.client.Do(req)
		if err != nil {
			return fmt.Sprintf("%d bytes, chunked %v: %v", size, chunked, err)
		}
		answer, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		reply, decodeErr := callmeta.DecodeReply(resp.Header)
		tooLarge := size > 1<<20
		switch {
		case err != nil || decodeErr != nil:
			return fmt.Sprintf("%d bytes, chunked %v: %v, %v", size, chunked, err, decodeErr)
		case tooLarge && reply.Code.Kind() == resultcode.Answered:
			return fmt.Sprintf("%d bytes, chunked %v: %v instead of a refusal", size, chunked, reply.Code)
		case tooLarge:
			if runs := f.counts(); runsOf(runs, reply.RequestID, "place") > 0 {
				return fmt.Sprintf("%d bytes, chunked %v: refused, but it ran", size, chunked)
			}
		case !bytes.Equal(answer, standin.Expected(f.conf, "order", "place", body)):
			return fmt.Sprintf("%d bytes, chunked %v through %s: %v (cause %v), status %d", size, chunked, u.name, reply.Code, reply.Cause, resp.StatusCode)
		}
	}
	return ""
}

// Guards against a method or path without a described kind that reaches a backend server
// or makes the daemon fail.
func TestMethodsAndPaths(t *testing.T) {
	problems := inFleet(t, func(f *fleet) []string {
		var wrong []string
		for _, line := range []struct {
			request string
			code    resultcode.Code
		}{
			{"HEAD /stock/check/1", resultcode.UnknownKind},
			{"OPTIONS /stock/check/1", resultcode.UnknownKind},
			{"BREW /stock/check/1", resultcode.UnknownKind},
			{"TRACE /stock/check/1", resultcode.UnknownKind},
			{"OPTIONS *", resultcode.UnknownService},
			{"GET /", resultcode.UnknownService},
			{"GET //check/1", resultcode.UnknownService},
			{"GET /stock", resultcode.UnknownKind},
			{"GET /stock/check/1/2", resultcode.UnknownKind},
			{"GET /stock/check/", resultcode.UnknownKind},
			{"GET /stock/check/..%2f..%2fcounts", resultcode.OK},
			{"GET /stock/check/a%20b?x=1&y=%2F", resultcode.OK},
			{"GET /stock%2fcheck/1", resultcode.UnknownService},
			{"GET /st%6fck/check/1", resultcode.UnknownService},
		} {
			method, _, _ := strings.Cut(line.request, " ")
			resp, _, err := f.sendRaw(entry, 0, method, line.request+" HTTP/1.1\r\nHost: x\r\n\r\n")
			if err != nil {
				wrong = append(wrong, line.request+": "+err.Error())
				continue
			}
			reply, err := callmeta.DecodeReply(resp.Header)
			if err != nil || reply.Code != line.code {
				wrong = append(wrong, fmt.Sprintf("%s: %v (%v, status %d) instead of %v", line.request, reply.Code, err, resp.StatusCode, line.code))
			}
		}
		return wrong
	})
	Convey("Only described methods and paths are forwarded", t, func() {
		So(problems, ShouldBeEmpty)
	})
}

// Guards against a caller that occupies a connection and memory for ever by sending its
// header or body slowly, and against cutting a slow upload that is within the time that
// its kind allows.
func TestSlowCallers(t *testing.T) {
	const header = "POST /order/place HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
	problems := inFleet(t, func(f *fleet) []string {
		var wrong []string
		start := time.Now()
		slowBody := append([]string{fmt.Sprintf(header, 1000)}, strings.Split(strings.Repeat("x", 1000), "")...)
		resp, _, err := f.sendRaw(entry, time.Second, "POST", slowBody...)
		if spent := time.Since(start); spent > 15*time.Second {
			wrong = append(wrong, fmt.Sprintf("one byte per second was read for %v", spent))
		}
		if err == nil && resp.StatusCode < 400 {
			wrong = append(wrong, fmt.Sprintf("an incomplete body was answered with %d", resp.StatusCode))
		}
		start = time.Now()
		_, _, err = f.sendRaw(entry, time.Second, "POST", strings.Split(strings.Repeat("POST /order/place HT", 3), "")...)
		if spent := time.Since(start); spent > 15*time.Second {
			wrong = append(wrong, fmt.Sprintf("a header was read for %v (%v)", spent, err))
		}
		allowed := append([]string{fmt.Sprintf(header, 8)}, strings.Split("12345678", "")...)
		resp, body, err := f.sendRaw(entry, 800*time.Millisecond, "POST", allowed...)
		if err != nil || !bytes.Equal(body, standin.Expected(f.conf, "order", "place", []byte("12345678"))) {
			wrong = append(wrong, fmt.Sprintf("an upload of 6.4 s was not answered: %v %v", resp, err))
		}
		return wrong
	})
	Convey("The read timeout bounds header and body, and a slow upload within it is answered", t, func() {
		So(problems, ShouldBeEmpty)
	})
}

// Guards against a caller that waits for 100-continue and never gets it, and against
// headers of unlimited size.
func TestExpectAndHeaderLimit(t *testing.T) {
	problems := inFleet(t, func(f *fleet) []string {
		var wrong []string
		resp, _, err := f.sendRaw(entry, 10*time.Millisecond, "POST", "POST /order/place HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
		if err != nil || resp.StatusCode != http.StatusContinue {
			wrong = append(wrong, fmt.Sprintf("expect: %v %v", resp, err))
		}
		resp, _, err = f.sendRaw(entry, 0, "GET", "GET /stock/check/1 HTTP/1.1\r\nHost: x\r\nX: "+strings.Repeat("x", 32<<10)+"\r\n\r\n")
		if err != nil || resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
			wrong = append(wrong, fmt.Sprintf("32 KB header: %v %v", resp, err))
		}
		req, err := http.NewRequest(http.MethodPost, "http://"+f.byName[entry].set.Listeners.Callers+"/order/place", io.NopCloser(strings.NewReader("abc")))
		f.must(err)
		req.ContentLength = 3
		req.Header.Set("Expect", "100-continue")
		answer, err := f.caller.client.Do(req)
		if err != nil {
			return append(wrong, err.Error())
		}
		body, _ := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if !bytes.Equal(body, standin.Expected(f.conf, "order", "place", []byte("abc"))) {
			wrong = append(wrong, fmt.Sprintf("expect with a body: status %d", answer.StatusCode))
		}
		return wrong
	})
	Convey("100-continue is answered and large headers are refused", t, func() {
		So(problems, ShouldBeEmpty)
	})
}

// Guards against a call made by a run that has ended: no caller waits for its answer, and
// it would use retries that were already returned.
func TestEgressAfterTheRun(t *testing.T) {
	problems := inFleet(t, func(f *fleet) []string {
		first := f.caller.send(spec{entry: entry, service: "order", kind: "browse", body: "late"})
		if !first.ok() {
			return []string{fmt.Sprintf("the request got %v", first.code())}
		}
		var wrong []string
		for _, name := range f.upstreamNames("order") {
			h := f.net.host(backendHost(name))
			meta := callmeta.Meta{RequestID: first.reply.RequestID, CallID: first.reply.RequestID, Service: "order", Kind: "browse", Idempotent: true, Deadline: time.Now().Add(time.Second)}
			req, err := http.NewRequest(http.MethodGet, "http://"+f.byName[name].set.Listeners.Egress+"/stock/check/1", nil)
			f.must(err)
			callmeta.Encode(req.Header, meta, time.Now())
			transport := &http.Transport{DialContext: h.DialContext, DisableKeepAlives: true}
			resp, err := transport.RoundTrip(req)
			if err != nil {
				return append(wrong, err.Error())
			}
			_ = resp.Body.Close()
			if reply, _ := callmeta.DecodeReply(resp.Header); reply.Code != resultcode.CanceledBeforeStart {
				wrong = append(wrong, fmt.Sprintf("%s: %v", name, reply.Code))
			}
		}
		return wrong
	})
	Convey("An egress call of an ended run is refused as not run", t, func() {
		So(problems, ShouldBeEmpty)
	})
}

// Guards against goroutines that remain after a stop. The synctest bubble fails if one is
// left; the platform, which keeps serving, must not keep one alive.
func TestNoGoroutineAfterClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		before := f.net.openPipes("")
		for range 3 {
			f.restartGracefully("order-b")
		}
		d, _ := f.byName["order-b"].takeDaemon()
		d.Close()
		time.Sleep(2 * dialLimit)
		if left := f.net.openPipes("order-b"); left > 0 || before == 0 {
			t.Errorf("a closed daemon holds %d connections", left)
		}
		f.close()
	})
}

// restartGracefully closes a daemon without load and starts the next one.
func (f *fleet) restartGracefully(name string) {
	d, _ := f.byName[name].takeDaemon()
	d.Close()
	f.startDaemon(f.byName[name])
	time.Sleep(time.Second)
}

// openPipes returns the number of directions in which a host has a connection open to
// write; "" counts all directions of all hosts.
func (n *network) openPipes(host string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for p := range n.pipes {
		if host == "" || (p.link.from == host && !p.writerClosed) {
			count++
		}
	}
	return count
}
