package host

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/cell"
	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/kvstore"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/work"
)

const (
	// firstWorkersDelay is the time from a takeover to the first read of the
	// worker list. Most workers have responded within this time and can be included in
	// the stored directory.
	firstWorkersDelay = 60 * time.Millisecond
	// workersInterval is the minimum interval between two reads of the worker
	// list.
	workersInterval = 400 * time.Millisecond
	// workersIntervalPerWorker is added for each worker, because long lists
	// take considerable processor time to read.
	workersIntervalPerWorker = 300 * time.Microsecond
	// maxWorkersInterval bounds the interval. A draining worker has to be
	// recognised within two seconds.
	maxWorkersInterval = 1200 * time.Millisecond
	// minWorkersInterval is the minimum interval if a read takes long.
	minWorkersInterval = 100 * time.Millisecond
	// listMargin is the part of the list's maximum age that is left for its application.
	listMargin = 100 * time.Millisecond
)

// storedDirectory is the worker directory in the store. It lists the workers that
// the next owner of the cell has to query after a takeover.
type storedDirectory struct {
	value    []byte
	revision int64
	known    bool // value and revision match the store
}

// followWorkers periodically reads the worker list, passes it to the owner and
// saves the worker directory.
func (h *Host) followWorkers(ctx context.Context, ownerRev int64) {
	var stored storedDirectory
	interval := firstWorkersDelay
	for ctx.Err() == nil {
		sleep(ctx, interval)
		asOf := bootClock()
		listed, err := h.readWorkers(ctx)
		if err != nil {
			continue
		}
		interval = listInterval(len(listed.workers), bootClock()-asOf)
		var list []work.Worker
		var due bool
		err = h.loop.Call(ctx, func() {
			if h.cellOwner != nil {
				h.chooseCarriers(len(listed.workers))
				listed.apply(h.cellOwner, asOf)
				list, due = h.cellOwner.WorkerDirectory()
				h.cellOwner.Tick()
			}
		})
		if err == nil && due {
			h.saveDirectory(ctx, ownerRev, list, &stored)
		}
	}
}

// listInterval returns the interval to the next read of a list of the given length. It is
// shorter if a read takes long, because work is started only by a list that is fresh.
func listInterval(workers int, took time.Duration) time.Duration {
	interval := min(workersInterval+time.Duration(workers)*workersIntervalPerWorker, maxWorkersInterval)
	return max(min(interval, cell.MaxListAge-2*took-listMargin), minWorkersInterval)
}

// workerRow contains what the next owner needs to reach a worker whose entry in
// the worker list has expired.
type workerRow struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Address  string
	Pool     string
	Capacity resource.Vector
}

// saveDirectory writes the worker directory to the store if it has changed. It
// does not write shortly after a store outage, because workers whose entries
// expired during the outage must stay in the directory. Each write is
// conditional on the revision of the previous one, so that a delayed write
// cannot overwrite a newer one.
func (h *Host) saveDirectory(ctx context.Context, ownerRev int64, list []work.Worker, stored *storedDirectory) {
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
			return // store failures are logged at their source; the next read of the worker list tries again
		}
		*stored = storedDirectory{value: item.Value, revision: item.Revision, known: true}
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
		*stored = storedDirectory{value: value, revision: revision, known: true}
	}
	h.post(func() {
		if h.cellOwner != nil {
			h.cellOwner.WorkerDirectoryStored(list)
		}
	})
}

// formerWorkers reads the worker directory written by the former owner.
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

// listing is the worker list with the operators' requests.
type listing struct {
	workers   []work.Worker
	evacuated []string // data centres
	waves     []work.Wave
}

// apply passes the listing, whose reading began at asOf, to an owner.
func (l *listing) apply(o *cell.Owner, asOf time.Duration) {
	o.SetEvacuated(l.evacuated)
	o.SetWaves(l.waves)
	o.SetWorkers(l.workers, asOf)
}

// readWorkers concurrently reads the worker list and the operators' requests. All are as old
// as the beginning of the call. If one of them cannot be read, none is returned, so that no
// request is missing in what the owner takes for a fresh list.
func (h *Host) readWorkers(ctx context.Context) (l listing, err error) {
	err = runConcurrently(
		func() (err error) { l.workers, err = h.listWorkers(ctx); return err },
		func() (err error) { l.evacuated, err = h.listEvacuations(ctx); return err },
		func() (err error) { l.waves, err = h.listWaves(ctx); return err },
	)
	if err != nil {
		return listing{}, err
	}
	return l, nil
}

// listEvacuations reads the names of the data centres whose evacuation is requested. The
// values of the keys have no meaning.
func (h *Host) listEvacuations(ctx context.Context) (places []string, err error) {
	prefix := h.StoreLayout.EvacuationsPrefix
	if prefix == "" {
		return nil, nil
	}
	items, _, err := h.store.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	for i := range items {
		if place := strings.TrimPrefix(items[i].Key, prefix); place != "" {
			places = append(places, place)
		}
	}
	return places, nil
}

// listWorkers reads the worker list. Malformed entries are skipped, and each version of
// one is logged once.
func (h *Host) listWorkers(ctx context.Context) (workers []work.Worker, err error) {
	items, _, err := h.store.List(ctx, h.StoreLayout.WorkersPrefix)
	if err != nil {
		return nil, err
	}
	logged, malformed := *h.malformedWorkers.Load(), map[string]int64{}
	for i := range items {
		w, err := h.StoreLayout.DecodeWorker(items[i].Key, items[i].Value)
		if err == nil {
			workers = append(workers, w)
			continue
		}
		malformed[items[i].Key] = items[i].Revision
		if len(malformed) <= maxMalformedLogged && logged[items[i].Key] != items[i].Revision {
			event.EntryMalformed.Log(h.Log).Str("key", items[i].Key).Int64("revision", items[i].Revision).Err(err).Send()
		}
	}
	h.malformedWorkers.Store(&malformed)
	return workers, nil
}

// maxMalformedLogged bounds the malformed entries that one read of the worker list logs.
const maxMalformedLogged = 20

const (
	// watchTimeout is the maximum time that one watch on jobs waits for a
	// change.
	watchTimeout = 5 * time.Second
	// watchInterval is the interval between two watches, so that one watch
	// returns many changes. This delay is harmless: hosts notify the owner of
	// their jobs directly, and the watch finds those of hosts that have terminated.
	watchInterval = 200 * time.Millisecond
)

// followJobs watches the store for jobs and cancellations of which no host has
// notified the owner.
func (h *Host) followJobs(ctx context.Context, after int64) {
	for ctx.Err() == nil {
		events, next, err := h.store.Watch(ctx, jobPrefix, after, watchTimeout)
		switch {
		case err == nil:
			after = next
			var items []kvstore.Item
			for i := range events {
				if !events[i].Removed {
					items = append(items, events[i].Item)
				}
			}
			h.applyJobItems(items)
		case ctx.Err() == nil:
			after = h.relistJobs(ctx, after)
		}
		sleep(ctx, watchInterval)
	}
}

// relistJobs reads all jobs again, because a failed watch may have missed some. The last item of
// a page is applied with the next one: if it is a job, its cancellation may be there.
func (h *Host) relistJobs(ctx context.Context, after int64) (next int64) {
	var last []kvstore.Item
	revision, err := h.store.ListPages(ctx, jobPrefix, func(page []kvstore.Item) error {
		if len(page) == 0 {
			return nil
		}
		h.applyJobItems(append(last, page[:len(page)-1]...))
		last = []kvstore.Item{page[len(page)-1]}
		return nil
	})
	if err != nil {
		return after
	}
	h.applyJobItems(last)
	return revision
}

// applyJobItems passes jobs and cancellations from the store to the owner.
func (h *Host) applyJobItems(items []kvstore.Item) {
	var apply []func(o *cell.Owner)
	for i := range items {
		item := &items[i]
		id, cancelled := strings.CutSuffix(strings.TrimPrefix(item.Key, jobPrefix), cancelSuffix)
		if cancelled {
			apply = append(apply, func(o *cell.Owner) { o.Cancel(id) })
			continue
		}
		job, err := work.DecodeJob(item.Value)
		if err != nil {
			event.EntryMalformed.Log(h.Log).Str("key", item.Key).Err(err).Send()
			continue
		}
		apply = append(apply, func(o *cell.Owner) { o.Accept(job) })
	}
	h.post(func() {
		for _, fn := range apply {
			if h.cellOwner != nil {
				fn(h.cellOwner)
			}
		}
	})
}

// writeLivenessMarkers periodically writes a liveness marker to the store for
// hosts that cannot reach this one. The same write checks whether the ownership
// row and the configuration are unchanged: it is conditional on their known
// revisions, and the store returns the configuration only if it has changed.
func (h *Host) writeLivenessMarkers(ctx context.Context, ownerRev int64) {
	for ctx.Err() == nil {
		sent := bootClock()
		tables, revision := h.tables.Current()
		_, found, err := h.store.WriteLarge(ctx, kvstore.Txn{
			Expected: []kvstore.Condition{{Key: ownerKey, Revision: ownerRev}, {Key: h.StoreLayout.TablesKey, Revision: revision}},
			Puts:     []kvstore.Put{{Key: livenessKey, Value: []byte(h.instance)}},
		})
		switch {
		case err == nil && tables != nil:
			h.tables.ConfirmLatest(tables.Version, sent)
			h.loop.Post(func() { h.confirmOwnership(sent) })
		case errs.Is(err, kvstore.ErrConflict):
			if revisionOf(found, ownerKey, ownerRev) != ownerRev {
				h.post(func() { h.endOwnership("the ownership row has changed") })
				return
			}
			if h.applyItems(found, sent) {
				continue // the liveness marker was not written
			}
		}
		sleep(ctx, livenessInterval)
	}
}

// confirmOwnership records that this host owned the cell at the given local time. Starts
// without a record are allowed again, unless a handover is in progress.
func (h *Host) confirmOwnership(at time.Duration) {
	if h.cellOwner == nil {
		return
	}
	h.cellOwner.ConfirmOwnership(at)
	if !h.handingOver {
		h.cellOwner.SuspendUnrecorded(false)
	}
}

// revisionOf returns the revision of a key among items, or none if the key is
// missing.
func revisionOf(items []kvstore.Item, key string, none int64) int64 {
	for i := range items {
		if items[i].Key == key {
			return items[i].Revision
		}
	}
	return none
}
