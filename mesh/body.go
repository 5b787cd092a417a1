package mesh

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/internal/pipeline"
	"github.com/hawthornpoint/hawthornpoint/resultcode"
)

// bodyPart is a part of a request's body, or the error with which reading it failed.
type bodyPart struct {
	data []byte
	last bool
	err  error
}

// bodyRest is the part of a caller's body that is read while the request is being handled. One
// goroutine reads it for all attempts, and ends with the request. If it waits for the caller
// then, the server of the connection ends that read.
type bodyRest struct {
	parts chan bodyPart // unbuffered; nil until an attempt needs the first part
	ended chan struct{} // closed when the request has ended

	// sending is closed when the goroutine that sends parts to the upstream of the latest
	// attempt has ended. It is nil before the first one. The goroutine owns the fields below
	// until then.
	sending  chan struct{}
	unsent   *bodyPart // a part that the attempt took and could not send
	consumed bool      // a part was sent, so that the body can't be sent again
	err      error     // the body could not be read
}

// readRest reads the body in parts, to its end or until the request has ended.
func (c *callerRequest) readRest() {
	b := &c.rest
	defer c.daemon.recoverPanic(panicBody, &c.head.ID, func() {
		select {
		case b.parts <- bodyPart{err: errPanicked}:
		case <-b.ended:
		}
	})
	for {
		data, last, err := readPart(c.r.Body, c.daemon.partBytes(0), -1)
		select {
		case b.parts <- bodyPart{data, last, err}:
		case <-b.ended:
			return
		}
		if last || err != nil {
			return
		}
	}
}

// next returns the next part, nil if ctx has ended before there is one.
func (b *bodyRest) next(ctx context.Context) *bodyPart {
	if part := b.unsent; part != nil {
		b.unsent = nil
		return part
	}
	select {
	case part := <-b.parts:
		return &part
	case <-ctx.Done():
		return nil
	}
}

// send sends the parts to the upstream of one attempt until ctx ends. It calls fail if the body
// can't be read.
func (b *bodyRest) send(ctx context.Context, send func(data []byte, last bool) error, fail func()) {
	for part := b.next(ctx); part != nil; part = b.next(ctx) {
		if part.err != nil {
			b.err = part.err
			fail()
			return
		}
		if err := send(part.data, part.last); err != nil {
			b.unsent = part
			return
		}
		b.consumed = true
		if part.last {
			return
		}
	}
}

// wait waits for the end of the goroutine that sends parts. The attempt must have ended.
func (b *bodyRest) wait() {
	if b.sending != nil {
		<-b.sending
	}
}

// sendRest starts to send the rest of the body, if there is one, to the upstream of an attempt.
// It ends with ctx. fail ends the attempt when the body can't be read.
func (c *callerRequest) sendRest(ctx context.Context, send func(data []byte, last bool) error, fail func()) {
	if !c.more {
		return
	}
	rest := &c.rest
	if rest.parts == nil {
		rest.parts = make(chan bodyPart)
		go c.readRest()
	}
	rest.wait()
	sending := make(chan struct{})
	rest.sending = sending
	go func() {
		defer close(sending)
		defer c.daemon.recoverPanic(panicBody, &c.head.ID, func() {
			rest.err = errPanicked
			fail()
		})
		rest.send(ctx, send, fail)
	}()
}

// refuseBody ends a request whose body can't be read. It returns false if the caller has left
// or sends too slowly, so that no answer is due: a part of the request may have been sent on.
func (c *callerRequest) refuseBody() bool {
	err := c.bodyErr
	var tooLarge *http.MaxBytesError
	var failed net.Error
	switch {
	case errors.As(err, &tooLarge):
		c.refuse(resultcode.BodyTooLarge, 0, "body_size")
	case errors.As(err, &failed), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, errPanicked), errors.Is(err, pipeline.ErrTooSlow):
		return false
	default:
		c.refuse(resultcode.BadRequest, 0, "body_code")
	}
	return true
}
