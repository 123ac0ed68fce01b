package wire

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	msgpackrpc "github.com/hashicorp/net-rpc-msgpackrpc/v2"
)

// dialTimeout bounds the dialing of a connection, without the handshake.
const dialTimeout = 1 * time.Second

// Dialer opens connections. net.Dialer implements it. Tests wrap it to interrupt or
// delay connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool maintains one multiplexed connection to each peer. A call that finds no
// connection dials one.
type Pool struct {
	secret string
	tls    *tls.Config
	dialer Dialer

	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
}

// peer is the connection to one address; client is nil when there is none.
type peer struct {
	mu     sync.Mutex
	client *rpc.Client
}

// NewPool returns a pool. A nil tlsConfig means plain TCP; a nil dialer means a
// net.Dialer.
func NewPool(secret string, tlsConfig *tls.Config, dialer Dialer) *Pool {
	if dialer == nil {
		dialer = &net.Dialer{Timeout: dialTimeout}
	}
	return &Pool{secret: secret, tls: tlsConfig, dialer: dialer, peers: make(map[string]*peer)}
}

// Call calls method at address and waits until the reply arrives or ctx ends. Its
// error wraps ErrNotSent if the request is known not to have been sent, and
// ErrOutcomeUnknown otherwise, including when ctx ends during the wait for the reply.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	remote, err := p.peer(address)
	if err != nil {
		return err
	}
	client, err := p.connect(ctx, remote, address)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	var sent atomic.Bool
	// The response is decoded into a separate value. Otherwise a response that
	// arrives after ctx has ended would be written to reply while the caller may
	// be reading it.
	decoded := reflect.New(reflect.TypeOf(reply).Elem())
	call := client.Go(method, trackedRequest{body: args, sent: &sent}, decoded.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(decoded.Elem())
		}
		return p.callError(remote, client, call.Error, &sent)
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	}
}

func (p *Pool) peer(address string) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, fmt.Errorf("%w: pool is closed", ErrNotSent)
	}
	remote, ok := p.peers[address]
	if !ok {
		remote = &peer{}
		p.peers[address] = remote
	}
	return remote, nil
}

// connect returns the client of remote and dials if there is none.
func (p *Pool) connect(ctx context.Context, remote *peer, address string) (*rpc.Client, error) {
	remote.mu.Lock()
	defer remote.mu.Unlock()
	if remote.client != nil {
		return remote.client, nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dialer.DialContext(dialCtx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.tls != nil {
		conn = tls.Client(conn, p.tls)
	}
	if err := clientHandshake(conn, p.secret); err != nil {
		_ = conn.Close()
		return nil, err
	}
	codec := trackingCodec{ClientCodec: msgpackrpc.NewCodecFromHandle(true, true, conn, msgpackHandle), conn: conn}
	remote.client = rpc.NewClientWithCodec(codec)
	return remote.client, nil
}

// callError returns the error of a call for the caller of Pool.Call. Unless the
// error was returned by the peer's method, it also closes the connection.
func (p *Pool) callError(remote *peer, client *rpc.Client, err error, sent *atomic.Bool) error {
	if err == nil {
		return nil
	}
	var serverError rpc.ServerError
	if errors.As(err, &serverError) {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	remote.discard(client)
	if !sent.Load() {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

// discard closes client and, if the peer still uses it, removes it.
func (p *peer) discard(client *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client == client {
		p.client = nil
	}
	_ = client.Close()
}

// Disconnect closes the connection to address. A later call dials a new one.
func (p *Pool) Disconnect(address string) {
	p.mu.Lock()
	remote, ok := p.peers[address]
	delete(p.peers, address)
	p.mu.Unlock()
	if ok {
		remote.close()
	}
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client != nil {
		_ = p.client.Close()
		p.client = nil
	}
}

// Close closes all connections. Open calls end with ErrOutcomeUnknown, and later
// calls with ErrNotSent.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	peers := p.peers
	p.peers = make(map[string]*peer)
	p.mu.Unlock()
	for _, remote := range peers {
		remote.close()
	}
}
