package exchange

import (
	"testing"
	"time"

	"github.com/hawthornpoint/hawthornpoint/core/node"
)

// fuzzLimit is the bound on a decompressed message in the fuzz test, in bytes.
const fuzzLimit = 64 << 10

// FuzzDecodeDigest guards against a message from a peer that causes a panic or takes more
// memory than its bound, and against a digest that encoding and decoding change.
func FuzzDecodeDigest(f *testing.F) {
	valid, err := encode(node.Digest{Clock: time.Unix(1000, 0), ConfigVersion: 3})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add(valid[:len(valid)/2])
	f.Add([]byte{})
	f.Add([]byte{formatVersion})
	f.Add([]byte{formatVersion + 1, 0, 1, 2})
	f.Fuzz(func(t *testing.T, body []byte) {
		var d node.Digest
		if decode(body, fuzzLimit, &d) != nil {
			return
		}
		reencoded, err := encode(d)
		if err != nil {
			t.Fatalf("a decoded message cannot be encoded: %v", err)
		}
		var second node.Digest
		if err := decode(reencoded, 8*fuzzLimit, &second); err != nil {
			t.Fatalf("an encoded message cannot be decoded: %v", err)
		}
		if second.ConfigVersion != d.ConfigVersion || len(second.Records) != len(d.Records) {
			t.Fatalf("%+v was decoded as %+v", d, second)
		}
	})
}
