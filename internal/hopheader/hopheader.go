// Package hopheader tells the HTTP headers that are passed on from those of one connection.
package hopheader

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop are the headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// EndToEnd returns the headers that are passed on. The values are shared with h.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	Copy(out, h)
	return out
}

// Copy sets the headers in to that are passed on. The values are shared with from.
func Copy(to, from http.Header) {
	named := connectionOptions(from)
	for name, values := range from {
		if !hopByHop[name] && !named[name] {
			to[name] = values
		}
	}
}

// connectionOptions returns the headers that the Connection header names.
func connectionOptions(h http.Header) map[string]bool {
	var named map[string]bool
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if named == nil {
				named = make(map[string]bool)
			}
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}
