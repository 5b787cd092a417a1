package pipeline

import (
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/core/membudget"
)

const (
	// connBytes is what an open connection takes: its buffers, goroutine and timers.
	connBytes = 16 << 10
	// requestBytes is what a request in flight takes: two goroutines, its context, and a head and a body of
	// up to smallBytes each.
	requestBytes = 48 << 10
	// smallBytes is the length of a head or body up to which requestBytes covers it.
	smallBytes = 4 << 10
	// fieldBytes is what a header field takes beside the bytes of its name and value.
	fieldBytes = 128
	// headFactor is the ratio of the memory for a head to its length: it is parsed here, and copied for the
	// daemon that handles the request.
	headFactor = 3
	// roomTimeout bounds the wait for room for a request. Callers give up one that is not read within a second.
	roomTimeout = time.Second
	// refusalRetryAfter is the Retry-After of a refusal in seconds.
	refusalRetryAfter = "1"
	// evictionInterval is how often callers that send too slowly are looked for while a reservation waits.
	evictionInterval = 100 * time.Millisecond
	// evictionShare is the share of the budget that one search frees at most.
	evictionShare = 1.0 / 8
)

var (
	// errNoRoom ends a request that found no room in the memory budget. It was not handled.
	errNoRoom = errors.New("no room in the memory budget")
	// ErrTooSlow ends the reading of a body whose caller sends too slowly while the budget is pressed. A handler
	// gets it for the rest of a long body.
	ErrTooSlow = errors.New("the caller sends too slowly while memory is short")
)

// pace returns the least pace of callers while the budget is pressed.
func (l Limits) pace() membudget.Pace {
	pace := membudget.Pace{Bytes: l.HeaderBytes, Time: l.HeaderTimeout}
	if l.BodyPace > 0 {
		pace.Bytes = max(int64(float64(l.BodyPace)*l.HeaderTimeout.Seconds()), 1)
	}
	return pace
}

// awaitRoom waits until a connection may be accepted, or closing is closed. Connections that have never sent
// a request make room.
func (s *Server) awaitRoom(closing <-chan struct{}) {
	for !s.Descriptors.HasRoom(membudget.NewConnection, 1) || !s.Memory.HasRoom(membudget.NewConnection, connBytes) {
		s.evict()
		select {
		case <-closing:
			return
		case <-time.After(drainInterval):
		}
	}
}

// reserve reserves memory, and waits for it until the deadline or until the connection is closed here.
func (c *conn) reserve(h membudget.Holder, p membudget.Priority, n int64, deadline time.Time) error {
	s := c.server
	if s.Memory.TryReserve(h, p, n) {
		return nil
	}
	w := s.Memory.Wait(h, p, n)
	c.setUnread(true)
	defer c.setUnread(false)
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	ticker := time.NewTicker(evictionInterval)
	defer ticker.Stop()
	for {
		err := errNoRoom
		select {
		case <-w.Granted():
			return nil
		case <-ticker.C:
			s.evict()
			continue
		case <-c.ctx.Done():
			err = net.ErrClosed
		case <-timeout.C:
		}
		if w.Cancel() {
			return err
		}
		return nil
	}
}

// setUnread records that the connection is not read because memory is short, or no longer.
func (c *conn) setUnread(unread bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if unread {
		c.unreadSince = time.Now()
		return
	}
	waited := time.Since(c.unreadSince)
	c.unreadSince = time.Time{}
	if !c.received.begun.IsZero() {
		c.received.begun, c.received.latest = c.received.begun.Add(waited), c.received.latest.Add(waited)
	}
}

// progress is how much of a body has been received: of its first part or, as the handler reads it, of its rest.
// Times are later than the real ones by the time in which the connection was not read.
type progress struct {
	begun, latest time.Time
	bytes, held   int64
}

// beginRest records that the rest of a body is being read. It returns false if its request is to be ended.
func (c *conn) beginRest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return false
	}
	now := time.Now()
	switch {
	case c.rest.begun.IsZero():
		c.rest = progress{begun: now, latest: now, held: BodyBufferSize}
	case c.rest.bytes >= BodyBufferSize:
		// The mean is that of the latest part, so that a caller can't earn time with earlier ones.
		c.rest.begun, c.rest.latest, c.rest.bytes = now, now, 0
	default:
		unread := now.Sub(c.restRead)
		c.rest.begun, c.rest.latest = c.rest.begun.Add(unread), c.rest.latest.Add(unread)
	}
	c.received = c.rest
	return true
}

// endRest records that n bytes of the rest of a body have been read.
func (c *conn) endRest(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restRead = time.Now()
	c.received = progress{}
	if n > 0 {
		c.rest.bytes, c.rest.latest = c.rest.bytes+int64(n), c.restRead
	}
}

// evict ends the requests, and the connections without any, whose callers are slower than the pace.
func (s *Server) evict() {
	now, last := time.Now(), s.lastEviction.Load()
	if now.UnixNano()-last < int64(evictionInterval) || !s.lastEviction.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	pace := s.Limits().pace()
	var slow []*conn
	for _, c := range s.openConns() {
		if c.isSlow(now, pace) {
			slow = append(slow, c)
		}
	}
	// Those that have received least are the least finished.
	slices.SortFunc(slow, func(a, b *conn) int { return int(a.lastHeld.Load() - b.lastHeld.Load()) })
	bytes, connections := int64(0), int64(0)
	for _, c := range slow {
		if bytes > int64(evictionShare*float64(s.Memory.Limit())) || connections > int64(evictionShare*float64(s.Descriptors.Limit())) {
			return
		}
		bytes += connBytes + c.lastHeld.Load()
		connections++
		c.evict()
	}
}

// isSlow reports whether the connection waits for a caller that is slower than the pace, before its first
// request or in a body.
func (c *conn) isSlow(now time.Time, pace membudget.Pace) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.retiring || c.closing || !c.unreadSince.IsZero():
		return false
	case c.awaiting:
		elapsed := now.Sub(c.opened)
		return c.latest == nil && pace.Missed(elapsed, elapsed, 0)
	case c.received.begun.IsZero():
		return false
	}
	c.lastHeld.Store(c.received.held)
	return pace.Missed(now.Sub(c.received.begun), now.Sub(c.received.latest), c.received.bytes)
}

// evict closes the connection if no request has been received, or ends the reading of a body.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaiting && c.latest == nil {
		c.retiring = true
		_ = c.netConn.SetReadDeadline(time.Now())
		return
	}
	if !c.received.begun.IsZero() {
		c.evicted = true
		c.receiveDeadline = time.Unix(1, 0)
		_ = c.netConn.SetReadDeadline(c.receiveDeadline)
	}
}

// growingHead reads a connection, and reserves memory before it reads the part of a head that requestBytes
// does not cover. It is used by the goroutine that reads the connection.
type growingHead struct {
	source io.Reader
	conn   *conn
	active bool
	bytes  int64 // of the head that have been read
	held   int64 // what has been reserved
	err    error // why the head can't be read on
}

// Read implements io.Reader.
func (g *growingHead) Read(p []byte) (int, error) {
	if g.active && g.held == 0 && g.bytes > smallBytes {
		if g.err = g.reserve(); g.err != nil {
			return 0, g.err
		}
	}
	n, err := g.source.Read(p)
	g.bytes += int64(n)
	return n, err
}

// reserve reserves for a head of the longest length. Time in which there is no room does not count for the
// caller.
func (g *growingHead) reserve() error {
	limits := g.conn.server.Limits()
	n := max(headFactor*limits.HeaderBytes, smallBytes)
	if g.conn.server.Memory.TryReserve(membudget.Requests, membudget.Large, n) {
		g.held = n
		return nil
	}
	if err := g.conn.reserve(membudget.Requests, membudget.Large, n, time.Now().Add(roomTimeout)); err != nil {
		return err
	}
	g.held = n
	if limits.HeaderTimeout > 0 {
		g.conn.setReceiveDeadline(time.Now().Add(limits.HeaderTimeout))
	}
	return nil
}

func (g *growingHead) begin(buffered int) {
	g.active, g.bytes, g.held, g.err = true, int64(buffered), 0, nil
}

// end returns what the head takes beside requestBytes, and keeps that reserved.
func (g *growingHead) end(r *http.Request) int64 {
	g.active = false
	need := max(headBytes(r)-headFactor*smallBytes, 0)
	if need > g.held {
		g.conn.server.Memory.Force(membudget.Requests, need-g.held)
	} else {
		g.conn.server.Memory.Release(membudget.Requests, g.held-need)
	}
	return need
}

// abort releases what was reserved for a head that could not be read.
func (g *growingHead) abort() {
	g.active = false
	g.conn.server.Memory.Release(membudget.Requests, g.held)
	g.held = 0
}

// headBytes returns what the head of a request takes.
func headBytes(r *http.Request) int64 {
	n := headFactor * len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += fieldBytes + headFactor*(len(name)+len(v))
		}
	}
	return int64(n)
}

// FirstPart is implemented by the bodies of requests whose first part was read before the handler is called.
type FirstPart interface {
	// TakeFirst returns that part without a copy, and whether more may follow, which Read returns. It may be
	// called once, before Read.
	TakeFirst() (data []byte, more bool)
}

// wholeBody is a body that was read completely.
type wholeBody struct{ data []byte }

// Read implements io.Reader.
func (b *wholeBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *wholeBody) Close() error { return nil }

// TakeFirst implements FirstPart.
func (b *wholeBody) TakeFirst() ([]byte, bool) {
	data := b.data
	b.data = nil
	return data, false
}

// TakeFirst implements FirstPart.
func (b *streamedBody) TakeFirst() ([]byte, bool) {
	b.reading.Lock()
	defer b.reading.Unlock()
	data := b.buffered
	b.buffered = nil
	return data, true
}

// readFirst reads the first part of a body: up to BodyBufferSize bytes, or all of a shorter one. It reserves
// what a buffer takes before it reads on, and returns the sum of that also with an error.
func (c *conn) readFirst(body *timeoutBody, length int64) (data []byte, held int64, err error) {
	size := int64(smallBytes)
	if length >= 0 && length < size {
		size = length + 1
	}
	data = make([]byte, 0, size)
	for len(data) < BodyBufferSize {
		if len(data) == cap(data) {
			size = min(2*int64(cap(data)), BodyBufferSize)
			if length >= int64(len(data)) {
				size = min(size, length+1)
			}
			if err := c.reserve(membudget.Bodies, membudget.Large, size-held, time.Now().Add(roomTimeout)); err != nil {
				return data, held, err
			}
			held = size
			data = append(make([]byte, 0, size), data...)
			c.mu.Lock()
			c.received.held = held
			c.mu.Unlock()
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if n > 0 && !c.countReceived(int64(len(data))) {
			return data, held, ErrTooSlow
		}
		if err == io.EOF {
			return data, held, nil
		}
		if err != nil {
			return data, held, c.bodyError(err)
		}
	}
	return data, held, nil
}

// countReceived records how much of a body has been received. It returns false if its request is to be ended.
func (c *conn) countReceived(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received.bytes, c.received.latest = n, time.Now()
	return !c.evicted
}

// bodyError returns why a body could not be read.
func (c *conn) bodyError(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted && errors.Is(err, os.ErrDeadlineExceeded) {
		return ErrTooSlow
	}
	return err
}

// refuse answers a request that was not handled, and reports whether err is a reason to.
func (ex *exchange) refuse(err error) bool {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, ErrTooSlow):
		status = http.StatusRequestTimeout
	case !errors.Is(err, errNoRoom):
		return false
	}
	c := ex.conn
	c.server.Reject(c.netConn.RemoteAddr(), status, err)
	ex.request.Close = true
	w := newResponse(ex)
	w.Header().Set("Content-Length", "0")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", refusalRetryAfter)
	}
	w.WriteHeader(status)
	w.finish()
	return true
}
