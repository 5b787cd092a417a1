package mesh

import (
	"encoding/binary"
	"net/http"

	"github.com/go-faster/errors"
)

// commonNames are header names that are sent as one byte between daemons, in addition to those
// of the HeaderConvention. Daemons of different versions must have the same list: append only.
var commonNames = []string{
	"Accept", "Accept-Encoding", "Accept-Language", "Authorization", "Cache-Control", "Content-Encoding",
	"Content-Language", "Content-Type", "Cookie", "Date", "Etag", "Expires", "If-Match", "If-Modified-Since",
	"If-None-Match", "Last-Modified", "Location", "Origin", "Pragma", "Referer", "Server", "Set-Cookie",
	"Traceparent", "Tracestate", "User-Agent", "Vary", "Via", "X-Forwarded-For", "X-Request-Id",
}

// literalName precedes a name that is sent as a string.
const literalName = 255

// errHeaderCode is returned for a header that can't be decoded.
var errHeaderCode = errors.New("malformed header between daemons")

// headerCodec encodes headers for messages between daemons. It replaces common names by numbers,
// because traffic between availability zones is expensive and most of a small message would be
// names. It is immutable.
type headerCodec struct {
	names []string
	index map[string]int
}

func newHeaderCodec(extra []string) *headerCodec {
	c := &headerCodec{names: append(append([]string(nil), commonNames...), extra...), index: make(map[string]int)}
	for i, name := range c.names {
		c.index[name] = i
	}
	return c
}

// pack encodes a header as pairs of a name and a value. A name is one byte, its index, or
// literalName followed by the name.
func (c *headerCodec) pack(h http.Header) []byte {
	var out []byte
	for name, values := range h {
		for _, value := range values {
			if i, ok := c.index[name]; ok && i < literalName {
				out = append(out, byte(i))
			} else {
				out = appendString(append(out, literalName), name)
			}
			out = appendString(out, value)
		}
	}
	return out
}

func appendString(out []byte, s string) []byte {
	return append(binary.AppendUvarint(out, uint64(len(s))), s...)
}

// unpack decodes what pack encoded.
func (c *headerCodec) unpack(data []byte) (http.Header, error) {
	h := make(http.Header)
	for len(data) > 0 {
		i := int(data[0])
		data = data[1:]
		var name, value string
		var ok bool
		switch {
		case i < len(c.names):
			name = c.names[i]
		case i == literalName:
			if name, data, ok = cutString(data); !ok {
				return nil, errHeaderCode
			}
		default:
			return nil, errHeaderCode
		}
		if value, data, ok = cutString(data); !ok {
			return nil, errHeaderCode
		}
		h[name] = append(h[name], value)
	}
	return h, nil
}

func cutString(data []byte) (s string, rest []byte, ok bool) {
	n, size := binary.Uvarint(data)
	if size <= 0 || n > uint64(len(data)-size) {
		return "", nil, false
	}
	end := size + int(n)
	return string(data[size:end]), data[end:], true
}
