package mesh

import (
	"bytes"
	"fmt"
	"net/http"
	"runtime/debug"
	"runtime/pprof"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/core/replica"
)

// maxStackBytes bounds the stacks in one log line.
const maxStackBytes = 4 << 10

// errPanicked is the error of a part of a request that ended with a panic.
var errPanicked = errors.New("panic; see the log")

// Parts of the handling of a request in which a panic ends only that request.
const (
	panicCaller     = "caller"
	panicConnection = "connection"
	panicBody       = "body"
	panicPeer       = "peer"
	panicExchange   = "exchange"
	panicItem       = "item" // the decoding of an item of the store, not of a request
)

// stateMutex is a mutex that notes a panic of a critical section that unlocks it with defer. The
// state that it guards may then be half changed.
type stateMutex struct {
	sync.Mutex
	panicked atomic.Bool
}

// Unlock implements sync.Locker.
func (m *stateMutex) Unlock() {
	v := recover()
	if v != nil {
		m.panicked.Store(true)
	}
	m.Mutex.Unlock()
	if v != nil {
		panic(v)
	}
}

// recoverPanic, deferred, ends a panic in the handling of one request, logs it and calls fail to
// end that request. It does not end http.ErrAbortHandler, nor a panic of code that held d.mu:
// with state that is half changed, the process ends rather than go on.
func (d *Daemon) recoverPanic(where string, id *string, fail func()) {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler || d.mu.panicked.Load() {
		panic(v)
	}
	d.logPanic(where, *id, v)
	fail()
}

// releaseOnPanic, deferred, cancels an attempt and releases its slot when a panic passes.
func (d *Daemon) releaseOnPanic(a *localAttempt) {
	v := recover()
	if v == nil {
		return
	}
	if !d.mu.panicked.Load() {
		a.abandon()
		d.dropSlot(a)
	}
	panic(v)
}

func (d *Daemon) dropSlot(a *localAttempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, a.id)
	d.limiter.Cancel(a.id)
	d.deliverDecisions(d.limiter.Release(time.Now(), a.id))
}

// recoverCall is recoverPanic for a call of a peer about an attempt. The call ends with an error,
// and the attempt is cancelled.
func (c *PeerConn) recoverCall(id uint64, err *error) {
	v := recover()
	if v == nil {
		return
	}
	if c.daemon.mu.panicked.Load() {
		panic(v)
	}
	request := ""
	if a := c.findAttempt(id); a != nil {
		request = a.requestID
	}
	c.daemon.logPanic(panicPeer, request, v)
	c.removeAttempt(id)
	*err = errPanicked
}

// decodeAt decodes an item of the store at a time of day. A panic is an error: the item may be read again after each start,
// so that the process would end again and again.
func (d *Daemon) decodeAt(timeOfDay time.Time, item replica.Item) (change Change, err error) {
	defer func() {
		if v := recover(); v != nil {
			d.logPanic(panicItem, item.Key, v)
			change, err = Change{}, errPanicked
		}
	}()
	return d.opts.Decoder.Decode(timeOfDay, item)
}

func (d *Daemon) logPanic(where, id string, v any) {
	stack := debug.Stack()
	d.metrics.Count(metricPanics, where)
	d.log.Error(eventPanic, zap.String("id", id), zap.String("where", where), zap.String("error", fmt.Sprint(v)),
		zap.ByteString("stack", stack[:min(len(stack), maxStackBytes)]))
}

// commonStacks returns the stacks of the goroutines, the most frequent ones first, up to maxStackBytes.
func commonStacks() []byte {
	var text bytes.Buffer
	if err := pprof.Lookup("goroutine").WriteTo(&text, 1); err != nil {
		return []byte(err.Error())
	}
	return text.Bytes()[:min(text.Len(), maxStackBytes)]
}
