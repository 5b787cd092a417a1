// Package hopheader separates end-to-end HTTP headers, which a proxy forwards, from hop-by-hop
// headers, which concern a single connection.
package hopheader

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop holds the headers that are not forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// EndToEnd returns the end-to-end headers of h. The values are shared with h.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	Copy(out, h)
	return out
}

// Copy sets the end-to-end headers of src in dst. The values are shared with src.
func Copy(dst, src http.Header) {
	named := connectionOptions(src)
	for name, values := range src {
		if !hopByHop[name] && !named[name] {
			dst[name] = values
		}
	}
}

// connectionOptions returns the names of the headers that the Connection header lists. These
// are hop-by-hop, too.
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
