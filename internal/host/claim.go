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
	"turmericspread.org/turmericspread/internal/work"
)

// claim makes this host the owner of the cell, on the condition that the row
// seen is still in place, and loads what is stored.
func (h *Host) claim(ctx context.Context, seen ownerRow, revision int64) {
	delay := h.claimDelay(seen)
	pause(ctx, delay)
	if delay > 0 && !h.unclaimed(ctx, revision) {
		return
	}
	h.claimNow(ctx, seen, revision)
}

// unclaimed reports whether the ownership row is still the one seen: reading it
// first spares the store the writes of all hosts but one.
func (h *Host) unclaimed(ctx context.Context, revision int64) bool {
	item, err := h.store.Get(ctx, ownerKey)
	if err != nil {
		return true // the claim itself is conditional
	}
	if item.Revision != revision {
		h.lookNow()
	}
	return item.Revision == revision
}

// claimNow claims without waiting for stronger hosts.
func (h *Host) claimNow(ctx context.Context, seen ownerRow, revision int64) {
	row := ownerRow{Name: h.Name, Instance: h.instance, Address: h.PeerAddress, Epoch: seen.Epoch + 1}
	claimed, err := h.writeClaim(ctx, row, revision)
	if err != nil {
		event.ClaimFailed.Log(h.Log).Int64("epoch", row.Epoch).Int64("revision", revision).Err(err).Send()
		return
	}
	event.CellClaimed.Log(h.Log).Int64("epoch", row.Epoch).Str("before", seen.Name).Int64("revision", claimed).Send()
	begun := time.Now()
	// With a slow store loading takes longer than the silence for which an owner
	// is replaced: the others have to see that this host lives.
	loadCtx, loaded := context.WithTimeout(ctx, loadMost)
	defer loaded()
	h.loadingUntil.Store(int64(boot() + loadMost))
	defer h.loadingUntil.Store(0)
	h.spawn(func() { h.markAlive(loadCtx, claimed) })
	for ctx.Err() == nil {
		err = h.takeOver(ctx, row, claimed)
		if err == nil {
			h.stats.observe("takeover_seconds", callBuckets, time.Since(begun))
			return
		}
		event.ClaimFailed.Log(h.Log).Int64("epoch", row.Epoch).Int64("revision", claimed).Err(err).Send()
		item, readErr := h.store.Get(ctx, ownerKey)
		if readErr == nil && item.Revision != claimed {
			return // replaced meanwhile
		}
		pause(ctx, loadRetry)
	}
}

const (
	// loadRetry is the pause after a failed try to load the cell.
	loadRetry = 100 * time.Millisecond
	// loadMost is how long the new owner of a cell may load it before others
	// replace it: pages of a slow store take a quarter of a second each.
	loadMost = 5 * time.Second
)

// loading reports whether this host has claimed the cell and is loading it.
func (h *Host) loading() bool { return int64(boot()) < h.loadingUntil.Load() }

// writeClaim writes the ownership row. After a lost answer it reads back what
// became of the write.
func (h *Host) writeClaim(ctx context.Context, row ownerRow, revision int64) (claimed int64, err error) {
	value, err := cbor.Marshal(row)
	if err != nil {
		return 0, err
	}
	claimed, _, err = h.store.Write(ctx, kvstore.Txn{
		Expected: []kvstore.Condition{{Key: ownerKey, Revision: revision}},
		Puts:     []kvstore.Put{{Key: ownerKey, Value: value}},
	})
	if err == nil || kvstore.NotApplied(err) && !errs.Is(err, kvstore.ErrConflict) {
		return claimed, err
	}
	item, readErr := h.store.Get(ctx, ownerKey)
	if readErr == nil && bytes.Equal(item.Value, value) {
		return item.Revision, nil
	}
	return 0, err
}

// takeOver loads the cell and begins to decide about it.
func (h *Host) takeOver(ctx context.Context, row ownerRow, revision int64) (err error) {
	var jobs, progress []kvstore.Item
	var workers, former []work.Worker
	var watchFrom int64
	err = together(
		func() (err error) { jobs, watchFrom, err = h.store.List(ctx, jobPrefix); return err },
		func() (err error) { progress, _, err = h.store.List(ctx, progressPrefix); return err },
		func() (err error) { workers, err = h.listWorkers(ctx); return err },
		func() (err error) { former, err = h.formerWorkers(ctx); return err },
	)
	if err != nil {
		return err
	}
	for h.Tables() == nil && ctx.Err() == nil {
		pause(ctx, loadRetry)
	}
	stored := h.decodeStored(jobs, progress)
	ownCtx, cancel := context.WithCancel(ctx)
	callErr := h.loop.Call(ctx, func() {
		h.row, h.rowRev, h.rowKnown = row, revision, true
		h.suspect = suspicion{}
		h.carriers, h.carrierList = h.newCarriers(), nil
		h.chooseCarriers(max(len(workers), len(former)))
		h.own = h.newOwner(ownCtx, row, revision)
		h.ownCancel = cancel
		h.own.Restore(stored)
		h.own.RestoreWorkers(former)
		h.own.SetWorkers(workers)
		h.own.Tick()
		h.publish()
	})
	if callErr != nil {
		cancel()
		return callErr
	}
	h.spawn(func() { h.followWorkers(ownCtx, revision) })
	h.spawn(func() { h.followJobs(ownCtx, watchFrom) })
	h.spawn(func() { h.markAlive(ownCtx, revision) })
	h.spawn(func() { h.yield(ownCtx) })
	return nil
}

// together runs functions at the same time and returns their errors: with a
// slow store each answer takes a quarter of a second.
func together(fns ...func() error) (err error) {
	results := make(chan error, len(fns))
	for _, fn := range fns {
		go func() { results <- fn() }()
	}
	var group errs.Group
	for range fns {
		group.Add(<-results)
	}
	return group.Err()
}

func (h *Host) decodeStored(jobs, progress []kvstore.Item) (stored []cell.StoredJob) {
	byID := map[string]int{}
	for i := range jobs {
		id := strings.TrimPrefix(jobs[i].Key, jobPrefix)
		if strings.HasSuffix(id, cancelSuffix) {
			continue
		}
		job, err := work.DecodeJob(jobs[i].Value)
		if err != nil {
			event.EntryMalformed.Log(h.Log).Str("key", jobs[i].Key).Err(err).Send()
			continue
		}
		byID[id] = len(stored)
		stored = append(stored, cell.StoredJob{Job: job})
	}
	for i := range jobs {
		id, cancelled := strings.CutSuffix(strings.TrimPrefix(jobs[i].Key, jobPrefix), cancelSuffix)
		if at, ok := byID[id]; ok && cancelled {
			stored[at].Cancelled = true
		}
	}
	for i := range progress {
		at, ok := byID[strings.TrimPrefix(progress[i].Key, progressPrefix)]
		if !ok {
			continue
		}
		p, err := work.DecodeProgress(progress[i].Value)
		if err != nil {
			event.EntryMalformed.Log(h.Log).Str("key", progress[i].Key).Err(err).Send()
			continue
		}
		stored[at].Progress, stored[at].Revision = p, progress[i].Revision
	}
	return stored
}

// release ends this host's ownership.
func (h *Host) release(reason string) {
	if h.own == nil {
		return
	}
	event.CellOwnershipLost.Log(h.Log).Int64("epoch", h.own.Epoch).Str("reason", reason).Send()
	h.own.Deactivate()
	h.own = nil
	h.carriers.Close()
	h.ownCancel()
}
