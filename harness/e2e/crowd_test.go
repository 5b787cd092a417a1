package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hawthornpoint/hawthornpoint/platform/platformtest"
)

const (
	// crowdMemoryMB is the memory limit in the settings of a daemon that a crowd of clients uses, and the
	// bound of its peak. It is about half of the smallest one on the deployments.
	crowdMemoryMB = 96
	// crowdMaxFDs is the descriptor limit in these settings, and the bound of the open descriptors.
	crowdMaxFDs = 800
	// crowdClients is the number of clients, and crowdConnections that of the connections which each opens
	// one after the other when the daemon closes them.
	crowdClients     = 600
	crowdConnections = 3
	// crowdSilent is the number of clients that send nothing.
	crowdSilent = 1200
	// crowdSpan is how long a crowd sends before the memory is read.
	crowdSpan = 6 * time.Second
	// crowdHangLimit bounds the attempts to get an ordinary request answered.
	crowdHangLimit = 60 * time.Second
	// crowdMaxBody is the limit of a body in the deployments.
	crowdMaxBody = 64 << 20
)

// crowdTarget is a daemon that serves a crowd, beside its backend server.
type crowdTarget struct {
	store    *platformtest.Store
	upstream *platformtest.Upstream
	process  *process
	callers  string
}

func newCrowdTarget(t *testing.T) *crowdTarget {
	t.Helper()
	c := &crowdTarget{store: platformtest.NewStore(), callers: freeAddress(t)}
	t.Cleanup(c.store.Close)
	upstream, err := platformtest.NewUpstream("i-0", freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(upstream.Close)
	c.upstream = upstream
	upstream.SetAnswer(50*time.Millisecond, func(w io.Writer, r platformtest.Request) bool {
		if strings.HasSuffix(r.Target, "long") {
			return platformtest.Respond(w, r, http.StatusOK, strings.Repeat("a", 1<<20))
		}
		return platformtest.Respond(w, r, http.StatusOK, fmt.Sprint("bytes: ", len(r.Body)))
	})
	c.store.PutEntry(platformtest.Entry{ID: upstream.ID, Address: upstream.Address(), Service: "s", State: "ready",
		Incarnation: 1000, Sequence: 1, Slots: pairSlots})
	c.store.PutFullConfig(platformtest.Config{Version: 1, MaxBodyBytes: crowdMaxBody, HeaderTimeoutS: 3, IdleTimeoutS: 15,
		Services: []platformtest.Service{{Name: "s", MaxConnections: 500}},
		Routes: []platformtest.Route{{Prefix: "/safe/", Kind: "safe", Service: "s", TimeoutS: 20},
			{Prefix: "/unsafe/", Kind: "unsafe", Service: "s", TimeoutS: 20}}})
	file := filepath.Join(t.TempDir(), "local.json")
	content := platformtest.Process{Service: "s", BackendAddress: upstream.Address(), CallerAddress: c.callers,
		PeerAddress: freeAddress(t), ReadyAddress: freeAddress(t), StoreAddress: c.store.Address(), GraceS: 4,
		MemoryMB: crowdMemoryMB, MaxFDs: crowdMaxFDs}.SettingsFile()
	if err := os.WriteFile(file, content, 0o600); err != nil {
		t.Fatal(err)
	}
	c.process = startProcess(t, "sidecar", "--settings", file)
	if !c.answersOrdinary("begin") {
		t.Fatalf("the daemon does not serve:\n%s", c.process.logs)
	}
	return c
}

// answersOrdinary sends an ordinary request, each time on a new connection, until it is answered.
func (c *crowdTarget) answersOrdinary(id string) bool {
	end := time.Now().Add(crowdHangLimit)
	for i := 0; time.Now().Before(end); i++ {
		client := &caller{address: c.callers}
		status := client.send("/unsafe/sound", fmt.Sprintf("ordinary-%s-%d", id, i))
		if client.conn != nil {
			_ = client.conn.Close()
		}
		if status == http.StatusOK {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// descriptors returns the number of open descriptors of a process.
func (p *process) descriptors(t *testing.T) int {
	t.Helper()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(list)
}

// crowdMember is what one client sends on a connection.
type crowdMember struct {
	send func(w io.Writer, id string)
	// reads says that the client reads what it gets, and opens a further connection when one is closed.
	reads bool
}

// endure lets a crowd send, and checks the process while the crowd stays and when it has left.
func (c *crowdTarget) endure(t *testing.T, clients int, members ...crowdMember) {
	t.Helper()
	leave := make(chan struct{})
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() { c.visit(members[i%len(members)], fmt.Sprint("crowd-", i), leave) })
	}
	maxDescriptors := 0
	for end := time.Now().Add(crowdSpan); time.Now().Before(end) && len(c.process.done) == 0; time.Sleep(100 * time.Millisecond) {
		maxDescriptors = max(maxDescriptors, c.process.descriptors(t))
	}
	present := c.answersOrdinary("present")
	close(leave)
	wg.Wait()
	after := c.answersOrdinary("after")
	m := c.process.memory(t)
	t.Logf("%v, limit %d MB; %d descriptors, limit %d; ordinary request answered beside the crowd: %v, afterwards: %v",
		m, crowdMemoryMB, maxDescriptors, crowdMaxFDs, present, after)
	Convey("The process lives within its limits, and an ordinary request is answered", t, func() {
		So(len(c.process.done), ShouldEqual, 0)
		So(m.peak, ShouldBeLessThan, crowdMemoryMB<<10)
		So(maxDescriptors, ShouldBeLessThan, crowdMaxFDs)
		So(present, ShouldBeTrue)
		So(after, ShouldBeTrue)
	})
}

// visit opens connections, one after the other, until the crowd leaves.
func (c *crowdTarget) visit(member crowdMember, id string, leave <-chan struct{}) {
	for i := range crowdConnections {
		conn, err := net.Dial("tcp", c.callers)
		if err != nil {
			break
		}
		ended := make(chan struct{})
		go func() {
			select {
			case <-leave:
			case <-ended:
			}
			_ = conn.Close()
		}()
		if !member.reads {
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		}
		member.send(conn, fmt.Sprintf("%s-%d", id, i))
		if !member.reads {
			<-leave
		}
		_, _ = io.Copy(io.Discard, conn)
		close(ended)
		select {
		case <-leave:
			return
		default:
		}
	}
	<-leave
}

// head returns the head of a request with a deadline of 20 s.
func head(method, path, id string, headers ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Hawthornpoint-Request-Id: %s\r\nX-Hawthornpoint-Deadline-Ms: 20000\r\n%s\r\n",
		method, path, platformtest.Host, id, strings.Join(append(headers, ""), "\r\n"))
}

// chunkedBody sends the header and a body of size bytes in equal chunks, without its end.
func chunkedBody(size, chunk int) crowdMember {
	text := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("c", chunk))
	text = strings.Repeat(text, max(1, (16<<10)/len(text))) // fewer writes
	return crowdMember{reads: true, send: func(w io.Writer, id string) {
		_, err := io.WriteString(w, head("POST", "/safe/body", id, "Transfer-Encoding: chunked"))
		for sent := 0; sent < size && err == nil; sent += strings.Count(text, "\n") / 2 * chunk {
			_, err = io.WriteString(w, text)
		}
	}}
}

// sizedBody sends the header with a length and a body that stops 100 bytes short of it.
func sizedBody(size int) crowdMember {
	return crowdMember{reads: true, send: func(w io.Writer, id string) {
		text := head("POST", "/safe/body", id, fmt.Sprint("Content-Length: ", size+100))
		_, _ = io.WriteString(w, text+strings.Repeat("c", size))
	}}
}

// pipelinedHeads sends heads just below the limit of 16,384 bytes.
func pipelinedHeads(count int) crowdMember {
	filler := "X-Filler: " + strings.Repeat("h", 15<<10)
	return crowdMember{reads: true, send: func(w io.Writer, id string) {
		for i := range count {
			if _, err := io.WriteString(w, head("GET", "/safe/sound", fmt.Sprint(id, "-", i), filler)); err != nil {
				return
			}
		}
	}}
}

// unreadAnswers sends requests for answers of 1 MiB and does not read them.
func unreadAnswers() crowdMember {
	return crowdMember{send: func(w io.Writer, id string) {
		for i := range 4 {
			_, _ = io.WriteString(w, head("GET", "/safe/long", fmt.Sprint(id, "-", i)))
		}
	}}
}

// withoutEnd sends a begin, and a part again and again, up to size bytes.
func withoutEnd(begin, part string, size int) crowdMember {
	part = strings.Repeat(part, max(1, (16<<10)/len(part)))
	return crowdMember{reads: true, send: func(w io.Writer, id string) {
		_, err := io.WriteString(w, head("POST", "/safe/body", id, "Transfer-Encoding: chunked")+begin)
		for sent := 0; sent < size && err == nil; sent += len(part) {
			_, err = io.WriteString(w, part)
		}
	}}
}

// expectingBody sends a head that announces a body, and never sends the body.
func expectingBody(framing string) crowdMember {
	return crowdMember{reads: true, send: func(w io.Writer, id string) {
		_, _ = io.WriteString(w, head("POST", "/safe/body", id, framing, "Expect: 100-continue"))
	}}
}

func silent() crowdMember { return crowdMember{reads: true, send: func(io.Writer, string) {}} }

// Chunk extensions and trailers without end, as a line and as many short ones.
var (
	longExtension   = withoutEnd("1;x=", "e", 1<<20)
	shortExtensions = withoutEnd("", "1;extension=0123456789\r\nx\r\n", 1<<20)
	longTrailer     = withoutEnd("1\r\nx\r\n0\r\nX-Trailer: ", "t", 1<<20)
	shortTrailers   = withoutEnd("1\r\nx\r\n0\r\n", "X-Trailer: t\r\n", 1<<20)
)

// Guards against bodies that stop short of their end and take the memory of the daemon.
func TestCrowdBodiesInLargeChunks(t *testing.T) {
	newCrowdTarget(t).endure(t, crowdClients, chunkedBody(120<<10, 8<<10))
}

// Guards against bodies with a length that stop short of it and take the memory of the daemon.
func TestCrowdBodiesShortOfTheirLength(t *testing.T) {
	newCrowdTarget(t).endure(t, crowdClients, sizedBody(127<<10))
}

// Guards against long bodies without end whose parts take the memory of the daemon.
func TestCrowdLongBodiesStayOpen(t *testing.T) {
	newCrowdTarget(t).endure(t, crowdClients, chunkedBody(384<<10, 16<<10))
}

// Guards against bodies in one-byte chunks that take the memory of the daemon.
func TestCrowdBodiesInOneByteChunks(t *testing.T) {
	newCrowdTarget(t).endure(t, crowdClients, chunkedBody(120<<10, 1))
}

// Guards against pipelined requests with long heads that take the memory of the daemon.
func TestCrowdPipelinedHeads(t *testing.T) {
	newCrowdTarget(t).endure(t, crowdClients, pipelinedHeads(16))
}

// Guards against connections that send nothing and take all descriptors.
func TestCrowdSilentConnections(t *testing.T) {
	newCrowdTarget(t).endure(t, crowdSilent, silent())
}

// Guards against clients that are told to send a body, never do, and take the memory or the descriptors of the daemon.
func TestCrowdExpectContinueWithoutBody(t *testing.T) {
	newCrowdTarget(t).endure(t, crowdClients, expectingBody("Content-Length: 1048576"), expectingBody("Transfer-Encoding: chunked"),
		expectingBody("Content-Length: 100"))
}

// Guards against answers that are not read and take the memory of the daemon.
func TestCrowdUnreadAnswers(t *testing.T) {
	newCrowdTarget(t).endure(t, crowdClients, unreadAnswers())
}

// Guards against chunk extensions and trailers without end that take the memory of the daemon.
func TestCrowdExtensionsAndTrailers(t *testing.T) {
	newCrowdTarget(t).endure(t, crowdClients, longExtension, shortExtensions, longTrailer, shortTrailers)
}

// Guards against a daemon that survives each kind of client, but not all together.
func TestCrowdOfAllKinds(t *testing.T) {
	newCrowdTarget(t).endure(t, crowdSilent, chunkedBody(120<<10, 8<<10), sizedBody(127<<10), chunkedBody(384<<10, 16<<10),
		chunkedBody(120<<10, 1), pipelinedHeads(16), silent(), unreadAnswers(), longExtension, shortExtensions, longTrailer, shortTrailers)
}

// Guards against limits that a single request inside the limits of the pages meets.
func TestCrowdLimitsServeLongestBody(t *testing.T) {
	target := newCrowdTarget(t)
	for _, form := range []string{"a length", "chunks"} {
		Convey("A body of 64 MiB with "+form+" is served within the memory limit", t, func() {
			conn, err := net.Dial("tcp", target.callers)
			So(err, ShouldBeNil)
			defer conn.Close()
			go sendLongestBody(conn, form == "chunks")
			status, body := readAnswer(conn)
			So(status, ShouldEqual, http.StatusOK)
			So(body, ShouldEqual, fmt.Sprint("bytes: ", crowdMaxBody))
			So(target.process.memory(t).peak, ShouldBeLessThan, crowdMemoryMB<<10)
		})
	}
}

func sendLongestBody(w io.Writer, chunked bool) {
	part := strings.Repeat("b", 1<<20)
	framing := fmt.Sprint("Content-Length: ", crowdMaxBody)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	_, err := io.WriteString(w, head("POST", "/unsafe/body", "longest-"+framing[:7], framing))
	for sent := 0; sent < crowdMaxBody && err == nil; sent += len(part) {
		if chunked {
			_, _ = fmt.Fprintf(w, "%x\r\n", len(part))
		}
		_, err = io.WriteString(w, part)
		if chunked {
			_, _ = io.WriteString(w, "\r\n")
		}
	}
	if chunked {
		_, _ = io.WriteString(w, "0\r\n\r\n")
	}
}

// readAnswer returns the status and body of an answer, 0 if there is none.
func readAnswer(conn net.Conn) (int, string) {
	_ = conn.SetReadDeadline(time.Now().Add(crowdHangLimit))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err.Error()
	}
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}
