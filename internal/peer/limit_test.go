package peer

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcwire"

	"turmericspread.org/turmericspread/internal/connlimit"
)

// TestFrameParser guards against a count of message bytes that differs from the one of drpc,
// for any split of the stream into reads.
func TestFrameParser(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var stream []byte
	want, last := 0, 0
	for i := range 200 {
		data := make([]byte, rng.IntN(300)*rng.IntN(300))
		want += len(data)
		fr := drpcwire.Frame{Data: data, ID: drpcwire.ID{Stream: 1, Message: uint64(i) << 20}, Kind: drpcwire.KindMessage, Done: i%3 == 0}
		stream = drpcwire.AppendFrame(stream, fr)
		if fr.Done {
			last++
		}
	}
	for range 50 {
		var f frameParser
		got, ended := 0, 0
		for rest := stream; len(rest) > 0; {
			part := rest[:min(len(rest), 1+rng.IntN(100_000))]
			rest = rest[len(part):]
			for len(part) > 0 {
				var data int
				var done bool
				data, part, done = f.next(part)
				got += data
				if done {
					ended++
				}
			}
		}
		assert.Equal(t, got, want)
		assert.Equal(t, ended, last)
		assert.Assert(t, f.atStart())
	}
}

// TestLimitListener guards against strangers that keep messages of other hosts from being
// received, and against messages of megabytes that are refused.
func TestLimitListener(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	group := connlimit.NewGroup("peers", connlimit.Bounds{Connections: 10, Bytes: 14 << 20})
	mux := NewMux()
	Handle(mux, "size", func(_ context.Context, in *[]byte) (*int, error) { n := len(*in); return &n, nil })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = Serve(ctx, LimitListener(listener, group), mux) }()
	address := listener.Addr().String()
	client := NewClient()
	defer func() { _ = client.Close() }()
	call := func(size int) {
		t.Helper()
		in := bytes.Repeat([]byte("x"), size)
		out, err := Call[[]byte, int](ctx, client, address, "size", &in)
		assert.NilError(t, err)
		assert.Equal(t, *out, size)
	}
	call(4 << 20)
	for range 40 { // as many connections as fit, and messages that do not end
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		frame := drpcwire.AppendFrame(nil, drpcwire.Frame{Data: make([]byte, 60<<10), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindMessage})
		for range 20 {
			if _, err := conn.Write(frame); err != nil {
				break
			}
		}
	}
	for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(time.Millisecond) {
		if _, held := group.Open(); held > 13<<20 { // 12 MB of them for the whole message
			break
		}
	}
	_, held := group.Open()
	assert.Assert(t, held > 13<<20, "messages in progress must be counted: %d", held)
	call(10)
	call(2 << 20)
	open, held := group.Open()
	assert.Assert(t, open <= 10 && held <= 14<<20)
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = conn.Write([]byte{5, 1, 1, 0x80, 0x80, 0x80, 1}) // a frame of 2 MB
	_, err = conn.Read(make([]byte, 1))
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "a frame that no host sends must end the connection: %v", err)
}
