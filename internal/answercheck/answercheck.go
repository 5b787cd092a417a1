package answercheck

import (
	"fmt"
	"io"
	"net/http"
	"net/textproto"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/hawthornpoint/hawthornpoint/core/answerclass"
	"github.com/hawthornpoint/hawthornpoint/internal/connend"
	"github.com/hawthornpoint/hawthornpoint/internal/finalstatus"
)

// Reason says in what way an answer is broken, for counters.
type Reason string

// Reasons. Those of Contradiction are the defects of package answerclass.
const (
	Status Reason = "invalid_status" // outside the protocol, or 101
	Field  Reason = "invalid_field"  // a field of a head or of a trailer can't be read, or its name is no token
	// InvalidVersion: not HTTP/1.x, or one below 1.1 with Transfer-Encoding.
	InvalidVersion Reason = "invalid_version"
	// StatusMismatch: the status does not fit the content or the request.
	StatusMismatch Reason = "status_mismatch"
	FailedEnd      Reason = "failed_end" // the connection failed in an answer without a length
)

// Error is what is wrong with an answer.
type Error struct {
	Reason Reason
	text   string
}

// Error implements error.
func (e *Error) Error() string { return e.text }

// ReasonOf returns the reason in the chain of an error of reading an answer, empty if there is none.
func ReasonOf(err error) Reason {
	var invalid *Error
	var malformed textproto.ProtocolError // of http.ReadResponse
	switch {
	case errors.As(err, &invalid):
		return invalid.Reason
	case errors.As(err, &malformed):
		return Field
	case errors.Is(err, connend.ErrFailed):
		return FailedEnd
	}
	return ""
}

// Contradiction returns the error of an answer whose head contradicts itself. Its reason is the defect.
func Contradiction(status int, defect answerclass.Defect) *Error {
	return &Error{Reason(defect), fmt.Sprintf("status %03d %s", status, defect.Explain())}
}

// Invalid reports whether an error of reading an answer says that the server wrote one that is not valid, and not that
// its connection failed.
func Invalid(err error) bool {
	reason := ReasonOf(err)
	return reason != "" && reason != FailedEnd
}

// Head returns an *Error if the head of an answer, final or interim, is not valid.
func Head(status int, header http.Header) error {
	if finalstatus.Interim(status) {
		return checkNames(header)
	}
	return Final(status, header)
}

// Final returns an *Error if the head is not that of a valid final answer.
func Final(status int, header http.Header) error {
	if !finalstatus.Valid(status) {
		return &Error{Status, fmt.Sprintf("invalid status %03d", status)}
	}
	return checkNames(header)
}

// Body returns the body of an answer. Reading it fails with an *Error in place of io.EOF if the trailer behind it is not valid, and
// at the first byte behind a status 205.
func Body(resp *http.Response) io.ReadCloser {
	if resp.Body == http.NoBody {
		return resp.Body
	}
	return &body{resp.Body, resp}
}

type body struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && b.response.StatusCode == http.StatusResetContent {
		return 0, &Error{StatusMismatch, "status 205 with content"}
	}
	if err == io.EOF {
		if invalid := checkNames(b.response.Trailer); invalid != nil {
			return n, invalid
		}
	}
	return n, err
}

// checkNames returns an *Error if the name of a field is no token (RFC 9110, 5.1). net/http takes blanks in names: it neither
// recognises such a field, which may be one that frames the answer, nor passes it on.
func checkNames(fields http.Header) error {
	for name, values := range fields {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) { // net/http lists announced trailer fields without values
			return &Error{Field, fmt.Sprintf("field name %q is not a token", name)}
		}
	}
	return nil
}
