package host

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/kvstore"
)

// rowStore is a store of the ownership row and the row of the learned speeds.
type rowStore struct {
	speeds kvstore.Item
	owner  int64 // revision of the ownership row
	fail   bool
	hang   bool
	writes int
}

func (s *rowStore) do(ctx context.Context, req kvstore.Request) (resp kvstore.Response, err error) {
	switch {
	case s.hang:
		<-ctx.Done()
		return resp, ctx.Err()
	case s.fail:
		return resp, kvstore.ErrRefused
	case req.Txn == nil:
		if s.speeds.Revision > 0 {
			resp.Page.Items = []kvstore.Item{s.speeds}
		}
		return resp, nil
	}
	s.writes++
	for _, c := range req.Txn.Expected {
		if c.Key == ownerKey && c.Revision != s.owner || c.Key == speedsKey && c.Revision != s.speeds.Revision {
			return kvstore.Response{Conflict: true}, nil
		}
	}
	s.speeds = kvstore.Item{Key: speedsKey, Value: req.Txn.Puts[0].Value, Revision: s.speeds.Revision + 1}
	resp.Revision = s.speeds.Revision
	return resp, nil
}

// TestSaveSpeeds checks that only the owner writes the row, over what it has last seen, and that
// it writes nothing shortly after the store has failed.
func TestSaveSpeeds(t *testing.T) {
	ctx := context.Background()
	s := &rowStore{owner: 5, speeds: kvstore.Item{Key: speedsKey, Value: []byte("former"), Revision: 8}}
	h := New()
	h.Bounds.StoreGrace = 200 * time.Millisecond
	h.store = &kvstore.Client{Do: s.do}
	var stored storedSpeeds
	assert.Assert(t, h.saveSpeeds(ctx, 5, []byte("a"), &stored))
	assert.Assert(t, h.saveSpeeds(ctx, 5, []byte("b"), &stored))
	assert.Equal(t, string(s.speeds.Value), "b")
	s.speeds.Revision++
	assert.Assert(t, !h.saveSpeeds(ctx, 5, []byte("late"), &stored), "the row has changed")
	assert.Assert(t, h.saveSpeeds(ctx, 5, []byte("c"), &stored), "and was read again")
	s.owner = 6
	assert.Assert(t, !h.saveSpeeds(ctx, 5, []byte("d"), &stored), "another host owns the cell")
	assert.Equal(t, string(s.speeds.Value), "c")
	s.owner, s.fail = 5, true
	assert.Assert(t, !h.saveSpeeds(ctx, 5, []byte("e"), &stored))
	s.fail = false
	writes := s.writes
	assert.Assert(t, !h.saveSpeeds(ctx, 5, []byte("e"), &stored), "the store has just failed")
	assert.Equal(t, s.writes, writes)
	time.Sleep(h.Bounds.StoreGrace)
	assert.Assert(t, h.saveSpeeds(ctx, 5, []byte("e"), &stored))
}

// TestReadSpeeds guards against a takeover that fails or waits because the row cannot be read.
func TestReadSpeeds(t *testing.T) {
	for _, tc := range []struct {
		name  string
		store rowStore
		want  string
	}{
		{"stored", rowStore{speeds: kvstore.Item{Value: []byte("a"), Revision: 1}}, "a"},
		{"missing", rowStore{}, ""},
		{"fails", rowStore{fail: true}, ""},
		{"no response", rowStore{hang: true}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := New()
			h.store = &kvstore.Client{Do: tc.store.do}
			read := h.readSpeeds(context.Background())
			defer read.cancel()
			assert.Equal(t, string(read.wait()), tc.want)
		})
	}
}
