package exchange

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"github.com/go-faster/errors"

	"github.com/hawthornpoint/hawthornpoint/config"
	"github.com/hawthornpoint/hawthornpoint/core/node"
)

// maxClientConnections is the maximum number of connections that a Client keeps open.
const maxClientConnections = 16

// Dialer opens a connection to a control address.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends control exchanges to peers. It is safe for concurrent use.
type Client struct {
	dial Dialer

	mu        sync.Mutex
	clients   map[string]*rpc.Client
	addresses []string
	closed    bool
}

// NewClient returns a client that opens connections with dial.
func NewClient(dial Dialer) *Client {
	return &Client{dial: dial, clients: make(map[string]*rpc.Client)}
}

// Exchange sends the digest to the peer at the control address and returns the peer's
// digest. After Close it fails with net.ErrClosed.
func (c *Client) Exchange(ctx context.Context, address string, d node.Digest) (node.Digest, error) {
	body, err := encode(d)
	if err != nil {
		return node.Digest{}, err
	}
	out, err := c.exchange(ctx, address, body)
	if errors.Is(err, rpc.ErrShutdown) {
		// The peer closed an idle connection; nothing was sent.
		out, err = c.exchange(ctx, address, body)
	}
	if err != nil {
		return node.Digest{}, errors.Wrapf(err, "exchange with %s", address)
	}
	return out, nil
}

func (c *Client) exchange(ctx context.Context, address string, body []byte) (out node.Digest, err error) {
	client, err := c.client(ctx, address)
	if err != nil {
		return out, err
	}
	reply, err := call(ctx, client, "Exchange", body)
	if err == nil {
		err = decode(reply, maxDigestBytes, &out)
	}
	if err != nil && !isServerError(err) {
		c.remove(address, client)
	}
	return out, err
}

// Config fetches a configuration newer than the given version from the peer at the
// control address. It uses a connection of its own: a configuration would delay the
// digests behind it, and the codec of a connection keeps a buffer of the size of its
// largest message.
func (c *Client) Config(ctx context.Context, address string, newerThan uint64) (config.Envelope, error) {
	out := config.Envelope{}
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return out, errors.Wrapf(err, "configuration from %s", address)
	}
	client := newRPCClient(conn, maxEnvelopeMessage)
	defer func() { _ = client.Close() }()
	reply, err := call(ctx, client, "Config", newerThan)
	if err == nil {
		err = decode(reply, maxEnvelopeBytes, &out)
	}
	if err != nil {
		return config.Envelope{}, errors.Wrapf(err, "configuration from %s", address)
	}
	return out, nil
}

func newRPCClient(conn net.Conn, limit int64) *rpc.Client {
	return rpc.NewClient(newBoundedConn(conn, limit))
}

// call calls a method of the peer and returns its reply, or the error of ctx when ctx
// is done first.
func call(ctx context.Context, client *rpc.Client, method string, in any) ([]byte, error) {
	reply := new([]byte)
	pending := client.Go(serviceName+"."+method, in, reply, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
		return *reply, pending.Error
	case <-ctx.Done():
		// reply must not be read: a late reply may still be decoded into it.
		return nil, ctx.Err()
	}
}

// isServerError reports whether the peer replied with an error, after which the
// connection is still usable.
func isServerError(err error) bool {
	var serverErr rpc.ServerError
	return errors.As(err, &serverErr)
}

func (c *Client) client(ctx context.Context, address string) (*rpc.Client, error) {
	c.mu.Lock()
	client, ok := c.clients[address]
	c.mu.Unlock()
	if ok {
		return client, nil
	}
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return c.store(address, newRPCClient(conn, maxDigestMessage))
}

// store stores a new client, and closes the one that was opened first if there are
// more than maxClientConnections. If another client for the address was stored
// meanwhile, it returns that one and closes the new one. After Close it closes the new
// one as well, since nothing else would, and returns net.ErrClosed.
func (c *Client) store(address string, client *rpc.Client) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = client.Close()
		return nil, net.ErrClosed
	}
	if existing, ok := c.clients[address]; ok {
		_ = client.Close()
		return existing, nil
	}
	c.clients[address] = client
	c.addresses = append(c.addresses, address)
	if len(c.addresses) > maxClientConnections {
		oldest := c.addresses[0]
		c.addresses = c.addresses[1:]
		_ = c.clients[oldest].Close()
		delete(c.clients, oldest)
	}
	return client, nil
}

func (c *Client) remove(address string, client *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = client.Close()
	if c.clients[address] != client {
		return
	}
	delete(c.clients, address)
	for i, a := range c.addresses {
		if a == address {
			c.addresses = append(c.addresses[:i], c.addresses[i+1:]...)
			return
		}
	}
}

// Close closes all connections of Exchange, also those that are being opened. Exchange
// fails with net.ErrClosed from then on. Config closes its connection when it returns.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for address, client := range c.clients {
		_ = client.Close()
		delete(c.clients, address)
	}
	c.addresses = nil
}
