package kvstore

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/zeebo/errs"
	"gotest.tools/v3/assert"
)

// TestRelay checks which calls are sent again through the peer, and which error a
// caller gets if both paths fail: a write that may have been applied must not be
// reported as not applied.
func TestRelay(t *testing.T) {
	good := func(context.Context, Request) (Response, error) { return Response{Revision: 7}, nil }
	fails := func(err error) func(context.Context, Request) (Response, error) {
		return func(context.Context, Request) (Response, error) { return Response{}, err }
	}
	conditional := Request{Txn: &Txn{Expected: []Condition{{Key: "a"}}}}
	for _, tc := range []struct {
		name            string
		direct, viaPeer func(context.Context, Request) (Response, error)
		req             Request
		want            error
	}{
		{"the direct call succeeds", good, fails(ErrRefused), conditional, nil},
		{"refused directly, sent through the peer", fails(ErrRefused), good, conditional, nil},
		{"no direct response, a conditional write is sent through the peer", fails(ErrUnknown), good, conditional, nil},
		{"no direct response, an unconditional write is not sent again", fails(ErrUnknown), good, Request{Txn: &Txn{}}, ErrUnknown},
		{"no direct response, refused through the peer", fails(ErrUnknown), fails(ErrRefused), conditional, ErrUnknown},
		{"refused directly, no response through the peer", fails(ErrRefused), fails(ErrUnknown), conditional, ErrUnknown},
		{"refused directly, peer unreachable", fails(ErrRefused), fails(ErrUnreachable), conditional, ErrUnreachable},
		{"a compacted history is a valid response", fails(ErrCompacted), good, Request{Watch: &Watch{}}, ErrCompacted},
	} {
		t.Run(tc.name, func(t *testing.T) {
			relay := &Relay{Direct: tc.direct, ViaPeer: tc.viaPeer, DirectTimeout: time.Second}
			resp, err := relay.Do(context.Background(), tc.req)
			if tc.want == nil {
				assert.NilError(t, err)
				assert.Equal(t, resp.Revision, int64(7))
				return
			}
			assert.Assert(t, errs.Is(err, tc.want), "%v", err)
		})
	}
}

// TestRelaySkipsFailingDirectPath checks that calls do not try the direct path again
// each time while it fails.
func TestRelaySkipsFailingDirectPath(t *testing.T) {
	directCalls, changes := 0, 0
	relay := &Relay{
		Direct: func(context.Context, Request) (Response, error) {
			directCalls++
			return Response{}, ErrRefused
		},
		ViaPeer:        func(context.Context, Request) (Response, error) { return Response{}, nil },
		DirectTimeout:  time.Second,
		OnDirectChange: func(bool, error) { changes++ },
	}
	for range 20 {
		_, err := relay.Do(context.Background(), Request{Get: "a"})
		assert.NilError(t, err)
	}
	assert.Equal(t, directCalls, 1)
	assert.Equal(t, changes, 1)
}

// TestRelayDoesNotWaitForUnresponsiveStore checks that no call waits for the timeout
// of a store that does not answer, and that the direct path is used again once the
// store answers.
func TestRelayDoesNotWaitForUnresponsiveStore(t *testing.T) {
	var unresponsive, probes atomic.Int64
	unresponsive.Store(1)
	relay := &Relay{
		Direct: func(ctx context.Context, req Request) (Response, error) {
			if req.Get == "probe" {
				probes.Add(1)
			}
			if unresponsive.Load() == 1 {
				<-ctx.Done()
				return Response{}, ErrUnknown
			}
			return Response{Revision: 1}, nil
		},
		ViaPeer:       func(context.Context, Request) (Response, error) { return Response{Revision: 2}, nil },
		DirectTimeout: 200 * time.Millisecond,
		ProbeKey:      "probe",
	}
	_, err := relay.Do(context.Background(), Request{Get: "a"}) // the direct call times out
	assert.NilError(t, err)
	for start := time.Now(); time.Since(start) < 1500*time.Millisecond; time.Sleep(5 * time.Millisecond) {
		call := time.Now()
		_, err := relay.Do(context.Background(), Request{Get: "a"})
		assert.NilError(t, err)
		assert.Assert(t, time.Since(call) < 100*time.Millisecond, "a call waited for %s", time.Since(call))
	}
	assert.Assert(t, probes.Load() >= 2)
	unresponsive.Store(0)
	for start := time.Now(); time.Since(start) < 2*time.Second; time.Sleep(5 * time.Millisecond) {
		if resp, err := relay.Do(context.Background(), Request{Get: "a"}); err == nil && resp.Revision == 1 {
			return
		}
	}
	t.Fatal("the direct path is not used again")
}
