package exchange

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/go-faster/errors"
)

const (
	// formatVersion is the first byte of each message body. It is raised when
	// the dictionary or the encoding changes.
	formatVersion = 1
	// maxDigestBytes bounds an uncompressed digest. A full digest takes 10 KB.
	maxDigestBytes = 64 << 10
	// maxEnvelopeBytes bounds an uncompressed envelope: 1 MB of configuration
	// and its other fields.
	maxEnvelopeBytes = 1<<20 + 4<<10
)

// ErrMalformed is returned for a message that cannot be decoded.
var ErrMalformed = errors.New("malformed message")

// dictionary holds the text that digests and configurations have in common. Most of a
// digest is field names: with the dictionary a typical record takes 50 bytes instead
// of 290.
const dictionary = `{"rank":0,"idempotent":true,"patience_ms":2000,"retries":2,"calls":[{"service":"","kind":""}]},` +
	`{"name":"","method":"GET","path":"/","zone":"","region":"","slots":40,"connections":300},` +
	`"Reports":[{"Fingerprint":1,"Incarnation":"00000000-0000-0000-0000-000000000000","At":"20","Suspects":1,"Cleared":false,"Refused":false},` +
	`{"Sender":{"name":"","service":"","incarnation":"","started":"20","seq":1,"state":"live","peer_address":"10.0.0.","control_address":"10.0.0.",` +
	`"zone":"","region":""},"Clock":"2026-0","ConfigVersion":1,"Records":[{"name":"","service":"","incarnation":"","started":"20","seq":1,"age":1000000000,` +
	`"state":"leaving","peer_address":"10.0.0.","control_address":"10.0.0.","zone":"","region":""},` +
	`"state":"live","peer_address":"127.0.0.1:","control_address":"127.0.0.1:","zone":"","region":""}],"Reports":null}`

// compressionLevel is the lowest at which compress/flate uses a dictionary.
const compressionLevel = 2

// Writers are pooled because a flate.Writer takes 0.8 MB and 0.4 ms to set up. Readers
// take 45 KB and are needed as often.
var (
	writers = sync.Pool{New: func() any {
		w, err := flate.NewWriterDict(nil, compressionLevel, []byte(dictionary))
		if err != nil {
			panic(err) // the level is a constant
		}
		return w
	}}
	readers = sync.Pool{New: func() any { return flate.NewReaderDict(nil, []byte(dictionary)) }}
)

// encode returns v as a message body.
func encode(v any) ([]byte, error) {
	var out bytes.Buffer
	out.WriteByte(formatVersion)
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress message")
	}
	return out.Bytes(), nil
}

// decode reads a message body of at most limit uncompressed bytes into out.
func decode(body []byte, limit int64, out any) error {
	if len(body) == 0 || body[0] != formatVersion {
		return errors.Wrap(ErrMalformed, "unknown format version")
	}
	r := readers.Get().(io.ReadCloser)
	defer readers.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(body[1:]), []byte(dictionary)); err != nil {
		return errors.Wrap(err, "decompress message")
	}
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return errors.Wrapf(ErrMalformed, "decompress: %v", err)
	}
	if int64(len(data)) > limit {
		return errors.Wrapf(ErrMalformed, "more than %d bytes", limit)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errors.Wrapf(ErrMalformed, "%v", err)
	}
	return nil
}
