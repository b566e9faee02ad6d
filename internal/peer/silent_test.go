package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/halfopen/halfopentest"
)

// TestSilentConnections guards against calls and streams that wait on one silent connection
// after the other: the next call after the first one without an answer must get through.
func TestSilentConnections(t *testing.T) {
	const idle, timeout = 32, 300 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	var arrived sync.WaitGroup
	arrived.Add(idle)
	mux := NewMux()
	Handle(mux, "together", func(context.Context, *struct{}) (*struct{}, error) {
		arrived.Done()
		arrived.Wait()
		return &struct{}{}, nil
	})
	Handle(mux, "call", func(context.Context, *struct{}) (*struct{}, error) { return &struct{}{}, nil })
	HandleStream(mux, "stream", func(_ context.Context, s *Stream[string, string]) error {
		msg, err := s.Receive()
		if err != nil {
			return err
		}
		return s.Send(msg)
	})
	ctx, cancel := context.WithCancel(t.Context())
	var serving sync.WaitGroup
	serving.Go(func() { _ = Serve(ctx, listener, mux) })
	var dialer halfopentest.Dialer
	c := NewClient()
	c.Dial = func(ctx context.Context, address string) (net.Conn, error) { return dialer.Dial(ctx, "tcp", address) }
	t.Cleanup(func() {
		assert.Check(t, c.Close())
		cancel()
		serving.Wait()
	})
	call := func(rpc string, within time.Duration) error {
		callCtx, cancel := context.WithTimeout(ctx, within)
		defer cancel()
		_, err := Call[struct{}, struct{}](callCtx, c, address, rpc, &struct{}{})
		return err
	}
	var calls sync.WaitGroup
	for range idle {
		calls.Go(func() { assert.Check(t, call("together", 5*time.Second)) })
	}
	calls.Wait()
	dialer.Silence(address)
	streamCtx, end := context.WithTimeout(ctx, timeout)
	defer end()
	stream, err := Open[string, string](streamCtx, c, address, "stream")
	assert.NilError(t, err)
	sent := "x"
	assert.NilError(t, stream.Send(&sent))
	got, err := stream.Receive()
	assert.NilError(t, err)
	assert.Equal(t, *got, sent)
	assert.NilError(t, stream.Close())
	for range 2 {
		assert.Assert(t, call("call", timeout) != nil)
		for range 3 {
			assert.NilError(t, call("call", timeout))
		}
		assert.Equal(t, dialer.Open(address), 1, "silent connections must be closed")
		dialer.Silence(address)
	}
}
