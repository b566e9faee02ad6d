package peer

import (
	"context"
	"errors"
	"math"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/connlimit"
)

func TestCountItems(t *testing.T) {
	for _, tc := range []struct {
		name  string
		value any
		want  int64
	}{
		{"number", 7, 1},
		{"wide number", int64(math.MaxInt64), 1},
		{"float", 1.5, 1},
		{"null", nil, 1},
		{"bytes are one item", make([]byte, 70000), 1},
		{"text", "a text of more than twenty-three bytes", 1},
		{"list", []int{1, 2, 300}, 4},
		{"long list", make([]struct{}, 1000), 1001},
		{"map", map[string]any{"a": []int{1}, "b": map[string]int{"c": 1}}, 1 + (1 + 2) + (1 + 3)},
		{"tag", cbor.Tag{Number: 400, Content: "x"}, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			data, err := cbor.Marshal(tc.value)
			assert.NilError(t, err)
			assert.Equal(t, CountItems(data), tc.want)
			for n := range data {
				CountItems(data[:n]) // must end
			}
		})
	}
	indefinite := []byte{0x9f, 1, 2, 0xff}
	assert.Equal(t, CountItems(indefinite), int64(4), "the end counts as an item")
}

// TestDecodedSizeIsReserved guards against small messages that take much memory decoded.
func TestDecodedSizeIsReserved(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	group := connlimit.NewGroup("peers", connlimit.Bounds{Connections: 10, Bytes: 8 << 20})
	mux := NewMux()
	held := make(chan int64, 1)
	type element struct{ A, B, C string }
	Handle(mux, "list", func(_ context.Context, in *[]element) (*int, error) {
		_, bytes := group.Open()
		held <- bytes
		n := len(*in)
		return &n, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = Serve(ctx, LimitListener(listener, group), mux) }()
	client := NewClient()
	defer func() { _ = client.Close() }()
	call := func(elements int) (n *int, err error) {
		in := make([]map[string]string, elements)
		for i := range in {
			in[i] = map[string]string{}
		}
		return Call[[]map[string]string, int](ctx, client, listener.Addr().String(), "list", &in)
	}
	n, err := call(freeItems - 1)
	assert.NilError(t, err)
	assert.Equal(t, *n, freeItems-1)
	assert.Equal(t, <-held, int64(0))
	n, err = call(10000)
	assert.NilError(t, err)
	assert.Equal(t, *n, 10000)
	assert.Equal(t, <-held, int64(10001*itemBytes))
	for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(time.Millisecond) {
		if _, bytes := group.Open(); bytes == 0 {
			break
		}
	}
	_, bytes := group.Open()
	assert.Equal(t, bytes, int64(0), "released after the call")
	_, err = call(8 << 20 / itemBytes)
	assert.Assert(t, err != nil && !errors.Is(err, context.DeadlineExceeded), "a message that does not fit is refused")
}
