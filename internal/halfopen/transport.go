package halfopen

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Transport sends HTTP requests on pooled connections. It implements http.RoundTripper.
type Transport struct {
	Counters Counters

	pool *http.Transport
}

// Counters count connections and calls.
type Counters struct {
	Opened           atomic.Int64 // connections
	UnansweredReused atomic.Int64 // calls without an answer, on connections that had carried others before
	UnansweredNew    atomic.Int64 // calls without an answer, on new connections or without any
}

// WriteMetrics writes the counters for the kind of peers that the connections lead to.
func (c *Counters) WriteMetrics(w io.Writer, to string) {
	_, _ = fmt.Fprintf(w, "turmericspread_connections_opened_total{to=%q} %d\n", to, c.Opened.Load())
	_, _ = fmt.Fprintf(w, "turmericspread_calls_unanswered_total{to=%q,connection=\"reused\"} %d\n", to, c.UnansweredReused.Load())
	_, _ = fmt.Fprintf(w, "turmericspread_calls_unanswered_total{to=%q,connection=\"new\"} %d\n", to, c.UnansweredNew.Load())
}

// NewTransport returns a Transport that opens connections with dial. It calls build with the
// function that the pool has to use in place of dial.
func NewTransport(dial Dial, build func(dial Dial) *http.Transport) *Transport {
	t := &Transport{}
	t.pool = build(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err == nil {
			t.Counters.Opened.Add(1)
		}
		return conn, err
	})
	return t
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (resp *http.Response, err error) {
	reused := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }}
	resp, err = t.pool.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if Unanswered(req.Context(), err) {
		if reused {
			t.Counters.UnansweredReused.Add(1)
		} else {
			t.Counters.UnansweredNew.Add(1)
		}
	}
	return resp, err
}

// CloseIdleConnections closes the idle connections to all peers.
func (t *Transport) CloseIdleConnections() { t.pool.CloseIdleConnections() }
