package kvstore

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/zeebo/errs"
	"gotest.tools/v3/assert"
)

func TestRelay(t *testing.T) {
	good := func(context.Context, Request) (Response, error) { return Response{Revision: 7}, nil }
	fails := func(err error) func(context.Context, Request) (Response, error) {
		return func(context.Context, Request) (Response, error) { return Response{}, err }
	}
	conditional := Request{Txn: &Txn{Expected: []Condition{{Key: "a"}}}}
	for _, tc := range []struct {
		name            string
		direct, through func(context.Context, Request) (Response, error)
		req             Request
		want            error
	}{
		{"the direct way answers", good, fails(ErrRefused), conditional, nil},
		{"refused directly, relayed", fails(ErrRefused), good, conditional, nil},
		{"no answer directly, a conditional write is relayed", fails(ErrUnknown), good, conditional, nil},
		{"no answer directly, a blind write is not sent again", fails(ErrUnknown), good, Request{Txn: &Txn{}}, ErrUnknown},
		{"no answer directly, refused by the other way", fails(ErrUnknown), fails(ErrRefused), conditional, ErrUnknown},
		{"refused directly, no answer by the other way", fails(ErrRefused), fails(ErrUnknown), conditional, ErrUnknown},
		{"refused both ways", fails(ErrRefused), fails(ErrUnreachable), conditional, ErrUnreachable},
		{"history that is gone is an answer", fails(ErrCompacted), good, Request{Watch: &Watch{}}, ErrCompacted},
	} {
		t.Run(tc.name, func(t *testing.T) {
			relay := &Relay{Direct: tc.direct, ViaPeer: tc.through, DirectTimeout: time.Second}
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

// TestRelayAvoidsTheLostWay does not try a way that fails for each call.
func TestRelayAvoidsTheLostWay(t *testing.T) {
	tries, changes := 0, 0
	relay := &Relay{
		Direct: func(context.Context, Request) (Response, error) {
			tries++
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
	assert.Equal(t, tries, 1)
	assert.Equal(t, changes, 1)
}

// TestRelayDoesNotWaitForASilentStore finds the direct way again without having
// a call wait for its timeout.
func TestRelayDoesNotWaitForASilentStore(t *testing.T) {
	var silent, probes atomic.Int64
	silent.Store(1)
	relay := &Relay{
		Direct: func(ctx context.Context, req Request) (Response, error) {
			if req.Get == "probe" {
				probes.Add(1)
			}
			if silent.Load() == 1 {
				<-ctx.Done()
				return Response{}, ErrUnknown
			}
			return Response{Revision: 1}, nil
		},
		ViaPeer:       func(context.Context, Request) (Response, error) { return Response{Revision: 2}, nil },
		DirectTimeout: 200 * time.Millisecond,
		ProbeKey:      "probe",
	}
	_, err := relay.Do(context.Background(), Request{Get: "a"}) // finds out
	assert.NilError(t, err)
	for begun := time.Now(); time.Since(begun) < 1500*time.Millisecond; time.Sleep(5 * time.Millisecond) {
		call := time.Now()
		_, err := relay.Do(context.Background(), Request{Get: "a"})
		assert.NilError(t, err)
		assert.Assert(t, time.Since(call) < 100*time.Millisecond, "a call waited for %s", time.Since(call))
	}
	assert.Assert(t, probes.Load() >= 2)
	silent.Store(0)
	for begun := time.Now(); time.Since(begun) < 2*time.Second; time.Sleep(5 * time.Millisecond) {
		if resp, err := relay.Do(context.Background(), Request{Get: "a"}); err == nil && resp.Revision == 1 {
			return
		}
	}
	t.Fatal("the direct way is not used again")
}
