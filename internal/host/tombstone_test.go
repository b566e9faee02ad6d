package host

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/kvstore"
)

// TestTombstonesEnd guards against tombstones that stay in the store for ever, and against
// removing one before a late write must have been executed.
func TestTombstonesEnd(t *testing.T) {
	const ownerRev = 9
	h := New()
	h.Bounds.Retention = time.Minute
	items := map[string]kvstore.Item{ownerKey: {Key: ownerKey, Revision: ownerRev}}
	h.store = &kvstore.Client{Do: func(_ context.Context, req kvstore.Request) (resp kvstore.Response, err error) {
		if req.Range != nil {
			for _, item := range items {
				if item.Key != ownerKey {
					resp.Page.Items = append(resp.Page.Items, item)
				}
			}
			return resp, nil
		}
		assert.Assert(t, len(req.Txn.Expected)+len(req.Txn.Remove) <= kvstore.MaxTxn)
		for _, c := range req.Txn.Expected {
			resp.Conflict = resp.Conflict || items[c.Key].Revision != c.Revision
		}
		for _, key := range req.Txn.Remove {
			if !resp.Conflict {
				delete(items, key)
			}
		}
		return resp, nil
	}}
	add := func(n int, revision int64) {
		key := tombstoneKey(fmt.Sprintf("%016x", n), "account")
		items[key] = kvstore.Item{Key: key, Revision: revision}
	}
	for n := range 40 {
		add(n, 10)
	}
	ages := tombstoneAges{}
	sweep := func(at time.Duration, owner int64) int {
		h.sweepTombstonesOnce(context.Background(), owner, ages, at)
		return len(items) - 1
	}
	assert.Equal(t, sweep(0, ownerRev), 40)
	add(7, 11) // cancelled again
	assert.Equal(t, sweep(30*time.Second, ownerRev), 40)
	assert.Equal(t, sweep(59*time.Second, ownerRev), 40)
	assert.Equal(t, sweep(60*time.Second, ownerRev-1), 40, "another host owns the cell")
	assert.Equal(t, sweep(60*time.Second, ownerRev), 1)
	assert.Equal(t, sweep(89*time.Second, ownerRev), 1)
	assert.Equal(t, sweep(90*time.Second, ownerRev), 0)
	assert.Equal(t, len(ages), 1, "forgotten with the next listing")
	sweep(100*time.Second, ownerRev)
	assert.Equal(t, len(ages), 0)
	h.Bounds.Retention = time.Second
	add(1, 12)
	assert.Equal(t, sweep(0, ownerRev), 1)
	assert.Equal(t, sweep(minTombstoneSpan-time.Second, ownerRev), 1, "a late write may still be executed")
	assert.Equal(t, sweep(minTombstoneSpan, ownerRev), 0)
}

// TestTombstoneBudget replays an account that cancels unknown jobs without end beside one that
// cancels a few.
func TestTombstoneBudget(t *testing.T) {
	const seconds, perSecond = 60, 50
	for _, hosts := range []int{0, 1, 6, 44, 300} {
		var b tombstoneBudget
		greedy, modest := 0, 0
		for i := range seconds * perSecond {
			now := time.Duration(i) * time.Second / perSecond
			if b.take("greedy", now, hosts) {
				greedy++
			}
			if i%perSecond == 0 && b.take("modest", now, hosts) {
				modest++
			}
		}
		rate := max(float64(tombstonesPerSecond)/float64(max(hosts, 1)), minTombstonesPerSecond)
		assert.Assert(t, float64(greedy) <= accountTombstoneShare*rate*(seconds+3), "%d hosts: %d", hosts, greedy)
		assert.Equal(t, modest, seconds, "%d hosts", hosts)
	}
}
