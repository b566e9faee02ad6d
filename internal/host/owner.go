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

// newOwner returns an owner that is connected to the store, the workers and the
// placement adviser.
func (h *Host) newOwner(ctx context.Context, row ownerRow, revision int64) *cell.Owner {
	o := cell.New()
	o.Epoch, o.Log, o.Bounds = row.Epoch, h.Log, h.Bounds
	o.Now, o.WallClock = bootClock, wallClock
	o.Tables = h.Tables
	o.BacklogLimit = h.backlogLimit
	o.StoreUp, o.SinceStoreFailure = h.storeUp, h.sinceStoreFailure
	owned := time.Now()
	o.AdviserFree = func(cost time.Duration) bool {
		hosts := h.adviserHosts()
		if len(hosts) == 1 && cost >= heavyQueryCost && time.Since(owned) < soleHostSpan {
			return false
		}
		return h.adviceBalancer.hasFree(eligibleHosts(hosts, cost), cost)
	}
	o.PeersLostStore, o.Isolated = h.peersLostStore, h.isolated
	o.OnOwnershipLost = func(reason string) {
		if h.cellOwner == o {
			h.endOwnership(reason)
		}
	}
	o.OnStepStarted, o.OnJobEnded, o.OnStepWaited = h.observeStart, h.observeJob, h.observeWait
	o.OnJobDelayed = h.countDelayed
	h.connectWorkers(ctx, o)
	o.Advise = func(request work.AdviceRequest, cost time.Duration, done func(work.AdviceResponse, error)) {
		address := h.adviceBalancer.acquire(eligibleHosts(h.adviserHosts(), cost), cost)
		callInBackground(h, ctx, adviceTimeout, done, func(ctx context.Context) (work.AdviceResponse, error) {
			return h.queryAdviser(ctx, address, request, cost)
		})
	}
	o.SaveProgress = func(b []cell.ProgressWrite, done func([]cell.SaveResult)) { h.saveProgress(ctx, revision, b, done) }
	o.DeleteJobs = func(ids []string, done func(bool)) { h.deleteJobs(ctx, revision, ids, done) }
	return o
}

const (
	// adviceTimeout bounds a query to the adviser, including the time it waits
	// behind other queries.
	adviceTimeout = 3 * time.Second
	// soleHostSpan is the time after a takeover in which a host that knows no
	// other sends no heavy queries. The others are usually known after a
	// heartbeat, and meanwhile the light queries would wait behind a heavy one.
	soleHostSpan = time.Second
)

// callInBackground makes a call on another goroutine and passes its result to
// done on the control goroutine.
func callInBackground[T any](h *Host, ctx context.Context, timeout time.Duration, done func(T, error), call func(ctx context.Context) (T, error)) {
	h.spawn(func() {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		result, err := call(callCtx)
		cancel()
		h.post(func() { done(result, err) })
	})
}

// saveProgress writes progress records on the condition that this host still
// owns the cell.
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
				h.resolveConflict(ownerRev, batch, found, results)
			default:
				event.CellRecordRefused.Log(h.Log).Int("jobs", len(batch)).Err(err).Send()
			}
			done(results)
		})
	})
}

// resolveConflict distinguishes a lost ownership from records that were changed
// by an earlier write of this owner whose response was lost.
func (h *Host) resolveConflict(ownerRev int64, batch []cell.ProgressWrite, found []kvstore.Item, results []cell.SaveResult) {
	byKey := make(map[string]kvstore.Item, len(found))
	for _, item := range found {
		byKey[item.Key] = item
	}
	if owner, ok := byKey[ownerKey]; ok && owner.Revision != ownerRev {
		h.endOwnership("the ownership row has changed")
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

// deleteJobs removes jobs from the store on the condition that this host still
// owns the cell.
func (h *Host) deleteJobs(ctx context.Context, ownerRev int64, ids []string, done func(bool)) {
	txn := kvstore.Txn{Expected: []kvstore.Condition{{Key: ownerKey, Revision: ownerRev}}}
	for _, id := range ids {
		txn.Remove = append(txn.Remove, jobPrefix+id, jobPrefix+id+cancelSuffix, progressPrefix+id)
	}
	h.spawn(func() {
		_, _, err := h.store.Write(ctx, txn)
		h.post(func() { done(err == nil) })
	})
}
