package host

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/kvstore"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/work"
)

const (
	// workersFirst is the time from a takeover to the first read: by then most
	// workers have answered, and can be put into the directory.
	workersFirst = 60 * time.Millisecond
	// workersPeriod is the least time between two reads of the list of workers.
	workersPeriod = 400 * time.Millisecond
	// workersPeriodEach is added to it for each worker: long lists take a
	// processor's time to read.
	workersPeriodEach = 300 * time.Microsecond
	// workersPeriodMost bounds it: a worker that drains has to be known as such
	// within two seconds.
	workersPeriodMost = 1200 * time.Millisecond
)

// directory is the stored list of the workers that a successor has to ask.
type directory struct {
	value    []byte
	revision int64
	known    bool // value and revision are those in the store
}

func (h *Host) followWorkers(ctx context.Context, ownerRev int64) {
	var stored directory
	period := workersFirst
	for ctx.Err() == nil {
		pause(ctx, period)
		workers, err := h.listWorkers(ctx)
		if err != nil {
			continue
		}
		period = min(workersPeriod+time.Duration(len(workers))*workersPeriodEach, workersPeriodMost)
		var list []work.Worker
		err = h.loop.Call(ctx, func() {
			if h.own != nil {
				h.chooseCarriers(len(workers))
				h.own.SetWorkers(workers)
				list = h.own.WorkerDirectory()
				h.own.Tick()
			}
		})
		if err == nil {
			h.storeDirectory(ctx, ownerRev, list, &stored)
		}
	}
}

// workerRow is what a successor needs to reach a worker whose entry has lapsed.
type workerRow struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Address  string
	Pool     string
	Capacity resource.Vector
}

// storeDirectory stores the directory of workers, if it has changed. Entries
// that have lapsed while the store was away must not be forgotten, so it is not
// changed shortly after an outage. A write that is late must not undo a newer
// one, so each is conditional on the one before.
func (h *Host) storeDirectory(ctx context.Context, ownerRev int64, list []work.Worker, stored *directory) {
	if time.Since(h.store.LastFailure()) < h.Bounds.StoreGrace {
		return
	}
	rows := make([]workerRow, 0, len(list))
	for i := range list {
		w := &list[i]
		rows = append(rows, workerRow{ID: w.ID, Address: w.Address, Pool: w.Pool, Capacity: w.Capacity})
	}
	value, err := cbor.Marshal(rows)
	if err != nil {
		event.EntryMalformed.Log(h.Log).Str("key", workersKey).Err(err).Send()
		return
	}
	if !stored.known {
		item, err := h.store.Get(ctx, workersKey)
		if err != nil {
			return // the store's trouble is logged where it begins; the next round tries again
		}
		*stored = directory{value: item.Value, revision: item.Revision, known: true}
	}
	if !bytes.Equal(value, stored.value) {
		stored.known = false
		revision, _, err := h.store.Write(ctx, kvstore.Txn{
			Expected: []kvstore.Condition{{Key: ownerKey, Revision: ownerRev}, {Key: workersKey, Revision: stored.revision}},
			Puts:     []kvstore.Put{{Key: workersKey, Value: value}},
		})
		if err != nil {
			return
		}
		*stored = directory{value: value, revision: revision, known: true}
	}
	h.post(func() {
		if h.own != nil {
			h.own.WorkerDirectoryStored(list)
		}
	})
}

// formerWorkers reads the directory that the former owner has left.
func (h *Host) formerWorkers(ctx context.Context) (workers []work.Worker, err error) {
	item, err := h.store.Get(ctx, workersKey)
	if err != nil || item.Revision == 0 {
		return nil, err
	}
	var rows []workerRow
	if err := cbor.Unmarshal(item.Value, &rows); err != nil {
		event.EntryMalformed.Log(h.Log).Str("key", workersKey).Err(err).Send()
		return nil, nil
	}
	for _, row := range rows {
		workers = append(workers, work.Worker{ID: row.ID, Address: row.Address, Pool: row.Pool, Capacity: row.Capacity})
	}
	return workers, nil
}

func (h *Host) listWorkers(ctx context.Context) (workers []work.Worker, err error) {
	items, _, err := h.store.List(ctx, h.StoreLayout.WorkersPrefix)
	if err != nil {
		return nil, err
	}
	for i := range items {
		w, err := h.StoreLayout.DecodeWorker(items[i].Key, items[i].Value)
		if err != nil {
			event.EntryMalformed.Log(h.Log).Str("key", items[i].Key).Err(err).Send()
			continue
		}
		workers = append(workers, w)
	}
	return workers, nil
}

const (
	// watchWait is how long a watch on jobs may be silent.
	watchWait = 5 * time.Second
	// watchPause gathers changes: hosts tell the owner of their jobs at once,
	// the watch finds those whose host has died.
	watchPause = 200 * time.Millisecond
)

// followJobs finds jobs and cancellations that their hosts did not tell of.
func (h *Host) followJobs(ctx context.Context, after int64) {
	for ctx.Err() == nil {
		events, next, err := h.store.Watch(ctx, jobPrefix, after, watchWait)
		switch {
		case err == nil:
			after = next
			for i := range events {
				if !events[i].Removed {
					h.noticeItem(&events[i].Item)
				}
			}
		case ctx.Err() == nil:
			after = h.relistJobs(ctx, after)
		}
		pause(ctx, watchPause)
	}
}

// relistJobs reads all jobs anew: a watch that broke may have missed some.
func (h *Host) relistJobs(ctx context.Context, after int64) (next int64) {
	items, revision, err := h.store.List(ctx, jobPrefix)
	if err != nil {
		return after
	}
	for i := range items {
		h.noticeItem(&items[i])
	}
	return revision
}

func (h *Host) noticeItem(item *kvstore.Item) {
	id, cancelled := strings.CutSuffix(strings.TrimPrefix(item.Key, jobPrefix), cancelSuffix)
	if cancelled {
		h.post(func() {
			if h.own != nil {
				h.own.Cancel(id)
			}
		})
		return
	}
	job, err := work.DecodeJob(item.Value)
	if err != nil {
		event.EntryMalformed.Log(h.Log).Str("key", item.Key).Err(err).Send()
		return
	}
	h.post(func() {
		if h.own != nil {
			h.own.Accept(job)
		}
	})
}

// markAlive changes a key of the store now and then, for hosts that cannot
// reach this one. The same write finds out whether the ownership row and the
// configuration are still those that are known here: the configuration's value
// comes back only if it has changed.
func (h *Host) markAlive(ctx context.Context, ownerRev int64) {
	for ctx.Err() == nil {
		sent := boot()
		tables, revision := h.tables.Current()
		_, found, err := h.store.WriteLarge(ctx, kvstore.Txn{
			Expected: []kvstore.Condition{{Key: ownerKey, Revision: ownerRev}, {Key: h.StoreLayout.TablesKey, Revision: revision}},
			Puts:     []kvstore.Put{{Key: beatKey, Value: []byte(h.instance)}},
		})
		switch {
		case err == nil && tables != nil:
			h.tables.ConfirmLatest(tables.Version, sent)
		case errs.Is(err, kvstore.ErrConflict):
			if revisionOf(found, ownerKey, ownerRev) != ownerRev {
				h.post(func() { h.release("the ownership row has changed") })
				return
			}
			if h.takeItems(found, sent) {
				continue // the mark was not written
			}
		}
		pause(ctx, ownerBeatPeriod)
	}
}

// revisionOf returns the revision of a key among items, or none if it is not there.
func revisionOf(items []kvstore.Item, key string, none int64) int64 {
	for i := range items {
		if items[i].Key == key {
			return items[i].Revision
		}
	}
	return none
}
