package host

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/kvstore"
	"turmericspread.org/turmericspread/internal/sched"
)

const (
	// tombstonePrefix is the prefix of the tombstones: keys that show that an account has
	// cancelled a job that was not stored. The write of a job is conditional on the absence of
	// its tombstone, because the store may execute it seconds after its caller has given up.
	tombstonePrefix = "tombstone/"
	// minTombstoneSpan is the minimum age at which a tombstone is removed. A write that was sent
	// before the cancellation must have been executed by then.
	minTombstoneSpan = lateWriteSpan
	// tombstoneSweepInterval is the interval between two searches for tombstones to remove. It
	// adds to their age, and each search costs one read for each 500 of them.
	tombstoneSweepInterval = 10 * time.Second
	// maxTombstoneBatch bounds the tombstones that are removed in one write, which has at most
	// kvstore.MaxTxn entries: a condition and a removal for each of them, and the ownership row.
	maxTombstoneBatch = (kvstore.MaxTxn - 1) / 2
	// tombstonesPerSecond bounds the tombstones that all hosts together write. The store of
	// the smallest cells accepts 400 writes a second.
	tombstonesPerSecond = 40
	// minTombstonesPerSecond is the bound for one host of a large cell, whose store accepts
	// 1,200 writes a second.
	minTombstonesPerSecond = 4
	// accountTombstoneShare is the part of a host's bound that one account may use.
	accountTombstoneShare = 0.5
)

// errTombstoneLimit means that too many jobs that are not stored are being cancelled.
var errTombstoneLimit = notRunError{"too many cancellations of unknown jobs"}

// tombstoneKey returns the key of the tombstone of an account's job. It has a digest of the
// account's name, because the length of keys is limited.
func tombstoneKey(id, account string) string {
	const digestBytes = 8
	digest := sha256.Sum256([]byte(account))
	return tombstonePrefix + id + "/" + hex.EncodeToString(digest[:digestBytes])
}

// jobWrite is the write of a job on the condition that neither the job nor its tombstone exists.
type jobWrite struct {
	key       string
	tombstone string
	value     []byte
}

// conditions returns the conditions of the write.
func (w *jobWrite) conditions() []kvstore.Condition {
	return []kvstore.Condition{{Key: w.key}, {Key: w.tombstone}}
}

// put returns the item that is written.
func (w *jobWrite) put() kvstore.Put { return kvstore.Put{Key: w.key, Value: w.value} }

// size returns the bytes that the write takes in a transaction.
func (w *jobWrite) size() int { return len(w.key) + len(w.tombstone) + len(w.value) }

// writeTombstone writes the tombstone of a job on the condition that the job is not stored.
// Known is the revision of the tombstone that it replaces: an account that cancels again starts
// its span anew. After a conflict current is the revision of the tombstone in the store.
func (h *Host) writeTombstone(ctx context.Context, id, account string, known int64) (current int64, err error) {
	key := tombstoneKey(id, account)
	_, found, err := h.store.Write(ctx, kvstore.Txn{
		Expected: []kvstore.Condition{{Key: jobPrefix + id}, {Key: key, Revision: known}},
		Puts:     []kvstore.Put{{Key: key, Value: []byte(h.instance)}},
	})
	if err == nil {
		h.countTombstone("stored")
		event.JobTombstoned.Log(h.Log).Str("job", id).Str("team", account).Bool("again", known > 0).Send()
	}
	return revisionOf(found, key, 0), err
}

// storeCancelled stores a job whose tombstone exists together with its cancellation, so that it
// is never run and callers see the same state after a takeover. The owner finds both with its
// watch. A conflict means that the job is stored already.
func (h *Host) storeCancelled(ctx context.Context, write *jobWrite) (err error) {
	_, _, err = h.store.Write(ctx, kvstore.Txn{
		Expected: []kvstore.Condition{{Key: write.key}},
		Puts:     []kvstore.Put{write.put(), {Key: write.key + cancelSuffix, Value: []byte(h.instance)}},
	})
	return err
}

// countTombstone counts a cancellation of a job that is not stored.
func (h *Host) countTombstone(result string) {
	h.stats.set.GetOrCreateCounter(fmt.Sprintf(`turmericspread_tombstones_total{result=%q}`, result)).Inc()
}

// tombstoneBudget bounds the tombstones that a host writes, and the part of them that one account
// may use. Accounts are those of the configuration, so their number is bounded.
type tombstoneBudget struct {
	mu       sync.Mutex
	all      sched.TokenBucket
	accounts map[string]*sched.TokenBucket
}

// take reports whether an account may write one more tombstone at now, on any monotonic clock, in a
// cell of the given number of hosts.
func (b *tombstoneBudget) take(account string, now time.Duration, hosts int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	rate := max(float64(tombstonesPerSecond)/float64(max(hosts, 1)), minTombstonesPerSecond)
	if b.accounts == nil {
		b.accounts = map[string]*sched.TokenBucket{}
	}
	bucket := b.accounts[account]
	if bucket == nil {
		bucket = &sched.TokenBucket{}
		b.accounts[account] = bucket
	}
	return bucket.Take(now, rate*accountTombstoneShare) && b.all.Take(now, rate)
}

// tombstoneAges has the tombstones that an owner has listed. Their ages count on its own clock
// from their first listing, so they do not depend on the time of day of the hosts that wrote them.
type tombstoneAges map[string]tombstoneAge

type tombstoneAge struct {
	revision int64
	since    time.Duration
}

// list records a complete listing at now and returns conditions that identify the tombstones
// that have existed for at least span, in the order of their keys.
func (a tombstoneAges) list(items []kvstore.Item, now, span time.Duration) (expired []kvstore.Condition) {
	listed := make(map[string]bool, len(items))
	for i := range items {
		key, revision := items[i].Key, items[i].Revision
		listed[key] = true
		if a[key].revision != revision {
			a[key] = tombstoneAge{revision: revision, since: now}
		}
		if now-a[key].since >= span {
			expired = append(expired, kvstore.Condition{Key: key, Revision: revision})
		}
	}
	for key := range a {
		if !listed[key] {
			delete(a, key)
		}
	}
	return expired
}

// sweepTombstones periodically removes the tombstones that are no longer needed, while this host
// owns the cell.
func (h *Host) sweepTombstones(ctx context.Context, ownerRev int64) {
	ages := tombstoneAges{}
	for ctx.Err() == nil {
		sleep(ctx, tombstoneSweepInterval)
		h.sweepTombstonesOnce(ctx, ownerRev, ages, bootClock())
	}
}

// sweepTombstonesOnce lists the tombstones and removes those that have existed for as long as an
// ended job is kept. What cannot be read or removed is left to the next search.
func (h *Host) sweepTombstonesOnce(ctx context.Context, ownerRev int64, ages tombstoneAges, now time.Duration) {
	var items []kvstore.Item
	_, err := h.store.ListPages(ctx, tombstonePrefix, func(page []kvstore.Item) error {
		for i := range page {
			items = append(items, kvstore.Item{Key: page[i].Key, Revision: page[i].Revision})
		}
		return nil
	})
	if err != nil {
		return // failures of the store are logged at their source
	}
	expired := ages.list(items, now, max(h.Bounds.Retention, minTombstoneSpan))
	for batch := range slices.Chunk(expired, maxTombstoneBatch) {
		txn := kvstore.Txn{Expected: append(slices.Clone(batch), kvstore.Condition{Key: ownerKey, Revision: ownerRev})}
		for _, tombstone := range batch {
			txn.Remove = append(txn.Remove, tombstone.Key)
		}
		_, _, err := h.store.Write(ctx, txn)
		switch {
		case errs.Is(err, kvstore.ErrConflict):
			// An account has cancelled one of the jobs again, or another host owns the cell.
		case err != nil:
			return
		default:
			event.TombstonesRemoved.Log(h.Log).Int("removed", len(batch)).Int("left", len(items)-len(batch)).Send()
		}
	}
}
