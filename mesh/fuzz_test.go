package mesh

import (
	"bytes"
	"context"
	"encoding/gob"
	"net"
	"net/rpc"
	"syscall"
	"testing"
	"time"
)

// peerMessage returns the bytes of one call of a peer.
func peerMessage(method string, args any) []byte {
	var buf bytes.Buffer
	enc := gob.NewEncoder(&buf)
	_ = enc.Encode(rpc.Request{ServiceMethod: peerService + "." + method, Seq: 1})
	_ = enc.Encode(args)
	return buf.Bytes()
}

// Guards against bytes of a peer that end the process, or leave a connection without an end or memory reserved.
func FuzzPeerConnection(f *testing.F) {
	f.Add(peerMessage("Ask", &AskArgs{ID: 1, Kind: "k", Left: time.Second, Payload: &Payload{Method: "GET", Target: "/x"}}))
	f.Add(peerMessage("Ask", &AskArgs{ID: 1, Rank: -1 << 60, Left: -1 << 62, UntilObjective: 1 << 62, MayQueue: true}))
	f.Add(peerMessage("Run", &RunArgs{ID: 7, Left: 1 << 62}))
	f.Add(peerMessage("Chunk", &ChunkArgs{ID: 7, Data: []byte("x"), Last: true}))
	f.Add(peerMessage("Sync", &SyncArgs{}))
	f.Add(peerMessage("Follow", &FollowArgs{Wait: -1}))
	f.Add(peerMessage("Reports", &ReportsArgs{Exchange: true}))
	f.Add(peerMessage("None", &PingArgs{}))
	f.Add([]byte{0xf8, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}) // the length of a message of 2^63 bytes
	f.Fuzz(func(t *testing.T, data []byte) {
		d := New(Options{
			HeaderConvention: conventionStub{},
			Dial:             func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED },
		})
		defer d.Close()
		server, client := net.Pipe()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			d.servePeer(server)
		}()
		go func() {
			buf := make([]byte, 4<<10)
			for {
				if _, err := client.Read(buf); err != nil {
					return
				}
			}
		}()
		_ = client.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = client.Write(data)
		_ = client.Close()
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Fatal("the connection is not ended")
		}
		if held := d.memory.Used(); held != 0 {
			t.Fatalf("%d bytes stay reserved", held)
		}
	})
}
