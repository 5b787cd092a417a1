package answercheck

import (
	"fmt"
	"net/http"
	"strings"
)

// Version returns an *Error if the version of an answer is not HTTP/1.x, or is below 1.1 although the head has a Transfer-Encoding field:
// its framing is faulty then (RFC 9112, 6.1), and net/http leaves the lines of the chunks in the body. hasEncoding says whether the head has
// that field, which net/http takes out of the header.
func Version(resp *http.Response, hasEncoding bool) error {
	switch {
	case resp.ProtoMajor != 1:
		return &Error{InvalidVersion, fmt.Sprintf("version %q", resp.Proto)}
	case hasEncoding && !resp.ProtoAtLeast(1, 1):
		return &Error{InvalidVersion, fmt.Sprintf("version %q with Transfer-Encoding", resp.Proto)}
	}
	return nil
}

// Content returns an *Error if a final answer has content that its status does not allow (RFC 9110, 15.3.5 and 15.3.6). Body checks a status 205
// whose length is not stated.
func Content(resp *http.Response) error {
	switch resp.StatusCode {
	case http.StatusNoContent:
		// Some servers send a length of 0, which RFC 9110, 8.6, does not allow and which hides nothing.
		length := resp.Header.Get("Content-Length")
		if length == "" || length == "0" {
			if len(resp.TransferEncoding) == 0 && resp.ContentLength <= 0 {
				return nil
			}
		}
	case http.StatusResetContent:
		if resp.ContentLength <= 0 || resp.Request.Method == http.MethodHead {
			return nil
		}
	default:
		return nil
	}
	return &Error{StatusMismatch, fmt.Sprintf("status %03d with content", resp.StatusCode)}
}

// Requested returns an *Error if a final answer is a part or a repetition of content that its request, resp.Request, did not ask for (RFC 9110,
// 15.3.7 and 15.4.5). It is for answers that are passed on: a protocol may give these statuses to requests with conditions of its own.
func Requested(resp *http.Response) error {
	problem := ""
	switch resp.StatusCode {
	case http.StatusPartialContent:
		switch {
		case resp.Request.Method != http.MethodGet || resp.Request.Header.Get("Range") == "":
			problem = "to a request without a range"
		case resp.Header.Get("Content-Range") == "" && !strings.HasPrefix(resp.Header.Get("Content-Type"), "multipart/byteranges"):
			problem = "without a range"
		}
	case http.StatusNotModified:
		if !isConditional(resp.Request) {
			problem = "to a request without a condition"
		}
	}
	if problem == "" {
		return nil
	}
	return &Error{StatusMismatch, fmt.Sprintf("status %03d %s", resp.StatusCode, problem)}
}

// Fits returns an *Error if the status of an answer that is passed on does not fit its content or its request.
func Fits(resp *http.Response) error {
	if err := Content(resp); err != nil {
		return err
	}
	return Requested(resp)
}

// isConditional reports whether an answer to the request may say that its content has not been modified.
func isConditional(r *http.Request) bool {
	return (r.Method == http.MethodGet || r.Method == http.MethodHead) &&
		(r.Header.Get("If-None-Match") != "" || r.Header.Get("If-Modified-Since") != "")
}
