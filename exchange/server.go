package exchange

import (
	"net"
	"net/rpc"
	"sync"

	"github.com/go-faster/errors"
	"golang.org/x/net/netutil"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/node"
	"github.com/hawthornpoint/hawthornpoint/internal/acceptloop"
)

const (
	// serviceName is the name under which the exchange is registered with net/rpc.
	serviceName = "Peer"
	// maxConnections bounds the open connections of a server.
	maxConnections = 256
)

// ErrNoConfig is returned to a peer that asks for a configuration if none newer than its
// own is in force.
var ErrNoConfig = errors.New("no newer configuration")

// Handler handles the requests of peers. It must be safe for concurrent use.
type Handler interface {
	// Exchange merges the peer's digest and returns the digest of this daemon.
	Exchange(d node.Digest) node.Digest
	// ConfigNewerThan returns the configuration in force, and true if its version
	// is higher than the given one.
	ConfigNewerThan(version uint64) (config.Envelope, bool)
}

// peerService is the receiver that net/rpc calls.
type peerService struct {
	handler Handler

	mu       sync.Mutex // guards the encoded configuration below
	version  uint64
	checksum string
	body     []byte
}

// Exchange is called by a peer with its digest.
func (s *peerService) Exchange(in []byte, out *[]byte) error {
	var digest node.Digest
	if err := decode(in, maxDigestBytes, &digest); err != nil {
		return err
	}
	reply, err := encode(s.handler.Exchange(digest))
	*out = reply
	return err
}

// Config is called by a peer that fetches a configuration newer than the given version.
func (s *peerService) Config(version uint64, out *[]byte) error {
	e, ok := s.handler.ConfigNewerThan(version)
	if !ok {
		return ErrNoConfig
	}
	reply, err := s.encodedEnvelope(e)
	*out = reply
	return err
}

// encodedEnvelope returns the envelope as a message body. It caches the body, because
// after a change several peers fetch the same configuration at once.
func (s *peerService) encodedEnvelope(e config.Envelope) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.body != nil && s.version == e.Version && s.checksum == e.Checksum {
		return s.body, nil
	}
	body, err := encode(e)
	if err != nil {
		return nil, err
	}
	s.version, s.checksum, s.body = e.Version, e.Checksum, body
	return body, nil
}

// Server serves control exchanges on one listener.
type Server struct {
	rpc      *rpc.Server
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a server that passes the requests on the listener to the handler.
// The server accepts connections when Serve is called.
func NewServer(l net.Listener, h Handler) (*Server, error) {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &peerService{handler: h}); err != nil {
		return nil, errors.Wrap(err, "exchange")
	}
	return &Server{
		rpc:      server,
		listener: netutil.LimitListener(l, maxConnections),
		conns:    make(map[net.Conn]struct{}),
	}, nil
}

// Serve accepts connections until Close is called. acceptFailed is called for the first of a series of
// failed attempts to accept one.
func (s *Server) Serve(acceptFailed func(error)) {
	acceptloop.Run(s.listener, func(conn net.Conn) {
		s.track(conn, true)
		go s.serveConn(conn)
	}, acceptFailed)
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.track(conn, false)
	s.rpc.ServeConn(newBoundedConn(conn, maxDigestMessage))
}

func (s *Server) track(conn net.Conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.conns[conn] = struct{}{}
		return
	}
	delete(s.conns, conn)
}

// Close stops accepting connections and closes all open ones.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	return err
}
