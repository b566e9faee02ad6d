package connlimit

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestVictims replays crowds of hostile clients beside ordinary ones. It guards against
// closing the wrong ones, or more than needed.
func TestVictims(t *testing.T) {
	const kb, mb, second = 1 << 10, 1 << 20, time.Second
	for _, tc := range []struct {
		name        string
		loads       []Load
		bytes       int64
		connections int
		want        []int
	}{
		{"the largest of several that send", []Load{{Reading, 100 * kb, 0, false}, {Reading, 2 * mb, 0, false}, {Reading, 300 * kb, 0, true}}, mb, 0, []int{1}},
		{"one that stopped before a larger one that sends", []Load{{Reading, mb, 0, false}, {Reading, 400 * kb, 4 * second, false}}, 200 * kb, 0, []int{1}},
		{"one that has sent no request before a larger one that has", []Load{{Reading, 2 * mb, 0, true}, {Reading, 400 * kb, 0, false}}, 200 * kb, 0, []int{1}},
		{"as many as needed", []Load{{Reading, mb, 9 * second, false}, {Reading, mb, 8 * second, false}, {Reading, mb, 7 * second, false}}, 2 * mb, 0, []int{0, 1}},
		{"none that holds nothing", []Load{{Reading, 0, 60 * second, false}, {Reading, 10, 0, false}}, 5, 0, []int{1}},
		{"none that is served", []Load{{Serving, 9 * mb, 60 * second, false}, {Reading, 100 * kb, 0, false}}, mb, 0, nil},
		{"none at all if it would not be enough", []Load{{Reading, 100 * kb, 0, false}}, mb, 0, nil},
		{"no peer that may await a response", []Load{{Idle, 9 * mb, second, true}, {Idle, 2 * mb, 6 * second, true}}, mb, 0, []int{1}},
		{"for a place, one that has sent no request", []Load{{Idle, 0, 90 * second, true}, {Idle, 0, second, false}, {Idle, 0, 2 * second, false}}, 0, 1, []int{2}},
		{"for a place, the one that is silent longest", []Load{{Idle, 0, 5 * second, true}, {Serving, 0, 90 * second, true}, {Reading, 0, 9 * second, true}}, 0, 1, []int{2}},
		{"no place if all are served", []Load{{Serving, 0, 90 * second, true}}, 0, 1, nil},
	} {
		t.Run(tc.name, func(t *testing.T) { assert.DeepEqual(t, Victims(tc.loads, tc.bytes, tc.connections), tc.want) })
	}
}

// TestDerive guards against limits that an ordinary load on a small machine reaches, and
// against limits that together exceed the machine.
func TestDerive(t *testing.T) {
	for _, mb := range []int64{96, 144, 536} {
		l := Derive(mb, 20000)
		assert.Assert(t, l.Callers.Connections >= 350, "%d MB: %+v", mb, l)
		assert.Assert(t, l.Callers.Bytes >= 3*4<<20, "a body of 4 MB and decoding it")
		sum := l.Callers.Bytes + l.Peers.Bytes + int64(l.Callers.Connections+l.Peers.Connections)*connectionBytes
		assert.Assert(t, sum <= mb<<20*5/8, "%d MB: %+v", mb, l)
	}
	l := Derive(0, 256)
	assert.Assert(t, l.Callers.Connections+l.Peers.Connections+l.Readiness.Connections+l.Metrics.Connections <= 256*3/4)
}

// testTarget is a connection whose goroutine finds itself evicted at its next reservation.
type testTarget struct{}

func (testTarget) CloseNow()  {}
func (testTarget) Interrupt() {}

// TestEvictedReservesNothing guards against a connection that takes memory after its place was
// given to another one.
func TestEvictedReservesNothing(t *testing.T) {
	g := NewGroup("test", Bounds{Connections: 1, Bytes: 100})
	first, second := g.Add(testTarget{}), g.Add(testTarget{})
	assert.ErrorContains(t, first.Reserve(1), "no memory")
	assert.NilError(t, second.Reserve(100))
	assert.Assert(t, second.SetState(Serving))
	assert.Assert(t, g.Add(testTarget{}) == nil, "a request that is served was given up")
}

// TestGroupUnderPressure guards against a group that exceeds its bounds, that loses count, or
// that waits for ever, while many connections reserve more than there is.
func TestGroupUnderPressure(t *testing.T) {
	const size = 1 << 20
	g := NewGroup("test", Bounds{Connections: 20, Bytes: size})
	var group sync.WaitGroup
	for range 100 {
		group.Go(func() {
			conn := g.Add(testTarget{})
			if conn == nil {
				return
			}
			defer conn.Remove()
			for conn.SetState(Reading) && conn.Reserve(size/16) == nil {
				open, held := g.Open()
				assert.Check(t, held <= size && open <= 20)
			}
		})
	}
	group.Wait()
	open, held := g.Open()
	assert.Equal(t, open, 0)
	assert.Equal(t, held, int64(0))
	assert.Equal(t, g.going, int64(0))
}
