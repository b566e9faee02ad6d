package halfopen

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Transport sends HTTP requests on pooled connections. It implements http.RoundTripper.
type Transport struct {
	// OnSilent, if set, is called after idle connections to a peer were closed because a call
	// on a newer connection was answered and one on an older connection was not.
	OnSilent func(address string, closed int)
	// Counters count for the metrics.
	Counters Counters

	peers Peers
	pools [Pools]*http.Transport
	mu    sync.Mutex
	conns map[string]map[*conn]bool // open connections, by address
}

// Counters count connections and calls.
type Counters struct {
	Opened           atomic.Int64 // connections
	Silent           atomic.Int64 // idle connections that were closed because others of their pool were silent
	UnansweredReused atomic.Int64 // calls without an answer, on connections that had carried others before
	UnansweredNew    atomic.Int64 // calls without an answer, on new connections or without any
}

// CountUnanswered counts a call without an answer.
func (c *Counters) CountUnanswered(reused bool) {
	if reused {
		c.UnansweredReused.Add(1)
	} else {
		c.UnansweredNew.Add(1)
	}
}

// WriteMetrics writes the counters for the kind of peers that the connections lead to.
func (c *Counters) WriteMetrics(w io.Writer, to string) {
	_, _ = fmt.Fprintf(w, "turmericspread_connections_opened_total{to=%q} %d\n", to, c.Opened.Load())
	_, _ = fmt.Fprintf(w, "turmericspread_connections_silent_total{to=%q} %d\n", to, c.Silent.Load())
	_, _ = fmt.Fprintf(w, "turmericspread_calls_unanswered_total{to=%q,connection=\"reused\"} %d\n", to, c.UnansweredReused.Load())
	_, _ = fmt.Fprintf(w, "turmericspread_calls_unanswered_total{to=%q,connection=\"new\"} %d\n", to, c.UnansweredNew.Load())
}

// NewTransport returns a Transport that opens connections with dial. It calls build once for each
// pool, with a function that the pool has to use in place of dial. If build wraps the connections
// of that function, the wrapper must have a method Unwrap that returns the wrapped net.Conn.
func NewTransport(dial Dial, build func(dial Dial) *http.Transport) *Transport {
	t := &Transport{conns: map[string]map[*conn]bool{}}
	for pool := range t.pools {
		t.pools[pool] = build(func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return t.track(raw, address, pool), nil
		})
	}
	return t
}

// conn is an open connection of a pool.
type conn struct {
	net.Conn
	transport *Transport
	address   string
	pool      int
	calls     int         // in progress; guarded by Transport.mu
	retired   atomic.Bool // nothing more may be sent; set with Transport.mu
}

func (t *Transport) track(raw net.Conn, address string, pool int) *conn {
	c := &conn{Conn: raw, transport: t, address: address, pool: pool}
	t.Counters.Opened.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[address] == nil {
		t.conns[address] = map[*conn]bool{}
	}
	t.conns[address][c] = true
	return c
}

// Close closes the connection and forgets it.
func (c *conn) Close() error {
	t := c.transport
	t.mu.Lock()
	delete(t.conns[c.address], c)
	if len(t.conns[c.address]) == 0 {
		delete(t.conns, c.address)
	}
	t.mu.Unlock()
	return c.Conn.Close()
}

// Write refuses to send on a connection that is being closed as silent, so that its pool repeats
// the call on another one.
func (c *conn) Write(data []byte) (int, error) {
	if c.retired.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(data)
}

// begin records that a call uses the connection.
func (c *conn) begin() {
	c.transport.mu.Lock()
	defer c.transport.mu.Unlock()
	c.calls++
}

// end records that a call has ended and the connection is idle again.
func (c *conn) end() {
	superseded := c.transport.peers.Superseded(c.address, c.pool)
	c.transport.mu.Lock()
	c.calls--
	retire := superseded && c.calls == 0
	if retire {
		c.retired.Store(true)
	}
	c.transport.mu.Unlock()
	if retire {
		_ = c.Close()
	}
}

// unwrap returns the tracked connection within c, or nil.
func unwrap(c net.Conn) *conn {
	for {
		switch inner := c.(type) {
		case *conn:
			return inner
		case interface{ Unwrap() net.Conn }:
			c = inner.Unwrap()
		default:
			return nil
		}
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (resp *http.Response, err error) {
	address := req.URL.Host
	pool := t.peers.Current(address)
	var used *conn
	reused := false
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			reused = info.Reused
			if used = unwrap(info.Conn); used != nil {
				used.begin()
			}
		},
		PutIdleConn: func(error) {
			if used != nil {
				used.end()
			}
		},
	}
	resp, err = t.pools[pool].RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	switch {
	case err == nil:
		if t.peers.Answered(address, pool) {
			t.closeIdle(address, pool)
		}
	case Unanswered(req.Context(), err):
		t.Counters.CountUnanswered(reused)
		t.peers.Missed(address, pool)
	}
	return resp, err
}

// closeIdle closes the idle connections to a peer that are not of the given pool.
func (t *Transport) closeIdle(address string, current int) {
	var idle []*conn
	t.mu.Lock()
	for c := range t.conns[address] {
		if c.pool != current && c.calls == 0 {
			c.retired.Store(true)
			idle = append(idle, c)
		}
	}
	t.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
	t.Counters.Silent.Add(int64(len(idle)))
	if len(idle) > 0 && t.OnSilent != nil {
		t.OnSilent(address, len(idle))
	}
}

// CloseIdleConnections closes the idle connections to all peers.
func (t *Transport) CloseIdleConnections() {
	for _, pool := range t.pools {
		pool.CloseIdleConnections()
	}
}
