package mesh

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/hawthornpoint/hawthornpoint/core/answerclass"
	"github.com/hawthornpoint/hawthornpoint/core/membudget"
	"github.com/hawthornpoint/hawthornpoint/internal/answercheck"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// pendingAnswer is an answer that has not been passed on. more fetches the next part of its
// body, and cancel ends its attempt.
type pendingAnswer struct {
	answer *Answer
	header http.Header // of answer
	more   func() (MoreReply, error)
	cancel func()
}

// continues reports whether further parts of the answer's body are to be fetched. The rest of the
// request's body is sent until then.
func (a *pendingAnswer) continues() bool { return a != nil && a.answer != nil && a.answer.More }

// drop cancels an answer that is not passed on.
func (a *pendingAnswer) drop() {
	if a != nil && a.cancel != nil {
		a.cancel()
	}
}

// unpackAnswer decodes and checks the head of an answer to the request, if there is one.
func (d *Daemon) unpackAnswer(r *http.Request, a *pendingAnswer) (err error) {
	if a == nil || a.answer == nil {
		return nil
	}
	if a.header, err = d.headers.unpack(a.answer.Header); err != nil {
		return err
	}
	if err := answercheck.Final(a.answer.Status, a.header); err != nil {
		return err
	}
	switch class, defect := answerclass.Classify(d.convention.Run(a.answer.Status, a.header)); {
	case class == answerclass.Broken:
		return answercheck.Contradiction(a.answer.Status, defect)
	case class.Refused():
		return errors.Errorf("status %d of a request that was not run, passed on as an answer", a.answer.Status)
	}
	length := int64(len(a.answer.Body))
	if a.answer.More {
		length++
	}
	return answercheck.Fits(&http.Response{StatusCode: a.answer.Status, Header: a.header, ContentLength: length, Request: r})
}

// holdPart counts a part of an answer in the memory budget, until release is called.
func (c *callerRequest) holdPart(length int) (release func()) {
	n := int64(length)
	if n <= coveredPartBytes {
		return func() {}
	}
	c.daemon.memory.Force(membudget.Answers, n)
	return func() { c.daemon.memory.Release(membudget.Answers, n) }
}

// writeParts passes the body of an answer on. Each part counts in the memory budget until the caller has taken
// it, also while earlier responses of the connection are on their way.
func (c *callerRequest) writeParts(a *pendingAnswer) error {
	release := c.holdPart(len(a.answer.Body))
	defer func() { release() }()
	c.w.WriteHeader(a.answer.Status)
	_, err := c.w.Write(a.answer.Body)
	a.answer.Body = nil // not held while the caller reads the rest
	for more := a.answer.More; more && err == nil; {
		release()
		release = func() {}
		var part MoreReply
		if part, err = a.more(); err != nil {
			break
		}
		release = c.holdPart(len(part.Data))
		_, err = c.w.Write(part.Data)
		more = !part.Last
	}
	return err
}

// hasOwnLength reports whether an answer of the status states the length of its content. A 204 has none, and a 304 may only state that of the content which
// was not sent (RFC 9110, 8.6).
func hasOwnLength(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// deliver passes the answer on to the caller. If the answer is cut short, the caller's
// connection is closed, so that the answer can't seem complete.
func (c *callerRequest) deliver(a *pendingAnswer) {
	h := c.w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	c.daemon.convention.Restore(c.head.ID, h)
	if !a.answer.More && c.r.Method != http.MethodHead && hasOwnLength(a.answer.Status) {
		h.Set("Content-Length", strconv.Itoa(len(a.answer.Body)))
	}
	if err := c.writeParts(a); err != nil {
		a.drop()
		c.daemon.recordOutcome(c, outcomeTruncated)
		c.daemon.log.Info(eventTruncated, zap.String("id", c.head.ID), errorField(err))
		panic(http.ErrAbortHandler)
	}
	if a.answer.More {
		c.recordDelivered()
	}
	if a.answer.Failed {
		c.daemon.recordOutcome(c, outcomeFailed)
	} else {
		c.daemon.recordOutcome(c, outcomeAnswered)
	}
	c.daemon.logAnswered(c, a.answer.Failed)
}

func (c *callerRequest) recordDelivered() {
	c.daemon.mu.Lock()
	defer c.daemon.mu.Unlock()
	c.daemon.dispatcher.RecordDelivered(time.Now(), c.outgoing)
}

// refuse sends a final answer of the daemon itself.
func (c *callerRequest) refuse(code resultcode.Code, retryAfter time.Duration, reason string) {
	d := c.daemon
	status := d.convention.Refuse(c.w.Header(), code, retryAfter)
	d.logRefusal(c, code, status, retryAfter, reason)
	c.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, code.String()+"\n")
}
