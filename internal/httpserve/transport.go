package httpserve

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
)

const (
	// acceptRetry is the time to the next attempt after no connection could be accepted,
	// for example because the process has no descriptor left.
	acceptRetry = 50 * time.Millisecond
	// shutdownPoll is the interval at which Shutdown looks for open connections.
	shutdownPoll = 10 * time.Millisecond
)

// transport accepts the connections of a server. Unlike the one of hertz, it goes on after an
// error, and its connections bound what they read.
type transport struct {
	listener net.Listener
	opts     Options
	stopping atomic.Bool
	active   atomic.Int64
}

func newTransport(listener net.Listener, opts Options) *transport {
	return &transport{listener: listener, opts: opts}
}

// ListenAndServe implements network.Transporter.
func (t *transport) ListenAndServe(onData network.OnData) (err error) {
	for {
		raw, err := t.listener.Accept()
		switch {
		case err == nil:
			t.serve(raw, onData)
		case t.stopping.Load() || errors.Is(err, net.ErrClosed):
			return nil
		default:
			t.opts.Group.Count("accept-failed")
			time.Sleep(acceptRetry)
		}
	}
}

// serve serves the requests of a connection unless there are too many connections.
func (t *transport) serve(raw net.Conn, onData network.OnData) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{Conn: raw, opts: &t.opts, cancel: cancel, detected: make(chan struct{}, 1)}
	if c.entry = t.opts.Group.Add(c); c.entry == nil {
		cancel()
		_ = raw.Close()
		return
	}
	t.active.Add(1)
	go func() {
		defer t.active.Add(-1)
		defer cancel()
		defer func() { _ = c.Close() }()
		_ = onData(ctx, c)
	}()
}

// Close implements network.Transporter.
func (t *transport) Close() error {
	t.stopping.Store(true)
	return t.listener.Close()
}

// Shutdown implements network.Transporter. It waits for the open connections.
func (t *transport) Shutdown(ctx context.Context) error {
	_ = t.Close()
	ticker := time.NewTicker(shutdownPoll)
	defer ticker.Stop()
	for t.active.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
