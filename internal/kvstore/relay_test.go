package kvstore

import (
	"context"
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
			relay := &Relay{Direct: tc.direct, Through: tc.through, DirectTimeout: time.Second}
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
		Through:       func(context.Context, Request) (Response, error) { return Response{}, nil },
		DirectTimeout: time.Second,
		Changed:       func(bool, error) { changes++ },
	}
	for range 20 {
		_, err := relay.Do(context.Background(), Request{Get: "a"})
		assert.NilError(t, err)
	}
	assert.Equal(t, tries, 1)
	assert.Equal(t, changes, 1)
}
