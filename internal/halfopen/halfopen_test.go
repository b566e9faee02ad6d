package halfopen

import (
	"context"
	"errors"
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPeers replays the calls to peers whose connections go silent, and to slow ones.
func TestPeers(t *testing.T) {
	var p Peers
	assert.Equal(t, p.Current("a"), 0)
	assert.Assert(t, !p.Answered("a", 0))
	assert.Assert(t, !p.Superseded("a", 0))
	p.Missed("a", 0)
	p.Missed("a", 0) // a second call of the same pool
	assert.Equal(t, p.Current("a"), 1)
	assert.Equal(t, p.Current("b"), 0)
	assert.Assert(t, !p.Answered("a", 0), "a late answer on the former pool shows nothing")
	assert.Assert(t, !p.Superseded("a", 0), "no call on the current pool was answered yet")
	p.Missed("a", 1)
	assert.Equal(t, p.Current("a"), 0, "the peer is slow")
	p.Missed("a", 0)
	assert.Assert(t, p.Answered("a", 1))
	assert.Assert(t, !p.Answered("a", 1), "only once")
	assert.Assert(t, p.Superseded("a", 0))
	assert.Assert(t, !p.Superseded("a", 1))
	for i := range 2 * maxPeers {
		p.Missed(fmt.Sprint(i), 0)
	}
	assert.Assert(t, len(p.peers) <= maxPeers)
}

func TestUnanswered(t *testing.T) {
	expired, cancel := context.WithTimeout(context.Background(), 0)
	defer cancel()
	left, leave := context.WithCancel(context.Background())
	leave()
	late, end := context.WithCancelCause(context.Background())
	end(context.DeadlineExceeded)
	for _, tc := range []struct {
		name string
		ctx  context.Context
		err  error
		want bool
	}{
		{"answered", context.Background(), nil, false},
		{"answered at the last moment", expired, nil, false},
		{"deadline", expired, context.DeadlineExceeded, true},
		{"the caller has left", left, context.Canceled, false},
		{"no first byte", late, context.Canceled, true},
		{"the connection has timed out", context.Background(), os.ErrDeadlineExceeded, true},
		{"reset", context.Background(), errors.New("reset"), false},
		{"the connection has timed out after the caller has left", left, os.ErrDeadlineExceeded, false},
	} {
		t.Run(tc.name, func(t *testing.T) { assert.Equal(t, Unanswered(tc.ctx, tc.err), tc.want) })
	}
}
