// Package peer implements calls and streams between processes: drpc over TCP
// with CBOR messages.
//
// # Usage
//
//	mux := peer.NewMux()
//	peer.Handle(mux, "heartbeat", func(ctx context.Context, in *Heartbeat) (*Reply, error) { ... })
//	go peer.Serve(ctx, listener, mux)
//
//	client := peer.NewClient()
//	reply, err := peer.Call[Heartbeat, Reply](ctx, client, address, "heartbeat", &heartbeat)
//
// A call that fails with ErrUnreachable was not sent. After any other error the
// peer may have processed the call. A connection is closed instead of reused
// unless its last exchange ended cleanly, and calls are kept off connections that
// have gone silent, as package halfopen describes. A stream has a connection of its
// own.
package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"turmericspread.org/turmericspread/internal/halfopen"
)

// Error is the class of all errors of this package.
var Error = errs.Class("peer")

// ErrUnreachable is the class of errors after which the request is known not to
// have been sent.
var ErrUnreachable = errs.Class("peer unreachable")

const (
	dialTimeout = time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = time.Minute
	// maxIdlePerPeer bounds the idle connections kept per address.
	maxIdlePerPeer = 64
	// MaxMessageBytes bounds the size of one message in either direction.
	MaxMessageBytes = 96 << 20
)

// encoding encodes the messages of drpc as CBOR.
type encoding struct{}

// Marshal implements drpc.Encoding.
func (encoding) Marshal(msg drpc.Message) ([]byte, error) { return cbor.Marshal(msg) }

// Unmarshal implements drpc.Encoding.
func (encoding) Unmarshal(buf []byte, msg drpc.Message) error { return cbor.Unmarshal(buf, msg) }

// Mux dispatches calls to handlers by name. All handlers must be registered
// before Serve is called.
type Mux struct {
	handlers map[string]func(stream drpc.Stream) error
}

// NewMux returns an empty Mux.
func NewMux() *Mux { return &Mux{handlers: map[string]func(drpc.Stream) error{}} }

// HandleRPC implements drpc.Handler.
func (m *Mux) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	handler, ok := m.handlers[rpc]
	if !ok {
		return Error.New("unknown call %q", rpc)
	}
	return handler(stream)
}

// Handle registers fn for calls named rpc.
func Handle[In, Out any](m *Mux, rpc string, fn func(ctx context.Context, in *In) (out *Out, err error)) {
	m.handlers[rpc] = func(stream drpc.Stream) (err error) {
		in := new(In)
		release, err := receive(stream.Context(), stream, in)
		defer release()
		if err != nil {
			return Error.Wrap(err)
		}
		out, err := fn(stream.Context(), in)
		if err != nil {
			return Error.Wrap(err)
		}
		return Error.Wrap(stream.MsgSend(out, encoding{}))
	}
}

// managerOptions raises the default message limits of drpc to MaxMessageBytes.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		Stream: drpcstream.Options{MaximumBufferSize: MaxMessageBytes},
	}
}

// Serve accepts connections on listener and dispatches their calls to mux until
// ctx ends.
func Serve(ctx context.Context, listener net.Listener, mux *Mux) (err error) {
	defer Error.WrapP(&err)
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	return server.Serve(ctx, listener)
}

// Client makes calls to other processes and reuses connections.
type Client struct {
	// Dial opens a connection; tests replace it.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnSilent, if set, is called after idle connections to a peer were closed because others
	// had gone silent.
	OnSilent func(address string, closed int)
	// Counters count connections and calls for the metrics.
	Counters halfopen.Counters

	pool  *drpcpool.Pool[poolKey, *drpcconn.Conn]
	peers halfopen.Peers
	calls atomic.Int64
}

// poolKey names one of the pools of connections to a peer.
type poolKey struct {
	address string
	pool    int // as counted by halfopen.Peers
}

// NewClient returns a Client that dials TCP.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		pool: drpcpool.New[poolKey, *drpcconn.Conn](drpcpool.Options{
			Expiration:  idleTimeout,
			KeyCapacity: maxIdlePerPeer,
		}),
	}
}

// Calls returns the number of calls made, including streams and failed calls.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Close closes all idle connections.
func (c *Client) Close() (err error) { return Error.Wrap(c.pool.Close()) }

// dial opens a connection.
func (c *Client) dial(ctx context.Context, address string) (conn *drpcconn.Conn, err error) {
	transport, err := c.Dial(ctx, address)
	if err != nil {
		return nil, ErrUnreachable.Wrap(err)
	}
	c.Counters.Opened.Add(1)
	return drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: managerOptions()}), nil
}

// Call sends in to the process at address and waits for its response.
func Call[In, Out any](ctx context.Context, c *Client, address, rpc string, in *In) (out *Out, err error) {
	defer Error.WrapP(&err)
	c.calls.Add(1)
	if err := ctx.Err(); err != nil {
		return nil, ErrUnreachable.Wrap(err)
	}
	out = new(Out)
	if err := c.invoke(ctx, address, rpc, in, out); err != nil {
		return nil, err
	}
	return out, nil
}

// invoke makes a call on a connection of the peer's current pool.
func (c *Client) invoke(ctx context.Context, address, rpc string, in, out any) (err error) {
	key, reused := poolKey{address, c.peers.Current(address)}, true
	conn := c.pool.Get(ctx, key, func(ctx context.Context, key poolKey) (*drpcconn.Conn, error) {
		reused = false
		return c.dial(ctx, key.address)
	})
	err = conn.Invoke(ctx, rpc, encoding{}, in, out)
	switch {
	case halfopen.Unanswered(ctx, err):
		c.Counters.CountUnanswered(reused)
		c.peers.Missed(address, key.pool)
	case err == nil && c.peers.Answered(address, key.pool), err == nil && c.peers.Superseded(address, key.pool):
		c.closeSuperseded(address)
	}
	return err
}

// closeSuperseded closes the idle connections to a peer that are not of its current pool.
func (c *Client) closeSuperseded(address string) {
	closed := 0
	for pool := range halfopen.Pools {
		for c.peers.Superseded(address, pool) {
			conn, ok := c.pool.Take(poolKey{address, pool})
			if !ok {
				break
			}
			closed++
			_ = conn.Close()
		}
	}
	c.Counters.Silent.Add(int64(closed))
	if closed > 0 && c.OnSilent != nil {
		c.OnSilent(address, closed)
	}
}
