package host

import (
	"bytes"
	"context"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/cell"
	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/kvstore"
	"turmericspread.org/turmericspread/internal/work"
)

// newOwner connects an owner to the outside.
func (h *Host) newOwner(ctx context.Context, row ownerRow, revision int64) *cell.Owner {
	o := cell.New()
	o.Epoch, o.Log, o.Bounds = row.Epoch, h.Log, h.Bounds
	o.Now, o.WallClock = boot, wall
	o.Tables = h.Tables
	o.StoreUp, o.SinceStoreFailure = h.storeUp, h.storeLost
	o.StoreFailedRecently = func() bool { return time.Since(h.store.LastFailure()) < troubleMemory }
	o.MaxAdviceCalls = func(cost time.Duration) int {
		hosts := h.adviserHosts()
		if cost < heavyAdvice {
			return lightPerHost * len(lane(hosts, cost))
		}
		return heavyPerHost * len(lane(hosts, cost))
	}
	o.OnOwnershipLost = func(reason string) {
		if h.own == o {
			h.release(reason)
		}
	}
	o.OnStepStarted, o.OnJobEnded, o.OnStepWaited = h.observeStart, h.observeJob, h.observeWait
	h.connectWorkers(ctx, o)
	o.Advise = func(order work.AdviceRequest, cost time.Duration, done func(work.AdviceResponse, error)) {
		addresses := h.adviserHosts()
		callTarget(h, ctx, adviceTimeout, done, func(ctx context.Context) (work.AdviceResponse, error) {
			return h.advise(ctx, addresses, order, cost)
		})
	}
	o.SaveProgress = func(b []cell.ProgressWrite, done func([]cell.SaveResult)) { h.saveProgress(ctx, revision, b, done) }
	o.DeleteJobs = func(ids []string, done func(bool)) { h.forget(ctx, revision, ids, done) }
	return o
}

// troubleMemory is how long a failure of the store makes this host suspect that
// the owner before it worked without records: the longest lease of a run.
const troubleMemory = 10 * time.Second

const (
	// adviceTimeout bounds a question to the adviser, with its waiting in turn.
	adviceTimeout = 3 * time.Second
	// lightPerHost and heavyPerHost bound the questions that wait at one host.
	// What waits here goes by rank, what waits at the adviser by arrival.
	lightPerHost = 4
	heavyPerHost = 1
)

// callTarget makes a call elsewhere and brings its result to the control goroutine.
func callTarget[T any](h *Host, ctx context.Context, timeout time.Duration, done func(T, error), call func(ctx context.Context) (T, error)) {
	h.spawn(func() {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		result, err := call(callCtx)
		cancel()
		h.post(func() { done(result, err) })
	})
}

// saveProgress writes records on the condition that this host owns the cell.
func (h *Host) saveProgress(ctx context.Context, ownerRev int64, batch []cell.ProgressWrite, done func([]cell.SaveResult)) {
	txn := kvstore.Txn{Expected: []kvstore.Condition{{Key: ownerKey, Revision: ownerRev}}}
	for _, w := range batch {
		key := progressPrefix + w.Job
		txn.Expected = append(txn.Expected, kvstore.Condition{Key: key, Revision: w.Revision})
		txn.Puts = append(txn.Puts, kvstore.Put{Key: key, Value: w.Data})
	}
	h.spawn(func() {
		revision, found, err := h.store.Write(ctx, txn)
		h.post(func() {
			results := make([]cell.SaveResult, len(batch))
			for i, w := range batch {
				results[i] = cell.SaveResult{Revision: w.Revision}
			}
			switch {
			case err == nil:
				for i := range results {
					results[i] = cell.SaveResult{Revision: revision, OK: true}
				}
			case errs.Is(err, kvstore.ErrConflict):
				h.conflict(ownerRev, batch, found, results)
			default:
				event.CellRecordRefused.Log(h.Log).Int("jobs", len(batch)).Err(err).Send()
			}
			done(results)
		})
	})
}

// conflict tells a lost ownership from records that an earlier write of this
// owner has changed, whose answer was lost.
func (h *Host) conflict(ownerRev int64, batch []cell.ProgressWrite, found []kvstore.Item, results []cell.SaveResult) {
	byKey := make(map[string]kvstore.Item, len(found))
	for _, item := range found {
		byKey[item.Key] = item
	}
	if owner, ok := byKey[ownerKey]; ok && owner.Revision != ownerRev {
		h.release("the ownership row has changed")
		return
	}
	for i, w := range batch {
		item, ok := byKey[progressPrefix+w.Job]
		if !ok {
			continue
		}
		results[i].Revision = item.Revision
		results[i].OK = item.Revision != w.Revision && bytes.Equal(item.Value, w.Data)
	}
}

func (h *Host) forget(ctx context.Context, ownerRev int64, ids []string, done func(bool)) {
	txn := kvstore.Txn{Expected: []kvstore.Condition{{Key: ownerKey, Revision: ownerRev}}}
	for _, id := range ids {
		txn.Remove = append(txn.Remove, jobPrefix+id, jobPrefix+id+cancelSuffix, progressPrefix+id)
	}
	h.spawn(func() {
		_, _, err := h.store.Write(ctx, txn)
		h.post(func() { done(err == nil) })
	})
}
