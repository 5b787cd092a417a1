// Package headlimit bounds what is read as the head of an HTTP message, which is its first line and
// its header. net/http reads the heads of responses, and outside its own server those of requests,
// without a bound, and a head of many short fields takes many times its length.
package headlimit

import (
	"bytes"
	"io"

	"github.com/go-faster/errors"
)

// DefaultBytes is the bound for the head of an answer. Heads of answers have some hundred bytes, with
// large cookies a few KB.
const DefaultBytes = 64 << 10

// ErrTooLarge is returned by Read when a head exceeds a limit. A parser may report the incomplete
// line instead; Exceeded tells then.
var ErrTooLarge = errors.New("the head of the message exceeds the limit")

// Limits bound a head, or several heads together. 0 means no bound.
type Limits struct {
	Bytes int64
	Lines int
}

// Reader reads a connection and bounds the heads among what it reads. It may read beyond the end of a
// head; such bytes count for the next one, if they are passed to Begin or Next. It is not safe for
// concurrent use.
type Reader struct {
	source io.Reader
	active bool // a head is being read, from Begin or Next to End

	limits    Limits // as given to Begin
	bytesLeft int64
	linesLeft int
	inHead    bool // the empty line that ends the head has not been read
	lineBegun bool // the current line has content
	exceeded  bool
	// encodingMatched is the number of bytes of encodingField with which the current line began, -1 if it differs. hasEncoding says that a
	// line of the head began with all of them.
	encodingMatched int
	hasEncoding     bool
}

// encodingField is the name of the field that frames a message, in lower case and with the colon behind it.
const encodingField = "transfer-encoding:"

// NewReader returns a Reader that does not limit anything until Begin is called.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Begin applies the limits to the next head, whose begin may be in buffered, the bytes that were read and
// not yet parsed.
func (r *Reader) Begin(limits Limits, buffered []byte) {
	r.limits, r.bytesLeft, r.linesLeft = limits, limits.Bytes, limits.Lines
	r.Next(buffered)
}

// Next applies what is left of the limits to a further head, as Begin does.
func (r *Reader) Next(buffered []byte) {
	r.active, r.inHead, r.lineBegun = true, true, false
	r.encodingMatched, r.hasEncoding = 0, false
	r.count(buffered)
}

// End ends the limits until the next call of Begin or Next. It is called when a head has been read.
func (r *Reader) End() { r.active = false }

// Exceeded reports whether a head has exceeded a limit, also if it could be read completely.
func (r *Reader) Exceeded() bool { return r.exceeded }

// HasTransferEncoding reports whether the latest head has a Transfer-Encoding field, which net/http takes out of the header before it can be
// seen.
func (r *Reader) HasTransferEncoding() bool { return r.hasEncoding }

// Read implements io.Reader. It returns ErrTooLarge when a limit is exceeded.
func (r *Reader) Read(p []byte) (int, error) {
	if !r.active {
		return r.source.Read(p)
	}
	if r.limits.Bytes > 0 {
		if r.bytesLeft <= 0 {
			r.exceeded = true
		}
		p = p[:max(min(int64(len(p)), r.bytesLeft), 0)]
	}
	if r.exceeded {
		return 0, ErrTooLarge
	}
	inHead := r.inHead
	n, err := r.source.Read(p)
	r.count(p[:n])
	if !inHead {
		r.bytesLeft -= int64(n) // whoever reads on past the head takes these bytes for a part of it
	}
	if r.exceeded {
		return 0, ErrTooLarge
	}
	return n, err
}

// count counts the bytes and lines of the head in p.
func (r *Reader) count(p []byte) {
	for r.inHead && len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		length := end + 1
		if end < 0 {
			length = len(p)
		}
		r.bytesLeft -= int64(length)
		r.matchEncoding(p[:length])
		blank := isBlank(p[:length])
		switch {
		case end < 0:
			r.lineBegun = r.lineBegun || !blank
		case blank && !r.lineBegun:
			r.inHead = false
		default:
			r.lineBegun = false
			r.linesLeft--
		}
		p = p[length:]
	}
	r.exceeded = r.exceeded || r.limits.Bytes > 0 && r.bytesLeft < 0 || r.limits.Lines > 0 && r.linesLeft < 0
}

// matchEncoding looks for encodingField at the begin of a line, of which part is the next part.
func (r *Reader) matchEncoding(part []byte) {
	for _, b := range part {
		if r.encodingMatched < 0 || r.encodingMatched == len(encodingField) {
			break
		}
		if 'A' <= b && b <= 'Z' {
			b += 'a' - 'A'
		}
		if b != encodingField[r.encodingMatched] {
			r.encodingMatched = -1
			break
		}
		r.encodingMatched++
	}
	r.hasEncoding = r.hasEncoding || r.encodingMatched == len(encodingField)
	if part[len(part)-1] == '\n' {
		r.encodingMatched = 0
	}
}

// isBlank reports whether a part of a line has no other bytes than those of a line end.
func isBlank(p []byte) bool { return len(bytes.TrimRight(p, "\r\n")) == 0 }
