package host

import (
	"bytes"
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/cell"
	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/kvstore"
	"turmericspread.org/turmericspread/internal/work"
)

// claimAfterDelay claims the cell once the hosts that should claim it first have
// had the time to do so. The claim succeeds only if the ownership row is still the
// observed one.
func (h *Host) claimAfterDelay(ctx context.Context, observed ownerRow, revision int64, former predecessor) {
	delay := h.claimDelay(observed)
	sleep(ctx, delay)
	if delay > 0 && !h.stillUnclaimed(ctx, revision) {
		return
	}
	h.claimNow(ctx, observed, revision, former)
}

// stillUnclaimed reports whether the ownership row still has the given
// revision. Reading it first avoids claims by all hosts but one, which the
// store would have to reject.
func (h *Host) stillUnclaimed(ctx context.Context, revision int64) bool {
	item, err := h.store.Get(ctx, ownerKey)
	if err != nil {
		return true // the claim itself is conditional on the revision
	}
	if item.Revision != revision {
		h.requestCellRead()
	}
	return item.Revision == revision
}

// claimNow claims the cell without a delay and loads it. It repeats a failed
// load until another host has claimed the cell.
func (h *Host) claimNow(ctx context.Context, observed ownerRow, revision int64, former predecessor) {
	row := ownerRow{Name: h.Name, Instance: h.instance, Address: h.PeerAddress, Epoch: observed.Epoch + 1}
	sent := bootClock()
	claimed, err := h.writeClaim(ctx, row, revision)
	if err != nil {
		event.ClaimFailed.Log(h.Log).Int64("epoch", row.Epoch).Int64("revision", revision).Err(err).Send()
		return
	}
	event.CellClaimed.Log(h.Log).Int64("epoch", row.Epoch).Str("before", observed.Name).Int64("revision", claimed).Send()
	start := time.Now()
	// With a slow store, loading takes longer than the time after which other
	// hosts replace an unresponsive owner. Liveness markers prevent that.
	loadCtx, cancelLoad := context.WithCancel(ctx)
	defer cancelLoad()
	defer h.loadingUntil.Store(0)
	stalled := time.AfterFunc(maxLoadStall, cancelLoad)
	defer stalled.Stop()
	progressed := func() {
		stalled.Reset(maxLoadStall)
		h.loadingUntil.Store(int64(bootClock() + maxLoadStall))
	}
	progressed()
	h.spawn(func() { h.writeLivenessMarkers(loadCtx, claimed) })
	for ctx.Err() == nil {
		err = h.takeOver(ctx, row, claimed, observed, former, progressed)
		_ = h.loop.Call(ctx, func() { h.confirmOwnership(sent) })
		if err == nil {
			h.stats.observe("takeover_seconds", callBuckets, time.Since(start))
			return
		}
		event.ClaimFailed.Log(h.Log).Int64("epoch", row.Epoch).Int64("revision", claimed).Err(err).Send()
		item, readErr := h.store.Get(ctx, ownerKey)
		if readErr == nil && item.Revision != claimed {
			return // another host has claimed the cell
		}
		sleep(ctx, loadRetryInterval)
	}
}

const (
	// loadRetryInterval is the interval between two attempts to load the cell.
	loadRetryInterval = 100 * time.Millisecond
	// maxLoadStall is the maximum time without a page of the store while a new owner
	// loads the cell. After it, other hosts replace the owner. A slow store takes 250 ms
	// per page, and the number of pages is not bounded.
	maxLoadStall = 5 * time.Second
)

// loading reports whether this host has claimed the cell and is still loading
// it.
func (h *Host) loading() bool { return int64(bootClock()) < h.loadingUntil.Load() }

// writeClaim writes the ownership row. If the outcome of the write is unknown,
// it reads the row to find out. It does so after a conflict as well, because the
// relay may have sent the write twice and the first attempt may have been
// applied.
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

// takeOver loads the cell and starts its scheduling on this host. It waits until
// this host has a configuration. It calls progressed for each page of the store that it
// has read.
func (h *Host) takeOver(ctx context.Context, row ownerRow, revision int64, observed ownerRow, former predecessor, progressed func()) (err error) {
	var stored []cell.StoredJob
	var list listing
	var directory []work.Worker
	var waves kvstore.Item
	var watchFrom int64
	listed := bootClock()
	speeds := h.readSpeeds(ctx)
	defer speeds.cancel()
	err = runConcurrently(
		func() (err error) { stored, watchFrom, err = h.loadJobs(ctx, progressed); return err },
		func() (err error) { list, err = h.readWorkers(ctx); return err },
		func() (err error) { directory, err = h.formerWorkers(ctx); return err },
		func() (err error) { waves, err = h.loadWaves(ctx); return err },
	)
	if err != nil {
		return err
	}
	for h.Tables() == nil && ctx.Err() == nil {
		sleep(ctx, loadRetryInterval)
	}
	savedSpeeds := speeds.wait()
	ownerCtx, cancel := context.WithCancel(ctx)
	callErr := h.loop.Call(ctx, func() {
		h.currentOwner, h.ownerRowRevision, h.ownerRowRead = row, revision, true
		h.ownerSuspicion = suspicion{}
		h.carrierClient, h.carrierAddresses = h.newCarrierClient(), nil
		h.chooseCarriers(max(len(list.workers), len(directory)))
		h.cellOwner = h.newOwner(ownerCtx, row, revision)
		h.connectCloud(ownerCtx, h.cellOwner, revision, waves)
		h.cellOwner.Predecessor, h.cellOwner.PredecessorAlive = former.starts, former.alive
		h.cellOwner.PredecessorRecordedUntil = h.recordedUntil(observed)
		h.cancelOwner = cancel
		h.cellOwner.Restore(stored)
		h.cellOwner.RestoreSpeeds(savedSpeeds)
		h.cellOwner.RestoreWorkers(directory)
		list.apply(h.cellOwner, listed)
		h.cellOwner.Tick()
		h.publishView()
	})
	if callErr != nil {
		cancel()
		return callErr
	}
	h.spawn(func() { h.followWorkers(ownerCtx, revision) })
	h.spawn(func() { h.followMachines(ownerCtx) })
	h.spawn(func() { h.followJobs(ownerCtx, watchFrom) })
	h.spawn(func() { h.followSpeeds(ownerCtx, revision) })
	h.spawn(func() { h.sweepTombstones(ownerCtx, revision) })
	h.spawn(func() { h.writeLivenessMarkers(ownerCtx, revision) })
	h.spawn(func() { h.handOverToBetterHost(ownerCtx) })
	return nil
}

// runConcurrently calls all functions at the same time and returns their
// errors. With a slow store, which takes 250 ms per response, sequential calls
// would take too long.
func runConcurrently(fns ...func() error) (err error) {
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

// endOwnership stops the scheduling of the cell on this host.
func (h *Host) endOwnership(reason string) {
	if h.cellOwner == nil {
		return
	}
	event.CellOwnershipLost.Log(h.Log).Int64("epoch", h.cellOwner.Epoch).Str("reason", reason).Send()
	h.cellOwner.Deactivate()
	h.cellOwner = nil
	h.carrierClient.Close()
	h.cancelOwner()
}
